"""Pauses that runners request."""

import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import model
from pollenfork.fleet import outcomes
from pollenfork.fleet import pauses
from pollenfork.fleet import registry

SERVICE = ids.ServiceName("s")
URGENT, USUAL = ids.Tier(0), ids.Tier(1)


@pytest.mark.parametrize(
    ("stated", "seconds", "well_formed"),
    [
        ((), None, True),
        ((3.0,), 3.0, True),
        ((0.25,), 0.25, True),
        ((0.0,), 0.0, True),
        ((1.0, 3.0), 3.0, False),
        ((None, 2.0), 2.0, False),
        ((None,), None, False),
        ((-1.0,), None, False),
        ((math.nan,), None, False),
        ((math.inf,), None, False),
        ((1e300,), None, False),
    ],
)
def test_each_stated_figure_has_a_meaning(stated, seconds, well_formed) -> None:
    parsed = pauses.parse(stated)
    assert (parsed.seconds, parsed.well_formed) == (seconds, well_formed)


def make_runner(name: str = "r", slots: int = 4, **given) -> model.Runner:
    return model.Runner(
        id=ids.EndpointId(name),
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        data_centre=ids.DataCentre("a"),
        slots=slots,
        leaving=False,
        cold_s=0.0,
        **given,
    )


def make_chooser(count: int) -> tuple[choice.Chooser, list[model.Runner]]:
    runners = [make_runner(f"r{number}") for number in range(count)]
    known = registry.Registry()
    for each in runners:
        known.put(each)
    return choice.Chooser(known, random.Random(1)), runners


# Guards against requests within a pause, however pauses and answers alternate.
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 2.0),
            strategies.sampled_from([None, 0.0, 0.3, 1.0, 3.0]),
        ),
        max_size=12,
    ),
    strategies.integers(1, 360),
)
def test_no_pause_is_shortened_and_each_ends_in_time(events, count) -> None:
    paused = pauses.Pauses(random.Random(1))
    paused.set_instances(count)
    runner, now, until = make_runner(), 100.0, 0.0
    for after_s, seconds in events:
        now += after_s
        if seconds:
            paused.record(runner.incarnation, seconds, now)
            until = max(until, now + seconds)
        else:
            paused.record_accepted(runner.incarnation, now)
        if now < until:
            assert paused.is_paused(runner.incarnation, now)
            assert paused.find_until(runner, URGENT, now) >= until
        # A returned runner is used again within a second.
        later = max(now, until + 1.0)
        assert paused.find_until(runner, USUAL, later) <= later


def count_first_sends(count: int, seed: int, window_s: float = 0.05) -> int:
    """Returns the most instances that return to a runner in a short time."""
    runner, rng = make_runner(), random.Random(seed)
    times = []
    for number in range(count):
        paused = pauses.Pauses(random.Random(seed * 1000 + number))
        paused.set_instances(count)
        refused_at = 100.0 + rng.uniform(0.0, 0.01)
        paused.record(runner.incarnation, 3.0, refused_at)
        times.append(paused.find_until(runner, URGENT, refused_at))
    return max(
        sum(at <= later < at + window_s for later in times) for at in times
    )


@pytest.mark.parametrize("count", [2, 8, 60, 195, 360])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_instances_return_to_a_runner_one_after_the_other(count, seed) -> None:
    # 400 a second, with room for chance.
    assert count_first_sends(count, seed) <= 0.05 * 400 * 2


def test_after_a_pause_one_request_is_tried_before_others() -> None:
    paused, runner = pauses.Pauses(random.Random(1)), make_runner()
    paused.record(runner.incarnation, 1.0, now=100.0)
    later = 101.1
    assert paused.find_until(runner, URGENT, later) <= later
    paused.record_sent(runner.incarnation, later)
    assert paused.find_until(runner, URGENT, later) > later
    paused.record_accepted(runner.incarnation, later)
    assert paused.find_until(runner, URGENT, later) == later


def test_a_restarted_runner_does_not_pause() -> None:
    paused = pauses.Pauses(random.Random(1))
    paused.record(make_runner(start=1).incarnation, 9.0, now=100.0)
    assert not paused.is_paused(make_runner(start=2).incarnation, 100.0)


def test_a_pausing_runner_counts_as_capacity() -> None:
    chooser, runners = make_chooser(2)
    before = chooser.measure(SERVICE)
    chooser.pauses.record(runners[0].incarnation, 3.0, now=100.0)
    assert chooser.measure(SERVICE) == before


def test_a_request_that_cannot_be_retried_uses_confirmed_runners() -> None:
    chooser, runners = make_chooser(2)
    chooser.get_state(runners[1].id).failure_rate = 0.5
    chooser.pauses.record(runners[0].incarnation, 1.0, now=100.0)
    once = candidates.RequestProfile(SERVICE, retriable=False)
    assert chooser.choose(once, set(), 101.1).runner == runners[1]
    usual = candidates.RequestProfile(SERVICE)
    assert chooser.choose(usual, set(), 101.1).runner == runners[0]


def test_if_all_runners_pause_the_wait_is_until_one_returns() -> None:
    chooser, runners = make_chooser(3)
    for number, each in enumerate(runners):
        chooser.pauses.record(each.incarnation, 2.0 + number, now=100.0)
    profile = candidates.RequestProfile(SERVICE)
    found = chooser.choose(profile, set(), 100.5)
    assert isinstance(found, outcomes.Paused)
    assert 1.5 <= found.wait_s <= 1.6


# Guards against a rush to the first runner that returns: each has four places.
def test_refused_callers_are_told_to_return_as_there_is_room() -> None:
    chooser, runners = make_chooser(3)
    for number, each in enumerate(runners):
        chooser.pauses.record(each.incarnation, 1.0 + number, now=100.0)
    profile = candidates.RequestProfile(SERVICE)
    waits = [chooser.choose(profile, set(), 100.0).wait_s for _ in range(14)]
    assert [int(wait_s) for wait_s in waits] == [1] * 4 + [2] * 4 + [3] * 6


def test_urgent_callers_return_to_a_runner_first() -> None:
    chooser, runners = make_chooser(1)
    chooser.pauses.record(runners[0].incarnation, 1.0, now=100.0)
    usual = candidates.RequestProfile(SERVICE, tier=USUAL)
    urgent = candidates.RequestProfile(SERVICE, tier=URGENT)
    first = chooser.choose(urgent, set(), 100.0)
    second = chooser.choose(usual, set(), 100.0)
    assert first.wait_s < second.wait_s < first.wait_s + 0.2
    at = 100.0 + first.wait_s
    assert isinstance(chooser.choose(usual, set(), at), outcomes.Paused)
    assert isinstance(chooser.choose(urgent, set(), at), outcomes.Grant)
    assert isinstance(chooser.choose(usual, set(), at + 0.2), outcomes.Grant)
