"""Messages that arrive in pieces of a few bytes."""

import asyncio
import tracemalloc

import pytest

from pollenfork.gateway import buffers
from pollenfork.gateway import client
from pollenfork.gateway import connection
from pollenfork.gateway.bounds.tests import support

SIZE = 2 << 20


def feed(receiver: asyncio.Protocol, size: int, total: int) -> float:
    """Feeds chunks of a size; returns the most memory for each byte."""
    chunk = b"%x\r\n%b\r\n" % (size, b"a" * size)
    each = 65_536 // len(chunk)
    tracemalloc.start()
    try:
        for _ in range(total // size // each):
            receiver.data_received(chunk * each)
        receiver.data_received(chunk * (total // size % each))
        receiver.data_received(support.LAST_CHUNK)
        _, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return most / total


# Guards against a request within the limit on its size that takes 30 times its
# bytes, since each chunk was kept as an object until the request was whole.
@pytest.mark.parametrize("size", [1, 4, 64])
def test_a_body_in_small_chunks_takes_memory_as_its_bytes(size: int) -> None:
    async def run():
        front = support.Front()
        front.accepted.data_received(support.REQUEST)
        most = feed(front.accepted, size, SIZE)
        await asyncio.sleep(0)
        assert front.calls[0].body == b"a" * SIZE
        return most

    assert asyncio.run(run()) <= 1.5


# Guards against answers of the store, of peers and of runners' feeds that take
# 30 times their bytes, since each chunk was kept as an object.
@pytest.mark.parametrize("size", [1, 4, 64])
def test_an_answer_in_small_chunks_takes_memory_as_its_bytes(size: int) -> None:
    async def run():
        body = client.ResponseBuffer(asyncio.get_running_loop())
        opened, _ = support.make_client_connection(body)
        opened.data_received(support.ANSWER)
        most = feed(opened, size, SIZE)
        assert (await body.done).body == b"a" * SIZE
        return most

    assert asyncio.run(run()) <= 1.5


# Guards against a target or a body that is mixed up across requests.
def test_a_request_in_single_bytes_is_read_whole() -> None:
    async def run():
        front = support.Front()
        for number in range(2):
            request = b"POST /a%d HTTP/1.1\r\ncontent-length: 3\r\n\r\nab%d"
            for byte in request % (number, number):
                front.accepted.data_received(bytes([byte]))
        for _ in range(4):
            await asyncio.sleep(0)
        return [(call.target, call.body) for call in front.calls]

    assert asyncio.run(run()) == [(b"/a0", b"ab0"), (b"/a1", b"ab1")]


# Guards against a read whose chunks hold a byte each and that occupies the
# event loop for long, as all that is done for a piece was done for each byte.
def test_a_receiver_gets_a_read_at_once() -> None:
    async def run():
        receiver = support.Receiver()
        opened, _ = support.make_client_connection(receiver)
        opened.data_received(support.ANSWER + b"1\r\na\r\n" * 1000)
        opened.data_received(b"1\r\nb\r\n" * 1000 + support.LAST_CHUNK)
        return receiver.events

    events = asyncio.run(run())
    assert events == ["head", b"a" * 1000, b"b" * 1000, "end"]


# Guards against a stream that lacks events which a runner sent before it broke
# off, or that goes on after it.
@pytest.mark.parametrize("bad", [b"no chunk\r\n", b"5\r\nabcdefgh"])
def test_what_precedes_invalid_bytes_is_passed_on(bad: bytes) -> None:
    async def run():
        receiver = support.Receiver()
        opened, transport = support.make_client_connection(receiver)
        opened.data_received(support.ANSWER + b"4\r\ngood\r\n" * 2 + bad)
        assert transport.is_closed
        return receiver.events

    head, data, failure = asyncio.run(run())
    assert head == "head" and data.startswith(b"goodgood")
    assert failure is connection.ResponseFailure.INVALID


# Guards against an answer that holds the body of one to an earlier request.
def test_the_body_of_another_answer_is_not_passed_on() -> None:
    class Choosy(support.Receiver):
        def on_head(self, status, headers) -> bool:
            super().on_head(status, headers)
            return len(self.events) > 1

    async def run():
        receiver = Choosy()
        opened, _ = support.make_client_connection(receiver)
        other = support.ANSWER + b"4\r\nlate\r\n" + support.LAST_CHUNK
        opened.data_received(
            other + support.ANSWER + b"4\r\ngood\r\n" + support.LAST_CHUNK
        )
        return receiver.events

    assert asyncio.run(run()) == ["head", "head", b"good", "end"]


# Guards against an instance that stands still while it refuses a body for lack
# of memory: the buffers of all callers were measured at each chunk.
def test_buffers_are_measured_once_for_a_read() -> None:
    class CountingAccount(buffers.Account):
        refreshes = 0

        def refresh(self) -> None:
            self.refreshes += 1
            super().refresh()

    async def run():
        account = CountingAccount(4_000_000)
        account.set_forecast(True)
        front = support.Front(account)
        front.accepted.data_received(support.REQUEST)
        front.transport.get_write_buffer_size = lambda: account.bound
        account.refresh()
        before = account.refreshes
        front.accepted.data_received(b"1\r\na\r\n" * 10_000)
        assert front.transport.written.startswith(b"HTTP/1.1 503 ")
        return account.refreshes - before

    assert asyncio.run(run()) <= 5
