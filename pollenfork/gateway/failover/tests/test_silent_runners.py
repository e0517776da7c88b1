"""Requests outlast the silence of their runner, whatever else can't go on."""

import asyncio
import logging
import re

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import outcomes
from pollenfork.fleet import retry_budget
from pollenfork.gateway.failover.tests import pausing
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.tests import support
from pollenfork.poison import crashes
from pollenfork.poison import digests
from pollenfork.routes import model

STREAM = pausing.make_stream_route()
SAFE = support.make_route(model.Kind.REPEATABLE)
REFUSED = support.REFUSED
FAILED = support.write_answer(b"sorry", status=500)
CUT_SHORT = support.write_answer(b"good")[:-2]


def make_silent(first: int = 2) -> pausing.PausingRunner:
    """Returns a runner that falls silent after some events."""
    return pausing.PausingRunner(
        "r0", pausing.write_first(first), pausing.write_rest(first + 1)
    )


async def outlast_silence(
    route: model.Route, silent, others, prepare=None, data=None
) -> bytes:
    """Asks a runner that goes on long after it should have sent something."""
    async with support.run_gateway(route, silent, *others) as gateway:
        if prepare is not None:
            prepare(gateway)
        given = {} if data is None else {"data": data}
        asking = asyncio.create_task(support.ask(gateway, **given))
        state = gateway.deps.chooser.get_state(ids.EndpointId("r0"))
        await pausing.wait_until(lambda: state.silence.is_known)
        # Several times as long as it takes to look for another runner.
        await asyncio.sleep(0.5)
        silent.goes_on.set()
        return await asking


def spend_budget(gateway: support.Gateway) -> None:
    gateway.deps = msgspec.structs.replace(
        gateway.deps, retry_budget=retry_budget.RetryBudget(0.0, 10.0, 0.0)
    )


def quarantine(gateway: support.Gateway) -> None:
    """Quarantines what is sent from now on, but for first attempts."""
    gateway.deps.request_quarantine.evaluate = lambda digest, now: (
        crashes.Verdict.QUARANTINED
        if gateway.runners.find(ids.EndpointId("r0"))
        and gateway.deps.chooser.get_state(ids.EndpointId("r0")).active
        else crashes.Verdict.CLEAR
    )


def find_nothing(found: outcomes.Outcome):
    """Returns what makes each choice but the first one end so."""

    def prepare(gateway: support.Gateway) -> None:
        choose = gateway.deps.chooser.choose

        def choose_first(profile, avoid, *given):
            return found if avoid or busy() else choose(profile, avoid, *given)

        def busy() -> bool:
            return bool(gateway.deps.chooser.list_loads())

        gateway.deps.chooser.choose = choose_first

    return prepare


def move_to_other_version(gateway: support.Gateway) -> None:
    known = gateway.runners.find(ids.EndpointId("r1"))
    gateway.runners.put(
        msgspec.structs.replace(known, version=ids.SoftwareVersion("v2"))
    )


# Guards against streams that were cut for a repeat that couldn't be made: the
# retry budget was asked only after the attempt had been given up.
def test_a_stream_outlasts_a_silence_though_the_budget_is_spent() -> None:
    async def run():
        silent, other = make_silent(), support.Runner("r1")
        answer = await outlast_silence(STREAM, silent, [other], spend_budget)
        return answer, silent.cut, len(other.got)

    answer, cut, asked = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert (cut, asked) == (0, 0)


# Guards against the same where the budget suffices but nothing else can go on.
def test_a_stream_outlasts_a_silence_of_the_only_runner() -> None:
    answer = asyncio.run(outlast_silence(STREAM, make_silent(), []))
    assert pausing.is_whole(answer)


def test_a_stream_outlasts_a_silence_if_others_have_other_versions() -> None:
    async def run():
        silent, other = make_silent(), support.Runner("r1")
        answer = await outlast_silence(
            STREAM, silent, [other], move_to_other_version
        )
        return answer, len(other.got)

    answer, asked = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert asked == 0


@pytest.mark.parametrize(
    "found",
    [
        None,
        outcomes.Unreachable(),
        outcomes.Limited(0.5, 1.0),
        outcomes.Paused(0.5),
        outcomes.Full(),
        outcomes.OtherVersions(),
    ],
    ids=lambda found: type(found).__name__,
)
def test_a_stream_outlasts_a_silence_if_no_other_runner_is_found(found) -> None:
    async def run():
        silent = make_silent()
        others = [support.Runner("r1"), support.Runner("r2")]
        answer = await outlast_silence(
            STREAM, silent, others, find_nothing(found)
        )
        return answer, [len(each.got) for each in others]

    answer, asked = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert asked == [0, 0]


@pytest.mark.parametrize(
    "answered",
    [REFUSED, support.DISPLACED, FAILED, CUT_SHORT, b"", b"no HTTP\r\n\r\n"],
    ids=["full", "displaced", "error", "cut", "closed", "garbage"],
)
def test_a_stream_outlasts_a_silence_if_the_other_runner_fails(
    answered,
) -> None:
    async def run():
        silent, other = make_silent(), support.Runner("r1", answered)
        answer = await outlast_silence(STREAM, silent, [other])
        return answer, silent.cut, len(other.got)

    answer, cut, asked = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert (cut, asked) == (0, 1)


