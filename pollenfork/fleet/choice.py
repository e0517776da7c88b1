"""Chooses the runner for a request by when its answer would begin."""

from collections.abc import Callable
import heapq
import random

import xxhash

from pollenfork import ids
from pollenfork.fleet import caches
from pollenfork.fleet import copies
from pollenfork.fleet import limits as rate_limits
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.fleet import offers
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.fleet import standing
from pollenfork.loads import messages as loads

# What each request under way adds to the wait for a first token, in seconds:
# a step that takes one more request is about 0.1 ms longer, and the token is
# there after some steps.
_ACTIVE_S = 0.002
# A plain service works on a request for about 45 ms.
_PLAIN_ACTIVE_S = 0.045
# What a runner that failed just now is held to cost, in seconds: more than
# any wait at the others.
_SHUNNED_S = 5.0
_FAILING_S = 1.0
# Others must know of a prompt that takes a runner longer than this to read, in
# tokens, or their short requests wait behind it. At the rate above: 35 ms.
_LONG_TOKENS = 2000
# What a runner without a free slot is held to cost, in seconds: about what a
# long answer still takes there.
_FULL_S = 1.0
# A runner with no more to read than this part of what a request may wait for
# isn't overloaded, however long the request's own prompt is.
_ALWAYS_TAKEN = 0.2
# Choices closer than this are alike, in seconds.
_ALIKE_S = 0.004


