"""Messages between dispatch and other packages."""

import enum

import msgspec

from pollenfork import ids


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Permission to send one attempt of a request to an endpoint.

    Attributes:
        address: `host:port` of the endpoint.
        priority: The priority in the engine's queue; lower runs earlier.
        hedge_after_s: The delay after which a hedge is requested
            (`RetryReason.HEDGE`) if no first token has arrived; None if the
            class doesn't use hedges.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    endpoint: ids.EndpointId
    address: str
    priority: int = 0
    hedge_after_s: float | None = None


class FirstToken(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt's first token arrived at `at` (monotonic seconds)."""

    attempt: ids.AttemptId
    at: float


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """The number of tokens that an attempt has generated so far.

    Sent about every two seconds during an answer, so that a slow endpoint is
    detected before its long answers end.

    Attributes:
        tokens: Tokens seen since the attempt's start.
        at: Monotonic seconds.
    """

    attempt: ids.AttemptId
    tokens: int
    at: float


class AttemptEnd(enum.Enum):
    """How an attempt ended."""

    FINISHED = "finished"
    REFUSED_BY_ENDPOINT = "refused_by_endpoint"  # Proved not run.
    NEVER_SENT = "never_sent"  # Proved not run.
    BROKEN_BEFORE_FIRST = "broken_before_first"
    BROKEN_MIDWAY = "broken_midway"
    CANCELLED = "cancelled"
    TIMED_OUT = "timed_out"


class AttemptEnded(msgspec.Struct, frozen=True, kw_only=True):
    """The attempt has ended and no longer holds its slot.

    Attributes:
        tokens: Tokens seen from the endpoint.
        at: Monotonic seconds.
    """

    attempt: ids.AttemptId
    how: AttemptEnd
    tokens: int
    at: float


class RetryReason(enum.Enum):
    """Why a request needs another attempt; each reason has a counter."""

    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    NEVER_SENT = "never_sent"
    BROKEN_BEFORE_FIRST = "broken_before_first"
    CONTINUE_ELSEWHERE = "continue_elsewhere"
    HEDGE = "hedge"


class AskAgain(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request needs another endpoint, ahead of its class.

    Attributes:
        avoid: Endpoints that have already failed the request.
    """

    request: ids.RequestId
    reason: RetryReason
    avoid: tuple[ids.EndpointId, ...] = ()


class RequestClosed(msgspec.Struct, frozen=True, kw_only=True):
    """The answer was delivered or the caller left: forget the request."""

    request: ids.RequestId


class EndpointReport(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's own load report, which is delayed.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its queue.
        kv_free: The free fraction of its KV memory, 0 to 1.
        measured_at: When it was measured, in this instance's monotonic seconds,
            after subtracting the report's stated age.
    """

    endpoint: ids.EndpointId
    running: int
    waiting: int
    kv_free: float
    models: tuple[ids.ModelName, ...] = ()
    measured_at: float = 0.0


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointNotice(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an endpoint's state, from whichever source is first."""

    endpoint: ids.EndpointId
    state: EndpointState


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """The number of requests waiting at an instance, by model and tier."""

    model: ids.ModelName
    tier: ids.Tier
    waiting: int
    oldest_wait_ms: int


class Occupancy(msgspec.Struct, frozen=True, array_like=True):
    """The number of an endpoint's slots held by an instance in a tier."""

    endpoint: ids.EndpointId
    tier: ids.Tier
    in_flight: int


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """An instance's report to its peers about its queues and slots.

    It is sent as MessagePack inside the heartbeats and replaces the instance's
    previous report.
    """

    instance: ids.InstanceId
    demands: tuple[Demand, ...] = ()
    occupancies: tuple[Occupancy, ...] = ()
    leaving: tuple[ids.EndpointId, ...] = ()


class PeerLost(msgspec.Struct, frozen=True):
    """A peer is lost, so its pressure no longer counts."""

    instance: ids.InstanceId
