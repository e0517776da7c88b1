"""Inputs of an exchange: the admitted request and shared dependencies."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
import enum
import random
from typing import Protocol

import msgspec

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.fleet import retry_budget
from pollenfork.gateway import attempt
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import buffers
from pollenfork.gateway import counters
from pollenfork.gateway import crash_probes
from pollenfork.gateway import edges
from pollenfork.gateway import limit_events
from pollenfork.gateway import messages
from pollenfork.gateway import permits
from pollenfork.gateway import pool
from pollenfork.gateway import probing
from pollenfork.gateway import reach_monitor
from pollenfork.gateway import runner_notices
from pollenfork.gateway.shedding import shedder
from pollenfork.gateway.streams import origin_directory
from pollenfork.pace import estimator
from pollenfork.poison import quarantine
from pollenfork.returns import planner as return_planner
from pollenfork.room import learning
from pollenfork.routes import model as routes


class AdmittedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that may be served.

    Attributes:
        call: The request.
        head: Values decoded from its headers.
        route: Its route.
        demand: What it needs from a runner of the service chosen for it.
        prefill_limit_s: Seconds within which its prompt must be processed;
            beyond that the request is refused; None: no limit.
        tiers: The tiers of all requests to its service, most urgent first.
        tier_targets: The longest target of each tier's routes to its service,
            in seconds.
        account: The client account, if the request has a key.
        tier: Its priority tier; lower is more urgent.
        version: The version of the configuration that admitted it.
        age_s: Seconds since that version was last confirmed to be the newest.
        deadline: Monotonic seconds from which on its answer is useless.
        digest: Identifies the same request when it is sent again.
    """

    call: messages.Request
    head: messages.RequestHead
    route: routes.Route
    demand: candidates.RequestProfile
    prefill_limit_s: float | None
    tiers: tuple[ids.Tier, ...] = ()
    tier_targets: Mapping[ids.Tier, float] = msgspec.field(default_factory=dict)
    account: routes.Account | None
    tier: ids.Tier
    version: int
    age_s: float
    deadline: float
    digest: ids.RequestDigest


class ForwardOutcome(enum.Enum):
    """What became of forwarded requests."""

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    NO_HELPER = "no_helper"


class Forwarder(Protocol):
    """Sends requests to an instance that reaches the runners.

    Attributes:
        counts: The number of forwarded requests, by what became of them.
    """

    counts: dict[ForwardOutcome, int]

    async def forward(
        self,
        admitted: AdmittedRequest,
        sent: int,
        relay: attempt.StreamRelay | None,
        held: buffers.CallerBuffers,
        hosts: Sequence[str] = (),
        version: ids.SoftwareVersion | None = None,
        claim: Callable[[], bool] | None = None,
    ) -> attempt.AttemptResult | None:
        """Returns the result; None: no instance helps, nothing has run.

        Args:
            claim: Asks whether the helper may answer, while a runner may too;
                None: it may.
            hosts: The hosts that may help; none: those that have offered to.
            version: The only software version that may serve it; None: any.
            admitted: The request.
            sent: The number of runners that it has been sent to.
            relay: Forwards a stream to the caller; None if it isn't streamed.
            held: What is held for the caller.
        """


class Dependencies(msgspec.Struct, frozen=True):
    """Dependencies that all exchanges share.

    Attributes:
        record_started: Counts a request of an account that started to run.
        claim_trial: Returns whether a quarantined request may run once, by its
            digest or that of a prompt part, and whether it is that of a part.
        read_loads_age: Returns the age of the other instances' loads in
            seconds; None if there are none.
        brittle: Keeps this instance within its places at brittle runners.
        reach: Tells whether runners can be connected to.
        stream_origins: Tells at which software version streams began.
        forwarder: Forwards requests while they can't; None: nobody else can.
        paces: Receives samples of how fast runners generate.
        returns: Plans the returns of refused callers of forecast services;
            None: they are told how long the best runner is overloaded.
        learned: What earlier answers show about output and duration.
    """

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    codec: edges.Codec
    chooser: choice.Chooser
    evidence: evidence.Evidence
    pool: pool.Pool
    retry_budget: retry_budget.RetryBudget
    prober: probing.Prober
    crash_probes: crash_probes.CrashProbes
    request_quarantine: quarantine.Quarantine
    limit_events: limit_events.LimitEvents
    runner_notices: runner_notices.RunnerNotices
    permits: permits.Permits
    record_started: Callable[[ids.AccountId], None]
    claim_trial: Callable[[ids.RequestDigest, bool], Awaitable[bool]]
    shedder: shedder.Shedder
    counters: counters.Counters
    read_loads_age: Callable[[], float | None]
    reach: reach_monitor.ReachMonitor
    brittle: brittle_runners.BrittleRunners
    paces: estimator.PaceTable
    stream_origins: origin_directory.OriginDirectory
    forwarder: Forwarder | None = None
    returns: return_planner.ReturnPlanner | None = None
    learned: learning.LearnedAnswers = msgspec.field(
        default_factory=learning.LearnedAnswers
    )
