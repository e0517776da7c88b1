"""Requests are served by another instance while no runner can be reached."""

import asyncio
import contextlib

import msgspec
import pytest

from pollenfork import ids
from pollenfork.gateway import context
from pollenfork.gateway import forwarding
from pollenfork.gateway import messages
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.tests import helping
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.loads import reach_messages
from pollenfork.routes import model

ONCE = support.make_route(model.Kind.AT_MOST_ONCE, attempts=1)
SAFE = support.make_route(model.Kind.REPEATABLE)
STREAM = support.make_route(model.Kind.STREAM, resumable=True, gap_s=0.1)
POST = b"POST /p HTTP/1.1\r\nx-id: q\r\ncontent-length: 4\r\n\r\nbody"
FULL = (
    b"HTTP/1.1 503 X\r\nretry-after: 0.70\r\ncontent-length: 22\r\n\r\n"
    b'{"error":"overloaded"}'
)
LOST = b'HTTP/1.1 503 X\r\ncontent-length: 23\r\n\r\n{"error":"unreachable"}'
OLD = b"HTTP/1.1 404 X\r\ncontent-length: 20\r\n\r\n" + b'{"error":"no_table"}'


@contextlib.asynccontextmanager
async def run_cut_off(route: model.Route, *given: helping.Helper):
    """Runs a gateway whose runners don't listen, beside some helpers."""
    runners = [support.Runner("a"), support.Runner("b")]
    async with support.run_gateway(route, *runners) as gateway:
        for runner in runners:
            runner.stop()
        await helping.join_helpers(gateway, *given)
        yield gateway
        for helper in given:
            helper.server.close()


def run(
    route: model.Route, *given: helping.Helper, data: bytes = POST
) -> bytes:
    async def ask() -> bytes:
        async with run_cut_off(route, *given) as gateway:
            answer = await support.ask(gateway, data)
            assert gateway.deps.evidence.take_findings() == []
            return answer

    return asyncio.run(ask())


# Guards against refusing callers though another instance reaches the runners.
@pytest.mark.parametrize("route", [ONCE, SAFE])
def test_the_answer_of_another_instance_is_passed_on(route) -> None:
    helper = helping.Helper(support.write_answer(b"whole"))
    answer = run(route, helper)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"whole")
    assert helper.bodies == [b"4\r\nbody\r\n0\r\n\r\n"]
    assert b"forwarded-by: me\r\nforwarded-attempts: 0\r\n" in helper.heads[0]


def test_a_stream_is_passed_on_event_by_event() -> None:
    events = support.write_events(0, 4)
    helper = helping.Helper(support.write_stream(events, whole=True))
    answer = run(STREAM, helper)
    assert events in answer
    assert answer.endswith(b"0\r\n\r\n")


def test_a_stream_that_breaks_does_not_look_complete() -> None:
    helper = helping.Helper(
        support.write_stream(support.write_events(0, 1), False)
    )
    assert not run(STREAM, helper).endswith(b"0\r\n\r\n")


# Guards against an instance of an earlier build that passes on what its runner
# happens to send.
@pytest.mark.parametrize(
    "sent",
    [
        support.write_events(3, 6),
        b"thread 7\n\n" + support.write_events(0, 4),
        b"id: 4711\n\n" + support.write_events(0, 4),
    ],
)
def test_another_instance_may_not_begin_a_stream_elsewhere(sent) -> None:
    answer = run(STREAM, helping.Helper(support.write_stream(sent, True)))
    assert answer.startswith(b"HTTP/1.1 502")


# Guards against an answer that looks complete as the instance that sent it was
# killed: instances frame what they send.
@pytest.mark.parametrize("kind", ["", "content-type: text/events\r\n"])
def test_an_unframed_answer_of_another_instance_has_broken_off(kind) -> None:
    head = f"HTTP/1.1 200 OK\r\nx-id: q\r\nx-seal: z\r\n{kind}\r\n"
    helper = helping.Helper(head.encode() + support.write_events(0, 2))
    answer = run(STREAM, helper)
    assert not answer.endswith(b"0\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 " + (b"200" if kind else b"502"))


def test_the_refusal_of_another_instance_is_passed_on() -> None:
    answer = run(ONCE, helping.Helper(FULL))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 0.70" in answer


# Guards against running a request twice: a frozen instance would serve it when
# it wakes.
def test_an_instance_that_does_not_ask_for_the_body_never_gets_it() -> None:
    frozen = helping.Helper(None, accepts=False)
    answer = run(ONCE, frozen, helping.Helper(support.write_answer(b"whole")))
    assert answer.endswith(b"whole")
    assert frozen.bodies == []
    assert frozen.gone.is_set()


