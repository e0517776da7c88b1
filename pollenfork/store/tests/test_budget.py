"""The budget as arithmetic: shares add up, buckets hold to their rate."""

import pytest

from pollenfork.store import budget


@pytest.mark.parametrize(
    ("instances", "reads", "writes"),
    [(1, 1800.0, 270.0), (6, 300.0, 45.0), (8, 225.0, 33.75), (360, 5, 0.75)],
)
def test_share_of_one_instance(instances, reads, writes):
    share = budget.compute_share(instances)
    assert share.reads == pytest.approx(reads)
    assert share.writes == pytest.approx(writes)


@pytest.mark.parametrize("instances", [1, 2, 8, 24, 60, 360])
def test_shares_add_up_to_less_than_the_platform_handles(instances):
    share = budget.compute_share(instances)
    assert share.reads * instances <= 2000 * (1 - budget.HEADROOM) + 1e-6
    assert share.writes * instances <= 300 * (1 - budget.HEADROOM) + 1e-6


def spend(take, start, seconds, step=0.01):
    """Takes as often as it may; returns how often."""
    taken, now = 0, start
    while now < start + seconds:
        while take(now) == 0.0:
            taken += 1
        now += step
    return taken


@pytest.mark.parametrize("kind", budget.CallKind)
def test_all_instances_together_stay_under_the_platform_rate(kind):
    rates = {
        budget.CallKind.READ: budget.PLATFORM_RATES.reads,
        budget.CallKind.WRITE: budget.PLATFORM_RATES.writes,
    }
    one = budget.Budget(0.0)
    one.set_instances(360, 0.0)
    spend(lambda now: one.take(kind, now), 0.0, 1.0)  # The burst.
    taken = spend(lambda now: one.take(kind, now), 1.0, 100.0)
    assert 0.85 * rates[kind] <= taken * 360 / 100 <= rates[kind]


def test_a_bucket_says_when_the_next_token_is_there():
    bucket = budget.Bucket(0.5, now=0.0)
    assert [bucket.take(0.0) for _ in range(5)] == [0, 0, 0, 0, 2.0]
    assert bucket.take(1.0) == pytest.approx(1.0)
    assert bucket.take(2.0) == 0.0


def test_time_going_back_gives_no_tokens():
    bucket = budget.Bucket(1.0, now=100.0)
    assert [bucket.take(100.0) for _ in range(4)] == [0] * 4
    assert bucket.take(0.0) > 0
    assert bucket.take(100.0) > 0


def test_fewer_instances_leave_each_a_larger_share():
    one = budget.Budget(0.0)
    one.set_instances(8, 0.0)
    spend(lambda now: one.take(budget.CallKind.WRITE, now), 0.0, 1.0)
    taken = spend(lambda now: one.take(budget.CallKind.WRITE, now), 1.0, 10.0)
    assert taken == pytest.approx(337, abs=2)


def test_keyed_requests_leave_the_rest_to_settings_and_leases():
    both = budget.Budgets(0.0)
    both.set_instances(360, 0.0)
    assert both.keyed.share.writes == pytest.approx(0.525)
    assert both.control.share.writes == pytest.approx(0.225)
    assert both.keyed.share.reads == pytest.approx(1.0)
    assert both.control.share.reads == pytest.approx(4.0)
    kind = budget.CallKind.WRITE
    spend(lambda now: both.keyed.take(kind, now), 0.0, 1.0)
    assert both.keyed.take(kind, 1.0) > 0.0
    assert both.control.take(kind, 1.0) == 0.0


def test_an_unknown_number_of_instances_falls_back_to_the_design_size():
    one = budget.Budget(0.0)
    one.set_instances(1, 0.0)
    one.set_instances(0, 0.0)
    spend(lambda now: one.take(budget.CallKind.WRITE, now), 0.0, 1.0)
    taken = spend(lambda now: one.take(budget.CallKind.WRITE, now), 1.0, 100.0)
    assert taken == pytest.approx(75, abs=1)
