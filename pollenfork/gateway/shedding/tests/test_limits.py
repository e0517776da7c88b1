import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import model as fleet
from pollenfork.gateway.shedding import limits
from pollenfork.gateway.tests import support
from pollenfork.routes import model as routes

TIERS = (ids.Tier(0), ids.Tier(1), ids.Tier(2))
LONG = candidates.RequestProfile(
    support.SERVICE, (fleet.Part(b"a", 100), fleet.Part(b"b", 5660))
)


def find_prefill_limit(
    tier: int, demand=LONG, tiers=TIERS, target_s=1.0
) -> float | None:
    route = support.make_route(routes.Kind.STREAM, target_s=target_s)
    return limits.find_prefill_limit(route, ids.Tier(tier), tiers, demand)


def test_the_most_urgent_tier_is_never_shed() -> None:
    assert find_prefill_limit(0) is None


@pytest.mark.parametrize(
    ("demand", "tiers"),
    [(LONG, TIERS[2:]), (candidates.RequestProfile(support.SERVICE), TIERS)],
)
def test_nothing_is_shed_without_other_tiers_or_a_prompt(demand, tiers) -> None:
    assert find_prefill_limit(2, demand, tiers) is None


def test_nothing_is_shed_without_a_target() -> None:
    assert find_prefill_limit(2, target_s=0.0) is None


def test_less_urgent_tiers_have_a_prefill_limit() -> None:
    assert find_prefill_limit(1) == pytest.approx(2.0)
    assert find_prefill_limit(2) == pytest.approx(0.7)


def test_a_favoured_account_has_a_higher_limit() -> None:
    """The least urgent route of an account that precedes another one."""
    tiers = tuple(ids.Tier(tier) for tier in range(6))
    assert find_prefill_limit(2, tiers=tiers) == pytest.approx(2.0)
    assert find_prefill_limit(5, tiers=tiers) == pytest.approx(0.7)


def test_the_limits_of_all_tiers_are_shown() -> None:
    targets = {ids.Tier(2): 1.5, ids.Tier(0): 0.3, ids.Tier(1): 0.5}
    shown = limits.format_limits(targets)
    assert shown == "0:-,1:1000,2:1050"
    assert limits.format_limits({ids.Tier(2): 1.5}) == "-"
