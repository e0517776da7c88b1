"""Bytes beside the body of a message that has one."""

import asyncio
import tracemalloc

import pytest

from pollenfork.gateway import callers
from pollenfork.gateway import connection
from pollenfork.gateway.bounds import framing
from pollenfork.gateway.bounds.tests import support

READ_BYTES = 65_536
BODY = b"%x\r\n%b\r\n" % (READ_BYTES, b"a" * READ_BYTES)
BODIES = 32
MOST_BYTES = 2 * framing.MAX_HEAD_BYTES
# What a peer could send if nobody closed its connection.
ENDLESS_BYTES = 8 << 20
FIELDS = b"a:\r\n" * (READ_BYTES // 4)
FIELD = b"a" * READ_BYTES
CHUNK_LINE = b"4;x="
OTHER = b"HTTP/1.1 200 OK\r\nx-other: 1\r\ncontent-length: %d\r\n\r\n"


class Receiver(support.Receiver):
    """Refuses answers to another request."""

    def on_head(self, status, headers) -> bool:
        return (b"x-other", b"1") not in headers

    def on_body(self, data) -> bool:
        return True


def send_endless(
    receiver: asyncio.Protocol, transport: support.Transport, piece: bytes
) -> tuple[int, int]:
    """Returns the bytes that are read until the end, and the memory held."""
    sent = 0
    tracemalloc.start()
    try:
        while sent < ENDLESS_BYTES and not transport.is_closed:
            receiver.data_received(piece)
            sent += len(piece)
        _, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return sent, most


# Guards against an answer that ends an instance for the memory that it takes:
# with each byte of its body, 16 bytes of fields were kept for a whole one.
@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (b"0\r\n", FIELDS),
        (b"0\r\nx-more: ", FIELD),
        (b"0\r\n\r\n" + OTHER % 0 + b"HTTP/1.1 200 OK\r\n", FIELDS),
        (CHUNK_LINE, FIELD),
    ],
    ids=["trailers", "one_trailer", "another_head", "chunk_extension"],
)
def test_what_follows_the_body_of_an_answer_is_bounded(
    begin: bytes, piece: bytes
) -> None:
    async def run():
        receiver = Receiver()
        opened, transport = support.make_client_connection(receiver)
        opened.data_received(support.ANSWER)
        for _ in range(BODIES):
            opened.data_received(BODY)
        opened.data_received(begin)
        return *send_endless(opened, transport, piece), receiver.events

    sent, held, events = asyncio.run(run())
    assert sent <= MOST_BYTES and held <= 2 * MOST_BYTES
    assert events in ([connection.ResponseFailure.TOO_LARGE], ["end"])


# Guards against a head that takes the memory of an instance after an answer to
# another request, whose body allowed for as many bytes of fields.
def test_the_head_after_the_body_of_another_answer_is_bounded() -> None:
    async def run():
        receiver = Receiver()
        opened, transport = support.make_client_connection(receiver)
        opened.data_received(OTHER % (10 * READ_BYTES))
        for _ in range(10):
            opened.data_received(b"a" * READ_BYTES)
        opened.data_received(b"HTTP/1.1 200 OK\r\n")
        return *send_endless(opened, transport, FIELDS), receiver.events

    sent, held, events = asyncio.run(run())
    assert sent <= MOST_BYTES and held <= 32 * MOST_BYTES
    assert events == [connection.ResponseFailure.TOO_LARGE]


# Guards against a request that ends an instance for the memory that it takes
# beside its body.
@pytest.mark.parametrize(
    ("begin", "piece"),
    [(b"0\r\n", FIELDS), (b"0\r\nx-more: ", FIELD), (CHUNK_LINE, FIELD)],
    ids=["trailers", "one_trailer", "chunk_extension"],
)
def test_what_follows_the_body_of_a_request_is_bounded(
    begin: bytes, piece: bytes
) -> None:
    async def run():
        front = support.Front()
        front.accepted.data_received(support.REQUEST)
        for _ in range(BODIES):
            front.accepted.data_received(BODY)
        front.accepted.data_received(begin)
        sent, held = send_endless(front.accepted, front.transport, piece)
        return sent, held, front.server.counters.refused

    sent, held, refused = asyncio.run(run())
    assert sent <= MOST_BYTES and held <= 32 * MOST_BYTES
    assert refused == {callers.Fault.HEADERS_TOO_LARGE.value: 1}


# Guards against refusing bodies in chunks of one byte, with five bytes of
# framing for each, or with an extension at each chunk.
@pytest.mark.parametrize("chunk", [b"1\r\na\r\n", b"1;name=val\r\na\r\n"])
def test_small_chunks_are_accepted(chunk: bytes) -> None:
    async def run():
        front = support.Front()
        front.accepted.data_received(support.REQUEST)
        for _ in range(64):
            front.accepted.data_received(chunk * 4096)
        front.accepted.data_received(support.LAST_CHUNK)
        await asyncio.sleep(0)
        return len(front.calls[0].body)

    assert asyncio.run(run()) == 64 * 4096