def test_a_stream_outlasts_a_silence_if_the_other_runner_is_gone() -> None:
    async def run():
        silent, other = make_silent(), support.Runner("r1")
        return await outlast_silence(
            STREAM, silent, [other], lambda gateway: other.stop()
        )

    assert pausing.is_whole(asyncio.run(run()))


def test_a_quarantined_stream_outlasts_a_silence() -> None:
    async def run():
        silent, other = make_silent(), support.Runner("r1")
        answer = await outlast_silence(STREAM, silent, [other], quarantine)
        return answer, len(other.got)

    answer, asked = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert asked == 0


# The same cause before the first event, in plain answers, and in streams that
# callers take up.
def test_a_stream_outlasts_a_silence_before_its_first_event() -> None:
    silent = pausing.PausingRunner("r0", b"", WHOLE_STREAM)
    answer = asyncio.run(outlast_silence(STREAM, silent, [], spend_budget))
    assert pausing.is_whole(answer)


WHOLE_STREAM = support.write_stream(pausing.WHOLE, whole=True)
# What `make_silent` leaves out.
REST = support.write_stream(support.write_events(3, pausing.LAST), whole=True)


@pytest.mark.parametrize("sent", [0, 30])
def test_a_plain_request_outlasts_a_silence(sent) -> None:
    good = support.write_answer(b"good")
    silent = pausing.PausingRunner("r0", good[:sent], good[sent:])
    others = [support.Runner("r1")]
    answer = asyncio.run(outlast_silence(SAFE, silent, others, spend_budget))
    assert answer.endswith(b"good")


def test_a_stream_that_is_taken_up_outlasts_a_silence() -> None:
    async def run():
        first = support.write_stream(support.write_events(2, 3), whole=False)
        silent = pausing.PausingRunner("r0", first, pausing.write_rest(4))
        data = (
            b"GET /p HTTP/1.1\r\nx-id: q\r\nx-after: 1\r\nx-resumes: p\r\n\r\n"
        )
        return await outlast_silence(STREAM, silent, [], record_begun, data)

    def record_begun(gateway: support.Gateway) -> None:
        digest = digests.compute(None, b"GET", b"/p", b"")
        begun = origin_directory.StreamKey(ids.AttemptId("p"), digest)
        runner = gateway.runners.find(ids.EndpointId("r0"))
        gateway.origins.record_begun(begun, runner, 5.0)

    answer = asyncio.run(run())
    assert support.write_events(2, 3) in answer
    assert answer.endswith(b"id: 4\ndata: t4\n\n\r\n0\r\n\r\n")


# What must go on as before: a hung runner's request moves at once.
@pytest.mark.parametrize("first", [-1, 2], ids=["at_its_start", "midway"])
def test_a_request_leaves_a_runner_that_hangs(first) -> None:
    async def run():
        head = b"" if first < 0 else pausing.write_first(first)
        hung = pausing.PausingRunner("r0", head, b"")
        body = support.write_events(first + 1, pausing.LAST)
        other = support.Runner("r1", support.write_stream(body, whole=True))
        async with support.run_gateway(STREAM, hung, other) as gateway:
            answer = await support.ask(gateway)
            await pausing.wait_until(lambda: hung.cut)
            loads = gateway.deps.chooser.list_loads()
        return answer, loads, other.got[0]

    answer, loads, head = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert loads == {}
    if first >= 0:
        assert b"x-after: 2" in head


def test_each_choice_is_logged_and_only_the_first_wait_counts(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.request_log")

    async def run():
        hung, other = make_silent(), support.Runner("r1", REST)
        async with support.run_gateway(STREAM, hung, other) as gateway:
            await support.ask(gateway)
            return gateway.deps.counters.write().decode()

    metrics = asyncio.run(run())
    chosen = re.findall(r"event=chosen .* runner=(\w+) ", caplog.text)
    assert chosen == ["r0", "r1"]
    labels = 'kind="stream",tier="0"'
    assert f"pollenfork_request_wait_seconds_count{{{labels}}} 1" in metrics


def test_a_request_leaves_a_connection_that_is_dead_while_others_work() -> None:
    async def run():
        dead, other = make_silent(), support.Runner("r1", REST)
        async with support.run_gateway(STREAM, dead, other) as gateway:
            state = gateway.deps.chooser.get_state(ids.EndpointId("r0"))
            asking = asyncio.create_task(support.ask(gateway))
            while not asking.done():
                # The runner sends to others all the while.
                state.record_heard(gateway.deps.loop.time())
                await asyncio.sleep(0.05)
            return await asking, state.silence.is_known

    answer, is_known = asyncio.run(run())
    assert pausing.is_whole(answer)
    assert not is_known


def test_a_caller_that_leaves_ends_both_attempts() -> None:
    async def run():
        silent = make_silent()
        other = pausing.PausingRunner("r1", b"", b"")
        async with support.run_gateway(STREAM, silent, other) as gateway:
            _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(b"GET /p HTTP/1.1\r\nx-id: q\r\n\r\n")
            await pausing.wait_until(lambda: other.got)
            writer.close()
            await pausing.wait_until(lambda: silent.cut and other.cut)
            return gateway.deps.chooser.list_loads()

    assert asyncio.run(run()) == {}
