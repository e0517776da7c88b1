"""The users' request classes as a workload, seeded."""

from collections.abc import Iterator
import dataclasses
import math
import random

from benchmarks.decisions import engine
from pollenfork import ids
from pollenfork.settings import model

ENGINES = 9
MODEL = ids.ModelName("lines")
TEAM = ids.Team("users")
ACCOUNTS = 10
LARGE_ACCOUNTS = 3
EVERY_KIND = "*"


@dataclasses.dataclass(frozen=True)
class Kind:
    """One class: its settings, its shape and its part of the work.

    Attributes:
        part: Part of the offered slot-seconds.
        median: Tokens of the answer; lognormal with `sigma`.
    """

    name: str
    settings: model.ServiceClass
    part: float
    prompt: int
    median: int
    sigma: float

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of an answer."""
        return self.median * math.exp(self.sigma**2 / 2)

    @property
    def hold_s(self) -> float:
        """Mean seconds that a request holds a slot of a full engine."""
        gap = engine.GAP_BASE_S + engine.GAP_PER_REQUEST_S * engine.SLOTS
        prefill = engine.PREFILL_BASE_S + (
            self.prompt * engine.PREFILL_PER_TOKEN_S
        )
        return prefill + self.mean_tokens * gap


_WAIT = model.LatePolicy.WAIT

KINDS = (
    Kind(
        "morning-reports",
        model.ServiceClass(
            tier=0,
            target_first_token_ms=3000,
            protected=True,
            when_late=_WAIT,
            max_wait_ms=120_000,
            minimum_share=0.0,
        ),
        0.20,
        1500,
        250,
        0.6,
    ),
    Kind(
        "price-queries",
        model.ServiceClass(
            tier=1,
            target_first_token_ms=800,
            max_wait_ms=5000,
            hedge=True,
        ),
        0.05,
        400,
        80,
        0.5,
    ),
    Kind(
        "crew-questions",
        model.ServiceClass(
            tier=2, target_first_token_ms=1300, max_wait_ms=10_000
        ),
        0.15,
        600,
        200,
        0.7,
    ),
    Kind(
        "contract-reviews",
        model.ServiceClass(
            tier=3,
            target_first_token_ms=10_000,
            protected=True,
            when_late=_WAIT,
            max_wait_ms=120_000,
        ),
        0.20,
        12_000,
        900,
        0.8,
    ),
    Kind(
        "settlements",
        model.ServiceClass(
            tier=4, target_first_token_ms=4000, max_wait_ms=30_000
        ),
        0.20,
        2000,
        350,
        0.7,
    ),
    Kind(
        "log-summaries",
        model.ServiceClass(
            tier=6,
            target_first_token_ms=30_000,
            when_late=_WAIT,
            max_wait_ms=300_000,
        ),
        0.20,
        3000,
        400,
        0.7,
    ),
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request as it reaches the balancer."""

    at: float
    kind: Kind
    account: str
    tokens: int
    prefix: int


@dataclasses.dataclass(frozen=True)
class Load:
    """How much comes, as multiples of the engines' capacity.

    Attributes:
        factor: Offered work over capacity, all classes together.
        burst_kind: A class that comes in a burst on top, or `EVERY_KIND`.
        burst_factor: The burst's work over capacity while it lasts.
    """

    factor: float = 1.5
    burst_kind: str | None = None
    burst_factor: float = 0.0
    burst_from: float = 30.0
    burst_until: float = 60.0


def list_arrivals(
    load: Load, seconds: float, rng: random.Random, engines: int = ENGINES
) -> list[Arrival]:
    """Returns the arrivals of one run, in order."""
    arrivals: list[Arrival] = []
    slots = engines * engine.SLOTS
    for kind in KINDS:
        rate = load.factor * kind.part * slots / kind.hold_s
        arrivals += _list_poisson(kind, rate, 0.0, seconds, rng)
        if load.burst_kind in (kind.name, EVERY_KIND):
            part = 1.0 if load.burst_kind == kind.name else kind.part
            rate = load.burst_factor * part * slots / kind.hold_s
            span = (load.burst_from, load.burst_until)
            arrivals += _list_poisson(kind, rate, *span, rng)
    return sorted(arrivals, key=lambda a: a.at)


def _list_poisson(
    kind: Kind, rate: float, start: float, end: float, rng: random.Random
) -> Iterator[Arrival]:
    now = start
    while rate > 0 and (now := now + rng.expovariate(rate)) < end:
        # A few large accounts bring most of the work.
        is_large = rng.random() < 0.7
        account = rng.randrange(LARGE_ACCOUNTS)
        if not is_large:
            account = rng.randrange(LARGE_ACCOUNTS, ACCOUNTS)
        tokens = round(rng.lognormvariate(math.log(kind.median), kind.sigma))
        prefix = hash((kind.settings.tier, account)) & 0xFFFFFFFF
        yield Arrival(now, kind, f"account-{account}", max(2, tokens), prefix)
