"""Requests and responses of the gateway, independent of a wire format."""

import http

import msgspec

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.fleet import pauses

Header = tuple[bytes, bytes]


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Values decoded from the headers of a caller's request.

    Attributes:
        attempt: The caller's id of this attempt; empty if it sent none.
        key: The API key.
        wait_s: Seconds for which the caller waits; None if it doesn't say.
        parts: The prompt's parts in order; only the last isn't shared.
        tokens: Tokens of the prompt, and the maximum for the answer.
        last_event: Position of the last event that the caller has received.
        length_hint: Tokens that the caller expects of the answer; 0: unknown.
        resumes: The attempt that brought the first event of the stream that
            the caller takes up; empty: it doesn't say.
    """

    attempt: ids.AttemptId
    key: str | None
    wait_s: float | None
    parts: tuple[fleet.Part, ...]
    tokens: tuple[int, int]
    last_event: int | None
    length_hint: int = 0
    resumes: ids.AttemptId = ids.AttemptId("")


class Request(msgspec.Struct, kw_only=True):
    """A complete request from a caller.

    Attributes:
        method: The HTTP method.
        target: The path with its query, as sent.
        headers: All headers, names in lower case.
        body: The body, without transfer encoding.
        arrived: Monotonic seconds at which its first byte arrived.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes
    arrived: float


class ForwardContext(msgspec.Struct, frozen=True, kw_only=True):
    """Values that the gateway adds to a request for one attempt.

    Attributes:
        runner: The only runner that may accept it.
        remaining_s: Seconds until the deadline.
        account: The client account, if the request has a key.
        tier: Its priority tier at a model runner; None elsewhere.
        last_event: The position after which a stream resumes.
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
        attempt: The id of the attempt that it answers.
        sealed: Whether the answer carries a runner's seal.
        not_run: Whether the runner states that it didn't run the request.
        displaced: Whether another runner than the intended one answered at the
            address.
        events: Whether the body is an event stream.
        headers: All headers, names in lower case.
        rates: The rate limits that the runner announces, in requests a second
            from all instances together; None for a value that isn't a number.
        leaving: Whether the runner announces that it accepts no new work.
        retry_after: For how long this instance is to send the runner nothing,
            in seconds, if the answer is a refusal; None for a value that isn't
            a number.
        brittle: How many requests in a second the runner can refuse for want
            of room before it falls over; None for a value that isn't a number.
    """

    status: int
    attempt: ids.AttemptId
    sealed: bool
    not_run: bool
    displaced: bool = False
    events: bool
    headers: list[Header]
    rates: tuple[float | None, ...] = ()
    leaving: bool = False
    retry_after: tuple[float | None, ...] = ()
    brittle: tuple[float | None, ...] = ()

    @property
    def pause(self) -> pauses.ParsedPause:
        """The pause that the runner requests."""
        if self.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return pauses.NO_PAUSE
        return pauses.parse(self.retry_after)
