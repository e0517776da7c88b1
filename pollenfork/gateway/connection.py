"""An HTTP/1.1 client connection that carries one exchange at a time."""

import asyncio
from collections.abc import Callable
import enum
import http
import logging
from typing import Protocol

import httptools

from pollenfork.gateway import messages
from pollenfork.gateway.bounds import framing
from pollenfork.gateway.bounds import pieces


class ResponseFailure(enum.Enum):
    """Why a response stayed incomplete."""

    CLOSED = "closed"
    RESET = "reset"
    INVALID = "garbage"
    # Bytes that are no event, and events that can't follow the last one.
    FOREIGN = "foreign"
    OUT_OF_ORDER = "out_of_order"
    TOO_LARGE = "too_large"


class EndProof(enum.Enum):
    """What shows that a response is complete."""

    FRAMING = "framing"
    # Only the end of the connection, which looks the same if the peer ends.
    CONNECTION = "connection"
    # That, and the peer has been connected to since.
    SURVIVAL = "survival"


class Receiver(Protocol):
    """Receives the response of one exchange as it arrives."""

    def on_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Handles the head; returns False if it answers another request."""

    def on_body(self, data: bytes) -> bool:
        """Handles a piece of the body; returns False if it is too large."""

    def on_end(self, proof: EndProof) -> None:
        """Handles the end of a response that looks complete."""

    def on_failure(self, failure: ResponseFailure) -> None:
        """Handles a response that stays incomplete."""


_LOG = logging.getLogger(__name__)

# The body of an answer to another request is dropped up to this size.
_MAX_DISCARDED_BYTES = 1 << 20
_WITHOUT_BODY = frozenset({204, 304})
# The colon and the line's end, at least.
_SEPARATOR_BYTES = 3
_TIMEOUT_PARAMETER = b"timeout="


class Connection(asyncio.Protocol):
    """Writes requests and parses responses.

    It isn't reused once its state is uncertain.

    Attributes:
        idle_since: Monotonic seconds at the end of the last exchange.
        idle_limit_s: Seconds for which the peer keeps the connection open when
            idle; None if the peer doesn't say.
        reusable: Whether another exchange may follow.
        exchanges: Exchanges started on the connection.
        connected_at_unix: Unix time at which it was opened, in seconds.
        connected_at: Monotonic seconds of the same moment.
        has_received: Whether any response bytes have arrived on it.
        received_at: Monotonic seconds at which the last ones did.
        on_data: Called with the connection when response bytes arrive.
        on_closed: Called with the connection, and whether it was idle and was
            reset, when the peer closes it without having announced that.
        on_continue: Called when the peer asks for the request's body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._receiver: Receiver | None = None
        self._headers: list[messages.Header] = []
        self._header_bytes = 0
        self._has_length = False
        self._in_body = False
        self._discarding = False
        self._lost = False
        self._framing = framing.FramingCounter()
        self._read_body = pieces.Pieces()
        self._discarded = 0
        self.idle_since = 0.0
        self.connected_at_unix = 0.0
        self.connected_at = 0.0
        self.idle_limit_s: float | None = None
        self.reusable = True
        self.exchanges = 0
        self.has_received = False
        self.received_at = 0.0
        self.on_data: Callable[[Connection], None] = _ignore
        self.on_closed: Callable[[Connection, bool, bool], None] = (
            _ignore_closed
        )
        self._is_closed_by_peer = False
        self.on_continue: Callable[[], None] | None = None

    @property
    def usable(self) -> bool:
        """Whether an exchange may start now."""
        return self.reusable and not self._lost and self._receiver is None

    def send(self, data: bytes, receiver: Receiver) -> None:
        """Starts an exchange."""
        assert self._transport is not None
        self._receiver = receiver
        self._framing.restart()
        self._discarded = 0
        self.exchanges += 1
        self._transport.write(data)

    def send_rest(self, data: bytes) -> None:
        """Sends the rest of the request."""
        if self._transport is not None and not self._lost:
            self._transport.write(data)

    def count_unsent(self) -> int:
        """Returns the bytes of the request that the peer hasn't read."""
        if self._transport is None or self._lost:
            return 0
        return self._transport.get_write_buffer_size()

    def pause(self) -> None:
        """Stops reading, which makes the peer stop sending."""
        if self._transport is not None and not self._lost:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None and not self._lost:
            self._transport.resume_reading()

    def abort(self) -> None:
        """Closes the connection without notifying the receiver."""
        self._receiver = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def fail(self) -> None:
        """Closes the connection and notifies the receiver."""
        self._fail(ResponseFailure.RESET)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection on unsolicited ones."""
        if self._receiver is None:
            self.abort()
            return
        self.on_data(self)
        self.has_received = True
        self.received_at = self._loop.time()
        self._framing.add(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._pass_body()
            self._fail(ResponseFailure.INVALID)
            return
        self._pass_body()
        if self._receiver is not None and self._framing.exceeded:
            self._fail(ResponseFailure.TOO_LARGE)

    def eof_received(self) -> bool:
        """Completes a response without a length; fails any other."""
        self._record_closed(is_reset=False)
        self.reusable = False
        if self._in_body and not self._has_length and not self._discarding:
            self._complete(EndProof.CONNECTION)
        else:
            self._fail(ResponseFailure.CLOSED)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the response in progress."""
        if error is not None:
            self._record_closed(is_reset=True)
        self._lost = True
        self.reusable = False
        self._fail(ResponseFailure.RESET if error else ResponseFailure.CLOSED)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response; an unsolicited one prevents reuse."""
        if self._receiver is None:
            self.reusable = False
        self._headers = []
        self._header_bytes = 0
        self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, up to the limit; trailers aren't passed on."""
        if self._in_body or self._receiver is None:
            return
        self._header_bytes += len(name) + len(value) + _SEPARATOR_BYTES
        if self._header_bytes > framing.MAX_HEAD_BYTES:
            self._fail(ResponseFailure.TOO_LARGE)
            return
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._has_length = True
        elif name == b"keep-alive":
            self._read_keep_alive(value)
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Passes the head to the receiver."""
        status = self._parser.get_status_code()
        if status == http.HTTPStatus.CONTINUE and self.on_continue is not None:
            self.on_continue()
        if self._receiver is None or status < 200:
            return
        if status in _WITHOUT_BODY:
            self._has_length = True
        self._in_body = True
        self._discarding = not self._receiver.on_head(status, self._headers)
        if self._discarding and not self._has_length:
            self._fail(ResponseFailure.INVALID)

    def on_body(self, data: bytes) -> None:
        """Keeps a piece of the body until the read ends.

        The receiver gets the body as it was read, not as it was cut into
        chunks, since its work and that of the caller's connection for each
        piece would be many times that of the parser.
        """
        self._framing.add_body(len(data))
        if self._receiver is None:
            return
        if not self._discarding:
            self._read_body.append(data)
            return
        self._discarded += len(data)
        if self._discarded > _MAX_DISCARDED_BYTES:
            self._fail(ResponseFailure.TOO_LARGE)

    def on_message_complete(self) -> None:
        """Ends the response, unless it is interim or to another request."""
        if self._parser.get_status_code() < 200:
            return
        self._in_body = False
        if not self._parser.should_keep_alive():
            self.reusable = False
        if self._discarding:
            self._discarding = False
            return
        self._pass_body()
        self._complete(EndProof.FRAMING)

    def _record_closed(self, *, is_reset: bool) -> None:
        is_idle = self._receiver is None
        is_expected = is_idle and not self.reusable
        if not is_expected and not self._is_closed_by_peer:
            self._is_closed_by_peer = True
            self.on_closed(self, is_idle, is_reset)

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            part = part.strip().lower()
            if part.startswith(_TIMEOUT_PARAMETER) and part[8:].isdigit():
                self.idle_limit_s = float(part[8:])

    def _pass_body(self) -> None:
        """Passes what was read of the body to the receiver."""
        if not len(self._read_body):
            return
        data = self._read_body.take()
        if self._receiver is not None and not self._receiver.on_body(data):
            self._fail(ResponseFailure.TOO_LARGE)

    def _complete(self, proof: EndProof) -> None:
        receiver, self._receiver = self._receiver, None
        self._in_body = False
        if receiver is None:
            return
        self.idle_since = self._loop.time()
        # The peer answered before it had the whole request, so it would read
        # the next request as the rest of this one.
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            self.reusable = False
        receiver.on_end(proof)

    def _fail(self, failure: ResponseFailure) -> None:
        receiver, self._receiver = self._receiver, None
        self.reusable = False
        if failure is ResponseFailure.TOO_LARGE and receiver is not None:
            _LOG.warning("event=answer_too_large peer=%s", self._find_peer())
        if self._transport is not None and not self._lost:
            self._transport.abort()
        if receiver is not None:
            receiver.on_failure(failure)

    def _find_peer(self) -> str:
        if self._transport is None:
            return "-"
        address = self._transport.get_extra_info("peername")
        return f"{address[0]}:{address[1]}" if address else "-"


def _ignore(connection: Connection) -> None:
    """Ignores that bytes have arrived."""


def _ignore_closed(
    connection: Connection, is_idle: bool, is_reset: bool
) -> None:
    """Ignores that the peer has closed the connection."""
