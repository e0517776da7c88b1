"""Chooses the runner for a request by when its answer would begin."""

from collections.abc import Callable
import math
import random

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.fleet import caches
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import standing
from pollenfork.loads import messages as loads

# Prompt tokens that a runner reads in a second; the operators' sheet.
READ_RATE = 56_600.0
# A fleet whose runners have this much to read on average is merely busy.
_CROWDED_S = 0.25
# Reading shared parts again takes the runner's time from everyone and evicts
# what others share, so it counts for more than the time it takes itself.
_MOVE_WEIGHT = 3.0
# The more the runners have to read on the whole, the more requests pay for
# what is read twice: for each second of it on average, a move weighs this
# much more. Without this, prompts wander in overload, push each other out of
# the runners' memory, and the fleet doesn't recover while the load lasts.
_CROWDED_WEIGHT = 60.0
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
# Runners are kept for requests of the most urgent tier, one for this many that
# are under way, within these parts of the service. While a runner reads long
# prompts each step of its batch takes about 45 ms instead of 8, and the events
# of all its streams come too slowly; with 25 streams and their own prompts a
# step takes about 20 ms.
_QUICK_EACH = 25
_QUICK_LEAST = 0.1
_QUICK_MOST = 0.4
# What such a request is held to cost at the others, in seconds: it goes there
# when those kept for it are loaded that much more.
_QUICK_ELSEWHERE_S = 0.25
# Where runners have more than this to read on average, in seconds, keeping
# requests back only makes them late too: there is no moment to wait for.
_OVERLOAD_S = 0.6
# Choices closer than this are alike, in seconds.
_ALIKE_S = 0.004


class Demand(msgspec.Struct, frozen=True):
    """What a request asks of a runner.

    Attributes:
        service: The service.
        parts: The prompt's parts; the last is its own.
        quick: Whether it is of the most urgent tier among several; None
            where the service has but one.
    """

    service: ids.ServiceName
    parts: tuple[model.Part, ...] = ()
    quick: bool | None = None

    @property
    def shared(self) -> tuple[model.Part, ...]:
        """The parts that other requests have too."""
        return self.parts[:-1]

    @property
    def own_tokens(self) -> int:
        """Tokens that no runner has read yet."""
        return self.parts[-1].tokens if self.parts else 0


class _Offer(msgspec.Struct):
    """What a request may expect of a runner.

    Attributes:
        runner: The runner.
        standing: What is known of it.
        cost: Seconds until an answer would begin there, weighed.
        unread: Tokens of the shared parts that it would have to read.
        reading: Tokens that it has to read before.
        quick: Requests of the most urgent tier that it works on.
    """

    runner: model.Runner
    standing: standing.Standing
    cost: float
    unread: int = 0
    reading: float = 0.0
    quick: int = 0


class Busy(msgspec.Struct, frozen=True):
    """The best runner has more to read than was allowed.

    Attributes:
        runner: The runner.
        reading: Prompt tokens that it has yet to read.
    """

    runner: model.Runner
    reading: float


