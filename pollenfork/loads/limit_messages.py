"""Datagrams about runners' rate limits, as msgpack arrays."""

import msgspec


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """A rate limit that a runner stated in an answer.

    Attributes:
        runner: A hash of the runner's incarnation.
        rate: Requests a second from all instances together; None: no limit.
        request_age_ms: How long ago the answered request was sent.
        answer_age_ms: How long ago that answer arrived.
    """

    runner: int
    rate: float | None
    request_age_ms: int
    answer_age_ms: int


class LimitUpdates(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """An instance passes on the limits that runners stated.

    Attributes:
        data_centre: The sender's data centre.
        limits: The limits that it knows.
        wants_all: Whether it requests all limits known to the receiver.
        informed: Whether it has received the limits known to others itself.
    """

    data_centre: str
    limits: tuple[RateLimit, ...] = ()
    wants_all: bool = False
    informed: bool = True


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Requests a permit to send one request, from a runner's coordinator.

    Attributes:
        data_centre: The sender's data centre.
        number: Identifies the permit request at its sender.
        limit: The runner, and what is known of its limit.
        runner_data_centre: The runner's data centre.
        tier: The request's urgency.
    """

    data_centre: str
    number: int
    limit: RateLimit
    runner_data_centre: str
    tier: int


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """The coordinator's answer to a permit request.

    Attributes:
        data_centre: The sender's data centre.
        number: The number of the permit request.
        granted: Whether one request may be sent now.
        wait_ms: When to ask again, if not.
        coordinator: The host to ask instead; empty: this one.
        limit: The runner's limit as the sender knows it; None: unknown.
    """

    data_centre: str
    number: int
    granted: bool
    wait_ms: int = 0
    coordinator: str = ""
    limit: RateLimit | None = None


class CoordinatorCall(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A candidate that is asked for permits contacts another candidate.

    Attributes:
        data_centre: The sender's data centre.
        runner: A hash of the runner's incarnation.
    """

    data_centre: str
    runner: int


class CoordinatorReply(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """Answers a call: the sender is up, and yields if it ranks lower.

    Attributes:
        data_centre: The sender's data centre.
        runner: A hash of the runner's incarnation.
        leaving: Whether the sender is stopping and grants no more permits.
    """

    data_centre: str
    runner: int
    leaving: bool = False


LimitMessage = (
    LimitUpdates
    | PermitRequest
    | PermitReply
    | CoordinatorCall
    | CoordinatorReply
)
