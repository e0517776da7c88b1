"""Parses an operator's request: token, precondition, write id, body."""

from collections.abc import Callable
import http
import re
from typing import Any
import urllib.parse

import msgspec
import result

from pollenfork import ids
from pollenfork.operator import errors
from pollenfork.settings import snapshot

BODY_LIMIT = 4 * 1024 * 1024
_ENTITY_TAG = re.compile(r'"([0-9]{1,18})"')
_NUMBER = re.compile(r"[0-9]{1,18}")
_WRITE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")

Environ = dict[str, Any]


class Precondition(msgspec.Struct, frozen=True):
    """The revision that a write expects; 0 to create a new value."""

    expected: ids.Revision


def read_token(environ: Environ) -> result.Result[str, errors.Refusal]:
    """Returns the digest of the request's bearer token."""
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() == "bearer" and token.strip():
        return result.Ok(snapshot.hash_key(token.strip()))
    return result.Err(
        errors.Refusal(
            status=http.HTTPStatus.UNAUTHORIZED,
            code=errors.Code.WRONG_TOKEN,
            detail="send the operator's token as a bearer",
        )
    )


def make_bad_request(detail: str) -> errors.Refusal:
    """Returns the refusal of a malformed request."""
    return errors.Refusal(
        status=http.HTTPStatus.BAD_REQUEST,
        code=errors.Code.BAD_REQUEST,
        detail=detail,
    )


def read_precondition(
    environ: Environ,
) -> result.Result[Precondition, errors.Refusal]:
    """Returns the revision that the operator read before the write.

    A write without one is refused, as it could overwrite others' changes.
    """
    match = environ.get("HTTP_IF_MATCH", "").strip()
    none_match = environ.get("HTTP_IF_NONE_MATCH", "").strip()
    if match and none_match:
        detail = "send If-Match or If-None-Match, not both"
        return result.Err(make_bad_request(detail))
    if none_match:
        if none_match != "*":
            detail = "If-None-Match must be *: nothing is there yet"
            return result.Err(make_bad_request(detail))
        return result.Ok(Precondition(ids.Revision(0)))
    if not match:
        detail = 'send If-Match: "REVISION" of what was read, or'
        return result.Err(
            errors.Refusal(
                status=http.HTTPStatus.PRECONDITION_REQUIRED,
                code=errors.Code.REVISION_REQUIRED,
                detail=f"{detail} If-None-Match: * to create",
            )
        )
    tag = _ENTITY_TAG.fullmatch(match)
    if tag is None:
        detail = 'If-Match must be one revision in quotes, such as "41"'
        return result.Err(make_bad_request(detail))
    return result.Ok(Precondition(ids.Revision(int(tag[1]))))


def read_write_id(
    environ: Environ, make: Callable[[], ids.WriteId]
) -> result.Result[ids.WriteId, errors.Refusal]:
    """Returns the `Idempotency-Key`, or a generated id without one."""
    text = environ.get("HTTP_IDEMPOTENCY_KEY", "").strip()
    if not text:
        return result.Ok(make())
    if not _WRITE_ID.fullmatch(text):
        detail = "Idempotency-Key: 1 to 64 letters, digits, '.', '_', '-'"
        return result.Err(make_bad_request(detail))
    return result.Ok(ids.WriteId(text))


def read_revision(
    environ: Environ,
) -> result.Result[ids.Revision | None, errors.Refusal]:
    """Returns the query parameter `revision`, or None without one."""
    query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
    values = query.get("revision")
    if not values:
        return result.Ok(None)
    if not _NUMBER.fullmatch(values[0]):
        return result.Err(make_bad_request("revision must be a number"))
    return result.Ok(ids.Revision(int(values[0])))


def read_body(environ: Environ) -> result.Result[bytes, errors.Refusal]:
    """Returns the body, unless it is truncated or exceeds the limit."""
    length = environ.get("CONTENT_LENGTH") or "0"
    if not _NUMBER.fullmatch(length):
        return result.Err(make_bad_request("Content-Length must be a number"))
    if int(length) > BODY_LIMIT:
        return result.Err(
            errors.Refusal(
                status=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                code=errors.Code.BODY_TOO_LARGE,
                detail=f"at most {BODY_LIMIT} bytes; write team by team",
            )
        )
    body = environ["wsgi.input"].read(int(length))
    if len(body) < int(length):
        return result.Err(make_bad_request("the body ended early"))
    return result.Ok(body)
