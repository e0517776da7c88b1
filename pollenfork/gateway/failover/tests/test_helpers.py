"""Requests at a silent runner that another instance may go on with."""

import asyncio

import pytest

from pollenfork import ids
from pollenfork.gateway import context
from pollenfork.gateway.failover.tests import pausing
from pollenfork.gateway.tests import helping
from pollenfork.gateway.tests import support
from pollenfork.routes import model

STREAM = pausing.make_stream_route()
SAFE = support.make_route(model.Kind.REPEATABLE)
REST = support.write_stream(support.write_events(3, pausing.LAST), whole=True)
HEAD_ALONE = REST[: REST.index(b"\r\n\r\n") + 4]
FULL = b'HTTP/1.1 503 X\r\ncontent-length: 22\r\n\r\n{"error":"overloaded"}'
LOST = b'HTTP/1.1 503 X\r\ncontent-length: 23\r\n\r\n{"error":"unreachable"}'


async def ask_cut_off(route, runner, helper, goes_on):
    """Asks a runner that falls silent as all runners can't be reached.

    Args:
        route: The request's route.
        runner: The runner.
        helper: Another instance.
        goes_on: Returns whether the runner goes on.
    """
    async with support.run_gateway(route, runner) as gateway:
        await helping.join_helpers(gateway, helper)
        asking = asyncio.create_task(support.ask(gateway))
        await pausing.wait_until(lambda: runner.got)
        gateway.deps.reach.is_lost = lambda service: True
        while not asking.done():
            await asyncio.sleep(0.01)
            if goes_on():
                runner.goes_on.set()
        helper.server.close()
        state = gateway.deps.chooser.get_state(ids.EndpointId("r0"))
        assert state.active == 0
        return await asking


def make_silent() -> pausing.PausingRunner:
    return pausing.PausingRunner(
        "r0", pausing.write_first(2), pausing.write_rest(3)
    )


def test_another_instance_goes_on_with_a_stream() -> None:
    async def run():
        silent, helper = make_silent(), helping.Helper(REST)
        answer = await ask_cut_off(STREAM, silent, helper, lambda: False)
        return answer, silent.cut, helper.heads[0]

    answer, cut, head = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert cut == 1
    assert b"x-after: 2" in head
    assert b"forwarded-version: v1" in head


# Guards against streams that were cut as the instance asked for help refused.
@pytest.mark.parametrize(
    "answered",
    [FULL, LOST, b"", HEAD_ALONE],
    ids=["full", "lost", "closed", "head_alone"],
)
def test_a_stream_outlasts_a_silence_if_no_instance_goes_on(answered) -> None:
    async def run():
        silent, helper = make_silent(), helping.Helper(answered)
        answer = await ask_cut_off(
            STREAM, silent, helper, lambda: helper.gone.is_set()
        )
        return answer

    assert pausing.is_whole(asyncio.run(run()))


def test_the_runner_goes_on_while_another_instance_is_asked() -> None:
    async def run():
        silent, helper = make_silent(), helping.Helper(None)
        answer = await ask_cut_off(
            STREAM, silent, helper, lambda: bool(helper.bodies)
        )
        async with asyncio.timeout(5):
            await helper.gone.wait()
        return answer, silent.cut

    answer, cut = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert cut == 0


def ask_and_break(caplog, answered: bytes | None) -> str:
    """Lets a silent runner go on and break at once; returns the log of that.

    Args:
        caplog: Captures the log.
        answered: What another instance answers before; None: nothing.
    """

    async def run():
        part = support.write_events(3, 3)
        silent = pausing.PausingRunner(
            "r0", pausing.write_first(2), b"%x\r\n%b\r\n" % (len(part), part)
        )
        helper = helping.Helper(answered)

        def goes_on() -> bool:
            return helper.gone.is_set() if answered else bool(helper.bodies)

        return await ask_cut_off(STREAM, silent, helper, goes_on)

    assert b"data: t3" in asyncio.run(run())
    (failed,) = [
        each for each in caplog.messages if "event=attempt_failed" in each
    ]
    return failed


# Guards against a caller that waits until its time limit: the runner went on
# and broke in one read, and the answer of another instance, which could no
# longer be taken, was awaited.
def test_a_runner_that_goes_on_and_breaks_is_not_waited_for(caplog) -> None:
    assert "sequel=no_time" not in ask_and_break(caplog, None)


# Guards against more attempts than a route allows: one of another instance that
# was broken off, as the silent runner went on, wasn't counted.
def test_an_attempt_of_another_instance_counts(caplog) -> None:
    assert "sequel=attempts_spent" in ask_and_break(caplog, None)


def test_a_refusal_of_another_instance_is_no_attempt(caplog) -> None:
    assert "sequel=repeated" in ask_and_break(caplog, FULL)


# Guards against spending the retry budget on help that nobody offers.
def test_a_retry_is_not_charged_if_nobody_helps() -> None:
    async def run():
        silent, helper = make_silent(), helping.Helper(LOST)
        async with support.run_gateway(STREAM, silent) as gateway:
            await helping.join_helpers(gateway, helper)
            budget = gateway.deps.retry_budget
            asking = asyncio.create_task(support.ask(gateway))
            await pausing.wait_until(lambda: silent.got)
            gateway.deps.reach.is_lost = lambda service: True
            counts = gateway.deps.forwarder.counts
            no_helper = context.ForwardOutcome.NO_HELPER
            await pausing.wait_until(lambda: counts[no_helper])
            silent.goes_on.set()
            await asking
            helper.server.close()
            now = gateway.deps.loop.time()
            left = 0
            while budget.try_take(support.SERVICE, now):
                left += 1
            return left

    assert asyncio.run(run()) == 2


def test_a_plain_request_is_answered_by_whichever_is_first() -> None:
    good = support.write_answer(b"good")

    async def run(helper, goes_on):
        silent = pausing.PausingRunner("r0", b"", good)
        return await ask_cut_off(SAFE, silent, helper, goes_on)

    helper = helping.Helper(support.write_answer(b"best"))
    assert asyncio.run(run(helper, lambda: False)).endswith(b"best")
    busy = helping.Helper(None)
    answer = asyncio.run(run(busy, lambda: bool(busy.bodies)))
    assert answer.endswith(b"good")
