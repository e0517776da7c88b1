"""The worker pool accepts a task exactly if a thread is free."""

import threading

import pytest

from pollenfork.entry import server


class StartingWorkers(server.WorkerPool):
    """A pool whose threads have not begun to run yet."""

    def start_new_thread(self, target: object, thread_no: int) -> None:
        del target, thread_no


class Task:
    def __init__(self) -> None:
        self.started = threading.Event()
        self.released = threading.Event()

    def service(self) -> None:
        self.started.set()
        self.released.wait()

    def cancel(self) -> None:
        pass


def test_worker_that_is_still_starting_counts_as_free() -> None:
    workers = StartingWorkers()
    workers.set_thread_count(1)
    assert workers.try_add_task(Task())
    assert not workers.try_add_task(Task())


@pytest.mark.parametrize("size", [1, 3])
def test_task_is_refused_only_while_every_worker_is_busy(size: int) -> None:
    workers = server.WorkerPool()
    workers.set_thread_count(size)
    tasks = [Task() for _ in range(size)]
    assert all(workers.try_add_task(task) for task in tasks)
    assert not workers.try_add_task(Task())
    for task in tasks:
        assert task.started.wait(10)
        task.released.set()
    workers.wait_until_idle()
    assert workers.try_add_task(tasks[0])
    workers.shutdown()
