"""HTTP clients of the platform's services.

See `docs/platform-protocol.md`. Each call is one HTTP request; retries, circuit
breakers and budgets are in `store.policy`. All classes are thread-safe.
"""

from collections.abc import Mapping
from typing import TypeVar
import urllib.parse

import msgspec
import result
import urllib3

from pollenfork import bounded_http
from pollenfork import ids
from pollenfork.store import edges
from pollenfork.store import errors

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 2.0
POOL_SIZE = 32
# Objects take up to 8 MiB.
_MAX_BODY_BYTES = 12 << 20
_MAX_READ_S = 10.0
EFFECT_HEADER = "X-Effect"
NO_EFFECT = "none"

_T = TypeVar("_T")
_JSON = {"Content-Type": "application/json"}
_BYTES = {"Content-Type": "application/octet-stream"}
_DEFAULT_RETRY_AFTER_S = 1.0


class _Rows(msgspec.Struct):
    rows: tuple[edges.Row, ...]


class _Instances(msgspec.Struct):
    instances: tuple[edges.ListedInstance, ...]


class _Conflict(msgspec.Struct):
    keys: tuple[str, ...] = ()


class _Permit(msgspec.Struct):
    model: ids.ModelName
    version: str


class _Reply(msgspec.Struct, frozen=True):
    status: int
    headers: Mapping[str, str]
    body: bytes


class Channel:
    """A pool of HTTP connections to the platform, with timeouts.

    Args:
        address: `host:port`.
        connect_timeout_s: Timeout for connecting.
        read_timeout_s: Timeout for each read of the response.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=POOL_SIZE,
            retries=False,
            timeout=urllib3.Timeout(
                connect=connect_timeout_s, read=read_timeout_s
            ),
        )

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> result.Result[_Reply, errors.PlatformFailure]:
        """Sends one request; returns the response or the failure."""
        try:
            response = bounded_http.request(
                self._pool,
                method,
                path,
                max_bytes=_MAX_BODY_BYTES,
                max_s=_MAX_READ_S,
                body=body,
                headers=headers,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return result.Err(errors.Unavailable(detail=str(error)))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return result.Err(errors.Unanswered(detail=str(error)))
        reply = _Reply(response.status, response.headers, response.data)
        failure = _get_failure(reply)
        return result.Err(failure) if failure else result.Ok(reply)

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()


class HttpTable:
    """`edges.TableService` over HTTP."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def read(
        self, key: str
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None if there is none."""
        response = self._channel.send("GET", _make_path("/table/rows", key))
        return response.and_then(
            lambda reply: _decode_optional(reply, edges.Row)
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows whose key starts with `prefix` and follows `after`."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        response = self._channel.send("GET", f"/table/rows?{query}")
        decoded = response.and_then(lambda reply: _decode(reply, _Rows))
        return decoded.map(lambda page: page.rows)

    def commit(
        self, transaction: edges.Transaction
    ) -> result.Result[edges.Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` if a condition fails."""
        body = msgspec.json.encode(transaction)
        response = self._channel.send(
            "POST", "/table/transactions", body=body, headers=_JSON
        )
        return response.and_then(lambda reply: _decode(reply, edges.Committed))


class HttpObjects:
    """`edges.ObjectStore` over HTTP."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None if there is none."""
        response = self._channel.send("GET", _make_path("/objects", key))
        return response.map(
            lambda reply: None if reply.status == 404 else reply.body
        )

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the whole object, replacing an existing one."""
        path = _make_path("/objects", key)
        response = self._channel.send("PUT", path, body=body, headers=_BYTES)
        return response.and_then(_expect_success)

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object; does nothing if it doesn't exist."""
        response = self._channel.send("DELETE", _make_path("/objects", key))
        return response.map(lambda _: None)


class HttpInstances:
    """`edges.InstanceList` over HTTP."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def fetch(
        self,
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the platform's current list."""
        response = self._channel.send("GET", "/instances")
        decoded = response.and_then(lambda reply: _decode(reply, _Instances))
        return decoded.map(lambda page: page.instances)


class HttpWeights:
    """`edges.WeightStore` over HTTP."""

    def __init__(self, channel: Channel) -> None:
        self._channel = channel

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Requests a permit to load weights; `Throttled` if over the limit."""
        body = msgspec.json.encode(_Permit(model, version))
        response = self._channel.send(
            "POST", "/weights/permits", body=body, headers=_JSON
        )
        return response.and_then(_expect_success)


def _make_path(root: str, key: str) -> str:
    return f"{root}/{urllib.parse.quote(key, safe='/')}"


def _get_failure(reply: _Reply) -> errors.PlatformFailure | None:
    if 200 <= reply.status < 300 or reply.status == 404:
        return None
    detail = f"the platform answered {reply.status}"
    if reply.status == 409:
        return _read_conflict(reply)
    if reply.status == 429:
        wait_s = _read_retry_after(reply)
        return errors.Throttled(detail=detail, retry_after_s=wait_s)
    if reply.status == 503 and reply.headers.get(EFFECT_HEADER) == NO_EFFECT:
        return errors.Unavailable(detail=detail)
    return errors.Unanswered(detail=detail)


def _read_conflict(reply: _Reply) -> errors.PlatformFailure:
    try:
        conflict = msgspec.json.decode(reply.body, type=_Conflict)
    except msgspec.MsgspecError as error:
        return errors.Unanswered(detail=f"409 without keys: {error}")
    return errors.Conflicted(keys=conflict.keys)


def _read_retry_after(reply: _Reply) -> float:
    try:
        wait_s = float(reply.headers.get("Retry-After", ""))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
    return max(0.0, wait_s)


def _expect_success(
    reply: _Reply,
) -> result.Result[None, errors.PlatformFailure]:
    if reply.status == 404:
        return result.Err(errors.Unanswered(detail="the platform answered 404"))
    return result.Ok(None)


def _decode_optional(
    reply: _Reply, reply_type: type[_T]
) -> result.Result[_T | None, errors.PlatformFailure]:
    if reply.status == 404:
        return result.Ok(None)
    return _decode(reply, reply_type)


def _decode(
    reply: _Reply, reply_type: type[_T]
) -> result.Result[_T, errors.PlatformFailure]:
    try:
        return result.Ok(msgspec.json.decode(reply.body, type=reply_type))
    except msgspec.MsgspecError as error:
        detail = f"{reply.status} with an unreadable body: {error}"
        return result.Err(errors.Unanswered(detail=detail))
