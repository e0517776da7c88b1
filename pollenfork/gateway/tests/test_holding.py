import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.fleet import offers
from pollenfork.gateway import holding
from pollenfork.gateway.tests import support
from pollenfork.routes import model as routes

TIERS = (ids.Tier(0), ids.Tier(1), ids.Tier(2))
LONG = offers.Demand(
    support.SERVICE, (fleet.Part(b"a", 100), fleet.Part(b"b", 5660))
)


def plan(
    tier: int, demand=LONG, tiers=TIERS, favoured=False
) -> holding.Holding:
    route = support.make_route(
        routes.Kind.STREAM, target_s=1.0, time_limit_s=10.0
    )
    route = msgspec.structs.replace(route, tier=ids.Tier(tier))
    return holding.plan(
        route,
        tiers,
        demand,
        arrived=100.0,
        limit_s=10.0,
        favoured=favoured,
    )


def test_the_most_urgent_never_wait() -> None:
    assert plan(0).find_backlog(100.0) is None


@pytest.mark.parametrize(
    ("demand", "tiers"),
    [(LONG, TIERS[2:]), (offers.Demand(support.SERVICE), TIERS)],
)
def test_without_others_or_a_prompt_nothing_waits(demand, tiers) -> None:
    assert plan(2, demand, tiers).find_backlog(100.0) is None


def test_a_request_is_kept_back_while_its_target_can_be_met() -> None:
    kept = plan(1)
    assert kept.find_backlog(100.0) == pytest.approx(0.1)
    # 0.6 of its target, less 0.1 s of reading.
    assert kept.find_backlog(100.49) is not None
    assert kept.find_backlog(100.51) is None


def test_the_least_urgent_let_others_go_first_when_late() -> None:
    kept = plan(2)
    assert kept.find_backlog(101.5) == pytest.approx(0.2)
    assert kept.find_backlog(103.6) is None


def test_less_urgent_prompts_are_not_taken_on_to_be_late() -> None:
    assert plan(0).longest_s is None
    assert plan(1).longest_s == pytest.approx(2.0)
    assert plan(2).longest_s == pytest.approx(0.7)


def test_a_more_urgent_account_is_refused_later() -> None:
    assert plan(2, favoured=True).longest_s == pytest.approx(2.0)


def test_a_tier_is_not_refused_for_good() -> None:
    turns = holding.Turns()
    taken = [turns.take(support.SERVICE, ids.Tier(2)) for _ in range(18)]
    assert taken == ([False] * 5 + [True]) * 3


def test_refusals_between_others_are_not_in_a_row() -> None:
    turns = holding.Turns()
    for _ in range(4):
        for _ in range(5):
            assert not turns.take(support.SERVICE, ids.Tier(2))
        turns.note_served(support.SERVICE, ids.Tier(1))
        turns.note_served(support.SERVICE, ids.Tier(2))
