"""Periodic calls on a clock that the test advances."""

import threading

import pytest

from pollenfork import clock
from pollenfork import timers


class Harness:
    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.timers = timers.Timers(self.clock)
        self.made: list[str] = []

    def add(self, name: str, period_s: float, first_s: float = 0.0) -> None:
        self.timers.every(period_s, lambda: self.made.append(name), first_s)

    def run(self, *steps: float) -> list[str]:
        for step in steps:
            self.clock.advance(step)
            self.timers.run_due()
        return self.made


def test_calls_run_in_the_order_of_their_due_times() -> None:
    harness = Harness()
    harness.add("slow", 2.0, first_s=2.0)
    harness.add("quick", 1.0, first_s=1.0)
    assert harness.run(1.0, 1.0) == ["quick", "slow", "quick"]


@pytest.mark.parametrize(("late_s", "made"), [(1.0, 1), (9.5, 1)])
def test_late_call_skips_missed_periods(late_s: float, made: int) -> None:
    harness = Harness()
    harness.add("call", 1.0, first_s=1.0)
    assert len(harness.run(late_s)) == made


def test_exception_in_a_call_does_not_stop_others() -> None:
    harness = Harness()
    harness.timers.every(1.0, lambda: 1 // 0)
    harness.add("other", 1.0)
    assert harness.run(1.0) == ["other"]


def test_thread_runs_a_call_added_while_it_waits() -> None:
    made = threading.Event()
    running = timers.Timers(clock.SystemClock())
    running.start()
    running.every(3600.0, made.set)
    assert made.wait(20)
    running.stop()
