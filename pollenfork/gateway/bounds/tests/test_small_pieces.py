"""Messages that arrive in pieces of a few bytes."""

import asyncio
import tracemalloc

import pytest

from pollenfork.gateway import callers
from pollenfork.gateway import client
from pollenfork.gateway import connection
from pollenfork.routes import model as routes

SIZE = 2 << 20
REQUEST = b"POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class Transport(asyncio.Transport):
    """A connection whose peer reads all."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_aborted = False

    def get_extra_info(self, name, default=None):
        return ("127.0.0.1", 1)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data) -> None:
        self.written += data

    def close(self) -> None:
        pass

    def abort(self) -> None:
        self.is_aborted = True


class Front:
    """A caller's connection; keeps the requests that it serves."""

    def __init__(self) -> None:
        self.calls = []
        self.server = callers.Server(asyncio.get_running_loop(), self._serve)
        self.server.limits = routes.CallerLimits(body_bytes=2 * SIZE)
        self.accepted = self.server.make_connection()
        self.transport = Transport()
        self.accepted.connection_made(self.transport)

    async def _serve(self, call, caller) -> None:
        self.calls.append(call)


def make_client_connection(
    receiver: connection.Receiver,
) -> tuple[connection.Connection, Transport]:
    """Returns a connection that has sent a request."""
    opened = connection.Connection(asyncio.get_running_loop())
    transport = Transport()
    opened.connection_made(transport)
    opened.send(b"", receiver)
    return opened, transport


def feed(receiver: asyncio.Protocol, size: int, total: int) -> float:
    """Feeds chunks of a size; returns the most memory for each byte."""
    chunk = b"%x\r\n%b\r\n" % (size, b"a" * size)
    each = 65_536 // len(chunk)
    tracemalloc.start()
    try:
        for _ in range(total // size // each):
            receiver.data_received(chunk * each)
        receiver.data_received(chunk * (total // size % each))
        receiver.data_received(LAST_CHUNK)
        _, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return most / total


# Guards against a request within the limit on its size that takes 30 times its
# bytes, since each chunk was kept as an object until the request was whole.
@pytest.mark.parametrize("size", [1, 4, 64])
def test_a_body_in_small_chunks_takes_memory_as_its_bytes(size: int) -> None:
    async def run():
        front = Front()
        front.accepted.data_received(REQUEST)
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
        opened, _ = make_client_connection(body)
        opened.data_received(ANSWER)
        most = feed(opened, size, SIZE)
        assert (await body.done).body == b"a" * SIZE
        return most

    assert asyncio.run(run()) <= 1.5


# Guards against a target or a body that is mixed up across requests.
def test_a_request_in_single_bytes_is_read_whole() -> None:
    async def run():
        front = Front()
        for number in range(2):
            request = b"POST /a%d HTTP/1.1\r\ncontent-length: 3\r\n\r\nab%d"
            for byte in request % (number, number):
                front.accepted.data_received(bytes([byte]))
        for _ in range(4):
            await asyncio.sleep(0)
        return [(call.target, call.body) for call in front.calls]

    assert asyncio.run(run()) == [(b"/a0", b"ab0"), (b"/a1", b"ab1")]
