"""A connection to a runner or to the store: one exchange at a time."""

import asyncio
import enum
from typing import Protocol

import httptools

from pollenfork.gateway import messages


class ResponseFailure(enum.Enum):
    """Why a connection brought no whole answer."""

    CLOSED = "closed"
    RESET = "reset"
    INVALID = "garbage"


class Receiver(Protocol):
    """Takes the answer of one exchange, as it comes."""

    def on_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Takes the head; returns False where it answers something else."""

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""

    def on_end(self) -> None:
        """Notes that the answer is whole."""

    def on_failure(self, failure: ResponseFailure) -> None:
        """Notes that no more of the answer comes."""


_BODILESS = frozenset({204, 304})
_KEEP_ALIVE = b"timeout="


class Connection(asyncio.Protocol):
    """Writes requests, parses answers; never reuses what is in doubt.

    Attributes:
        idle_since: Monotonic seconds at the end of the last exchange.
        idle_limit_s: How long the peer keeps it open when idle, in seconds;
            None where it doesn't say.
        reusable: Whether another exchange may follow.
        exchanges: Exchanges begun on it.
        connected_at_unix: The time of day at which it was opened, in seconds.
        connected_at: Monotonic seconds of the same moment.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._receiver: Receiver | None = None
        self._headers: list[messages.Header] = []
        self._framed = False
        self._in_body = False
        self._skipping = False
        self._lost = False
        self.idle_since = 0.0
        self.connected_at_unix = 0.0
        self.connected_at = 0.0
        self.idle_limit_s: float | None = None
        self.reusable = True
        self.exchanges = 0

    @property
    def usable(self) -> bool:
        """Whether an exchange may begin now."""
        return self.reusable and not self._lost and self._receiver is None

    def send(self, data: bytes, receiver: Receiver) -> None:
        """Begins an exchange."""
        assert self._transport is not None
        self._receiver = receiver
        self.exchanges += 1
        self._transport.write(data)

    def pause(self) -> None:
        """Stops reading, so that the peer stops sending."""
        if self._transport is not None and not self._lost:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self._transport is not None and not self._lost:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Closes at once; whoever waits for an answer is told nothing."""
        self._receiver = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self) -> None:
        """Closes at once; whoever waits for an answer is told."""
        self._break(ResponseFailure.RESET)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses what came; bytes that nobody waits for end the connection."""
        if self._receiver is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break(ResponseFailure.INVALID)
        except httptools.HttpParserError:
            self._break(ResponseFailure.INVALID)

    def eof_received(self) -> bool:
        """Ends an answer that has no length; breaks any other."""
        self.reusable = False
        if self._in_body and not self._framed and not self._skipping:
            self._end()
        else:
            self._break(ResponseFailure.CLOSED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Breaks the answer under way."""
        self._lost = True
        self.reusable = False
        self._break(ResponseFailure.RESET if error else ResponseFailure.CLOSED)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begins a head; one that nobody waits for is a stray."""
        if self._receiver is None:
            self.reusable = False
        self._headers = []
        self._framed = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True
        elif name == b"keep-alive":
            self._note_keep_alive(value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hands the head on."""
        status = self._parser.get_status_code()
        if self._receiver is None or status < 200:
            return
        if status in _BODILESS:
            self._framed = True
        self._in_body = True
        self._skipping = not self._receiver.on_head(status, self._headers)
        if self._skipping and not self._framed:
            self._break(ResponseFailure.INVALID)

    def on_body(self, data: bytes) -> None:
        """Hands a piece of the body on."""
        if self._receiver is not None and not self._skipping:
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Ends the answer, unless it was an interim or a foreign one."""
        if self._parser.get_status_code() < 200:
            return
        self._in_body = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        if self._skipping:
            self._skipping = False
            return
        self._end()

    def _note_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            part = part.strip().lower()
            if part.startswith(_KEEP_ALIVE) and part[8:].isdigit():
                self.idle_limit_s = float(part[8:])

    def _end(self) -> None:
        receiver, self._receiver = self._receiver, None
        self._in_body = False
        if receiver is None:
            return
        self.idle_since = self._loop.time()
        # A peer that answered early must not take what follows for the rest
        # of this request.
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            self.reusable = False
        receiver.on_end()

    def _break(self, failure: ResponseFailure) -> None:
        receiver, self._receiver = self._receiver, None
        self.reusable = False
        if self._transport is not None and not self._lost:
            self._transport.abort()
        if receiver is not None:
            receiver.on_failure(failure)
