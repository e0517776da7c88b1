"""Calls to the platform stand-in and its replies, over WSGI."""

from typing import Any
import urllib.parse

import msgspec

from pollenfork.store import errors


class Call(msgspec.Struct, frozen=True):
    """One call with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Reply(msgspec.Struct, frozen=True):
    """One reply to a call.

    Attributes:
        broken: Whether the connection is broken off instead of a reply.
    """

    status: str
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    broken: bool = False

    def make_headers(self) -> list[tuple[str, str]]:
        """Returns the headers.

        waitress closes the connection after a body that is shorter than its
        Content-Length; a broken reply claims one byte too many for this.
        """
        length = len(self.body) + (1 if self.broken else 0)
        return [
            ("Content-Type", self.content_type),
            ("Content-Length", str(length)),
            *self.headers,
        ]


def parse_call(environ: dict[str, Any]) -> Call:
    """Parses a call from a WSGI environment."""
    path = environ["PATH_INFO"].encode("latin-1").decode()
    query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    body = environ["wsgi.input"].read()
    return Call(environ["REQUEST_METHOD"], path, dict(query), body)


def make_json(body: Any) -> Reply:
    """Returns a 200 reply with a JSON body."""
    return Reply("200 OK", msgspec.json.encode(body))


def make_failure(failure: errors.PlatformFailure) -> Reply:
    """Returns the reply that reports a failure."""
    if isinstance(failure, errors.Conflicted):
        body = msgspec.json.encode({"keys": failure.keys})
        return Reply("409 Conflict", body)
    if isinstance(failure, errors.Throttled):
        retry_after = ("Retry-After", f"{failure.retry_after_s:.3f}")
        return Reply("429 Too Many Requests", headers=(retry_after,))
    if isinstance(failure, errors.Unavailable):
        no_effect = ("X-Effect", "none")
        return Reply("503 Service Unavailable", headers=(no_effect,))
    return Reply("502 Bad Gateway", broken=True)
