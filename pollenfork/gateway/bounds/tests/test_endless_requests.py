"""Callers whose requests never end, in their head or their body."""

import asyncio

import pytest

from pollenfork.gateway.tests import support
from pollenfork.routes import model as routes

PIECE = b"a" * 65_536
POST = b"POST /p HTTP/1.1\r\nx-id: q\r\ntransfer-encoding: chunked\r\n"
MOST_BYTES = 48 << 20


def send(begin: bytes, piece: bytes) -> tuple[bytes, int]:
    """Returns the answer, and how much could be sent."""

    async def run():
        route = support.make_route(routes.Kind.REPEATABLE)
        runner = support.Runner("r0", *[support.write_answer(b"good")] * 200)
        async with support.run_gateway(route, runner) as gateway:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.port
            )
            sent = 0
            answer = b""
            try:
                writer.write(begin)
                while sent < MOST_BYTES and not reader.at_eof():
                    writer.write(piece)
                    await writer.drain()
                    sent += len(piece)
                    await asyncio.sleep(0)
                answer = await reader.read()
            except ConnectionError:
                pass
            writer.close()
            return answer, sent

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"GET /p HTTP/1.1\r\n", b"x-more: 1\r\n" * 5000),
        (b"GET /p HTTP/1.1\r\nx-more: ", PIECE),
        (b"GET /", PIECE),
        (POST + b"\r\n4;x=", PIECE),
        (POST + b"\r\n4\r\ngood\r\n0\r\n", b"x-more: 1\r\n" * 5000),
        (POST + b"\r\n", b"10000\r\n%b\r\n" % PIECE),
        (b"", b"GET /p HTTP/1.1\r\nx-id: q\r\n\r\n" * 2000),
    ],
    ids=[
        "fields",
        "one_field",
        "path",
        "chunk_extension",
        "trailers",
        "chunks",
        "requests",
    ],
)
def test_an_endless_request_is_closed(begin: bytes, piece: bytes) -> None:
    """Guards against a caller whose request fills this instance's memory."""
    _, sent = send(begin, piece)
    assert sent < 16 << 20


def test_a_long_field_is_refused_as_too_large(caplog) -> None:
    answer, _ = send(b"GET /p HTTP/1.1\r\nx-more: ", PIECE[:60_000])
    lines = [each.getMessage() for each in caplog.records]
    assert any("fault=headers_too_large" in each for each in lines)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 431 ")
