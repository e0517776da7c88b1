"""Parsing of callers' requests, and the limits on them."""

import asyncio

import pytest

from pollenfork.gateway import callers
from pollenfork.gateway import replies
from pollenfork.routes import model as routes

LIMITS = routes.CallerLimits(
    header_bytes=300, body_bytes=100, header_s=0.3, idle_s=0.2
)


class Front:
    """A listener that echoes the body of each request."""

    def __init__(self) -> None:
        self.calls = []
        self.hold = asyncio.Event()
        self.hold.set()
        loop = asyncio.get_running_loop()
        self.server = callers.Server(loop, self._serve)
        self.server.limits = LIMITS
        self.listener: asyncio.Server | None = None

    async def _serve(self, call, caller) -> None:
        self.calls.append(call)
        await self.hold.wait()
        caller.write(replies.write_text(200, call.body or b"empty"))

    async def __aenter__(self) -> "Front":
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.server.make_connection, "127.0.0.1", 0
        )
        return self

    async def __aexit__(self, *error) -> None:
        self.listener.close()

    async def connect(self):
        port = self.listener.sockets[0].getsockname()[1]
        return await asyncio.open_connection("127.0.0.1", port)


def send(*pieces: bytes, eof: bool = False) -> tuple[bytes, list]:
    """Sends bytes; returns the response and the parsed requests."""

    async def run():
        async with Front() as front:
            reader, writer = await front.connect()
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            if eof:
                writer.write_eof()
            async with asyncio.timeout(10):
                answer = await reader.read()
            writer.close()
            return answer, front.calls

    return asyncio.run(run())


def read_status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])


CLOSE = b"connection: close\r\n"


def test_a_body_with_a_length_is_read() -> None:
    answer, calls = send(
        b"POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n"
        + CLOSE
        + b"content-length: 5\r\n\r\nhe",
        b"llo",
    )
    assert answer.endswith(b"hello")
    (call,) = calls
    assert (call.method, call.target) == (b"POST", b"/a?b=c")
    assert (b"x-a", b"1") in call.headers


def test_a_body_in_chunks_is_read() -> None:
    answer, calls = send(
        b"POST /a HTTP/1.1\r\nhost: h\r\n"
        + CLOSE
        + b"transfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
    )
    assert calls[0].body == b"hello"
    assert read_status(answer) == 200


SMUGGLED = {
    "two lengths": b"content-length: 5\r\ncontent-length: 6\r\n\r\nhello!",
    "length and chunks": (
        b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "bad length": b"content-length: +5\r\n\r\nhello",
    "unknown encoding": b"transfer-encoding: xchunked\r\n\r\nhello",
    "bad chunk": b"transfer-encoding: chunked\r\n\r\nzz\r\n",
    "space in name": b"content-length : 5\r\n\r\nhello",
    "bare line feed": b"x: a\n\n",
}


@pytest.mark.parametrize("rest", SMUGGLED.values(), ids=SMUGGLED)
def test_ambiguous_message_framing_is_refused(rest) -> None:
    answer, calls = send(b"POST /a HTTP/1.1\r\nhost: h\r\n" + rest)
    assert read_status(answer) == 400
    assert calls == []
    assert b"connection: close" in answer


@pytest.mark.parametrize("junk", [b"\x16\x03\x01\x02", b"GET\r\n\r\n", b"\0"])
def test_malformed_requests_are_refused(junk) -> None:
    answer, calls = send(junk)
    assert read_status(answer) == 400
    assert calls == []


def test_limits_on_header_and_body_are_enforced() -> None:
    big = b"GET /a HTTP/1.1\r\nhost: h\r\nx: " + b"a" * 400 + b"\r\n\r\n"
    assert read_status(send(big)[0]) == 431
    head = b"POST /a HTTP/1.1\r\nhost: h\r\n"
    body = head + b"content-length: 101\r\n\r\n" + b"a" * 101
    assert read_status(send(body)[0]) == 413
    chunk = head + b"transfer-encoding: chunked\r\n\r\n65\r\n" + b"a" * 101
    assert read_status(send(chunk)[0]) == 413


def test_a_slow_request_is_answered_with_status_408() -> None:
    answer, calls = send(b"GET /a HTTP/1.1\r\nhost")
    assert read_status(answer) == 408
    assert calls == []


def test_an_idle_connection_is_closed_without_a_response() -> None:
    answer, _ = send(b"")
    assert answer == b""


def test_requests_on_one_connection_are_answered_in_order() -> None:
    request = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n%b\r\n%d"
    answer, calls = send(
        request % (b"", 1) + request % (b"", 2) + request % (CLOSE, 3)
    )
    bodies = [part[-1:] for part in answer.split(b"HTTP/1.1 200 OK")[1:]]
    assert bodies == [b"1", b"2", b"3"]
    assert len(calls) == 3


def test_an_http_1_0_connection_closes_after_its_response() -> None:
    answer, _ = send(b"GET / HTTP/1.0\r\nhost: h\r\n\r\n")
    assert answer.endswith(b"empty")


def test_expect_100_continue_is_answered() -> None:
    answer, _calls = send(
        b"POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
        + CLOSE
        + b"content-length: 2\r\n\r\n",
        b"ok",
    )
    assert answer.startswith(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert answer.endswith(b"ok")


def test_an_upgrade_is_refused() -> None:
    answer, _ = send(
        b"GET / HTTP/1.1\r\nhost: h\r\nupgrade: h2c\r\n"
        b"connection: upgrade\r\n\r\n"
    )
    assert read_status(answer) in (200, 400)


def test_a_disconnect_cancels_the_request() -> None:
    async def run():
        async with Front() as front:
            front.hold.clear()
            _, writer = await front.connect()
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            while not front.calls:
                await asyncio.sleep(0)
            writer.close()
            async with asyncio.timeout(5):
                while front.server.connections:
                    await asyncio.sleep(0)
            return front.server.counters.gone

    assert asyncio.run(run()) == 1


def test_connections_close_after_their_responses_on_shutdown() -> None:
    async def run():
        async with Front() as front:
            front.hold.clear()
            idle_reader, idle_writer = await front.connect()
            reader, writer = await front.connect()
            writer.write(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            while not front.calls:
                await asyncio.sleep(0)
            front.server.closing = True
            front.server.close_idle()
            assert await idle_reader.read() == b""
            assert front.server.busy
            front.hold.set()
            answer = await reader.read()
            idle_writer.close()
            writer.close()
            return answer

    assert asyncio.run(run()).endswith(b"empty")


def test_a_server_is_busy_until_its_answers_are_read() -> None:
    """Guards against a stop that cuts off callers who read slowly."""

    async def run():
        async with Front() as front:
            answer = replies.write_text(200, b"a" * (16 << 20))

            async def serve(call, caller) -> None:
                caller.write(answer)

            front.server.serve = serve
            reader, writer = await front.connect()
            writer.write(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
            while not front.server.connections:
                await asyncio.sleep(0)
            [served] = front.server.connections
            while not served.count_unread() or not served.idle:
                await asyncio.sleep(0)
            front.server.closing = True
            front.server.close_idle()
            assert front.server.busy
            whole = await reader.read()
            assert whole == answer
            while front.server.connections:
                await asyncio.sleep(0)
            assert not front.server.busy
            writer.close()

    asyncio.run(run())
