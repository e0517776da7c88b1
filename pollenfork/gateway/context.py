"""What an exchange is given: the request admitted, and the shared tools."""

import asyncio
from collections.abc import Awaitable, Callable
import random

import msgspec

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.fleet import retry_budget
from pollenfork.gateway import counters
from pollenfork.gateway import edges
from pollenfork.gateway import endings
from pollenfork.gateway import limit_events
from pollenfork.gateway import messages
from pollenfork.gateway import permits
from pollenfork.gateway import pool
from pollenfork.gateway import probing
from pollenfork.gateway import refusals
from pollenfork.poison import quarantine
from pollenfork.routes import model as routes


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A request that may be served.

    Attributes:
        call: The request.
        head: What its headers say.
        route: Its route.
        demand: What it asks of a runner of the service chosen for it.
        longest_s: Seconds in which its prompt must be read, or it is refused;
            None: any.
        account: The client account, where it showed a key.
        tier: Its urgency.
        version: The version of the configuration that admitted it.
        age_s: Seconds for which that version wasn't known to be the newest.
        until: Monotonic seconds at which its answer is of no use.
        digest: What tells the same request when it comes again.
    """

    call: messages.Call
    head: messages.CallHead
    route: routes.Route
    demand: candidates.RequestProfile
    longest_s: float | None
    account: routes.Account | None
    tier: ids.Tier
    version: int
    age_s: float
    until: float
    digest: ids.RequestDigest


class Tools(msgspec.Struct, frozen=True):
    """What all exchanges share.

    Attributes:
        note_begun: Counts a request of an account that began to run.
        claim_trial: Returns whether a request that is kept back may run once.
        read_loads_age: Returns how old others' loads are, in seconds; None
            where there are none.
    """

    loop: asyncio.AbstractEventLoop
    rng: random.Random
    codec: edges.Codec
    chooser: choice.Chooser
    evidence: evidence.Evidence
    pool: pool.Pool
    repeats: retry_budget.RetryBudget
    prober: probing.Prober
    endings: endings.Endings
    suspected: quarantine.Quarantine
    limit_events: limit_events.LimitEvents
    permits: permits.Permits
    note_begun: Callable[[ids.AccountId], None]
    claim_trial: Callable[[ids.RequestDigest], Awaitable[bool]]
    turns: refusals.Turns
    counters: counters.Counters
    read_loads_age: Callable[[], float | None]
