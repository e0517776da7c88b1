"""The order of tiers on each path on which requests wait or are refused."""

import asyncio
import contextlib

import msgspec

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.gateway import forwarding
from pollenfork.gateway.shedding import shedder
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.routes import lookup
from pollenfork.routes import model as routes

GOOD = support.write_answer(b"good")
TIERS = (ids.Tier(0), ids.Tier(1), ids.Tier(2))
URGENT, LAST = TIERS[1], TIERS[2]
PROMPT = candidates.RequestProfile(
    support.SERVICE, (fleet.Part(b"a", 9), fleet.Part(b"b", 566))
)


class Announced:
    """Collects what an instance tells the others."""

    def __init__(self) -> None:
        self.pressures: list[loads.TierPressure] = []

    def when_pressures(self, callback) -> None:
        self.receive = callback

    def announce_pressures(self, pressures) -> None:
        self.pressures.extend(pressures)


@contextlib.asynccontextmanager
async def run_gateway(tier: ids.Tier, *runners: support.Runner):
    """Runs a gateway whose callers are of one tier of three."""
    route = msgspec.structs.replace(
        support.make_route(routes.Kind.REPEATABLE), tier=tier
    )
    async with support.run_gateway(route, *runners) as gateway:
        gateway.demand = PROMPT
        gateway.tiers = TIERS
        gateway.told = Announced()
        gateway.deps.shedder.join(gateway.told)
        yield gateway


def press(gateway, tier: ids.Tier = URGENT) -> None:
    """Tells an instance that another one finds a tier pressed."""
    pressed = loads.TierPressure(
        loads.hash_name(support.SERVICE.encode()), tier, 400, 0
    )
    gateway.told.receive((pressed,), gateway.deps.loop.time())


def make_demand(tier: ids.Tier) -> shedder.Demand:
    return shedder.Demand(
        profile=PROMPT,
        tier=tier,
        tiers=TIERS,
        target_s=0.5,
        limit_s=1.0,
        deadline=1e9,
    )


def test_a_new_request_of_a_closed_tier_is_refused() -> None:
    async def run():
        runner = support.Runner("r0", GOOD)
        async with run_gateway(LAST, runner) as gateway:
            press(gateway)
            return await support.ask(gateway), runner.got

    answer, got = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503 ") and b"overloaded" in answer
    told_s = float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])
    assert 1.0 <= told_s <= 2.0
    assert got == []


def test_a_closed_tiers_caller_is_told_to_return_in_time() -> None:
    """Guards against times that are longer than callers wait."""

    async def run():
        async with run_gateway(LAST, support.Runner("r0", GOOD)) as gateway:
            gateway.route = msgspec.structs.replace(
                gateway.route, time_limit_s=1.5
            )
            press(gateway)
            return await support.ask(gateway)

    answer = asyncio.run(run())
    told_s = float(answer.split(b"retry-after: ")[1].split(b"\r\n")[0])
    assert 0.4 <= told_s <= 0.5


def test_an_urgent_request_is_served_meanwhile() -> None:
    async def run():
        async with run_gateway(URGENT, support.Runner("r0", GOOD)) as gateway:
            press(gateway)
            return await support.ask(gateway)

    assert asyncio.run(run()).endswith(b"good")


def test_a_retry_of_what_never_ran_waits_for_its_tier() -> None:
    """Guards against retries that begin while more urgent requests wait."""

    async def run():
        runners = (
            support.Runner("r0", support.REFUSED),
            support.Runner("r1", GOOD),
        )
        async with run_gateway(LAST, *runners) as gateway:
            chooser = gateway.deps.chooser
            settle = chooser.settle

            def press_then_settle(grant) -> None:
                press(gateway)
                settle(grant)

            chooser.settle = press_then_settle
            return await support.ask(gateway), [len(r.got) for r in runners]

    answer, got = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503 ") and got == [1, 0]


def test_a_retry_of_what_may_have_run_goes_on() -> None:
    """Guards against cutting off requests that have begun."""

    async def run():
        broken = support.write_answer(b"good")[:-2]
        runners = (support.Runner("r0", broken), support.Runner("r1", GOOD))
        async with run_gateway(LAST, *runners) as gateway:
            chooser = gateway.deps.chooser
            settle = chooser.settle

            def press_then_settle(grant) -> None:
                press(gateway)
                settle(grant)

            chooser.settle = press_then_settle
            return await support.ask(gateway), [len(r.got) for r in runners]

    answer, got = asyncio.run(run())
    assert answer.endswith(b"good") and got == [1, 1]


