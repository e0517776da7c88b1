"""Held tokens from grant to settle, and how they reach other instances."""

import random

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import costs
from pollenfork.fleet import model
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.fleet.tests import test_limits
from pollenfork.fleet.tests import test_registry
from pollenfork.loads import links
from pollenfork.loads import messages as loads
from pollenfork.room import ledger

SERVICE = ids.ServiceName("s")
CAPACITY = 581_677
PARTS = model.Part(b"shared", 13_300), model.Part(b"own", 3_720)


def make_profile(
    needed: int = 17_140, forecast: bool = True, capacity: int = CAPACITY
) -> candidates.RequestProfile:
    return candidates.RequestProfile(
        SERVICE,
        PARTS,
        forecast=forecast,
        needed_tokens=needed,
        cache_tokens=capacity,
    )


class SeenCosts(costs.FixedCosts):
    """Fixed costs that keep the candidates of the last choice."""

    def apply(self, profile, found, now):
        self.held = {each.runner.id: each.held_tokens for each in found}
        return super().apply(profile, found, now)


def make_chooser(*runners: model.Runner, read_others=None, seen=None):
    known = registry.Registry()
    for runner in runners:
        known.put(runner)
    chooser = choice.Chooser(
        known, random.Random(1), read_others, forecasts=seen
    )
    return known, chooser


def list_held(chooser: choice.Chooser) -> list[int]:
    return [load.held_tokens for load in chooser.list_loads().values()]


def test_a_request_holds_its_tokens_from_grant_to_settle() -> None:
    # Guards against tokens that are kept for good, or freed with the prompt.
    _, chooser = make_chooser(test_registry.make_runner("r"))
    first = chooser.choose(make_profile(), set(), 0.0)
    second = chooser.choose(make_profile(1_460), set(), 0.0)
    assert list_held(chooser) == [18_600]
    first.record_prefill_done()
    assert list_held(chooser) == [18_600]
    chooser.settle(first)
    assert list_held(chooser) == [1_460]
    chooser.settle(second)
    assert chooser.list_loads() == {}
    assert chooser.count_held(second.state.incarnation_hash) == 0


def test_own_tokens_and_those_of_others_are_added_up() -> None:
    # Guards against an instance that sees only the others' requests.
    seen = SeenCosts()
    _, chooser = make_chooser(
        test_registry.make_runner("r"),
        read_others=lambda each: loads.Load(2, 0, 0, 40_000),
        seen=seen,
    )
    grant = chooser.choose(make_profile(), set(), 0.0)
    assert seen.held == {"r": 40_000}
    chooser.choose(make_profile(), set(), 0.0)
    assert seen.held == {"r": 57_140}
    # Another instance reports its own; what it heard isn't sent back.
    assert list_held(chooser) == [34_280]
    assert chooser.count_held(grant.state.incarnation_hash) == 74_280


def test_a_service_that_is_not_forecast_holds_nothing_and_places_as_before():
    # Guards against a change of placement in the earlier deployments.
    def place(held: int) -> list[str]:
        _, chooser = make_chooser(
            *(test_registry.make_runner(f"r{each}") for each in range(7)),
            read_others=lambda each: loads.Load(1, each % 997, 0, held),
        )
        profile = make_profile(forecast=False)
        found = [chooser.choose(profile, set(), 0.0) for _ in range(40)]
        assert set(list_held(chooser)) == {0}
        return [grant.runner.id for grant in found]

    assert place(0) == place(10 * CAPACITY)


def test_a_request_larger_than_the_memory_holds_the_memory() -> None:
    # Guards against one stated length that makes a runner look full for many
    # requests after it.
    _, chooser = make_chooser(test_registry.make_runner("r"))
    grant = chooser.choose(make_profile(9 * CAPACITY), set(), 0.0)
    assert isinstance(grant, outcomes.Grant)
    assert list_held(chooser) == [CAPACITY]
    chooser.settle(grant)
    chooser.choose(make_profile(9_000_000, capacity=0), set(), 0.0)
    assert list_held(chooser) == [9_000_000]


@pytest.mark.parametrize("start", [None, ids.RunnerStart(7)])
def test_a_restarted_runner_starts_at_zero(start) -> None:
    # Guards against an empty runner that looks full, and against requests of
    # the earlier incarnation that end later and free room never taken.
    def make(sequence: int, new_start):
        return test_registry.make_runner(
            "r", sequence=sequence, start=new_start
        )

    known, chooser = make_chooser(make(9, start))
    before = chooser.choose(make_profile(), set(), 0.0)
    known.put(make(1, start and ids.RunnerStart(8)))
    assert chooser.list_loads() == {}
    after = chooser.choose(make_profile(1_460), set(), 0.0)
    assert list_held(chooser) == [1_460]
    chooser.settle(before)
    assert list_held(chooser) == [1_460]
    chooser.settle(after)
    assert chooser.count_held(after.state.incarnation_hash) == 0


def test_a_hold_is_released_once() -> None:
    # Guards against an attempt that is settled twice and frees other tokens.
    rooms = ledger.RoomLedger()
    first, _ = rooms.hold(5, make_profile(100)), rooms.hold(5, make_profile(7))
    rooms.release(first)
    rooms.release(first)
    assert rooms.get_held(5) == 7


def test_a_grant_without_a_permit_holds_nothing_after_it() -> None:
    # Guards against a rate-limited runner that fills up with requests that
    # were never sent there.
    known = registry.Registry()
    known.put(test_registry.make_runner("r"))
    limits = test_limits.Limits()
    chooser = choice.Chooser(known, random.Random(1), limits=limits)
    limits.rates[chooser.get_state(ids.EndpointId("r")).incarnation_hash] = 1.0
    grant = chooser.choose(make_profile(), set(), 0.0)
    assert grant.limited and list_held(chooser) == [17_140]
    chooser.settle(grant)
    assert chooser.count_held(grant.state.incarnation_hash) == 0


class EarlierLoad(msgspec.Struct, frozen=True, array_like=True):
    """A load as versions without held tokens send it."""

    active: int = 0
    pending_tokens: int = 0
    top_tier: int = 0


def test_a_load_of_an_earlier_version_counts_as_no_tokens() -> None:
    # Guards against a datagram of an earlier version that can't be decoded
    # or added up, and against one of ours that it can't decode.
    encoded = msgspec.msgpack.encode({5: EarlierLoad(3, 90, 1)})
    table = msgspec.msgpack.decode(encoded, type=loads.LoadTable)
    assert table == {5: loads.Load(3, 90, 1, 0)}
    own = {5: loads.Load(1, 10, 0, 17_140)}
    total = links.add([table, own])
    assert total == {5: loads.Load(4, 100, 1, 17_140)}
    assert links.subtract(total, own) == table
    there = msgspec.msgpack.decode(
        msgspec.msgpack.encode(own), type=dict[int, EarlierLoad]
    )
    assert there == {5: EarlierLoad(1, 10, 0)}
