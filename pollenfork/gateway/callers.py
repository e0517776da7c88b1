"""HTTP server connections of callers, with limits on size and time."""

import asyncio
from collections.abc import Callable, Coroutine
import enum
import logging
from typing import Any

import httptools
import msgspec

from pollenfork.gateway import buffers
from pollenfork.gateway import messages
from pollenfork.gateway import replies
from pollenfork.gateway.bounds import framing
from pollenfork.gateway.bounds import pieces
from pollenfork.routes import model as routes

_LOG = logging.getLogger(__name__)

# Bytes buffered for a slow caller before reading from its runner is paused.
_WRITE_BUFFER_BYTES = 64 * 1024
# Added to the idle limit, since a caller may send a request on a persistent
# connection just as the limit expires.
_IDLE_MARGIN_S = 0.5
# Requests that a caller may send ahead of its answers.
_MAX_PIPELINED = 64


class Fault(enum.Enum):
    """Why a caller's request can't be parsed."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    TOO_SLOW = "too_slow"
    MEMORY = "memory"
    PIPELINED = "pipelined"


class CallerCounters(msgspec.Struct):
    """Counts of callers' connections and requests."""

    connections: int = 0
    open: int = 0
    requests: int = 0
    gone: int = 0
    refused: dict[str, int] = msgspec.field(default_factory=dict)


