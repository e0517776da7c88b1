"""Whether overload is borne in the order of tiers."""

import msgspec
import pytest

from pollenfork.fleet import candidates
from pollenfork.gateway.shedding.tests import fleet
from pollenfork.shedding import share

LONG_REPORT = msgspec.structs.replace(fleet.REPORT, own=9000)


def play(kinds, factor: float, instances: int = 8, seed: int = 1, **given):
    """Returns all requests of four ordinary and 16 overloaded seconds."""
    site = fleet.Fleet(instances=instances, kinds=kinds, seed=seed, **given)
    site.play(20.0, lambda kind, at: factor if at > 4.0 else 1.0)
    return site.asked


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("factor", [2.0, 3.0, 4.0])
def test_urgent_requests_are_served_before_less_urgent_ones(
    factor: float, seed: int
) -> None:
    """Guards against refusing urgent requests while less urgent ones begin."""
    asked = play(fleet.KINDS, factor, seed=seed)
    assert fleet.find_inversions(asked) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_urgent_requests_are_served_before_less_urgent_ones(
    seed: int,
) -> None:
    """Guards against refusing urgent requests for their size at lower load."""
    kinds = (fleet.DIGEST, LONG_REPORT, fleet.QUERY)
    asked = play(kinds, 1.6, seed=seed)
    assert fleet.find_inversions(asked) == []


def test_many_instances_refuse_in_the_order_of_tiers() -> None:
    """Guards against each instance letting less urgent requests through."""
    asked = play(fleet.KINDS, 3.5, instances=81)
    assert fleet.find_inversions(asked) == []


@pytest.mark.parametrize("instances", [8, 81])
def test_the_least_urgent_tier_keeps_its_share(instances: int) -> None:
    """Guards against starving the least urgent tier, and the others for it."""
    site = fleet.Fleet(instances=instances, seed=2)
    factors = {fleet.DIGEST: 2.0, fleet.REPORT: 22.0, fleet.QUERY: 3.0}
    site.play(24.0, lambda kind, at: factors[kind] if at > 4.0 else 1.0, 25.0)
    begun = sum(
        each.tokens
        for each in site.asked
        if each.kind is fleet.DIGEST
        and each.begun_at is not None
        and 112.0 <= each.begun_at < 124.0
    )
    processed = 9 * candidates.PREFILL_TOKENS_PER_S * 12.0
    assert 0.5 <= begun / processed / share.LEAST_SHARE <= 2.0
    assert fleet.find_inversions(site.asked) == []
