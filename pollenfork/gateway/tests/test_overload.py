"""Load shedding when the runner has too much prefill queued."""

import asyncio
import random
import types

import msgspec

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.gateway.shedding import shedder
from pollenfork.gateway.tests import support
from pollenfork.loads import messages
from pollenfork.routes import model

GOOD = support.write_answer(b"good")
STREAM = model.Kind.STREAM


def run_loaded(loads, prefill_limit_s, is_share_due=False):
    """Returns the answer, and the requests that the loaded runner received.

    Args:
        loads: The runner's pending prefill tokens, at each query.
        prefill_limit_s: Seconds within which the prompt must be processed.
        is_share_due: Whether the share of refused tiers has been earned.
    """
    looks = iter(loads)

    def read_others(mark):
        return messages.Load(1, next(looks))

    async def run():
        runner = support.Runner("r0", GOOD, GOOD)
        route = support.make_route(STREAM)
        async with support.run_gateway(route, runner) as gateway:
            gateway.deps = msgspec.structs.replace(
                gateway.deps,
                chooser=choice.Chooser(
                    gateway.runners, random.Random(1), read_others
                ),
            )
            gateway.demand = candidates.RequestProfile(
                support.SERVICE, (fleet.Part(b"a", 9), fleet.Part(b"b", 566))
            )
            gateway.prefill_limit_s = prefill_limit_s
            if is_share_due:
                earn_share(gateway)
            return await support.ask(gateway), runner.got

    return asyncio.run(run())


def earn_share(gateway) -> None:
    """Lets the next refused request begin as part of the share."""
    demand = shedder.Demand(
        profile=gateway.demand,
        tier=ids.Tier(0),
        tiers=(),
        target_s=1.0,
        limit_s=0.5,
        deadline=0.0,
    )
    rng = types.SimpleNamespace(random=lambda: 0.0)
    made = shedder.Shedder(gateway.deps.loop, rng, gateway.deps.chooser)
    assert not made.take_share(demand)
    gateway.deps = msgspec.structs.replace(gateway.deps, shedder=made)


def test_a_request_that_would_be_late_is_refused_with_retry_after() -> None:
    answer, got = run_loaded([56_600] * 9, 0.5)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"overloaded" in answer
    # 1 s for the pending tokens, plus the request's own 575 tokens.
    assert b"retry-after: 1.01" in answer
    assert got == []


def test_the_log_tells_which_limit_shed_a_request(caplog) -> None:
    with caplog.at_level("INFO"):
        run_loaded([56_600] * 9, 0.5)
    line = next(
        each.getMessage()
        for each in caplog.records
        if "event=shed" in each.getMessage()
    )
    assert "tier=0 limit=prefill limit_ms=500 wait_ms=1010" in line
    assert "least_wait_ms=1010 least_backlog_ms=1000" in line
    assert "backlog_ms=1000 runner=r0 own=566" in line
    assert "pressed_ms=-" in line


def test_a_request_is_admitted_once_its_share_is_earned() -> None:
    answer, got = run_loaded([56_600] * 9, 0.5, is_share_due=True)
    assert answer.endswith(b"good") and len(got) == 1


def test_a_retry_is_not_shed() -> None:
    async def run():
        loads = iter([0, 56_600, 56_600, 56_600])

        def read_others(mark):
            return messages.Load(1, next(loads))

        # The first runner refuses the request; the second one's load arrived
        # after the request was admitted.
        runners = (
            support.Runner("r0", support.REFUSED),
            support.Runner("r1", GOOD),
        )
        route = support.make_route(STREAM)
        async with support.run_gateway(route, *runners) as gateway:
            gateway.deps = msgspec.structs.replace(
                gateway.deps,
                chooser=choice.Chooser(
                    gateway.runners, random.Random(1), read_others
                ),
            )
            gateway.demand = candidates.RequestProfile(
                support.SERVICE, (fleet.Part(b"a", 9), fleet.Part(b"b", 566))
            )
            gateway.prefill_limit_s = 0.5
            return await support.ask(gateway)

    assert asyncio.run(run()).endswith(b"good")