class Chooser:
    """Chooses runners and keeps what each choice brings with it.

    A prompt goes where its shared parts have been read. Where nobody has read
    them, instances agree on a home by hashing, for news takes a moment.
    """

    def __init__(
        self,
        runners: registry.Registry,
        rng: random.Random,
        read_others: Callable[[int], loads.Load] | None = None,
        limits: rate_limits.Limits | None = None,
    ) -> None:
        """Starts with nothing known.

        Args:
            runners: The runners of all services.
            rng: Chooses among runners that are alike.
            read_others: Returns what other instances have at a runner, by
                the hash of its id.
            limits: Tells which runners have rate limits; None: none has.
        """
        self._limits = limits or rate_limits.NoLimits()
        self._read_others = read_others or (lambda runner: loads.Load())
        self._registry = runners
        self._rng = rng
        self._standings: dict[ids.EndpointId, standing.Standing] = {}
        self._placed: list[loads.Placement] = []
        self._on_long: list[Callable[[], None]] = []
        self._leavers: dict[
            ids.EndpointId, tuple[model.Runner, standing.Standing]
        ] = {}
        self.caches = caches.Caches()
        runners.when_gone(self._forget)

    def choose(
        self,
        demand: offers.Demand,
        avoid: set[ids.EndpointId],
        now: float,
        longest_s: float | None = None,
        suspect: ids.RequestDigest | None = None,
    ) -> outcomes.Outcome:
        """Returns the runner that would begin its answer first.

        Args:
            demand: What is asked.
            avoid: Runners that this request has been at.
            now: Monotonic seconds.
            longest_s: Seconds in which its own prompt must have been read;
                None: any.
            suspect: The request's digest where runners have ended under it:
                it goes where it can end least.

        Returns:
            The grant; `Overloaded` where that runner has more to read than
            `longest_s`; `OutOfReach` where there are runners and none can be
            reached; `Limited` where those in reach take no more requests
            now; None where there is none.
        """
        self._registry.expire(now)
        takers = [
            runner
            for runner in self._registry.list_takers(demand.service)
            if runner.id not in avoid
        ]
        if not takers:
            return None
        takers = [
            runner
            for runner in self._leave_out_displaced(takers)
            if self.find_standing(runner.id).reachable
        ]
        if not takers:
            return outcomes.OutOfReach()
        reached = takers
        takers = self._leave_out_limited(reached, demand.tier, now)
        if not takers:
            return self._measure_limits(reached, demand.tier, now)
        if suspect is not None:
            takers = self._list_least(takers, suspect, now)
        found = [self._make_offer(demand, runner, now) for runner in takers]
        if demand.shared:
            leavers = self._list_leavers(demand)
            copies.find_sources(demand, found, now, leavers)
        crowd_s = sum(offer.reading for offer in found) / len(found)
        crowd_s /= offers.READ_RATE
        if demand.parts and demand.quick is not None:
            found = offers.keep_apart(demand, found)
        if demand.shared:
            offers.weigh_moves(demand, found, crowd_s)
        least = min(offer.cost for offer in found)
        alike = [each for each in found if each.cost <= least + _ALIKE_S]
        offer = self._rng.choice(alike)
        if longest_s is not None and _is_overloaded(offer, demand, longest_s):
            return outcomes.Overloaded(_find_wait(offer, demand))
        grant = self._grant(demand, offer)
        kept = [each.cost for each in found if not each.unread]
        grant.crowd_s = crowd_s
        grant.holders = len(kept)
        grant.kept_cost = min(kept, default=0.0)
        return grant

    def confirm(self, grant: outcomes.Grant, demand: offers.Demand) -> None:
        """Notes that what was granted on condition will be sent."""
        self._place(demand, grant)

    def is_limited(self, runner: ids.EndpointId) -> bool:
        """Returns whether a runner has a rate limit."""
        mark = self.find_standing(runner).mark
        return self._limits.find_rate(mark) is not None

    def list_marks(self) -> set[int]:
        """Returns the hashes of the starts of all runners known."""
        return {self._mark(runner) for runner in self._registry.list_all()}

    def measure(self, service: ids.ServiceName) -> messages.Use:
        """Returns how busy a service's runners are that take work."""
        use = messages.Use()
        for runner in self._registry.list_takers(service):
            seen = self.find_standing(runner.id)
            others = self._read_others(seen.mark)
            use.runners += 1
            active = seen.active + others.active
            limited = self._limits.find_rate(seen.mark) is not None
            # Its rate fills no more of its slots than these.
            places = min(runner.slots, max(1, active))
            use.places += places if limited else runner.slots
            use.active += active
            use.reading += seen.reading + others.reading
        return use

    def settle(self, grant: outcomes.Grant) -> None:
        """Notes that an attempt has ended."""
        grant.note_first()
        grant.standing.active -= 1
        grant.standing.quick -= grant.quick

    def list_loads(self) -> loads.LoadTable:
        """Returns what this instance has under way at each runner."""
        return {
            seen.mark: loads.Load(seen.active, int(seen.reading), seen.quick)
            for seen in self._standings.values()
            if seen.active
        }

    def when_long(self, call: Callable[[], None]) -> None:
        """Calls `call` when a runner has been given a long prompt."""
        self._on_long.append(call)

    def take_news(
        self, runner: ids.EndpointId, news: messages.CacheNews
    ) -> int:
        """Takes what a runner itself says that it keeps.

        Returns:
            How many beliefs that changed.
        """
        if self._registry.find(runner) is None:
            return 0  # It was asked before it was known to be gone.
        mark = self.find_standing(runner).mark
        changes = self.caches.take_news(mark, news)
        self._placed.extend(changes)
        return len(changes)

    def sweep(self) -> None:
        """Forgets what others tell of runners that nobody knows here."""
        self.caches.retain(self.list_marks())

    def take_placements(self) -> list[loads.Placement]:
        """Returns what was placed since the last call."""
        placed, self._placed = self._placed, []
        return placed

    def list_kept_in(
        self, data_centre: ids.DataCentre
    ) -> list[loads.Placement]:
        """Returns what runners of a data centre are believed to keep."""
        near = {
            self._mark(runner)
            for runner in self._registry.list_all()
            if runner.data_centre == data_centre
        }
        return self.caches.list_kept(near)

    def find_standing(self, runner: ids.EndpointId) -> standing.Standing:
        """Returns what is known of a runner."""
        seen = self._standings.get(runner)
        if seen is None:
            known = self._registry.find(runner)
            incarnation = (
                model.Incarnation(runner)
                if known is None
                else known.incarnation
            )
            seen = standing.Standing(loads.hash_name(incarnation.name))
            self._standings[runner] = seen
        return seen

    def _mark(self, runner: model.Runner) -> int:
        return self.find_standing(runner.id).mark

    def _leave_out_displaced(
        self, takers: list[model.Runner]
    ) -> list[model.Runner]:
        """Returns runners that are where their entries say, if any is."""
        there = [
            runner
            for runner in takers
            if self.find_standing(runner.id).displaced_from != runner.address
        ]
        return there or takers

    def _leave_out_limited(
        self, takers: list[model.Runner], tier: ids.Tier, now: float
    ) -> list[model.Runner]:
        """Returns the runners that may take a request of a tier now."""
        return [
            runner
            for runner in takers
            if self._limits.find_blocked_until(self._mark(runner), tier, now)
            <= now
        ]

    def _measure_limits(
        self, takers: list[model.Runner], tier: ids.Tier, now: float
    ) -> outcomes.Limited:
        marks = [self._mark(runner) for runner in takers]
        until = min(
            self._limits.find_blocked_until(mark, tier, now) for mark in marks
        )
        rate = sum(self._limits.find_rate(mark) or 0.0 for mark in marks)
        return outcomes.Limited(until - now, rate)

    def _list_least(
        self,
        takers: list[model.Runner],
        suspect: ids.RequestDigest,
        now: float,
    ) -> list[model.Runner]:
        """Returns the runner with the least under way, of two.

        All instances choose the same two for a request by hashing, so that it
        ends two at most though it comes at many at once.
        """
        calm = [
            runner
            for runner in takers
            if self.find_standing(runner.id).shunned_until <= now
        ]
        two = heapq.nlargest(
            2,
            calm or takers,
            key=lambda runner: xxhash.xxh64_intdigest(
                runner.incarnation.name, suspect
            ),
        )
        return [min(two, key=self._count_active)]

    def _count_active(self, runner: model.Runner) -> int:
        seen = self.find_standing(runner.id)
        return seen.active + self._read_others(seen.mark).active

    def _make_offer(
        self, demand: offers.Demand, runner: model.Runner, now: float
    ) -> offers.Offer:
        seen = self.find_standing(runner.id)
        cost = seen.failing * _FAILING_S
        if now < seen.shunned_until:
            cost += _SHUNNED_S
        others = self._read_others(seen.mark)
        active = seen.active + others.active
        if not demand.parts:
            return offers.Offer(runner, seen, cost + active * _PLAIN_ACTIVE_S)
        unread = self.caches.count_unread(seen.mark, demand.shared)
        if active >= runner.slots:
            cost += _FULL_S
        reading = seen.reading + others.reading
        cost += (reading + demand.own_tokens) / offers.READ_RATE
        cost += active * _ACTIVE_S
        quick = seen.quick + others.quick
        return offers.Offer(
            runner=runner,
            standing=seen,
            cost=cost,
            unread=unread,
            anew=unread,
            reading=reading,
            quick=quick,
        )

    def _grant(
        self, demand: offers.Demand, offer: offers.Offer
    ) -> outcomes.Grant:
        seen = offer.standing
        reading = offer.anew + demand.own_tokens
        seen.active += 1
        quick = 1 if demand.quick else 0
        seen.quick += quick
        seen.reading += reading
        grant = outcomes.Grant(
            runner=offer.runner,
            standing=seen,
            reading=reading,
            cost=offer.cost,
            unread=offer.unread,
            quick=quick,
            source=offer.source,
            limited=self._limits.find_rate(seen.mark) is not None,
        )
        if not grant.limited:
            self._place(demand, grant)
        return grant

    def _place(self, demand: offers.Demand, grant: outcomes.Grant) -> None:
        """Notes which parts of prompts the runner will have read."""
        runner = grant.standing.mark
        for part in demand.shared:
            mark = caches.hash_part(part)
            self.caches.note(runner, mark)
            if grant.unread:
                self._placed.append(loads.Placement(mark, runner))
        if grant.reading > _LONG_TOKENS:
            for tell in self._on_long:
                tell()

    def _list_leavers(self, demand: offers.Demand) -> list[offers.Offer]:
        """Returns runners that take no new work and keep the shared parts.

        Until they end others may copy from them what is lost with them.
        """
        return [
            offers.Offer(runner, seen, 0.0)
            for runner, seen in self._leavers.values()
            if runner.service == demand.service
            and not self.caches.count_unread(seen.mark, demand.shared)
        ]

    def _forget(self, runner: ids.EndpointId) -> None:
        known = self._registry.find(runner)
        seen = self._standings.pop(runner, None)
        if known is not None and known.leaving and seen is not None:
            self._leavers[runner] = known, seen
            return
        left = self._leavers.pop(runner, None)
        if left is not None:
            self.caches.forget(left[1].mark)
        if seen is not None:
            self.caches.forget(seen.mark)


def _find_wait(offer: offers.Offer, demand: offers.Demand) -> float:
    """Returns seconds until a runner would have read a prompt."""
    tokens = offer.reading + offer.anew + demand.own_tokens
    return tokens / offers.READ_RATE


def _is_overloaded(
    offer: offers.Offer, demand: offers.Demand, longest_s: float
) -> bool:
    """Returns whether a prompt would be read too late for what is before it.

    One that is late by its own length alone is no reason to refuse it.
    """
    before_s = offer.reading / offers.READ_RATE
    if before_s <= longest_s * _ALWAYS_TAKEN:
        return False
    return _find_wait(offer, demand) > longest_s
