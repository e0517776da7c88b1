"""How fast a backlog falls."""

import pytest

from pollenfork.returns import trend


def make_trend(*samples: tuple[float, float]) -> trend.BacklogTrend:
    known = trend.BacklogTrend()
    for now, backlog_s in samples:
        known.record(backlog_s, now)
    return known


def test_the_fall_is_measured_over_the_window() -> None:
    """Guards against a rate that reflects a load of long ago."""
    known = make_trend((0.0, 9.0), (1.0, 2.0), (1.5, 1.9), (2.2, 1.4))
    fall = known.measure()
    assert (fall.start, fall.end) == (1.0, 2.2)
    assert fall.rate == pytest.approx(0.5)


@pytest.mark.parametrize(
    "samples", [(), ((0.0, 1.0),), ((0.0, 1.0), (0.2, 0.5))]
)
def test_too_few_samples_give_no_rate(samples) -> None:
    """Guards against promises that follow from noise."""
    assert make_trend(*samples).measure() is None


def test_a_growing_backlog_falls_at_a_negative_rate() -> None:
    """Guards against promises while the backlog grows."""
    assert make_trend((0.0, 1.0), (1.0, 1.5)).measure().rate == -0.5


def test_frequent_samples_are_thinned_out() -> None:
    """Guards against memory that grows with the rate of refusals."""
    known = make_trend(*((number / 1000, 1.0) for number in range(5000)))
    assert len(known._samples) <= 32
