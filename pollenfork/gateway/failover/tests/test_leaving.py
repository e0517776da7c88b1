"""How many requests leave a runner that is silent, and how it is counted."""

import asyncio

import msgspec

from pollenfork import ids
from pollenfork.fleet import retry_budget
from pollenfork.gateway.failover.tests import pausing
from pollenfork.gateway.tests import support

STREAMS = 12
STREAM = pausing.make_stream_route()
REST = support.write_stream(support.write_events(3, pausing.LAST), whole=True)


async def run_streams(silent, other, goes_on: bool):
    """Asks for streams at a runner that falls silent midway.

    Args:
        silent: The runner.
        other: Another one, to which streams may be sent.
        goes_on: Whether the first one goes on once a stream has left it.

    Returns:
        The answers, and what is believed of the first runner at the end.
    """
    async with support.run_gateway(STREAM, silent) as gateway:
        budget = retry_budget.RetryBudget(1.0, 10.0, 100.0)
        for _ in range(100):
            budget.record_request(support.SERVICE, gateway.deps.loop.time())
        gateway.deps = msgspec.structs.replace(
            gateway.deps, retry_budget=budget
        )
        state = gateway.deps.chooser.get_state(ids.EndpointId("r0"))
        asking = [
            asyncio.create_task(support.ask(gateway)) for _ in range(STREAMS)
        ]
        await pausing.wait_until(lambda: len(silent.got) == STREAMS)
        gateway.runners.put(await other.start())
        await pausing.wait_until(lambda: other.got)
        failures = state.failures
        if goes_on:
            silent.goes_on.set()
        answers = await asyncio.gather(*asking)
        other.stop()
        return answers, state, failures


# Guards against moving every stream of a runner that is back a moment later,
# and against avoiding it for as many failures as it had streams.
def test_few_streams_leave_a_runner_that_goes_on() -> None:
    async def run():
        silent = pausing.PausingRunner(
            "r0", pausing.write_first(2), pausing.write_rest(3)
        )
        other = support.Runner("r1", *[REST] * STREAMS)
        answers, state, failures = await run_streams(silent, other, True)
        return answers, state, failures, len(other.got)

    answers, state, failures, left = asyncio.run(run())
    assert all(pausing.is_whole(answer) for answer in answers)
    assert left <= STREAMS // 3
    assert failures == 1
    assert state.failures == 0


def test_all_streams_leave_a_runner_that_hangs() -> None:
    async def run():
        hung = pausing.PausingRunner("r0", pausing.write_first(2), b"")
        other = support.Runner("r1", *[REST] * STREAMS)
        answers, state, _ = await run_streams(hung, other, False)
        return answers, state.failures, len(other.got)

    answers, failures, left = asyncio.run(run())
    assert all(pausing.is_whole(answer) for answer in answers)
    assert (failures, left) == (1, STREAMS)
