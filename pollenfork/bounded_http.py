"""HTTP calls whose responses have a bound on their size and time."""

from collections.abc import Mapping
import time
from typing import Any

import msgspec
import urllib3

_READ_BYTES = 64 * 1024


class ResponseTooLarge(urllib3.exceptions.HTTPError):
    """A response was longer, or took longer, than any proper one."""


class Response(msgspec.Struct, frozen=True):
    """A whole response."""

    status: int
    headers: Mapping[str, str]
    data: bytes


def request(
    pool: urllib3.PoolManager | urllib3.HTTPConnectionPool,
    method: str,
    url: str,
    *,
    max_bytes: int,
    max_s: float,
    **sent: Any,
) -> Response:
    """Sends a request; returns the response.

    Args:
        pool: Provides the connection, which is closed if the body is too long.
        method: The HTTP method.
        url: The URL, or the path if the pool is of one host.
        max_bytes: The longest body that is accepted.
        max_s: Seconds within which the body must be complete; each read has a
            timeout of its own.
        **sent: Further arguments of urllib3's `request`.

    Raises:
        urllib3.exceptions.HTTPError: The call failed.
    """
    response = pool.request(
        method, url, redirect=False, preload_content=False, **sent
    )
    try:
        data = _read(response, max_bytes, max_s)
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return Response(response.status, response.headers, data)


def _read(
    response: urllib3.BaseHTTPResponse, max_bytes: int, max_s: float
) -> bytes:
    until = time.monotonic() + max_s
    parts: list[bytes] = []
    size = 0
    while part := response.read(_READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > max_bytes or time.monotonic() > until:
            raise ResponseTooLarge(f"over {size} bytes")
    return b"".join(parts)
