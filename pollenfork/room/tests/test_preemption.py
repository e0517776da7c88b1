"""Pauses that suggest a preempted request."""

import pytest

from pollenfork.room import preemption


def observe_all(watch: preemption.StreamWatch, times) -> list[float]:
    found = [watch.observe(now) for now in times]
    return [gap_s for gap_s in found if gap_s is not None]


def test_a_long_pause_is_reported_once_per_answer() -> None:
    # Guards against an answer with several pauses that counts several times.
    watch = preemption.StreamWatch(0.2)
    found = observe_all(watch, [5.0, 5.1, 6.0, 6.1, 9.0])
    assert found == [pytest.approx(0.9)]


def test_a_pause_within_four_targets_is_not_reported() -> None:
    # Guards against slow spells and prefills that count as preemptions.
    watch = preemption.StreamWatch(0.25)
    assert observe_all(watch, [1.0, 2.0, 3.0, 3.5]) == []


def test_the_time_to_the_first_event_is_no_pause() -> None:
    # Guards against counting requests that wait in the runner's queue.
    watch = preemption.StreamWatch(0.2)
    watch.restart()
    assert observe_all(watch, [60.0, 60.1]) == []


def test_a_pause_between_two_runners_or_of_the_caller_is_not_reported() -> None:
    # Guards against blaming a runner for a retry or for a slow caller.
    watch = preemption.StreamWatch(0.2)
    assert observe_all(watch, [1.0, 1.1]) == []
    watch.restart()
    assert observe_all(watch, [9.0, 9.1]) == []
    assert observe_all(watch, [11.0]) == [pytest.approx(1.9)]


def test_a_route_without_a_gap_target_has_no_suspect_pause() -> None:
    # Guards against a limit of 0 s, which every pause exceeds.
    watch = preemption.StreamWatch(0.0)
    assert observe_all(watch, [1.0, 50.0]) == []
