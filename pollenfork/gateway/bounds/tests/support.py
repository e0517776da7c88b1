"""Connections without a network, fed by tests."""

import asyncio

from pollenfork.gateway import buffers
from pollenfork.gateway import callers
from pollenfork.gateway import connection
from pollenfork.routes import model as routes

REQUEST = b"POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# The longest body that callers may send.
MAX_BODY_BYTES = 4 << 20


class Transport(asyncio.Transport):
    """A connection whose peer reads all."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.is_closed = False

    def get_extra_info(self, name, default=None):
        return ("127.0.0.1", 1)

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data) -> None:
        self.written += data

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True


class Front:
    """A caller's connection; keeps the requests that it serves."""

    def __init__(self, account: buffers.Account | None = None) -> None:
        self.calls = []
        self.server = callers.Server(
            asyncio.get_running_loop(), self._serve, account
        )
        self.server.limits = routes.CallerLimits(body_bytes=MAX_BODY_BYTES)
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


class Receiver:
    """Notes what a connection passes on."""

    def __init__(self) -> None:
        self.events = []

    def on_head(self, status, headers) -> bool:
        self.events.append("head")
        return True

    def on_body(self, data) -> bool:
        self.events.append(data)
        return True

    def on_end(self, proof) -> None:
        self.events.append("end")

    def on_failure(self, failure) -> None:
        self.events.append(failure)
