"""Refused requests of forecast services, and their return."""

import asyncio
import random
import re
import types

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.gateway import context
from pollenfork.gateway import messages
from pollenfork.gateway import permits
from pollenfork.gateway import selection
from pollenfork.gateway.shedding import shedder
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.returns import edges
from pollenfork.returns import planner
from pollenfork.returns.tests import fake_site
from pollenfork.routes import model as routes

NOW = 100.0
LIMIT_S = 1.4
TOKENS = 3720
RUNNERS = 10
_Event = edges.ReturnEvent


class Peers:
    """Loses what is announced, and can pass on other promises."""

    def announce_return(self, planned) -> None:
        pass

    def when_returns(self, callback) -> None:
        self.callback = callback


class Instance:
    """The selection of runners at one instance, with a paused clock."""

    def __init__(self, pending: int, is_planning: bool = True) -> None:
        self.now = NOW
        self.pending = pending
        self.counters = fake_site.Counters()
        self.peers = Peers()
        plans = planner.ReturnPlanner(
            random.Random(1), self.counters, self.peers
        )
        runners = registry.Registry()
        for number in range(RUNNERS):
            runners.put(make_runner(number))
        loop = types.SimpleNamespace(time=lambda: self.now)
        self._deps = types.SimpleNamespace(
            loop=loop,
            chooser=choice.Chooser(
                runners,
                random.Random(2),
                lambda mark: loads.Load(1, self.pending),
            ),
            permits=permits.Permits(loop, "127.0.0.1", "a"),
            brittle=types.SimpleNamespace(has_turn=lambda tier: True),
            returns=plans if is_planning else None,
        )
        self._deps.shedder = shedder.Shedder(
            loop, random.Random(3), self._deps.chooser
        )

    def select(
        self, forecast: bool = True, digest: int = 7, left_s: float = 12.0
    ) -> tuple[outcomes.Outcome, float | None]:
        """Returns the outcome of a new request, and its planned wait."""
        admitted = make_request(self.now, forecast, digest, left_s)
        selector = selection.RunnerSelector(self._deps, admitted)
        found = asyncio.run(selector.find(suspect=None, is_retry=False))
        if isinstance(found, outcomes.Overloaded):
            return found, selector.find_retry_after()
        return found, None


def make_runner(number: int) -> fleet.Runner:
    return fleet.Runner(
        id=ids.EndpointId(f"r{number}"),
        service=support.SERVICE,
        host="127.0.0.1",
        port=1,
        data_centre=ids.DataCentre("a"),
        slots=64,
        leaving=False,
        cold_s=0.0,
    )


def make_request(
    now: float, forecast: bool, digest: int, left_s: float
) -> context.AdmittedRequest:
    head = support.Codec().decode_request([(b"x-id", b"q")])
    return context.AdmittedRequest(
        call=messages.Request(
            method=b"POST", target=b"/p", headers=[], body=b"", arrived=now
        ),
        head=head,
        route=support.make_route(routes.Kind.STREAM, target_s=2.0),
        demand=candidates.RequestProfile(
            support.SERVICE,
            (fleet.Part(b"own", TOKENS),),
            forecast=forecast,
            target_s=2.0,
        ),
        prefill_limit_s=LIMIT_S,
        account=None,
        tier=ids.Tier(2),
        tiers=(ids.Tier(0), ids.Tier(1), ids.Tier(2)),
        version=1,
        age_s=0.0,
        deadline=now + left_s,
        digest=ids.RequestDigest(digest),
    )


def test_a_promised_return_is_admitted_in_spite_of_overload() -> None:
    """Guards against refusing a caller that returns when told."""
    instance = Instance(pending=120_000)
    found, wait_s = instance.select()
    assert isinstance(found, outcomes.Overloaded)
    assert 2.1 <= wait_s <= 2.3
    instance.now += wait_s
    # Its time left is less than its target by now.
    assert isinstance(instance.select(left_s=0.5)[0], outcomes.Grant)
    instance.now += 0.1
    assert isinstance(instance.select()[0], outcomes.Overloaded)


