"""Guards the measure against prefills, shared reads and short answers."""

import pytest

from pollenfork.loads import messages as loads
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


# Guards against paces that follow the load: beside queued prompts, intervals
# were five times as long, and half of the runners changed between slow and not.
@pytest.mark.parametrize(
    ("begun", "ended", "expected"),
    [
        (loads.Load(1), loads.Load(0), 20.0),
        (loads.Load(11), loads.Load(10), 20.0 / 1.2),
        (loads.Load(3, 2_048), loads.Load(2, 0), 20.0 / 1.04),
        (loads.Load(3, 2_049), loads.Load(2, 0), None),
        (loads.Load(3, 0), loads.Load(2, 9_000), None),
        (loads.Load(0), loads.Load(0), 20.0),
    ],
)
def test_intervals_are_corrected_for_load(begun, ended, expected) -> None:
    found = observer.find_unloaded_ms(20.0, begun, ended)
    assert found == (None if expected is None else pytest.approx(expected))
