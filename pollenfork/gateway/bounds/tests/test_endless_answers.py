"""Answers of runners that never end, in their head or their body."""

import asyncio
import random
import types

import pytest

from pollenfork import ids
from pollenfork.gateway import buffers
from pollenfork.gateway import cache_feed
from pollenfork.gateway import client
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.routes import model as routes

GOOD = support.write_answer(b"good")
HEAD = b"HTTP/1.1 200 OK\r\nx-id: q\r\nx-seal: z\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n"
EVENTS = b"content-type: text/events\r\n"
PIECE = b"a" * 65_536
# What a runner could send if nobody closed its connection.
MOST_BYTES = 96 << 20


class EndlessRunner(support.Runner):
    """Sends a beginning, and then the same piece until its caller closes.

    Attributes:
        sent: The number of bytes sent.
    """

    def __init__(self, name: str, begin: bytes, piece: bytes) -> None:
        super().__init__(name)
        self._begin = begin
        self._piece = piece
        self.sent = 0

    async def _serve(self, reader, writer) -> None:
        try:
            self.got.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self._begin)
            while self.sent < MOST_BYTES:
                writer.write(self._piece)
                await writer.drain()
                self.sent += len(self._piece)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


def ask(kind: routes.Kind, begin: bytes, piece: bytes, **given):
    """Returns the answer, the endless runner and the requests of another."""

    async def run():
        endless = EndlessRunner("r0", begin, piece)
        other = support.Runner("r1", given.get("other", GOOD))
        is_stream = kind is routes.Kind.STREAM
        route = support.make_route(kind, resumable=is_stream, time_limit_s=8.0)
        async with support.run_gateway(route, endless, other) as gateway:
            answer = await support.ask(gateway)
            async with asyncio.timeout(5):
                await endless.closed.wait()
            return answer, endless, len(other.got)

    return asyncio.run(run())


