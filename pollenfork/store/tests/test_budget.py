"""Budgets: the shares stay within the total, buckets keep to their rate."""

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
def test_shares_stay_below_the_platform_rates(instances):
    share = budget.compute_share(instances)
    assert share.reads * instances <= 2000 * (1 - budget.HEADROOM) + 1e-6
    assert share.writes * instances <= 300 * (1 - budget.HEADROOM) + 1e-6


def take_all(take, start, seconds, step=0.01):
    """Takes as many tokens as possible; returns their number."""
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
    instance_budget = budget.Budget(0.0)
    instance_budget.set_instances(360, 0.0)
    # Use up the burst.
    take_all(lambda now: instance_budget.take(kind, now), 0.0, 1.0)
    taken = take_all(lambda now: instance_budget.take(kind, now), 1.0, 100.0)
    assert 0.85 * rates[kind] <= taken * 360 / 100 <= rates[kind]


def test_an_empty_bucket_returns_the_wait_for_the_next_token():
    bucket = budget.TokenBucket(0.5, now=0.0)
    assert [bucket.take(0.0) for _ in range(5)] == [0, 0, 0, 0, 2.0]
    assert bucket.take(1.0) == pytest.approx(1.0)
    assert bucket.take(2.0) == 0.0


def test_a_clock_that_goes_back_adds_no_tokens():
    bucket = budget.TokenBucket(1.0, now=100.0)
    assert [bucket.take(100.0) for _ in range(4)] == [0] * 4
    assert bucket.take(0.0) > 0
    assert bucket.take(100.0) > 0


def test_fewer_instances_get_larger_shares():
    instance_budget = budget.Budget(0.0)
    instance_budget.set_instances(8, 0.0)
    take_all(
        lambda now: instance_budget.take(budget.CallKind.WRITE, now), 0.0, 1.0
    )
    taken = take_all(
        lambda now: instance_budget.take(budget.CallKind.WRITE, now), 1.0, 10.0
    )
    assert taken == pytest.approx(337, abs=2)


def test_keyed_requests_do_not_use_the_budget_of_settings_and_leases():
    budgets = budget.Budgets(0.0)
    budgets.set_instances(360, 0.0)
    assert budgets.keyed.share.writes == pytest.approx(0.525)
    assert budgets.control.share.writes == pytest.approx(0.225)
    assert budgets.keyed.share.reads == pytest.approx(1.0)
    assert budgets.control.share.reads == pytest.approx(4.0)
    kind = budget.CallKind.WRITE
    take_all(lambda now: budgets.keyed.take(kind, now), 0.0, 1.0)
    assert budgets.keyed.take(kind, 1.0) > 0.0
    assert budgets.control.take(kind, 1.0) == 0.0


def test_an_unknown_number_of_instances_falls_back_to_the_design_size():
    instance_budget = budget.Budget(0.0)
    instance_budget.set_instances(1, 0.0)
    instance_budget.set_instances(0, 0.0)
    take_all(
        lambda now: instance_budget.take(budget.CallKind.WRITE, now), 0.0, 1.0
    )
    taken = take_all(
        lambda now: instance_budget.take(budget.CallKind.WRITE, now), 1.0, 100.0
    )
    assert taken == pytest.approx(75, abs=1)
