"""The configuration that operators write, as the product sees it."""

import enum

import msgspec

from pollenfork import ids


class Kind(enum.Enum):
    """What may be repeated.

    `REPEATABLE` requests are idempotent; `AT_MOST_ONCE` requests run once or
    never; a `STREAM` is like the latter unless its route lets it resume.
    """

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True):
    """A service's part of a route's requests."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host and path prefix, and how they are served.

    Attributes:
        name: The operator's name for it.
        host: The `Host` that selects it, in lower case.
        prefix: The beginning of the paths that select it.
        kind: What may be repeated.
        time_limit_s: The longest that a caller is kept waiting, in seconds.
        target_s: The time to the answer, or its first event, in seconds.
        gap_s: The longest pause between events in time, in seconds.
        tier: Its urgency; 0 is the most urgent.
        targets: The services that share its requests.
        attempts: Runners to which one request may be sent.
        public: Whether it needs no key.
        resumable: Whether a broken stream may go on at another runner.
        prefix_affinity: Whether its requests carry prompt parts.
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
        """Whether a request may run more than once."""
        return self.kind is Kind.REPEATABLE or self.resumable


class Scaling(msgspec.Struct, frozen=True, kw_only=True):
    """How many runners of a service may be ordered, and for which price.

    Attributes:
        min_runners: The fewest per data centre, both kinds together.
        max_runners: The most per data centre, both kinds together.
        boot_s: Seconds from an order until new runners work.
        reclaimable_price: The part of the price that runners cost which may
            be taken away; None: there are none.
        prices: What a second of a runner costs, by data centre.
    """

    min_runners: int
    max_runners: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[ids.DataCentre, float]


class Service(msgspec.Struct, frozen=True):
    """A service that runners offer.

    Attributes:
        name: Its name.
        health_path: Where its runners answer health checks.
        max_connections: What one runner accepts from all instances; 0: unknown.
        cache_tokens: A runner's memory for prompts; 0: no model runs there.
        copy_s: Seconds in which a runner copies a token of a prompt from
            another one's memory; None where it can't.
        scaling: How many runners may be ordered; None: nobody orders any.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    cache_tokens: int
    copy_s: float | None = None
    scaling: Scaling | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, in bytes, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3.0
    idle_s: float = 15.0


class Account(msgspec.Struct, frozen=True):
    """A client account; its tier, if any, goes before the route's."""

    id: ids.AccountId
    tier: ids.Tier | None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration, whole.

    Attributes:
        version: The operator's number; it grows.
        routes: All routes.
        services: All services by name.
        limits: Limits on callers.
        accounts: Client accounts by key; None where no key is asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[ids.ServiceName, Service]
    limits: CallerLimits
    accounts: dict[str, Account] | None