CASES = {
    "fields": (HEAD, b"x-more: 1\r\n" * 5000, 4 << 20),
    "one_field": (HEAD + b"x-more: ", PIECE, 4 << 20),
    "status_line": (b"HTTP/1.1 200 ", PIECE, 4 << 20),
    "interim_answers": (b"", b"HTTP/1.1 102 P\r\n\r\n" * 4000, 4 << 20),
    "chunks": (HEAD + CHUNKED + b"\r\n", b"10000\r\n%b\r\n" % PIECE, 24 << 20),
    "chunk_extension": (HEAD + CHUNKED + b"\r\n4;x=", PIECE, 4 << 20),
    "trailers": (
        HEAD + CHUNKED + b"\r\n4\r\ngood\r\n0\r\n",
        b"x-more: 1\r\n" * 5000,
        4 << 20,
    ),
    "no_length": (HEAD + b"\r\n", PIECE, 24 << 20),
    "another_answer": (
        HEAD.replace(b"x-id: q", b"x-id: other") + CHUNKED + b"\r\n",
        b"10000\r\n%b\r\n" % PIECE,
        6 << 20,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_an_endless_answer_is_closed_and_another_runner_serves(case) -> None:
    """Guards against a runner whose answer fills this instance's memory."""
    begin, piece, most = CASES[case]
    answer, endless, others = ask(routes.Kind.REPEATABLE, begin, piece)
    assert answer.endswith(b"good") and others == 1
    assert len(endless.got) == 1 and endless.sent < most


STREAM_CASES = {
    "one_event": (
        HEAD + EVENTS + CHUNKED + b"\r\n",
        b"10000\r\n%b\r\n" % PIECE,
    ),
    "one_event_without_length": (HEAD + EVENTS + b"\r\n", PIECE),
    "fields": (HEAD + EVENTS, b"x-more: 1\r\n" * 5000),
}


@pytest.mark.parametrize("case", STREAM_CASES)
def test_an_endless_event_is_closed_and_another_runner_goes_on(case) -> None:
    begin, piece = STREAM_CASES[case]
    stream = support.write_stream(support.write_events(0, 3), whole=True)
    answer, endless, others = ask(
        routes.Kind.STREAM, begin, piece, other=stream
    )
    assert answer.endswith(b"0\r\n\r\n") and answer.count(b"data: t") == 4
    assert others == 1 and endless.sent < 6 << 20


def test_an_endless_refusal_is_a_refusal() -> None:
    """Guards against a request that isn't repeated though it never ran."""
    begin = b"HTTP/1.1 503 Full\r\nx-id: q\r\nx-unrun: 1\r\n" + CHUNKED
    answer, endless, others = ask(
        routes.Kind.AT_MOST_ONCE, begin + b"\r\n", b"10000\r\n%b\r\n" % PIECE
    )
    assert answer.endswith(b"good") and others == 1
    assert endless.sent < 4 << 20


def test_what_may_have_run_is_not_repeated() -> None:
    answer, _, others = ask(routes.Kind.AT_MOST_ONCE, HEAD + b"x-more: ", PIECE)
    assert answer.startswith(b"HTTP/1.1 502 ") and others == 0


def test_it_is_logged_which_runner_sent_too_much(caplog) -> None:
    ask(routes.Kind.REPEATABLE, HEAD + b"x-more: ", PIECE)
    lines = [each.getMessage() for each in caplog.records]
    assert any("event=answer_too_large peer=127.0.0.1:" in e for e in lines)


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (HEAD, b"x-more: 1\r\n" * 5000),
        (HEAD + b"x-more: ", PIECE),
        (HEAD + CHUNKED + b"\r\n", b"10000\r\n%b\r\n" % PIECE),
        (HEAD + b"\r\n", PIECE),
    ],
)
def test_endless_answers_of_the_store_and_peers_are_closed(
    begin: bytes, piece: bytes
) -> None:
    """Guards against calls whose answers are kept until they time out."""

    async def run():
        server = EndlessRunner("store", begin, piece)
        started = await server.start()
        calls = client.Client(loads.Address(started.host, started.port))
        request = b"GET /rows HTTP/1.1\r\nhost: s\r\n\r\n"
        answer = await calls.call(request, 20.0)
        async with asyncio.timeout(5):
            await server.closed.wait()
        server.stop()
        return answer, server.sent

    answer, sent = asyncio.run(run())
    assert answer is None and sent < 20 << 20


def test_an_endless_report_of_a_runner_is_closed() -> None:
    """Guards against what a runner says of itself, without an end."""

    async def run():
        server = EndlessRunner(
            "r0", HEAD + CHUNKED + b"\r\n", b"10000\r\n%b\r\n" % PIECE
        )
        runner = await server.start()
        codec = types.SimpleNamespace(
            encode_feed_request=lambda runner, after, wait_s: (
                b"GET /feed HTTP/1.1\r\nhost: r\r\n\r\n"
            )
        )
        feed = cache_feed.CacheFeed(
            codec,
            types.SimpleNamespace(
                pauses=types.SimpleNamespace(is_paused=lambda *_: False)
            ),
            None,
            ids.DataCentre("a"),
            random.Random(1),
        )
        following = asyncio.create_task(feed._follow(runner))
        async with asyncio.timeout(5):
            await server.closed.wait()
        following.cancel()
        server.stop()
        return server.sent

    assert asyncio.run(run()) < 6 << 20


def test_long_answers_are_given_up_once_all_fill_the_memory() -> None:
    """Guards against many endless answers at once."""
    account = buffers.Account(8 << 20)
    transport = types.SimpleNamespace(
        count_unread=lambda: 0, count_received=lambda: 0
    )
    held = [buffers.CallerBuffers(account, transport) for _ in range(20)]
    accepted = [each.record_answer(200_000) for each in held]
    assert all(accepted)
    assert not held[0].record_answer(200_000)
    for each in held:
        each.detach()
    assert account.answer_bytes == 0
    assert held[0].record_answer(400_000)
