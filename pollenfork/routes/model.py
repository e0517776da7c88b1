"""The operators' configuration, independent of its wire format."""

import enum

import msgspec

from pollenfork import ids


class Kind(enum.Enum):
    """Whether requests may be retried once they may have run.

    `REPEATABLE` requests are idempotent. `AT_MOST_ONCE` requests run at most
    once. `STREAM` requests do too, unless their route allows resuming.
    """

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service and its weight among a route's services."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests for one host and path prefix are served.

    Attributes:
        name: The name that operators gave the route.
        host: The `Host` header to match, in lower case.
        prefix: The path prefix to match.
        kind: Whether requests may be retried.
        time_limit_s: Seconds after which a request times out.
        target_s: Target time to the answer or its first event, in seconds.
        gap_s: Target for the longest pause between events, in seconds.
        tier: The priority; 0 is the highest.
        targets: The services that share the requests.
        attempts: The most runners to which one request may be sent.
        public: Whether requests need no API key.
        resumable: Whether a broken stream may resume on another runner.
        prefix_affinity: Whether requests name the parts of their prompts.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    time_limit_s: float
    target_s: float
    gap_s: float
    tier: ids.Tier
    targets: tuple[Target, ...]
    attempts: int
    public: bool
    resumable: bool
    prefix_affinity: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request may safely run more than once."""
        return self.kind is Kind.REPEATABLE or self.resumable


class Scaling(msgspec.Struct, frozen=True, kw_only=True):
    """How many runners of a service may be ordered, and at which price.

    Attributes:
        min_runners: The fewest per data centre, both kinds together.
        max_runners: The most per data centre, both kinds together.
        boot_s: Seconds from an order until new runners are ready.
        reclaimable_price: Price of a reclaimable runner as a fraction of the
            regular price; None if the service has no reclaimable runners.
        prices: Price of one runner per second, by data centre.
    """

    min_runners: int
    max_runners: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[ids.DataCentre, float]


class Service(msgspec.Struct, frozen=True):
    """A service and the properties of its runners.

    Attributes:
        name: The service's name.
        health_path: The path of the runners' health check.
        max_connections: The most connections that one runner accepts from all
            instances together; 0 if unknown.
        cache_tokens: Tokens that a runner's KV cache holds; 0 if the runners
            run no model.
        copy_s: Seconds that a runner takes to copy one prompt token from
            another runner's cache; None if it can't.
        scaling: How many runners may be ordered; None if none may.
        event_tokens: Tokens in one event of an answer.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    cache_tokens: int
    copy_s: float | None = None
    scaling: Scaling | None = None
    event_tokens: int = 1


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts for callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3.0
    idle_s: float = 15.0


class Account(msgspec.Struct, frozen=True):
    """A client account; its tier, if set, outranks the route's."""

    id: ids.AccountId
    tier: ids.Tier | None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One complete version of the configuration.

    Attributes:
        version: The version that operators gave it; it only increases.
        routes: All routes.
        services: All services by name.
        limits: Limits on callers' requests.
        accounts: Client accounts by API key; None if no keys are required.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: CallerLimits
    accounts: dict[str, Account] | None
