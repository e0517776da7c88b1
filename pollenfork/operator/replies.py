"""WSGI responses to operators."""

from collections.abc import Callable
import http
import math
from typing import Any

import msgspec

from pollenfork.operator import errors

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Reply(msgspec.Struct, frozen=True):
    """A response with a JSON body."""

    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    status: http.HTTPStatus = http.HTTPStatus.OK


def make_refusal(refusal: errors.Refusal) -> Reply:
    """Returns the response to a refused request."""
    headers = [("X-Outcome", refusal.outcome.value)]
    if refusal.status is http.HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", 'Bearer realm="operator"'))
    if refusal.allow:
        headers.append(("Allow", refusal.allow))
    if refusal.current is not None:
        headers.append(("ETag", f'"{refusal.current}"'))
    if refusal.retry_after_s is not None:
        delay_s = max(1, math.ceil(refusal.retry_after_s))
        headers.append(("Retry-After", str(delay_s)))
    return Reply(errors.encode_body(refusal), tuple(headers), refusal.status)


def send(start_response: StartResponse, reply: Reply) -> list[bytes]:
    """Starts the response and returns its body."""
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(reply.body))),
        ("Cache-Control", "no-store"),
        *reply.headers,
    ]
    start_response(f"{reply.status.value} {reply.status.phrase}", headers)
    return [reply.body]
