"""Replies that the router itself makes, refusals included."""

from collections.abc import Callable
import http
import math
from typing import Any

import msgspec

from pollenfork.entry import errors

StartResponse = Callable[..., Any]

_JSON = ("Content-Type", "application/json")
_TEXT = ("Content-Type", "text/plain; charset=utf-8")


class Reply(msgspec.Struct, frozen=True):
    """A complete HTTP response, held in memory."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def make_text(status: http.HTTPStatus, text: str) -> Reply:
    """Returns a plain-text reply of one line."""
    return Reply(status, [_TEXT], text.encode() + b"\n")


def make_json(value: msgspec.Struct) -> Reply:
    """Returns a reply with `value` as JSON."""
    return Reply(http.HTTPStatus.OK, [_JSON], msgspec.json.encode(value))


def make_refusal(refusal: errors.Refusal) -> Reply:
    """Returns the reply that states a refusal."""
    headers = [_JSON, ("X-Outcome", refusal.outcome.value)]
    if refusal.retry_after_s is not None:
        after = max(1, math.ceil(refusal.retry_after_s))
        headers.append(("Retry-After", str(after)))
    if refusal.allow:
        headers.append(("Allow", ", ".join(refusal.allow)))
    if refusal.status is http.HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return Reply(refusal.status, headers, errors.encode_body(refusal))


def format_status(status: int) -> str:
    """Returns the status for WSGI: the code and its reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:  # An endpoint may use a non-standard code.
        return f"{status} Unknown"


def send_reply(
    start_response: StartResponse, reply: Reply, method: str, *more: Any
) -> list[bytes]:
    """Starts a response and returns its body.

    Args:
        start_response: The server's callable (PEP 3333).
        reply: The reply; its `Content-Length` is added here.
        method: The request's method; a reply to HEAD has no body.
        more: Further arguments for `start_response`, such as `exc_info`.
    """
    headers = [*reply.headers, ("Content-Length", str(len(reply.body)))]
    start_response(format_status(reply.status), headers, *more)
    return [] if method == "HEAD" else [reply.body]
