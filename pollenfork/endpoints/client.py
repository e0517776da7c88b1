"""HTTP client for control calls to endpoints; see `docs/engine-protocol.md`."""

from typing import Any, TypeVar

import msgspec
import result
import urllib3

from pollenfork import bounded_http
from pollenfork import ids
from pollenfork.endpoints import edges

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
# Together with the connect timeout, it must be below `LeaseTimes.order_s`.
ORDER_TIMEOUT_S = 8.0
_MAX_POOLS = 256
_MAX_BODY_BYTES = 4 << 20
_CONNECTIONS_PER_ENDPOINT = 2  # Kept open to each endpoint.
_NOT_RUN = "not_run"

T = TypeVar("T")
Answer = result.Result[T, edges.EndpointFailure]


class _Events(msgspec.Struct):
    events: tuple[edges.CacheEvent, ...] = ()


class _Cancel(msgspec.Struct):
    request_id: str


class _Cancelled(msgspec.Struct):
    outcome: edges.CancelOutcome


def make_pool() -> urllib3.PoolManager:
    """Returns the connection pool that all clients of an instance share."""
    return urllib3.PoolManager(
        num_pools=_MAX_POOLS, maxsize=_CONNECTIONS_PER_ENDPOINT, retries=False
    )


class HttpEndpoint:
    """Implements `edges.Endpoint` over HTTP; thread-safe.

    Args:
        address: `host:port`.
        pool: The shared pool from `make_pool`.
    """

    def __init__(self, address: str, pool: urllib3.PoolManager) -> None:
        self._base = f"http://{address}"
        self._pool = pool

    def check_ready(self) -> Answer[bool]:
        """Returns whether the endpoint accepts new work.

        A plain service without a readiness page counts as ready.
        """
        answer = self._call("GET", "/healthz")
        if isinstance(answer, result.Err):
            return result.Err(answer.err_value)
        status = answer.ok_value.status
        if status >= 500 and status != 503:
            return result.Err(edges.Unanswered(detail=f"healthz {status}"))
        return result.Ok(status != 503)

    def fetch_load(self) -> Answer[edges.LoadReport]:
        """Returns the endpoint's load report."""
        answer = self._call("GET", "/v1/load")
        return answer.and_then(lambda got: _decode(got, edges.LoadReport))

    def fetch_cache_events(
        self, after: int
    ) -> Answer[tuple[edges.CacheEvent, ...]]:
        """Returns cache events after sequence `after`."""
        answer = self._call("GET", f"/v1/cache-events?after={after}")
        decoded = answer.and_then(lambda got: _decode(got, _Events))
        return decoded.map(lambda page: page.events)

    def cancel(self, attempt: ids.AttemptId) -> Answer[edges.CancelOutcome]:
        """Cancels an attempt and returns its outcome."""
        answer = self._call("POST", "/v1/cancel", _Cancel(attempt))
        decoded = answer.and_then(lambda got: _decode(got, _Cancelled))
        return decoded.map(lambda cancelled: cancelled.outcome)

    def give_order(self, order: edges.Order) -> Answer[None]:
        """Sends an order; fails with `Rejected` if it had no effect."""
        answer = self._call("POST", "/v1/orders", order, ORDER_TIMEOUT_S)
        if isinstance(answer, result.Err):
            return result.Err(answer.err_value)
        response = answer.ok_value
        if response.status == 200:
            return result.Ok(None)
        return result.Err(_classify_refusal(response))

    def _call(
        self,
        method: str,
        path: str,
        body: msgspec.Struct | None = None,
        read_s: float = READ_TIMEOUT_S,
    ) -> Answer[bounded_http.Response]:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)
        sent: dict[str, Any] = {}
        if body is not None:
            sent["body"] = msgspec.json.encode(body)
            sent["headers"] = {"Content-Type": "application/json"}
        url = self._base + path
        try:
            return result.Ok(
                bounded_http.request(
                    self._pool,
                    method,
                    url,
                    max_bytes=_MAX_BODY_BYTES,
                    max_s=read_s + READ_TIMEOUT_S,
                    timeout=timeout,
                    **sent,
                )
            )
        except urllib3.exceptions.NewConnectionError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            failure = edges.Unreachable(detail=str(error), refused=refused)
            return result.Err(failure)
        except urllib3.exceptions.ConnectTimeoutError as error:
            return result.Err(edges.Unreachable(detail=str(error)))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return result.Err(edges.Unanswered(detail=str(error)))


def _decode(
    response: bounded_http.Response, body_type: type[T]
) -> result.Result[T, edges.EndpointFailure]:
    if response.status >= 500:
        return result.Err(edges.Unanswered(detail=f"HTTP {response.status}"))
    if response.status != 200:
        return result.Err(edges.Rejected(detail=f"HTTP {response.status}"))
    try:
        return result.Ok(msgspec.json.decode(response.data, type=body_type))
    except msgspec.MsgspecError as error:
        return result.Err(edges.Rejected(detail=str(error)))


def _classify_refusal(
    response: bounded_http.Response,
) -> edges.EndpointFailure:
    detail = f"HTTP {response.status}"
    if response.status == 409:
        return edges.Fenced(detail=detail)
    not_run = response.headers.get("X-Outcome") == _NOT_RUN
    if response.status >= 500 and not not_run:
        return edges.Unanswered(detail=detail)
    return edges.Rejected(detail=detail)
