import random

import pytest

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import outcomes
from pollenfork.fleet.tests import test_choice


class Limits:
    """Limits by the hash of a runner's start, and until when it is blocked."""

    def __init__(self) -> None:
        self.rates: dict[int, float] = {}
        self.until: dict[int, float] = {}

    def find_rate(self, runner: int) -> float | None:
        return self.rates.get(runner)

    def find_blocked_until(self, runner: int, tier: ids.Tier, now: float):
        return max(now, self.until.get(runner, now))


@pytest.fixture
def limits() -> Limits:
    return Limits()


@pytest.fixture
def chooser(limits) -> choice.Chooser:
    fleet = test_choice.make_fleet(3)
    return choice.Chooser(fleet, random.Random(1), limits=limits)


def find_mark(chooser: choice.Chooser, name: str) -> int:
    return chooser.find_standing(ids.EndpointId(name)).mark


def test_a_runner_without_a_permit_left_is_left_out(chooser, limits) -> None:
    limits.rates[find_mark(chooser, "r0")] = 1.0
    limits.until[find_mark(chooser, "r0")] = 5.0
    demand = test_choice.ask()
    chosen = {chooser.choose(demand, set(), 1.0).runner.id for _ in range(30)}
    assert "r0" not in chosen
    again = [chooser.choose(demand, {"r1", "r2"}, 5.0) for _ in range(3)]
    assert {grant.runner.id for grant in again} == {"r0"}


def test_where_all_are_blocked_the_soonest_and_the_sum_are_told(
    chooser, limits
) -> None:
    for number in range(3):
        mark = find_mark(chooser, f"r{number}")
        limits.rates[mark] = 2.0
        limits.until[mark] = 3.0 + number
    found = chooser.choose(test_choice.ask(), set(), 1.0)
    assert found == outcomes.Limited(2.0, 6.0)


def test_a_prompt_is_placed_only_once_its_permit_is_there(
    chooser, limits
) -> None:
    for number in range(3):
        limits.rates[find_mark(chooser, f"r{number}")] = 2.0
    demand = test_choice.ask()
    grant = chooser.choose(demand, set(), 1.0)
    assert grant.limited
    assert chooser.take_placements() == []
    chooser.confirm(grant, demand)
    assert [each.runner for each in chooser.take_placements()] == [
        grant.standing.mark
    ]


def test_a_limited_runners_free_slots_are_no_room(chooser, limits) -> None:
    free = chooser.measure(test_choice.SERVICE).places
    limits.rates[find_mark(chooser, "r0")] = 1.0
    assert chooser.measure(test_choice.SERVICE).places == free - 4 + 1