def test_a_forwarded_request_waits_for_its_tier() -> None:
    """Guards against less urgent requests that another instance lets in."""

    async def run():
        runner = support.Runner("r0", GOOD)
        async with run_gateway(LAST, runner) as gateway:
            press(gateway)
            gateway.forwarded = forwarding.Forwarded("other", 0)
            return await support.ask(gateway), runner.got

    answer, got = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503 ") and got == []


def refuse_with(found: outcomes.Outcome, tier: ids.Tier):
    """Returns what an instance tells others of a request without a runner."""

    async def run():
        async with run_gateway(tier, support.Runner("r0", GOOD)) as gateway:
            gateway.deps.chooser.choose = lambda *args, **kwargs: found
            await support.ask(gateway)
            return [each.tier for each in gateway.told.pressures]

    return asyncio.run(run())


def test_a_wait_for_a_place_closes_less_urgent_tiers() -> None:
    """Guards against places of brittle runners for less urgent requests."""
    # As the wait begins, and as it ends in vain.
    assert refuse_with(outcomes.Full(), URGENT) == [URGENT, URGENT]


def test_a_refusal_by_rate_limits_closes_less_urgent_tiers() -> None:
    """Guards against permits that other instances get for less urgent ones."""
    assert refuse_with(outcomes.Limited(0.5, 10.0), URGENT) == [URGENT]


def test_a_refusal_while_runners_pause_closes_less_urgent_tiers() -> None:
    """Guards against less urgent requests where runners don't pause."""
    assert refuse_with(outcomes.Paused(0.5), URGENT) == [URGENT]


def test_a_refusal_for_overload_closes_less_urgent_tiers() -> None:
    found = outcomes.Overloaded(2.0, 2.0, 2.0, 2.0)
    assert refuse_with(found, URGENT) == [URGENT]


def test_a_refusal_that_says_nothing_of_load_closes_nothing() -> None:
    """Guards against one cut-off instance that closes tiers everywhere."""
    assert refuse_with(outcomes.Unreachable(), URGENT) == []
    assert refuse_with(outcomes.OtherVersions(), URGENT) == []
    assert refuse_with(None, URGENT) == []


def test_a_refusal_of_the_least_urgent_tier_closes_nothing() -> None:
    assert refuse_with(outcomes.Full(), LAST) == []


def test_requests_without_a_prompt_wait_for_their_tier_too() -> None:
    """Guards against plain services whose share is everything."""

    async def run():
        runner = support.Runner("r0", *[GOOD] * 9)
        async with run_gateway(LAST, runner) as gateway:
            gateway.demand = candidates.RequestProfile(support.SERVICE)
            press(gateway)
            return [await support.ask(gateway) for _ in range(9)], runner.got

    answers, got = asyncio.run(run())
    assert len(got) <= 1
    assert sum(b"overloaded" in each for each in answers) >= 8


def make_settings() -> lookup.Lookup:
    """Returns three routes to a service, and accounts of two tiers."""
    made = [
        msgspec.structs.replace(
            support.make_route(routes.Kind.STREAM),
            name=f"r{tier}",
            prefix=f"/{tier}/",
            tier=tier,
        )
        for tier in TIERS
    ]
    accounts = {
        "first": routes.Account(ids.AccountId("first"), ids.Tier(0)),
        "second": routes.Account(ids.AccountId("second"), ids.Tier(1)),
    }
    return lookup.Lookup(
        routes.Configuration(
            version=1,
            routes=tuple(made),
            services={},
            limits=routes.CallerLimits(),
            accounts=accounts,
        )
    )


def test_the_tiers_of_accounts_come_before_those_of_routes() -> None:
    """Guards against an urgent account refused for another's requests."""
    settings = make_settings()
    tiers = settings.list_request_tiers(support.SERVICE)
    assert tiers == tuple(range(6))
    found = [
        settings.get_tier(settings.find_route("h", f"/{tier}/x"), account)
        for account in map(settings.find_account, ("first", "second"))
        for tier in TIERS
    ]
    assert found == list(tiers)
