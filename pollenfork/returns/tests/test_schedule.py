"""Return times that one instance assigns."""

import itertools
import random

import hypothesis
from hypothesis import strategies

from pollenfork.returns import schedule

NOW = 100.0


class FixedPhase(random.Random):
    """Starts every schedule at the same phase."""

    def __init__(self, phase: float = 0.0) -> None:
        super().__init__(1)
        self._phase = phase

    def random(self) -> float:
        return self._phase


def make_schedule(phase: float = 0.0) -> schedule.ReturnSchedule:
    return schedule.ReturnSchedule(FixedPhase(phase))


def test_places_follow_one_another_after_the_wait() -> None:
    """Guards against places that are due together."""
    places = make_schedule()
    window = schedule.Window(NOW + 1.0, NOW + 2.0)
    found = [places.assign(window, 0.4, NOW) for _ in range(4)]
    assert found[3] is None
    expected = [NOW + 1.0, NOW + 1.4, NOW + 1.8]
    assert all(abs(a - b) < 1e-6 for a, b in zip(found, expected, strict=False))


def test_an_idle_schedule_starts_at_its_phase_once() -> None:
    """Guards against a better place for whoever asks again."""
    places = make_schedule(0.75)
    window = schedule.Window(NOW, NOW + 4.0)
    # Without the phase, each of 360 instances would assign a place now.
    assert places.assign(window, 10.0, NOW) is None
    assert places.assign(window, 10.0, NOW + 1.0) is None
    later = schedule.Window(NOW + 5.0, NOW + 9.0)
    assert abs(places.assign(later, 10.0, NOW + 5.0) - NOW - 7.5) < 1e-6


def test_a_gap_between_places_is_used() -> None:
    """Guards against one long wait that delays all later callers."""
    places = make_schedule()
    places.assign(schedule.Window(NOW, NOW + 4.0), 0.2, NOW)
    far = places.assign(schedule.Window(NOW + 3.0, NOW + 4.0), 0.2, NOW)
    assert far == NOW + 3.0
    near = places.assign(schedule.Window(NOW + 0.5, NOW + 4.0), 0.2, NOW)
    assert near == NOW + 0.5


def test_past_places_are_dropped() -> None:
    """Guards against a schedule that grows for ever."""
    places = make_schedule()
    for second in range(1000):
        now = NOW + second
        window = schedule.Window(now + 1.0, now + 4.0)
        assert places.assign(window, 0.3, now) is not None
    assert len(places._starts) <= 6


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.3),
            strategies.floats(0.0, 5.0),
            strategies.floats(0.01, 2.0),
        ),
        max_size=60,
    )
)
def test_places_never_overlap(requests) -> None:
    """Guards against promising the runners' share twice."""
    places = schedule.ReturnSchedule(random.Random(7))
    now = NOW
    assigned = []
    for passed_s, wait_s, length_s in requests:
        now += passed_s
        window = schedule.Window(now + wait_s, now + 4.0)
        due = places.assign(window, length_s, now)
        if due is not None:
            assert window.earliest <= due <= window.latest
            assigned.append((due, due + length_s))
    assigned.sort()
    for (_, end), (start, _) in itertools.pairwise(assigned):
        assert start >= end - 1e-6
