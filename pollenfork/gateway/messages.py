"""The gateway's requests and answers, free of any one wire format."""

import msgspec

from pollenfork import ids
from pollenfork.fleet import model as fleet

Header = tuple[bytes, bytes]


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's headers say of its request.

    Attributes:
        attempt: The caller's id for this attempt; empty where it gave none.
        key: The key it shows.
        wait_s: How long it will wait in seconds; None where it doesn't say.
        parts: The prompt's parts in order; the last is its own.
        tokens: The prompt's tokens, and the most that the answer may have.
        last_event: The position of the last event that it has of a stream.
    """

    attempt: ids.AttemptId
    key: str | None
    wait_s: float | None
    parts: tuple[fleet.Part, ...]
    tokens: tuple[int, int]
    last_event: int | None


class Request(msgspec.Struct, kw_only=True):
    """A caller's request, whole.

    Attributes:
        method: The HTTP method.
        target: The path with its query, as sent.
        headers: All headers, names in lower case.
        body: The body, without any framing.
        arrived: Monotonic seconds at its first byte.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    arrived: float


class ForwardContext(msgspec.Struct, frozen=True, kw_only=True):
    """What the gateway adds to a request for one attempt.

    Attributes:
        runner: The only runner that may take it.
        remaining_s: Seconds until the answer is of no use.
        account: The client account, where the request showed a key.
        tier: Its urgency at a model runner; None elsewhere.
        last_event: The position after which a stream goes on.
        source: A runner from which shared parts of the prompt are copied.
    """

    runner: ids.EndpointId
    remaining_s: float
    account: ids.AccountId | None = None
    tier: ids.Tier | None = None
    last_event: int | None = None
    source: fleet.Runner | None = None


class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """The head of a runner's answer.

    Attributes:
        status: The HTTP status.
        attempt: The attempt that it answers.
        sealed: Whether a runner vouches for the answer.
        not_run: Whether the runner says that it didn't run the request.
        displaced: Whether another runner than the one asked answers there.
        events: Whether the body is a stream of events.
        headers: All headers, names in lower case.
        rates: Requests a second that the runner says it takes from all
            instances together, each as named; None for what is no number.
    """

    status: int
    attempt: ids.AttemptId
    sealed: bool
    not_run: bool
    displaced: bool = False
    events: bool
    headers: list[Header]
    rates: tuple[float | None, ...] = ()