def test_an_early_return_is_refused_though_there_is_room() -> None:
    """Guards against callers that gain by ignoring Retry-After."""
    instance = Instance(pending=120_000)
    _, wait_s = instance.select()
    instance.pending = 0
    for _ in range(9):  # Nor do refusals in a row admit it.
        instance.now += 0.1
        found, left_s = instance.select()
        assert isinstance(found, outcomes.Overloaded)
    assert left_s == pytest.approx(wait_s - 0.9, abs=0.011)
    assert instance.counters.counts[_Event.EARLY] == 9
    assert isinstance(instance.select(digest=8)[0], outcomes.Grant)


def test_returns_due_soon_leave_less_room_for_new_requests() -> None:
    """Guards against new requests that take the room of promised ones."""
    instance = Instance(pending=70_000)
    assert isinstance(instance.select()[0], outcomes.Grant)
    # They take 0.26 s of all runners.
    promised = tuple(
        loads.PlannedReturn(number, 100, TOKENS) for number in range(40)
    )
    instance.peers.callback(promised, instance.now)
    assert isinstance(instance.select(digest=99)[0], outcomes.Overloaded)
    assert isinstance(instance.select(False, digest=99)[0], outcomes.Grant)


def test_returns_due_soon_do_not_close_an_idle_service() -> None:
    """Guards against refusals while no runner has anything to do."""
    instance = Instance(pending=0)
    promised = tuple(
        loads.PlannedReturn(number, 100, 100_000) for number in range(90)
    )
    instance.peers.callback(promised, instance.now)
    assert isinstance(instance.select(digest=99)[0], outcomes.Grant)


def test_requests_without_a_place_keep_a_share() -> None:
    """Guards against starving a tier for which there are no places."""
    instance = Instance(pending=120_000)
    found = []
    for number in range(100):
        # Too little time is left for a place.
        found.append(instance.select(digest=number, left_s=2.5)[0])
        instance.now += 0.01
    admitted = [isinstance(each, outcomes.Grant) for each in found]
    # A twentieth of what ten runners can process in a second.
    assert 5 <= sum(admitted) <= 8
    refusals = len(admitted) - sum(admitted)
    assert instance.counters.counts[_Event.UNPLANNED] == refusals
    assert instance.counters.counts[_Event.PLANNED] == 0


@pytest.mark.parametrize("is_planning", [True, False])
def test_other_services_are_told_how_long_the_wait_is(is_planning) -> None:
    """Guards against new behaviour at deployments that don't ask for it."""
    instance = Instance(pending=120_000, is_planning=is_planning)
    forecast = not is_planning  # Neither suffices without the other.
    for _ in range(10):
        instance.now += 0.001
        found, planned_s = instance.select(forecast)
        assert isinstance(found, outcomes.Overloaded)
        expected_s = (120_000 + TOKENS) / candidates.PREFILL_TOKENS_PER_S
        assert found.wait_s == pytest.approx(expected_s)
        assert planned_s is None
    instance.now += 0.2
    assert isinstance(instance.select(forecast)[0], outcomes.Grant)
    assert not instance.counters.counts


def ask_while_overloaded(forecast: bool, time_limit_s: float) -> bytes:
    async def run():
        runner = support.Runner("r0", support.write_answer(b"good"))
        route = support.make_route(
            routes.Kind.STREAM, time_limit_s=time_limit_s
        )
        async with support.run_gateway(route, runner) as gateway:
            gateway.deps = msgspec.structs.replace(
                gateway.deps,
                chooser=choice.Chooser(
                    gateway.runners,
                    random.Random(1),
                    lambda mark: loads.Load(1, 226_400),
                ),
                returns=planner.ReturnPlanner(
                    random.Random(1), gateway.deps.counters
                ),
            )
            gateway.demand = candidates.RequestProfile(
                support.SERVICE,
                (fleet.Part(b"b", 566),),
                forecast=forecast,
            )
            gateway.prefill_limit_s = 0.5
            return await support.ask(gateway)

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("forecast", "time_limit_s", "least", "most"),
    [
        (True, 12.0, 3.8, 4.0),  # Limited to a third of the time left.
        (True, 0.3, 0.0, 0.1),
        (False, 12.0, 2.5, 2.5),
        (False, 0.3, 2.5, 2.5),
    ],
)
def test_the_caller_is_told_the_planned_time(
    forecast, time_limit_s, least, most
) -> None:
    """Guards against a Retry-After other than the promised time."""
    answer = ask_while_overloaded(forecast, time_limit_s)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"overloaded" in answer
    told = re.search(rb"retry-after: ([\d.]+)", answer)
    assert least <= float(told[1]) <= most


