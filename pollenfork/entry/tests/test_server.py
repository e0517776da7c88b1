"""The server's workers: a free one is found, a busy one never is."""

import threading

import pytest

from pollenfork.entry import server


class StartingWorkers(server.WorkerPool):
    """Workers whose threads have not begun to run yet."""

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
    assert workers.offer(Task())
    assert not workers.offer(Task())


@pytest.mark.parametrize("size", [1, 3])
def test_task_is_refused_only_while_every_worker_is_busy(size: int) -> None:
    workers = server.WorkerPool()
    workers.set_thread_count(size)
    tasks = [Task() for _ in range(size)]
    assert all(workers.offer(task) for task in tasks)
    assert not workers.offer(Task())
    for task in tasks:
        assert task.started.wait(10)
        task.released.set()
    workers.wait_until_free()
    assert workers.offer(tasks[0])
    workers.shutdown()
