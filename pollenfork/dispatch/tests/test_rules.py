"""Concurrency limits, ejections and the equal share, each in isolation."""

import pytest

from pollenfork.dispatch import limits
from pollenfork.dispatch import sharing
from pollenfork.dispatch import stragglers

ENDPOINTS = [f"runner-{n}" for n in range(8)]


def test_limit_decreases_at_most_once_per_interval_and_recovers() -> None:
    limit = limits.ConcurrencyLimit(16)
    for _ in range(9):
        limit.record(1.5, 10.0)
    assert limit.get(10.0) == pytest.approx(12.8)
    limit.record(1.5, 12.0)
    assert limit.get(12.0) == pytest.approx(10.24)
    for _ in range(40):
        limit.record(0.9, 13.0)
    assert limit.get(13.0) == 16.0


def test_returning_endpoint_starts_with_one_slot() -> None:
    limit = limits.ConcurrencyLimit(16)
    limit.start_slow(100.0)
    assert limit.get(100.0) == 1.0
    assert limit.get(104.0) == pytest.approx(8.0)
    assert limit.get(108.0) == 16.0


@pytest.mark.parametrize(
    ("slow", "ejected"),
    [
        (0, 0),
        (1, 1),
        (3, 2),  # At most a quarter of eight.
    ],
)
def test_stragglers_are_ejected_up_to_the_maximum(
    slow: int, ejected: int
) -> None:
    detector = stragglers.StragglerDetector()
    for n, name in enumerate(ENDPOINTS):
        for _ in range(4):
            detector.record(name, 5.0 if n < slow else 1.0)
    picked = detector.pick_ejections(ENDPOINTS, 50.0)
    assert len(picked) == ejected
    assert {name for name, _ in picked} <= set(ENDPOINTS[:slow])
    assert all(until > 50.0 for _, until in picked)
    assert detector.pick_ejections(ENDPOINTS, 51.0) == []


@pytest.mark.parametrize(
    ("unattributed", "capacity"), [(0, 40.0), (25, 40.0), (31, 10.0)]
)
def test_cut_off_instance_uses_an_equal_share_unless_more_is_free(
    unattributed: int, capacity: float
) -> None:
    usage = sharing.SlotUsage(
        capacity=40.0,
        own_waiting=[0] * 7,
        own_in_flight=[0] * 7,
        peer_waiting=[0] * 7,
        peer_in_flight=[0] * 7,
        instances=4,
        unattributed=unattributed,
        is_cut_off=True,
    )
    assert usage.get_capacity() == capacity
