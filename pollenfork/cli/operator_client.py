"""HTTP calls to the operator interface, tried at several instances."""

from collections.abc import Callable, Iterator, Mapping, Sequence
import urllib.parse

import msgspec
import result
import urllib3

from pollenfork import failures

ROUNDS = 3
"""How often each instance is tried; every call may be repeated safely."""
_PAUSE_S = 1.0
_CONNECT_TIMEOUT_S = 2.0
# A write is tried for 10 s behind the interface, and where the platform hangs
# the last of its calls takes as long again.
_READ_TIMEOUT_S = 30.0
_SERVER_ERROR = 500
_NEVER_SENT = (
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.NewConnectionError,
    ValueError,  # A URL or a header that can't be written.
)


class NoAnswer(failures.Failure, frozen=True, kw_only=True):
    """No instance gave an answer that settles the call.

    Attributes:
        sent: An instance may have had the call, so that it may have had its
            effect.
    """

    sent: bool


class Reply(msgspec.Struct, frozen=True):
    """An instance's answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class OperatorClient:
    """Asks the first of several instances that answers."""

    def __init__(
        self, urls: Sequence[str], token: str, wait: Callable[[float], None]
    ) -> None:
        """Wires a client.

        Args:
            urls: Base URLs of entry instances, tried in this order.
            token: The operator's token.
            wait: Sleeps so many seconds.
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
        """Returns the first answer that isn't a failure of the instance.

        Where every instance fails, the last answer is returned, or `NoAnswer`
        if one of the tries may have had an effect.
        """
        last: result.Result[Reply, NoAnswer]
        last = result.Err(NoAnswer(detail="no instance given", sent=False))
        unknown: NoAnswer | None = None
        for url in self._list_tries():
            target = f"{url}/operator/{urllib.parse.quote(path)}{query}"
            last = self._send(method, target, headers, body)
            if last.is_ok() and last.unwrap().status < _SERVER_ERROR:
                return last
            unknown = _find_unknown(last) or unknown
        return result.Err(unknown) if unknown else last

    def _list_tries(self) -> Iterator[str]:
        for turn in range(ROUNDS):
            if turn:
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


def _find_unknown(
    outcome: result.Result[Reply, NoAnswer],
) -> NoAnswer | None:
    """Returns the failure, if the call may have had an effect."""
    if isinstance(outcome, result.Err):
        failure = outcome.err_value
        return failure if failure.sent else None
    reply = outcome.ok_value
    if reply.headers.get("X-Outcome") == failures.Outcome.NOT_RUN.value:
        return None
    return NoAnswer(detail=f"HTTP status {reply.status}", sent=True)