# Guards against a promise that is used up by a refusal.
def test_a_promise_outlasts_a_moment_without_runners() -> None:
    instance = Instance(pending=120_000)
    _, wait_s = instance.select()
    instance.now += wait_s
    runners = instance._deps.chooser._registry
    for number in range(RUNNERS):
        runners.remove(ids.EndpointId(f"r{number}"), instance.now)
    assert instance.select()[0] is None
    assert instance.counters.counts[_Event.KEPT] == 0
    for number in range(RUNNERS):
        runners.put(make_runner(number))
    instance.now += 0.15
    assert isinstance(instance.select()[0], outcomes.Grant)


# Guards against a share of refused callers that kept returns use up.
def test_kept_returns_do_not_starve_callers_without_a_place() -> None:
    instance = Instance(pending=120_000)
    found = []
    for number in range(60):
        found.append(instance.select(digest=100 + number, left_s=2.5)[0])
        returned = (loads.PlannedReturn(number, 0, TOKENS),)
        instance.peers.callback(returned, instance.now)
        instance.now += 0.01
        admitted = make_request(instance.now, True, number, 12.0)
        selector = selection.RunnerSelector(instance._deps, admitted)
        kept = asyncio.run(selector.find(suspect=None, is_retry=False))
        assert isinstance(kept, outcomes.Grant)
    # The share of ten runners is earned in 0.13 s.
    assert sum(isinstance(each, outcomes.Grant) for each in found) >= 3


def test_returns_of_less_urgent_callers_take_no_room_from_urgent_ones() -> None:
    """Guards against urgent requests refused for less urgent promises."""
    instance = Instance(pending=70_000)
    promised = tuple(
        loads.PlannedReturn(number, 100, TOKENS, ids.Tier(3))
        for number in range(40)
    )
    instance.peers.callback(promised, instance.now)
    assert isinstance(instance.select(digest=99)[0], outcomes.Grant)
    urgent = tuple(
        loads.PlannedReturn(number, 100, TOKENS, ids.Tier(2))
        for number in range(100, 140)
    )
    instance.peers.callback(urgent, instance.now)
    assert isinstance(instance.select(digest=99)[0], outcomes.Overloaded)


def press(instance: Instance) -> None:
    """Lets another instance find a more urgent tier pressed."""
    pressed = loads.TierPressure(
        loads.hash_name(support.SERVICE.encode()), ids.Tier(1), 500, 0
    )
    instance._deps.shedder._order.receive((pressed,), instance.now)


def test_a_promise_of_a_closed_tier_is_kept_once_the_tier_is_open() -> None:
    """Guards against promised returns that overtake more urgent callers."""
    instance = Instance(pending=120_000)
    _, wait_s = instance.select()
    instance.now += wait_s
    press(instance)
    found, told_s = instance.select()
    assert isinstance(found, outcomes.Closed)
    assert 1.0 <= found.wait_s <= 2.0 and told_s is None
    instance.now += found.wait_s
    assert isinstance(instance.select()[0], outcomes.Grant)
    assert instance.counters.counts[_Event.KEPT] == 1


def test_an_early_return_closes_no_less_urgent_tier() -> None:
    """Guards against hasty callers that keep others out."""
    instance = Instance(pending=120_000)
    instance.select()
    instance.now += 1.0
    admitted = msgspec.structs.replace(
        make_request(instance.now, True, 7, 12.0),
        tiers=tuple(ids.Tier(tier) for tier in range(5)),
    )
    selector = selection.RunnerSelector(instance._deps, admitted)
    early = asyncio.run(selector.find(suspect=None, is_retry=False))
    assert early == outcomes.Overloaded(early.wait_s)
    selector.record_refusal()
    assert instance._deps.shedder.find_pressed(support.SERVICE) == {}
