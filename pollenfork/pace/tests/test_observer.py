"""Guards the measure against prefills, shared reads and short answers."""

import pytest

from pollenfork.pace import observer


def time_events(*steps: tuple[float, int]) -> float | None:
    timer = observer.EventTimer()
    now = 100.0
    timer.record(now)
    for interval_s, events in steps:
        now += interval_s
        timer.record(now, events)
    return timer.get_interval_ms()


def test_steps_with_another_prompts_prefill_are_left_out() -> None:
    steps = [(0.020, 1), (0.060, 1), (0.060, 1)] * 4
    assert time_events(*steps) == pytest.approx(20.0)


def test_a_short_answer_gives_no_interval() -> None:
    assert time_events(*[(0.020, 1)] * 5) is None
    assert time_events(*[(0.020, 1)] * 6) == pytest.approx(20.0)


def test_events_that_arrive_in_one_read_share_its_time() -> None:
    # Otherwise a busy instance would measure intervals of 0.
    assert time_events(*[(0.060, 3)] * 3) == pytest.approx(20.0)


def test_repeated_events_that_are_not_new_count_as_none() -> None:
    timer = observer.EventTimer()
    for step in range(10):
        timer.record(100.0 + step * 0.02, 0)
    assert timer.get_interval_ms() is None


def test_the_memory_of_a_long_answer_is_bounded() -> None:
    steps = [(1.0, 10**6)] + [(0.02, 1)] * 200
    assert time_events(*steps) == pytest.approx(20.0)
