import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.fleet import offers
from pollenfork.gateway import load_shedding
from pollenfork.gateway.tests import support
from pollenfork.routes import model as routes

TIERS = (ids.Tier(0), ids.Tier(1), ids.Tier(2))
LONG = offers.Demand(
    support.SERVICE, (fleet.Part(b"a", 100), fleet.Part(b"b", 5660))
)


def find_prefill_limit(
    tier: int, demand=LONG, tiers=TIERS, favoured=False, target_s=1.0
) -> float | None:
    route = support.make_route(routes.Kind.STREAM, target_s=target_s)
    route = msgspec.structs.replace(route, tier=ids.Tier(tier))
    return load_shedding.find_prefill_limit(route, tiers, demand, favoured)


def test_the_most_urgent_are_never_refused() -> None:
    assert find_prefill_limit(0) is None


@pytest.mark.parametrize(
    ("demand", "tiers"),
    [(LONG, TIERS[2:]), (offers.Demand(support.SERVICE), TIERS)],
)
def test_without_others_or_a_prompt_nothing_is_refused(demand, tiers) -> None:
    assert find_prefill_limit(2, demand, tiers) is None


def test_without_a_target_nothing_is_refused() -> None:
    assert find_prefill_limit(2, target_s=0.0) is None


def test_less_urgent_prompts_are_not_taken_on_to_be_late() -> None:
    assert find_prefill_limit(1) == pytest.approx(2.0)
    assert find_prefill_limit(2) == pytest.approx(0.7)


def test_a_more_urgent_account_is_refused_later() -> None:
    assert find_prefill_limit(2, favoured=True) == pytest.approx(2.0)


def test_a_tier_is_not_refused_for_good() -> None:
    streaks = load_shedding.ShedStreaks()
    taken = [
        streaks.admit_after_refusals(support.SERVICE, ids.Tier(2))
        for _ in range(18)
    ]
    assert taken == ([False] * 5 + [True]) * 3


def test_refusals_between_others_are_not_in_a_row() -> None:
    streaks = load_shedding.ShedStreaks()
    for _ in range(4):
        for _ in range(5):
            assert not streaks.admit_after_refusals(
                support.SERVICE, ids.Tier(2)
            )
        streaks.reset(support.SERVICE, ids.Tier(1))
        streaks.reset(support.SERVICE, ids.Tier(2))
