"""Calls to the platform stand-in, and its answers, as WSGI has them."""

from typing import Any
import urllib.parse

import msgspec

from pollenfork.store import errors


class Call(msgspec.Struct, frozen=True):
    """One call, read whole."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Reply(msgspec.Struct, frozen=True):
    """One answer.

    Attributes:
        broken: The connection breaks instead of carrying it.
    """

    status: str
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    broken: bool = False

    def make_headers(self) -> list[tuple[str, str]]:
        """Returns the headers.

        The server closes the connection of an answer that is shorter than
        it claims, and that is how a broken one is made.
        """
        length = len(self.body) + (1 if self.broken else 0)
        return [
            ("Content-Type", self.content_type),
            ("Content-Length", str(length)),
            *self.headers,
        ]


def read_call(environ: dict[str, Any]) -> Call:
    """Returns the call that a WSGI environment describes."""
    path = environ["PATH_INFO"].encode("latin-1").decode()
    query = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
    body = environ["wsgi.input"].read()
    return Call(environ["REQUEST_METHOD"], path, dict(query), body)


def write_json(body: Any) -> Reply:
    """Returns a successful answer."""
    return Reply("200 OK", msgspec.json.encode(body))


def write_failure(failure: errors.PlatformFailure) -> Reply:
    """Returns the answer that tells of a failure."""
    if isinstance(failure, errors.Conflicted):
        body = msgspec.json.encode({"keys": failure.keys})
        return Reply("409 Conflict", body)
    if isinstance(failure, errors.Throttled):
        wait = ("Retry-After", f"{failure.retry_after_s:.3f}")
        return Reply("429 Too Many Requests", headers=(wait,))
    if isinstance(failure, errors.Unavailable):
        none = ("X-Effect", "none")
        return Reply("503 Service Unavailable", headers=(none,))
    return Reply("502 Bad Gateway", broken=True)