class Server:
    """State shared by all connections of one listener.

    Attributes:
        limits: The current limits on callers.
        closing: Whether each connection closes after its current answer.
        counters: Counts of connections and requests.
        connections: The open connections.
        buffers: What is held for the callers.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        serve: Callable[
            [messages.Request, "CallerConnection"], Coroutine[Any, Any, None]
        ],
        account: buffers.Account | None = None,
    ) -> None:
        self.loop = loop
        self.serve = serve
        self.limits = routes.CallerLimits()
        self.closing = False
        self.counters = CallerCounters()
        self.connections: set[CallerConnection] = set()
        self.buffers = account or buffers.Account()

    def make_connection(self) -> "CallerConnection":
        """Returns the protocol of a newly accepted connection."""
        return CallerConnection(self)

    def close_idle(self) -> None:
        """Closes connections without a request in progress."""
        for each in list(self.connections):
            each.close_if_idle()

    @property
    def busy(self) -> bool:
        """Whether any request is being read or served, or answer read."""
        return any(
            not each.idle or each.count_unread() for each in self.connections
        )


class CallerConnection(asyncio.Protocol):
    """One caller's connection; serves its requests one at a time."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._parser: Any = httptools.HttpRequestParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._waiting: list[tuple[messages.Request, bool]] = []
        self._reading = False
        self._arrived = 0.0
        self._target = pieces.Pieces()
        self._headers: list[messages.Header] = []
        self._header_bytes = 0
        self._framing = framing.FramingCounter()
        self._read_body = pieces.Pieces()
        self._body = pieces.Pieces()
        self._body_bytes = 0
        self._closing = False
        self._fault: Fault | None = None
        self._on_paused: Callable[[bool], None] | None = None
        self.buffers = buffers.CallerBuffers(server.buffers, self)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._task is None and not self._reading and not self._waiting

    @property
    def closing(self) -> bool:
        """Whether the connection closes after the current answer."""
        return self._closing or self._server.closing

    def write(self, data: bytes) -> None:
        """Writes to the caller."""
        if self._transport is not None:
            self._transport.write(data)
            self.buffers.update()

    def count_unread(self) -> int:
        """Returns the bytes written that the caller hasn't read."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def count_received(self) -> int:
        """Returns the bytes of received bodies that aren't served yet."""
        waiting = sum(len(call.body) for call, _ in self._waiting)
        return waiting + len(self._body)

    def watch_backpressure(self, callback: Callable[[bool], None]) -> None:
        """Sets the callback for a write buffer that fills (True) or drains."""
        self._on_paused = callback

    def close_after_answer(self) -> None:
        """Closes the connection once the current answer is written."""
        self._closing = True

    def abort(self) -> None:
        """Resets the connection, so that the answer can't look complete."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.idle and self._transport is not None:
            self._transport.close()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the header timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        host, port = transport.get_extra_info("peername")[:2]
        self._peer = f"{host}:{port}"
        self._server.connections.add(self)
        self.buffers.open()
        self._server.counters.connections += 1
        self._start_timer(self._server.limits.header_s, self._on_read_timeout)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels the caller's request."""
        self._server.connections.discard(self)
        self._stop_timer()
        self._transport = None
        self.buffers.close()
        self._waiting.clear()
        if self._task is not None:
            self._server.counters.gone += 1
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treats a half-closed connection as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Reports a full write buffer."""
        if self._on_paused is not None:
            self._on_paused(True)

    def resume_writing(self) -> None:
        """Reports that the write buffer has drained."""
        self.buffers.update()
        if self._on_paused is not None:
            self._on_paused(False)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._fault is not None or self._closing:
            return
        self._framing.add(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(Fault.MALFORMED)
        except httptools.HttpParserError:
            self._refuse(self._fault or Fault.MALFORMED)
        else:
            self._add_read_body()
            if self._framing.exceeded:
                self._fault = self._fault or Fault.HEADERS_TOO_LARGE
            if self._fault is not None:
                self._refuse(self._fault)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reading = True
        self._arrived = self._server.loop.time()
        self._target.clear()
        self._headers = []
        self._header_bytes = 0
        self._body.clear()
        self._body_bytes = 0
        if self._task is None:
            self._start_timer(
                self._server.limits.header_s, self._on_read_timeout
            )

    def on_url(self, url: bytes) -> None:
        """Stores the target."""
        self._target.append(url)
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._count_header(len(name) + len(value) + 4)
        if self._fault is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Starts the timeout of the body; answers `Expect: 100-continue`."""
        if self._task is None:
            self._start_timer(
                self._server.limits.idle_s + _IDLE_MARGIN_S,
                self._on_read_timeout,
            )
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self.write(replies.CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body until the read ends."""
        self._framing.add_body(len(data))
        if self._fault is None:
            self._read_body.append(data)

    def on_message_complete(self) -> None:
        """Serves the request, or queues it behind the one in progress."""
        self._reading = False
        self._add_read_body()
        if self._fault is not None:
            return
        call = messages.Request(
            method=self._parser.get_method(),
            target=self._target.take(),
            headers=self._headers,
            body=self._body.take(),
            arrived=self._arrived,
        )
        keep = self._parser.should_keep_alive()
        self._headers = []
        self._framing.restart()
        self._waiting.append((call, keep))
        if len(self._waiting) > _MAX_PIPELINED:
            self._fault = Fault.PIPELINED
        self._serve_next()

    # Serving requests.

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.header_bytes:
            self._fault = self._fault or Fault.HEADERS_TOO_LARGE

    def _add_read_body(self) -> None:
        """Adds what was read of the body, within the limits.

        They are applied once for each read, since each chunk may hold a single
        byte and buffers of all callers may be measured.
        """
        size = len(self._read_body)
        if not size:
            return
        self._body_bytes += size
        if self._body_bytes > self._server.limits.body_bytes:
            self._fault = self._fault or Fault.BODY_TOO_LARGE
        elif not self._server.buffers.has_room(size):
            self._fault = self._fault or Fault.MEMORY
        data = self._read_body.take()
        if self._fault is None:
            self._body.append(data)
        else:
            self._body.clear()
        self.buffers.update()

    def _serve_next(self) -> None:
        if self._task is not None or not self._waiting:
            return
        call, keep = self._waiting.pop(0)
        self._stop_timer()
        if not keep:
            self._closing = True
        self._server.counters.requests += 1
        serving = self._server.serve(call, self)
        self._task = self._server.loop.create_task(serving)
        self._task.add_done_callback(self._on_served)

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self._task = None
        self._on_paused = None
        if not task.cancelled() and task.exception() is not None:
            self._server.loop.call_exception_handler(
                {"message": "request failed", "exception": task.exception()}
            )
            self.abort()
        if self._transport is None:
            return
        if self.closing and not self._waiting:
            self._closing = True
            self._transport.close()
            return
        self._serve_next()
        if self.idle:
            limits = self._server.limits
            self._start_timer(
                limits.idle_s + _IDLE_MARGIN_S, self.close_if_idle
            )

    def _on_read_timeout(self) -> None:
        if self._task is not None or self._transport is None:
            return
        if self._reading:
            self._refuse(Fault.TOO_SLOW)
        else:
            self._transport.close()

    def _refuse(self, fault: Fault) -> None:
        """Answers a request that can't be parsed, and closes."""
        self._fault = fault
        self._read_body.clear()
        self._body.clear()
        counted = self._server.counters.refused
        counted[fault.value] = counted.get(fault.value, 0) + 1
        _LOG.warning(
            "event=caller_refused fault=%s caller=%s header_bytes=%d "
            "body_bytes=%d",
            fault.value,
            self._peer,
            self._header_bytes,
            self._body_bytes,
        )
        self._closing = True
        if self._transport is None:
            return
        if fault is Fault.PIPELINED:
            self.abort()
            return
        if self._task is None:
            wait_s = _RETRY_AFTER_S.get(fault)
            status = _STATUSES[fault]
            self.write(replies.write_fault(status, fault.value, wait_s))
            self._transport.close()

    def _start_timer(self, seconds: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._server.loop.call_later(seconds, call)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


_STATUSES = {
    Fault.MALFORMED: 400,
    Fault.HEADERS_TOO_LARGE: 431,
    Fault.BODY_TOO_LARGE: 413,
    Fault.TOO_SLOW: 408,
    Fault.MEMORY: 503,
    Fault.PIPELINED: 400,
}
_RETRY_AFTER_S = {Fault.MEMORY: buffers.RETRY_AFTER_S}
