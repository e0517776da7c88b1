"""What other slices say to dispatch and hear from it."""

import enum

import msgspec

from pollenfork import ids


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Leave to send one attempt of a request to one endpoint.

    Attributes:
        address: `host:port` of the endpoint.
        priority: For the engine's own queue; lower runs earlier.
        hedge_after_s: Without a first token by then, ask for a second copy
            (`RetryReason.HEDGE`); None where the class pays for no hedges.
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
    """The attempt has generated `tokens` so far.

    Sent about every two seconds of an answer, so that a slow endpoint shows
    before its long answers end.

    Attributes:
        tokens: Since the attempt's start, as far as seen.
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
    """The attempt holds its slot no longer.

    Attributes:
        tokens: Tokens the endpoint generated, as far as seen.
        at: Monotonic seconds.
    """

    attempt: ids.AttemptId
    how: AttemptEnd
    tokens: int
    at: float


class RetryReason(enum.Enum):
    """Why a request asks for another attempt; each has its counter."""

    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    NEVER_SENT = "never_sent"
    BROKEN_BEFORE_FIRST = "broken_before_first"
    CONTINUE_ELSEWHERE = "continue_elsewhere"
    HEDGE = "hedge"


class AskAgain(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request asks for another endpoint, ahead of its class.

    Attributes:
        avoid: Endpoints that failed it already.
    """

    request: ids.RequestId
    reason: RetryReason
    avoid: tuple[ids.EndpointId, ...] = ()


class RequestClosed(msgspec.Struct, frozen=True, kw_only=True):
    """The caller has its last byte, or is gone: forget the request."""

    request: ids.RequestId


class EndpointReport(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's own load report, which lags.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its queue.
        kv_free: Free part of its KV memory, 0 to 1.
        measured_at: Monotonic seconds of this instance, after subtracting
            the age that the report states.
    """

    endpoint: ids.EndpointId
    running: int
    waiting: int
    kv_free: float
    models: tuple[ids.ModelName, ...] = ()
    measured_at: float = 0.0


class EndpointState(enum.Enum):
    """Whether new work may go to an endpoint."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class EndpointNotice(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an endpoint as first heard from anyone."""

    endpoint: ids.EndpointId
    state: EndpointState


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Requests waiting at one instance for one model in one tier."""

    model: ids.ModelName
    tier: ids.Tier
    waiting: int
    oldest_wait_ms: int


class Occupancy(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one endpoint that one instance holds in one tier."""

    endpoint: ids.EndpointId
    tier: ids.Tier
    in_flight: int


class Pressure(msgspec.Struct, frozen=True, array_like=True):
    """What one instance tells its peers of its queues and slots.

    It travels as MessagePack inside the peers' heartbeats and replaces the
    instance's earlier one.
    """

    instance: ids.InstanceId
    demands: tuple[Demand, ...] = ()
    occupancies: tuple[Occupancy, ...] = ()
    leaving: tuple[ids.EndpointId, ...] = ()


class PeerLost(msgspec.Struct, frozen=True):
    """A peer is gone: its pressure no longer counts."""

    instance: ids.InstanceId
