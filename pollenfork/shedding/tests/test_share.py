"""The share that refused tiers keep."""

import random

import pytest

from pollenfork import ids
from pollenfork.shedding import share

SERVICE = ids.ServiceName("lm")
RATE = 500_000.0


def ask(
    instances: int, size, seconds: float = 20.0, per_s: float = 200.0
) -> list[tuple[int, bool]]:
    """Returns the sizes asked for at all instances, and what was admitted."""
    rng = random.Random(5)
    shares = [share.LeastShare(random.Random(n)) for n in range(instances)]
    for each in shares:
        each.set_instances(instances)
    asked = []
    now = 100.0
    while now < 100.0 + seconds:
        now += rng.expovariate(per_s)
        tokens = size(rng)
        taken = rng.choice(shares).try_take(SERVICE, True, tokens, RATE, now)
        asked.append((tokens, taken))
    return asked


@pytest.mark.parametrize("instances", [1, 6, 81])
def test_all_instances_together_keep_to_the_share(instances: int) -> None:
    """Guards against a share for each instance."""
    asked = ask(instances, lambda rng: 17_000)
    taken = sum(tokens for tokens, is_taken in asked if is_taken)
    allowed = RATE * share.LEAST_SHARE * 20.0
    assert taken <= allowed + 17_000 * instances**0.5
    if instances <= 6:
        assert taken >= 0.7 * allowed


def test_large_requests_get_the_same_chance() -> None:
    """Guards against a share that small requests use up."""
    asked = ask(6, lambda rng: rng.choice([2_000, 40_000]), seconds=200.0)
    small = [is_taken for tokens, is_taken in asked if tokens == 2_000]
    large = [is_taken for tokens, is_taken in asked if tokens == 40_000]
    chances = sum(small) / len(small), sum(large) / len(large)
    assert 0.7 <= chances[0] / chances[1] <= 1.4


def test_an_idle_share_is_not_saved_up() -> None:
    taken = share.LeastShare(random.Random(1))
    taken.try_take(SERVICE, True, 1000, RATE, 100.0)
    assert taken.try_take(SERVICE, True, 1000, RATE, 500.0)
    assert not taken.try_take(SERVICE, True, 1000, RATE, 500.0)


def test_services_have_shares_of_their_own() -> None:
    taken = share.LeastShare(random.Random(1))
    taken.try_take(SERVICE, True, 1000, RATE, 100.0)
    assert taken.try_take(SERVICE, True, 1000, RATE, 200.0)
    other = ids.ServiceName("other")
    assert not taken.try_take(other, True, 1000, RATE, 200.0)
    assert taken.try_take(other, True, 1000, RATE, 300.0)


def test_nothing_is_kept_without_runners() -> None:
    taken = share.LeastShare(random.Random(1))
    taken.try_take(SERVICE, True, 1000, 0.0, 100.0)
    assert not taken.try_take(SERVICE, True, 1000, 0.0, 200.0)


def test_the_least_urgent_tier_has_a_share_of_its_own() -> None:
    """Guards against a share that the many of other tiers use up."""
    taken = share.LeastShare(random.Random(1))
    for is_least in (False, True):
        assert not taken.try_take(SERVICE, is_least, 1000, RATE, 100.0)
    assert taken.try_take(SERVICE, False, 1_000_000, RATE, 200.0)
    assert taken.try_take(SERVICE, True, 1000, RATE, 200.0)
    assert not taken.try_take(SERVICE, False, 1000, RATE, 201.0)
    assert taken.try_take(SERVICE, True, 1000, RATE, 201.0)
