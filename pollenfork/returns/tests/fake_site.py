"""A fake site: instances, callers that return, and a shared backlog.

The backlog is one queue that all runners empty together, so it shows how much
work returns at once, not where it is placed.
"""

import collections
from collections.abc import Callable
import heapq
import random

import msgspec

from pollenfork import ids
from pollenfork.returns import planner
from pollenfork.returns import promises
from pollenfork.shedding import share

SERVICE = ids.ServiceName("s")
RATE = 70 * 56_600.0
TOKENS = 3720
TARGET_S = 2.063
LIMIT_S = 0.7 * TARGET_S
TIME_LIMIT_S = 12.38
# From a caller's decision to return until the request has arrived.
TRANSIT_S = 0.01


class Counters:
    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()

    def record_return(self, event) -> None:
        self.counts[event] += 1


class Link:
    """One instance's connection to all others."""

    def __init__(self, site: "Site", number: int) -> None:
        self._site = site
        self._number = number
        self.callback: Callable | None = None

    def announce_return(self, planned) -> None:
        self._site.announce(self._number, planned)

    def when_returns(self, callback) -> None:
        self.callback = callback


class Caller(msgspec.Struct, eq=False):
    """A caller and what it has experienced.

    Attributes:
        tells: When it was refused and after how long it was to return.
        wait_s: The wait at the runners when it was admitted.
        promised: Whether a promise admitted it.
        told: Whether its last return was at the time it was told.
    """

    digest: ids.RequestDigest
    deadline: float
    obeys: bool = True
    tells: list[tuple[float, float]] = []
    admitted_at: float | None = None
    wait_s: float | None = None
    promised: bool = False
    told: bool = False

    @property
    def served_in_time(self) -> bool:
        return self.wait_s is not None and self.wait_s <= TARGET_S


class Site:
    """Instances with planners, and runners with a common backlog."""

    def __init__(
        self,
        instances: int,
        seed: int,
        backlog_s: float = 0.0,
        others: float = 0.45,
        loss: float = 0.0,
        counted: int | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self._backlog = backlog_s * RATE
        self._updated_at = self.now
        self._others = others
        self._loss = loss
        self._events: list = []
        self._added = 0
        self.counters = Counters()
        self.callers: list[Caller] = []
        self.groups = [0] * instances
        self.killed: set[int] = set()
        self.links = [Link(self, number) for number in range(instances)]
        self.planners = [
            planner.ReturnPlanner(
                random.Random(seed * 1000 + number),
                self.counters,
                self.links[number],
                alone=False,
            )
            for number in range(instances)
        ]
        for each in self.planners:
            each.set_instances(counted or instances, self.now)
        self._shares = [share.LeastShare(self.rng) for _ in range(instances)]
        for each in self._shares:
            each.set_instances(instances)

    def schedule(self, at: float, call: Callable[[], None]) -> None:
        self._added += 1
        heapq.heappush(self._events, (at, self._added, call))

    def run(self, until: float = float("inf")) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()

    def restart(self, number: int) -> None:
        """Replaces an instance by one that knows nothing."""
        self.planners[number] = planner.ReturnPlanner(
            self.rng, self.counters, self.links[number], alone=False
        )
        self.planners[number].set_instances(len(self.planners), self.now)

    def announce(self, sender: int, planned) -> None:
        # Over a relay; it subtracts the time that this took.
        delay_s = self.rng.uniform(0.05, 0.15)
        left_ms = planned.due_in_ms - delay_s * 1000
        received = msgspec.structs.replace(planned, due_in_ms=left_ms)
        to = [
            link
            for number, link in enumerate(self.links)
            if number != sender
            and self.groups[number] == self.groups[sender]
            and self.rng.random() >= self._loss
        ]
        self.schedule(
            self.now + delay_s,
            lambda: [link.callback((received,), self.now) for link in to],
        )

    def add_caller(self, at: float, obeys: bool = True, group: int = 0):
        digest = ids.RequestDigest(self.rng.getrandbits(64))
        caller = Caller(digest, at + TIME_LIMIT_S, obeys, [])
        self.callers.append(caller)
        self.schedule(at, lambda: self._arrive(caller, group))
        return caller

    def measure_wait(self, tokens: float = TOKENS) -> float:
        passed_s = self.now - self._updated_at
        self._backlog -= passed_s * RATE * (1 - self._others)
        self._backlog = max(0.0, self._backlog)
        self._updated_at = self.now
        return (self._backlog + tokens) / RATE

    def _arrive(self, caller: Caller, group: int) -> None:
        if self.now >= caller.deadline:
            return
        alive = [
            number
            for number, each in enumerate(self.groups)
            if each == group and number not in self.killed
        ]
        told_s = self._decide(caller, self.rng.choice(alive))
        if told_s is None:
            return
        caller.tells.append((self.now, told_s))
        caller.told = caller.obeys
        wait_s = told_s if caller.obeys else 0.0
        self.schedule(
            self.now + wait_s + TRANSIT_S, lambda: self._arrive(caller, group)
        )

    def _decide(self, caller: Caller, number: int) -> float | None:
        """Decides as the gateway does; returns the Retry-After, if any."""
        plans = self.planners[number]
        request = planner.Caller(
            request="q",
            service=SERVICE,
            digest=caller.digest,
            tokens=TOKENS,
            target_s=TARGET_S,
            arrived=self.now,
            deadline=caller.deadline,
        )
        claimed = plans.claim(request, self.now)
        if isinstance(claimed, promises.Kept):
            plans.confirm(request, claimed)
        if isinstance(claimed, promises.Early):
            return plans.refuse_early(request, claimed, self.now)
        wait_s = self.measure_wait()
        if claimed is not None:
            self._admit(caller, wait_s, True)
            return None
        limit_s = LIMIT_S - plans.measure_backlog(RATE, self.now)
        if wait_s <= limit_s:
            self._admit(caller, wait_s, False)
            return None
        overload = planner.Overload(wait_s, wait_s - TOKENS / RATE, RATE)
        plan = plans.plan(request, overload, self.now)
        if plan.obstacle is None:
            return plan.wait_s
        if not self._shares[number].try_take(
            SERVICE, True, TOKENS, RATE, self.now
        ):
            return plans.refuse_unplanned(request, plan)
        self._admit(caller, wait_s, False)
        return None

    def _admit(self, caller: Caller, wait_s: float, promised: bool) -> None:
        self._backlog += TOKENS
        caller.admitted_at = self.now
        caller.wait_s = wait_s
        caller.promised = promised
