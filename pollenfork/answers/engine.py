"""HTTP client for endpoints; each exchange uses a connection of its own.

urllib3 connects, sends the request and parses the answer's head. A streamed
answer is requested over HTTP/1.0, so that it isn't chunked, and its body is
then read directly from the socket.
"""

import socket
from typing import Any

import msgspec
import result
import urllib3
import urllib3.connection

from pollenfork import bounded_http
from pollenfork import ids
from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import edges as endpoint_edges

_READ_BYTES = 65536
_MAX_REPLY_BYTES = 65536
_EVENT_STREAM = "text/event-stream"
_SOFTWARE_VERSION = "x-software-version"
_OK = 200
_OUTCOME_NOT_RUN = "not_run"
_REFUSAL_STATUSES = (429, 503)
_DROPPED_HEADERS = frozenset(
    {
        "accept-encoding",
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-priority",
        "x-request-id",
    }
)

_Cause = errors.Cause
_CONNECTION_ERRORS = (OSError, urllib3.exceptions.HTTPError)


class _StreamConnection(urllib3.connection.HTTPConnection):
    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer."""

    status: int
    headers: list[tuple[str, str]]

    @property
    def is_event_stream(self) -> bool:
        """Whether the body is a stream of server-sent events."""
        return any(
            name.lower() == "content-type" and value.startswith(_EVENT_STREAM)
            for name, value in self.headers
        )

    @property
    def software_version(self) -> str:
        """The engine's software version; empty if it doesn't name one."""
        found = (
            value
            for name, value in self.headers
            if name.lower() == _SOFTWARE_VERSION
        )
        return next(found, "")


class ResponseStart(msgspec.Struct, frozen=True):
    """The head and the first bytes, or the whole body if `complete`."""

    head: ResponseHead
    body: bytes
    complete: bool


class Exchange:
    """One request to one endpoint and its answer, on its own connection."""

    def __init__(self, address: str, limits: messages.Limits) -> None:
        self._address = address
        self._limits = limits
        self._connection: urllib3.connection.HTTPConnection | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._socket: socket.socket | None = None
        self._buffered = b""
        self._interrupted = False

    @property
    def socket(self) -> socket.socket:
        """The connection's socket, for reading a stream's body."""
        assert self._socket
        return self._socket

    def send(
        self,
        call: messages.Call,
        grant: dispatch_messages.Grant,
        body: bytes,
        head_s: float,
    ) -> result.Result[ResponseHead, errors.Cause]:
        """Sends the call and returns the answer's head, within `head_s`."""
        headers = {
            name: value
            for name, value in call.headers
            if name.lower() not in _DROPPED_HEADERS
        }
        headers["X-Request-Id"] = grant.attempt
        headers["X-Priority"] = str(grant.priority)
        if not self._connect(call.streamed, head_s):
            return result.Err(_Cause.NEVER_SENT)
        return self._request(call.method, call.path, headers, body)

    def resume(
        self, attempt: ids.AttemptId, position: int
    ) -> result.Result[ResponseHead, errors.Cause]:
        """Requests the rest of a stream that the engine still holds."""
        path = f"/v1/streams/{attempt}?from={position}"
        if not self._connect(True, self._limits.stall_s):
            return result.Err(_Cause.STREAM_UNKNOWN)
        response = self._request("GET", path, {}, b"")
        if response.is_err() or response.unwrap().status != _OK:
            return result.Err(_Cause.STREAM_UNKNOWN)
        return response

    def begin_stream(self) -> None:
        """Drains the parser's buffer; the rest is read from the socket."""
        assert self._response and self._socket
        parser: Any = self._response
        stream = parser._original_response.fp
        if stream is not None:
            self._socket.settimeout(0)
            self._buffered = stream.read1(_READ_BYTES) or b""

    def take_buffered(self) -> bytes:
        """Returns the part of the stream's body read along with its head."""
        buffered, self._buffered = self._buffered, b""
        return buffered

    def read(self) -> bytes:
        """Returns the next bytes of a stream; empty at its end.

        Raises:
            TimeoutError: Nothing arrived within `stall_s`.
        """
        self.socket.settimeout(self._limits.stall_s)
        try:
            return self.socket.recv(_READ_BYTES)
        except TimeoutError:
            raise
        except OSError:
            return b""

    def read_whole(self) -> result.Result[bytes, errors.Cause]:
        """Returns the body of an answer that isn't streamed.

        A body without a length or chunks is never whole: the connections of a
        process that is killed are closed in order, as after the last byte.
        """
        assert self._response
        parts: list[bytes] = []
        size = 0
        framed = _is_framed(self._response)
        try:
            while part := self._response.read(
                _READ_BYTES, decode_content=False
            ):
                parts.append(part)
                size += len(part)
                if size > self._limits.max_body:
                    return result.Err(_Cause.OVERSIZE)
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            return result.Err(_Cause.STALLED)
        except _CONNECTION_ERRORS:
            return result.Err(_Cause.CLOSED)
        if not framed:
            return result.Err(_Cause.CLOSED)
        return result.Ok(b"".join(parts))

    def interrupt(self) -> None:
        """Ends current and later reads in other threads."""
        self._interrupted = True
        if self._socket:
            try:
                self._socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return

    def close(self) -> None:
        """Closes the connection."""
        if self._response:
            self._response.close()
        if self._connection:
            self._connection.close()

    def _connect(self, streamed: bool, timeout_s: float) -> bool:
        host, _, port = self._address.rpartition(":")
        kind: Any = urllib3.connection.HTTPConnection
        if streamed:
            kind = _StreamConnection
        connect_s = self._limits.connect_s
        connection = kind(host.strip("[]"), int(port), timeout=connect_s)
        try:
            connection.connect()
        except _CONNECTION_ERRORS:
            return False
        connection.timeout = timeout_s
        connection.sock.settimeout(timeout_s)
        self._connection = connection
        self._socket = connection.sock
        return not self._interrupted

    def _request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> result.Result[ResponseHead, errors.Cause]:
        assert self._connection
        headers["Host"] = self._address
        headers["Connection"] = "close"
        headers["Accept-Encoding"] = "identity"
        try:
            self._connection.request(
                method,
                path,
                body=body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            response = self._connection.getresponse()
        except (TimeoutError, urllib3.exceptions.TimeoutError):
            return result.Err(_Cause.HEAD_LATE)
        except (*_CONNECTION_ERRORS, ValueError):
            return result.Err(_Cause.NO_HEAD)
        self._response = response
        cause = _find_failure(response)
        if cause:
            return result.Err(cause)
        return result.Ok(
            ResponseHead(response.status, list(response.headers.items()))
        )


def cancel(
    address: str, attempt: ids.AttemptId, limits: messages.Limits
) -> result.Result[
    endpoint_edges.CancelOutcome, endpoint_edges.EndpointFailure
]:
    """Cancels an attempt at its engine and returns the outcome."""
    body = msgspec.json.encode({"request_id": attempt})
    try:
        with urllib3.PoolManager(num_pools=1) as pool:
            response = bounded_http.request(
                pool,
                "POST",
                f"http://{address}/v1/cancel",
                max_bytes=_MAX_REPLY_BYTES,
                max_s=limits.cancel_s,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=limits.cancel_s,
                retries=False,
            )
    except urllib3.exceptions.NewConnectionError as error:
        return result.Err(endpoint_edges.Unreachable(detail=str(error)))
    except urllib3.exceptions.HTTPError as error:
        return result.Err(endpoint_edges.Unanswered(detail=str(error)))
    try:
        reply = msgspec.json.decode(response.data, type=_Cancelled)
    except msgspec.MsgspecError as error:
        return result.Err(endpoint_edges.Rejected(detail=str(error)))
    return result.Ok(reply.outcome)


class _Cancelled(msgspec.Struct, frozen=True):
    outcome: endpoint_edges.CancelOutcome


def _is_framed(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a length or chunks show where the body ends.

    Must be called before the body is read. Answers that have no body, such as
    those of status 204, count as having a length of 0.
    """
    coding = response.headers.get("transfer-encoding", "")
    # As http.client does, which takes no other coding for chunks.
    return coding.lower() == "chunked" or response.length_remaining is not None


def _find_failure(response: urllib3.BaseHTTPResponse) -> errors.Cause | None:
    if response.status < 500 and response.status not in _REFUSAL_STATUSES:
        return None
    outcome = response.headers.get("X-Outcome")
    if response.status in _REFUSAL_STATUSES and outcome == _OUTCOME_NOT_RUN:
        return _Cause.REFUSED
    return None if response.status < 500 else _Cause.SERVER_ERROR