class Grant(msgspec.Struct):
    """A runner chosen for one attempt, until it is settled.

    Attributes:
        runner: The runner.
        standing: What is known of it.
        reading: Prompt tokens that it is expected to read.
        cost: Seconds until an answer would begin there, weighed.
        unread: Tokens of shared parts that it would have to read.
        holders: Runners of the service that have read them all.
        kept_cost: The least cost among those; 0 where there is none.
        quick: 1 where it counts as of the most urgent tier.
        crowd_s: What the service's runners have to read on average, in
            seconds.
    """

    runner: model.Runner
    standing: standing.Standing
    reading: float
    cost: float = 0.0
    unread: int = 0
    holders: int = 0
    kept_cost: float = 0.0
    quick: int = 0
    crowd_s: float = 0.0

    def note_first(self) -> None:
        """Notes that the prompt has been read."""
        self.standing.reading -= self.reading
        self.reading = 0.0


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
    ) -> None:
        """Starts with nothing known.

        Args:
            runners: The runners of all services.
            rng: Chooses among runners that are alike.
            read_others: Returns what other instances have at a runner, by
                the hash of its id.
        """
        self._read_others = read_others or (lambda runner: loads.Load())
        self._registry = runners
        self._rng = rng
        self._standings: dict[ids.EndpointId, standing.Standing] = {}
        self._placed: list[loads.Placed] = []
        self._on_long: list[Callable[[], None]] = []
        self.caches = caches.Caches()
        runners.when_gone(self._forget)

    def choose(
        self,
        demand: Demand,
        avoid: set[ids.EndpointId],
        now: float,
        backlog_s: float | None = None,
    ) -> Grant | Busy | None:
        """Returns the runner that would begin its answer first.

        Args:
            demand: What is asked.
            avoid: Runners that this request has been at.
            now: Monotonic seconds.
            backlog_s: Seconds of reading that it may have before it; None:
                any.

        Returns:
            The grant; `Busy` where that runner has more to read; None where
            there is no runner.
        """
        self._registry.expire(now)
        takers = [
            runner
            for runner in self._registry.list_takers(demand.service)
            if runner.id not in avoid
        ]
        if not takers:
            return None
        offers = [self._make_offer(demand, runner, now) for runner in takers]
        crowd_s = sum(offer.reading for offer in offers) / len(offers)
        crowd_s /= READ_RATE
        if demand.quick is not None:
            offers = _keep_apart(demand, offers)
        if demand.shared:
            _weigh_moves(demand, offers, crowd_s)
        least = min(offer.cost for offer in offers)
        alike = [each for each in offers if each.cost <= least + _ALIKE_S]
        offer = self._rng.choice(alike)
        if (
            backlog_s is not None
            and crowd_s < _OVERLOAD_S
            and offer.reading > backlog_s * READ_RATE
        ):
            return Busy(offer.runner, offer.reading)
        grant = self._grant(demand, offer)
        kept = [each.cost for each in offers if not each.unread]
        grant.crowd_s = crowd_s
        grant.holders = len(kept)
        grant.kept_cost = min(kept, default=0.0)
        return grant

    def settle(self, grant: Grant) -> None:
        """Notes that an attempt has ended."""
        grant.note_first()
        grant.standing.active -= 1
        grant.standing.quick -= grant.quick

    def list_loads(self) -> loads.Table:
        """Returns what this instance has under way at each runner."""
        return {
            seen.mark: loads.Load(seen.active, int(seen.reading), seen.quick)
            for seen in self._standings.values()
            if seen.active
        }

    def when_long(self, call: Callable[[], None]) -> None:
        """Calls `call` when a runner has been given a long prompt."""
        self._on_long.append(call)

    def take_placed(self) -> list[loads.Placed]:
        """Returns what was placed since the last call."""
        placed, self._placed = self._placed, []
        return placed

    def find_standing(self, runner: ids.EndpointId) -> standing.Standing:
        """Returns what is known of a runner."""
        seen = self._standings.get(runner)
        if seen is None:
            seen = standing.Standing(loads.hash_name(runner.encode()))
            self._standings[runner] = seen
        return seen

    def _make_offer(
        self, demand: Demand, runner: model.Runner, now: float
    ) -> _Offer:
        seen = self.find_standing(runner.id)
        cost = seen.failing * _FAILING_S
        if now < seen.shunned_until:
            cost += _SHUNNED_S
        others = self._read_others(seen.mark)
        active = seen.active + others.active
        if not demand.parts:
            return _Offer(runner, seen, cost + active * _PLAIN_ACTIVE_S)
        unread = self.caches.count_unread(seen.mark, demand.shared)
        if active >= runner.slots:
            cost += _FULL_S
        reading = seen.reading + others.reading
        cost += (reading + demand.own_tokens) / READ_RATE
        cost += active * _ACTIVE_S
        quick = seen.quick + others.quick
        return _Offer(runner, seen, cost, unread, reading, quick)

    def _grant(self, demand: Demand, offer: _Offer) -> Grant:
        seen = offer.standing
        reading = float(offer.unread + demand.own_tokens)
        seen.active += 1
        quick = 1 if demand.quick else 0
        seen.quick += quick
        seen.reading += reading
        for part in demand.shared:
            mark = caches.hash_part(part)
            self.caches.note(seen.mark, mark)
            if offer.unread:
                self._placed.append(loads.Placed(mark, seen.mark))
        if reading > _LONG_TOKENS:
            for tell in self._on_long:
                tell()
        return Grant(
            runner=offer.runner,
            standing=seen,
            reading=reading,
            cost=offer.cost,
            unread=offer.unread,
            quick=quick,
        )

    def _forget(self, runner: ids.EndpointId) -> None:
        seen = self._standings.pop(runner, None)
        if seen is not None:
            self.caches.forget(seen.mark)


def _keep_apart(demand: Demand, offers: list[_Offer]) -> list[_Offer]:
    """Returns the offers without those kept for the most urgent.

    For a request of the most urgent tier all stay, but cost more elsewhere.
    """
    wanted = math.ceil(sum(offer.quick for offer in offers) / _QUICK_EACH)
    least = round(len(offers) * _QUICK_LEAST)
    count = max(least, min(wanted, int(len(offers) * _QUICK_MOST)))
    ranked = sorted(offers, key=lambda offer: offer.standing.mark)
    if not demand.quick:
        return ranked[count:]
    if count:
        for offer in ranked[count:]:
            offer.cost += _QUICK_ELSEWHERE_S
    return ranked


def _weigh_moves(demand: Demand, offers: list[_Offer], crowd_s: float) -> None:
    """Adds what it costs to read the shared parts once more."""
    weight = _MOVE_WEIGHT + _CROWDED_WEIGHT * max(0.0, crowd_s - _CROWDED_S)
    home = _find_home(demand, offers)
    for offer in offers:
        if offer is not home:
            offer.cost += offer.unread * weight / READ_RATE


def _find_home(demand: Demand, offers: list[_Offer]) -> _Offer | None:
    """Returns where shared parts belong that nobody is known to have read.

    An instance that has just started knows of no placement, but most prompts
    have been read, and there.
    """
    total = sum(part.tokens for part in demand.shared)
    if any(offer.unread < total for offer in offers):
        return None
    key = b",".join(part.name for part in demand.shared)
    return max(
        offers,
        key=lambda offer: xxhash.xxh64_intdigest(key, offer.standing.mark),
    )
