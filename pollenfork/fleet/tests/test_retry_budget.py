"""Retries stay within the ratio and the extra retries of all instances."""

import random

import pytest

from pollenfork import ids
from pollenfork.fleet import retry_budget

SERVICE = ids.ServiceName("s")


def test_retries_stay_under_the_ratio_in_every_window() -> None:
    rng = random.Random(5)
    budget = retry_budget.RetryBudget(ratio=0.2, window_s=10.0)
    requests, taken = [], []
    now = 0.0
    for _ in range(3000):
        now += rng.expovariate(20.0)
        budget.record_request(SERVICE, now)
        requests.append(now)
        if rng.random() < 0.7 and budget.try_take(SERVICE, now):
            taken.append(now)
    for start in range(int(now) - 10):
        window = (start, start + 10)
        sent = sum(window[0] < at <= window[1] for at in requests)
        retried = sum(window[0] < at <= window[1] for at in taken)
        assert retried <= 0.2 * sent + 4


def test_an_idle_instance_has_a_few_retries() -> None:
    budget = retry_budget.RetryBudget(ratio=0.2, window_s=10.0)
    assert [budget.try_take(SERVICE, 0.0) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    assert budget.try_take(SERVICE, 10.1)


def test_each_service_has_its_own_budget() -> None:
    budget = retry_budget.RetryBudget(ratio=0.2, window_s=10.0)
    while budget.try_take(SERVICE, 0.0):
        pass
    assert budget.try_take(ids.ServiceName("t"), 0.0)


# Guards against extra retries that don't shrink with the number of instances.
@pytest.mark.parametrize(
    ("count", "extra"), [(2, 10), (6, 52), (8, 56), (76, 192), (360, 430)]
)
def test_the_extra_repeats_of_all_instances_keep_to_the_budget(
    count, extra
) -> None:
    taken = 0
    for _ in range(count):
        budget = retry_budget.RetryBudget(ratio=0.2, window_s=10.0, extra=extra)
        budget.set_instances(count, 0.0)
        taken += sum(budget.try_take(SERVICE, 0.0) for _ in range(10))
    assert taken <= extra


def test_an_instance_that_loses_peers_keeps_its_share_for_a_while() -> None:
    budget = retry_budget.RetryBudget(ratio=0.2, window_s=10.0, extra=10)
    budget.set_instances(10, 0.0)
    budget.set_instances(2, 30.0)
    assert not budget.try_take(SERVICE, 30.0)
    budget.set_instances(2, 61.0)
    assert budget.try_take(SERVICE, 61.0)
