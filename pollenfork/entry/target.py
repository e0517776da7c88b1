"""The path and headers that are forwarded to an endpoint."""

import http
import re
import urllib.parse

import msgspec
import result

from pollenfork import ids
from pollenfork.entry import errors
from pollenfork.entry import request

_SERVICES = "services"
_VISIBLE_ASCII = re.compile(r"[\x21-\x7e]*")
_HOP_BY_HOP = frozenset(
    {
        "CONNECTION",
        "EXPECT",
        "KEEP_ALIVE",
        "PROXY_AUTHENTICATE",
        "PROXY_AUTHORIZATION",
        "PROXY_CONNECTION",
        "TE",
        "TRAILER",
        "TRANSFER_ENCODING",
        "UPGRADE",
    }
)
# Meant for the router, or set by it for endpoints. Accept-Encoding is
# dropped because the relay parses answers, so they must not be compressed.
_ROUTER_HEADERS = frozenset(
    {
        "ACCEPT_ENCODING",
        "AUTHORIZATION",
        "HOST",
        "X_PRIORITY",
        "X_REQUEST_ID",
        "X_SERVICE_CLASS",
    }
)
_IDEMPOTENCY_HEADERS = frozenset({"IDEMPOTENCY_KEY"})


class Target(msgspec.Struct, frozen=True):
    """A service and the path and query to request from it."""

    service: ids.ServiceName
    path: str


def parse_service_target(
    environ: request.Environ,
) -> result.Result[Target, errors.Refusal]:
    """Parses the target of a call to `/services/{service}/{path}`.

    The service gets what follows its name exactly as the caller wrote it,
    percent-encoding included.
    """
    path, _, query = _get_request_target(environ).partition("?")
    _, root, name, rest = [*path.split("/", 3), "", ""][:4]
    if urllib.parse.unquote(root) != _SERVICES:
        return errors.refuse(
            http.HTTPStatus.NOT_FOUND,
            errors.Code.UNKNOWN_PATH,
            "There is nothing at this path; see docs/http.md.",
        )
    if not _VISIBLE_ASCII.fullmatch(path + query) or _has_dot_segments(rest):
        return errors.refuse(
            http.HTTPStatus.BAD_REQUEST,
            errors.Code.BAD_REQUEST,
            "The path has dot segments, or characters to be percent-encoded.",
        )
    target = f"/{rest}?{query}" if query else f"/{rest}"
    service = ids.ServiceName(urllib.parse.unquote(name))
    return result.Ok(Target(service, target))


def list_engine_headers(
    environ: request.Environ,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward to an engine."""
    return _list_headers(
        environ, _HOP_BY_HOP | _ROUTER_HEADERS | _IDEMPOTENCY_HEADERS
    )


def list_service_headers(
    environ: request.Environ,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward to a service."""
    return _list_headers(environ, _HOP_BY_HOP | _ROUTER_HEADERS)


def _list_headers(
    environ: request.Environ, dropped: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    connection = environ.get("HTTP_CONNECTION", "")
    connection_options = {
        name.strip().upper().replace("-", "_") for name in connection.split(",")
    }
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
        and name[5:] not in dropped
        and name[5:] not in connection_options
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _get_request_target(environ: request.Environ) -> str:
    """Returns the request target without scheme, host and fragment."""
    target: str = environ["REQUEST_URI"].partition("#")[0]
    if not target.startswith("/"):
        parts = urllib.parse.urlsplit(target)
        target = f"{parts.path}?{parts.query}" if parts.query else parts.path
    return "/" + target.lstrip("/")


def _has_dot_segments(path: str) -> bool:
    segments = urllib.parse.unquote(path).split("/")
    return "." in segments or ".." in segments
