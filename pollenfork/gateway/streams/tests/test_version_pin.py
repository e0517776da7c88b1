"""Streams go on at the software version that began them, or not at all."""

import asyncio

import pytest

from pollenfork import ids
from pollenfork.gateway import forwarding
from pollenfork.gateway import messages
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.tests import support
from pollenfork.routes import model

STREAM = support.make_route(model.Kind.STREAM, resumable=True)
BROKEN = support.write_stream(support.write_events(0, 2), whole=False)
REST = support.write_stream(support.write_events(3, 4), whole=True)
WHOLE = support.write_stream(support.write_events(0, 4), whole=True)
BEGUN = origin_directory.StreamKey(ids.AttemptId("f"), ids.RequestDigest(77))
RETURN = (
    b"POST /p HTTP/1.1\r\nx-id: q\r\nx-resumes: f\r\nx-after: 2\r\n"
    b"content-length: 0\r\n\r\n"
)


def serve(*scripts, versions, data=None, began=None, route=STREAM):
    """Returns the answer and the requests that each runner received.

    Args:
        scripts: What the runners answer.
        versions: Their software versions.
        data: The request; None: one for a new stream.
        began: The version that began stream `f`; None: nobody knows.
        route: The request's route.
    """

    async def run():
        runners = []
        for number, script in enumerate(scripts):
            runners.append(support.Runner(f"r{number}", *script))
            runners[-1].version = ids.SoftwareVersion(versions[number])
        async with support.run_gateway(route, *runners) as gateway:
            if began is not None:
                first = gateway.runners.list_all()[began]
                gateway.origins.record_begun(BEGUN, first, 3.0)
            given = {} if data is None else {"data": data}
            answer = await support.ask(gateway, **given)
        return answer, [len(runner.got) for runner in runners]

    return asyncio.run(run())


# Guards against an instance's own repeat at another software version.
def test_a_broken_stream_is_repeated_at_its_version_alone() -> None:
    answer, asked = serve([BROKEN], [REST], [REST], versions=["v1", "v2", "v1"])
    assert asked == [1, 0, 1]
    assert answer.endswith(b"0\r\n\r\n")


def test_a_stream_whose_version_is_gone_does_not_look_complete() -> None:
    answer, asked = serve([BROKEN], [REST], versions=["v1", "v2"])
    assert asked == [1, 0]
    assert not answer.endswith(b"0\r\n\r\n")


def test_an_attempt_that_broke_before_its_first_event_is_free() -> None:
    whole = support.write_stream(support.write_events(0, 4), whole=True)
    answer, asked = serve([b""], [whole], versions=["v1", "v2"])
    assert asked == [1, 1]
    assert answer.endswith(b"0\r\n\r\n")


# Guards against a caller's return that goes on at another software version.
@pytest.mark.parametrize(("began", "asked"), [(0, [1, 0]), (1, [0, 1])])
def test_a_stream_taken_up_goes_on_at_its_version(began, asked) -> None:
    answer, got = serve(
        [REST], [REST], versions=["v1", "v2"], data=RETURN, began=began
    )
    assert answer.startswith(b"HTTP/1.1 200")
    assert got == asked


def test_a_stream_taken_up_of_an_unknown_version_is_refused() -> None:
    answer, asked = serve([REST], [REST], versions=["v1", "v2"], data=RETURN)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"version_unknown" in answer
    assert b"retry-after: 0.15" in answer
    assert asked == [0, 0]


def test_a_return_without_the_first_attempt_is_refused() -> None:
    data = RETURN.replace(b"x-resumes: f\r\n", b"")
    answer, asked = serve([REST], versions=["v1"], data=data, began=0)
    assert b"version_unknown" in answer
    assert asked == [0]


def test_runners_that_name_no_version_may_differ() -> None:
    answer, asked = serve([BROKEN], [REST], versions=["", ""])
    assert asked == [1, 0]
    assert not answer.endswith(b"0\r\n\r\n")


def test_the_caller_is_told_that_no_runner_of_the_version_is_left() -> None:
    async def run():
        old, new = support.Runner("r0"), support.Runner("r1", REST)
        new.version = ids.SoftwareVersion("v2")
        async with support.run_gateway(STREAM, old, new) as gateway:
            first = gateway.runners.list_all()[0]
            gateway.origins.record_begun(BEGUN, first, 3.0)
            gateway.runners.remove(first.id, 0.0)
            return await support.ask(gateway, RETURN), len(new.got)

    answer, asked = asyncio.run(run())
    assert b"503" in answer
    assert b"version_gone" in answer
    assert b"retry-after: 1.00" in answer
    assert asked == 0


# Guards against a helper that lets a forwarded stream go on anywhere.
def test_a_forwarded_request_names_the_version() -> None:
    call = messages.Request(
        method=b"POST",
        target=b"/p",
        headers=[
            (forwarding.FORWARDED_BY, b"peer"),
            (forwarding.ATTEMPTS, b"1"),
            (forwarding.VERSION, b"v1%20%2F"),
        ],
        body=b"",
        arrived=0.0,
    )
    original, told = forwarding.take_forwarded(call)
    assert told.version == "v1 /"
    assert original.headers == []


def test_the_version_named_by_another_instance_is_kept_to() -> None:
    async def run():
        head = support.Codec().decode_request([(b"x-after", b"2")])
        pin = support.Gateway(STREAM).make_pin(head, ids.SoftwareVersion("v1"))
        return await pin.resolve(), pin.version

    assert asyncio.run(run()) == (True, "v1")


def test_lookups_are_counted() -> None:
    async def run():
        async with support.run_gateway(STREAM, support.Runner("r0")) as gateway:
            await support.ask(gateway, RETURN)
            return gateway.origins.counts

    assert asyncio.run(run())[origin_directory.Lookup.UNKNOWN] == 1


# Guards against streams that begin or go on, at an instance that has just
# started, before it knows which runners are in doubt.
@pytest.mark.parametrize(
    ("route", "data", "waits"),
    [
        (STREAM, None, 1),
        (STREAM, RETURN, 1),
        (support.make_route(model.Kind.STREAM), None, 0),
    ],
)
def test_streams_that_may_be_taken_up_wait_for_what_others_know(
    route, data, waits
) -> None:
    waited = []

    class NoPeers:
        def list_members(self):
            return {}

        def send(self, host, message) -> None:
            pass

    async def wait() -> None:
        waited.append(1)

    async def run():
        runner = support.Runner("r0", REST if data else WHOLE)
        runner.version = ids.SoftwareVersion("v1")
        async with support.run_gateway(route, runner) as gateway:
            listed = gateway.runners.list_all()[0]
            gateway.origins.record_begun(BEGUN, listed, 3.0)
            gateway.origins.join(NoPeers(), wait)
            given = {} if data is None else {"data": data}
            return await support.ask(gateway, **given)

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")
    assert len(waited) == waits