@pytest.mark.parametrize("declined", [LOST, OLD])
def test_an_instance_that_can_not_help_is_passed_over(declined) -> None:
    first = helping.Helper(declined)
    answer = run(ONCE, first, helping.Helper(support.write_answer(b"whole")))
    assert answer.endswith(b"whole")
    assert len(first.heads) == 1


def test_a_request_that_may_have_run_is_not_sent_to_another_instance() -> None:
    other = helping.Helper(support.write_answer(b"whole"))
    answer = run(ONCE, helping.Helper(b""), other)
    assert answer.startswith(b"HTTP/1.1 502")
    assert other.heads == []


def test_nothing_has_run_if_no_instance_helps() -> None:
    assert run(ONCE).startswith(b"HTTP/1.1 503")


def test_a_caller_that_leaves_ends_the_request_at_the_other_instance() -> None:
    async def leave() -> None:
        helper = helping.Helper(None)
        async with run_cut_off(SAFE, helper) as gateway:
            _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(POST)
            async with asyncio.timeout(5):
                while not helper.bodies:
                    await asyncio.sleep(0.01)
                writer.close()
                await helper.gone.wait()

    asyncio.run(leave())


def make_call(*headers: messages.Header) -> messages.Request:
    return messages.Request(
        method=b"GET",
        target=b"/p",
        headers=list(headers),
        body=b"",
        arrived=0.0,
    )


def test_a_forwarded_request_is_restored_as_its_caller_sent_it() -> None:
    call = make_call(
        (b"x-id", b"q"), (b"forwarded-by", b"me"), (b"forwarded-attempts", b"1")
    )
    original, forwarded = forwarding.take_forwarded(call)
    assert original.headers == [(b"x-id", b"q")]
    assert forwarded == forwarding.Forwarded("me", 1)
    assert forwarding.take_forwarded(original) is None


@pytest.mark.parametrize("stated", [b"", b"-1", b"1e300", b"99999", b"x"])
def test_a_bad_number_of_attempts_counts_as_none(stated) -> None:
    call = make_call((b"forwarded-by", b"me"), (b"forwarded-attempts", stated))
    assert forwarding.take_forwarded(call)[1].attempts == 0


def test_what_was_forwarded_is_counted() -> None:
    async def count() -> dict:
        helper = helping.Helper(support.write_answer(b"whole"))
        async with run_cut_off(SAFE, helper) as gateway:
            await support.ask(gateway, POST)
            await support.ask(gateway, POST)
            return gateway.deps.forwarder.counts

    counts = asyncio.run(count())
    assert counts[context.ForwardOutcome.ANSWERED] == 2


def take_up(keeps_versions: bool) -> tuple[bytes, helping.Helper]:
    """Returns the answer to a caller that takes a stream up while cut off."""
    rest = support.write_stream(support.write_events(3, 4), whole=True)
    helper = helping.Helper(rest)

    async def ask() -> bytes:
        async with run_cut_off(STREAM, helper) as gateway:
            known = gateway.runners.list_all()[0]
            stream = origin_directory.StreamKey(
                ids.AttemptId("f"), ids.RequestDigest(77)
            )
            gateway.origins.record_begun(stream, known, 3.0)
            offer = reach_messages.HelpOffer(
                "a", 0, keeps_versions=keeps_versions
            )
            gateway.deps.forwarder.record_offer("h0", offer)
            request = POST.replace(
                b"x-id: q", b"x-id: q\r\nx-resumes: f\r\nx-after: 2"
            )
            return await support.ask(gateway, request)

    return asyncio.run(ask()), helper


# Guards against a stream that another instance lets go on at any version.
def test_a_stream_taken_up_is_forwarded_with_its_version() -> None:
    answer, helper = take_up(keeps_versions=True)
    assert answer.endswith(b"0\r\n\r\n")
    assert b"forwarded-version: v1\r\n" in helper.heads[0]


def test_an_earlier_build_is_not_asked_to_go_on_with_a_stream() -> None:
    answer, helper = take_up(keeps_versions=False)
    assert answer.startswith(b"HTTP/1.1 503")
    assert helper.heads == []


def test_builds_read_each_others_offers() -> None:
    new = reach_messages.HelpOffer("a", 1, (2,), keeps_versions=True)
    assert loads.decode(loads.encode(new)) == new
    earlier = msgspec.msgpack.encode(["j", "a", 1, [2]])
    assert loads.decode(earlier) == reach_messages.HelpOffer("a", 1, (2,))
