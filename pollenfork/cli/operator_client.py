"""HTTP client of the operator interface with failover."""

from collections.abc import Callable, Iterator, Mapping, Sequence
import urllib.parse

import msgspec
import result
import urllib3

from pollenfork import failures

ROUNDS = 3
"""Attempts per instance; every call is safe to repeat."""
_PAUSE_S = 1.0
_CONNECT_TIMEOUT_S = 2.0
# The server retries a write for 10 s, and if the platform hangs, its last call
# takes another 10 s.
_READ_TIMEOUT_S = 30.0
_SERVER_ERROR = 500
_NEVER_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    ValueError,  # An invalid URL or header.
)


class NoAnswer(failures.Failure, frozen=True, kw_only=True):
    """No instance gave an answer that shows the outcome of the call.

    Attributes:
        sent: Whether an instance may have received the call, and so may
            have executed it.
    """

    sent: bool


class Reply(msgspec.Struct, frozen=True):
    """An instance's HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class OperatorClient:
    """Calls several instances in round_number until one answers."""

    def __init__(
        self, urls: Sequence[str], token: str, wait: Callable[[float], None]
    ) -> None:
        """Creates a client.

        Args:
            urls: Base URLs of entry instances, tried in this order.
            token: The operator's token.
            wait: Sleeps for the given number of seconds.
        """
        self._urls = [url.rstrip("/") for url in urls]
        self._token = token
        self._wait = wait
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_S, read=_READ_TIMEOUT_S
            ),
        )

    def call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        query: str = "",
    ) -> result.Result[Reply, NoAnswer]:
        """Returns the first answer with a status below 500.

        If there is none, returns the last result, or `NoAnswer` if one of the
        attempts may have taken effect.
        """
        last: result.Result[Reply, NoAnswer]
        last = result.Err(NoAnswer(detail="no instance given", sent=False))
        unknown: NoAnswer | None = None
        for url in self._iterate_attempts():
            target = f"{url}/operator/{urllib.parse.quote(path)}{query}"
            last = self._send(method, target, headers, body)
            if last.is_ok() and last.unwrap().status < _SERVER_ERROR:
                return last
            unknown = _get_unknown_outcome(last) or unknown
        return result.Err(unknown) if unknown else last

    def _iterate_attempts(self) -> Iterator[str]:
        for round_number in range(ROUNDS):
            if round_number:
                self._wait(_PAUSE_S)
            yield from self._urls

    def _send(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] | None,
        body: bytes | None,
    ) -> result.Result[Reply, NoAnswer]:
        sent = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        try:
            answer = self._pool.request(method, url, body=body, headers=sent)
        except _NEVER_SENT as error:
            return result.Err(NoAnswer(detail=f"{url}: {error}", sent=False))
        except urllib3.exceptions.HTTPError as error:
            return result.Err(NoAnswer(detail=f"{url}: {error}", sent=True))
        return result.Ok(Reply(answer.status, answer.headers, answer.data))


def _get_unknown_outcome(
    outcome: result.Result[Reply, NoAnswer],
) -> NoAnswer | None:
    """Returns a failure if the call may have taken effect, else None."""
    if isinstance(outcome, result.Err):
        failure = outcome.err_value
        return failure if failure.sent else None
    reply = outcome.ok_value
    if reply.headers.get("X-Outcome") == failures.Outcome.NOT_RUN.value:
        return None
    return NoAnswer(detail=f"HTTP status {reply.status}", sent=True)
