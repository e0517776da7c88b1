"""Responses that the gateway itself generates."""

import enum
import http

import msgspec

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Reason(enum.Enum):
    """Why the gateway refuses a request."""

    NO_SETTINGS = "no_settings"
    SETTINGS_STALE = "settings_stale"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_ATTEMPT_ID = "no_attempt_id"
    REPEATED_HEADER = "repeated_header"
    NO_RUNNER = "no_runner"
    RUNNERS_FULL = "runners_full"
    UNREACHABLE = "unreachable"
    STOPPING = "stopping"
    TIME_LIMIT = "time_limit"
    MAY_HAVE_RUN = "may_have_run"
    FAULT = "fault"
    OVERLOADED = "overloaded"
    RUNNERS_LIMITED = "runners_limited"
    RUNNERS_PAUSED = "runners_paused"
    RUNNERS_BRITTLE = "runners_brittle"
    ENDS_RUNNERS = "ends_runners"
    MEMORY = "memory"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"


class Refusal(msgspec.Struct, frozen=True):
    """A final error response of the gateway.

    Attributes:
        status: 429, 503, 408 and 421 promise that the request hasn't run.
        reason: The reason, sent in the body.
        retry_after_s: Seconds after which to retry; None: retrying is useless.
    """

    status: int
    reason: Reason
    retry_after_s: float | None = None


def write_refusal(refusal: Refusal, closing: bool) -> bytes:
    """Returns a refusal as an HTTP response."""
    body = msgspec.json.encode({"error": refusal.reason.value})
    extra = _write_retry_after(refusal.retry_after_s)
    return _write(refusal.status, body, extra, closing)


def write_fault(
    status: int, reason: str, retry_after_s: float | None = None
) -> bytes:
    """Returns the response to bytes that can't be taken as a request."""
    body = msgspec.json.encode({"error": reason})
    extra = _write_retry_after(retry_after_s)
    return _write(status, body, extra, closing=True)


def write_text(status: int, body: bytes, closing: bool = False) -> bytes:
    """Returns a plain-text response to a readiness check or a scrape."""
    return _write(status, body, b"", closing, b"text/plain; charset=utf-8")


def write_document(body: bytes) -> bytes:
    """Returns a JSON response for an operator."""
    return _write(200, body, b"", False)


def write_table(body: bytes) -> bytes:
    """Returns a response with a table for another instance."""
    return _write(200, body, b"", False, b"application/octet-stream")


def _write_retry_after(seconds: float | None) -> bytes:
    return b"" if seconds is None else b"retry-after: %.2f\r\n" % seconds


def _write(
    status: int,
    body: bytes,
    extra: bytes,
    closing: bool,
    content: bytes = b"application/json",
) -> bytes:
    phrase = http.HTTPStatus(status).phrase.encode()
    end = b"connection: close\r\n" if closing else b""
    return (
        b"HTTP/1.1 %d %b\r\ncontent-type: %b\r\n%b%bcontent-length: %d\r\n\r\n"
        % (status, phrase, content, extra, end, len(body))
    ) + body
