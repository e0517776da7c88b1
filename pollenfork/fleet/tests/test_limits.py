"""Runners at their rate limits are excluded from selection."""

import random

import pytest

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import outcomes
from pollenfork.fleet.tests import test_choice


class Limits:
    """Rate limits and blocked times by the hash of a runner's incarnation."""

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


def get_hash(chooser: choice.Chooser, name: str) -> int:
    return chooser.get_state(ids.EndpointId(name)).incarnation_hash


def test_a_runner_without_permits_is_excluded(chooser, limits) -> None:
    limits.rates[get_hash(chooser, "r0")] = 1.0
    limits.until[get_hash(chooser, "r0")] = 5.0
    profile = test_choice.ask()
    chosen = {chooser.choose(profile, set(), 1.0).runner.id for _ in range(30)}
    assert "r0" not in chosen
    again = [chooser.choose(profile, {"r1", "r2"}, 5.0) for _ in range(3)]
    assert {grant.runner.id for grant in again} == {"r0"}


def test_if_all_are_blocked_the_shortest_wait_and_total_rate_are_returned(
    chooser, limits
) -> None:
    for number in range(3):
        runner_hash = get_hash(chooser, f"r{number}")
        limits.rates[runner_hash] = 2.0
        limits.until[runner_hash] = 3.0 + number
    found = chooser.choose(test_choice.ask(), set(), 1.0)
    assert found == outcomes.Limited(2.0, 6.0)


def test_a_prompt_is_placed_only_once_its_permit_is_granted(
    chooser, limits
) -> None:
    for number in range(3):
        limits.rates[get_hash(chooser, f"r{number}")] = 2.0
    profile = test_choice.ask()
    grant = chooser.choose(profile, set(), 1.0)
    assert grant.limited
    assert chooser.take_placements() == []
    chooser.confirm(grant, profile)
    assert [each.runner for each in chooser.take_placements()] == [
        grant.state.incarnation_hash
    ]


def test_free_slots_of_a_limited_runner_do_not_count_as_capacity(
    chooser, limits
) -> None:
    free = chooser.measure(test_choice.SERVICE).slots
    limits.rates[get_hash(chooser, "r0")] = 1.0
    assert chooser.measure(test_choice.SERVICE).slots == free - 4 + 1
