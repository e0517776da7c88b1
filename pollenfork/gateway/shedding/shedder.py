"""Decides which requests may begin at an overloaded service."""

import asyncio
import random

import msgspec

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import outcomes
from pollenfork.gateway import updates
from pollenfork.shedding import order
from pollenfork.shedding import share

# A tier is pressed if even the least loaded runner would delay its requests by
# this part of their target.
_PRESSED_SHARE = 0.5
# A request is refused, whatever its tier, if no runner would have processed its
# prompt in this part of the time that its caller still waits.
_HOPELESS_SHARE = 0.5
# When a closed tier's callers are told to return, in seconds: a time from this
# to twice as much.
_RETURN_S = 1.0
# What a request without a prompt is charged with.
_LEAST_TOKENS = 1000


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """What a request asks of an overloaded service.

    Attributes:
        profile: What it needs from a runner.
        tier: Its tier.
        tiers: The tiers of all requests to the service, most urgent first.
        target_s: Its target in seconds; 0: none.
        limit_s: Seconds within which its prompt should be processed; None: no
            limit.
        deadline: Monotonic seconds from which on its answer is useless.
    """

    profile: candidates.RequestProfile
    tier: ids.Tier
    tiers: tuple[ids.Tier, ...]
    target_s: float
    limit_s: float | None
    deadline: float

    @property
    def tokens(self) -> int:
        """The length of its prompt, or what counts as such."""
        tokens = sum(part.tokens for part in self.profile.parts)
        return max(tokens, _LEAST_TOKENS)

    @property
    def is_least_urgent(self) -> bool:
        """Whether no tier of the service is less urgent."""
        return not self.tiers or self.tier >= self.tiers[-1]


class Shedder:
    """The order of tiers at all services, as this instance knows it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        chooser: choice.Chooser,
    ) -> None:
        """Creates an instance that knows of no pressed tier.

        Args:
            loop: Provides the clock.
            rng: Spreads the decisions and returns of many requests.
            chooser: Knows the runners.
        """
        self._loop = loop
        self._rng = rng
        self._chooser = chooser
        self._order = order.TierOrder()
        self._share = share.LeastShare(rng)
        self._updates: updates.UpdateExchange | None = None

    def join(self, exchange: updates.UpdateExchange) -> None:
        """Exchanges pressed tiers with other instances from now on."""
        self._updates = exchange
        exchange.when_pressures(self._order.receive)

    def set_instances(self, count: int) -> None:
        """Sets the number of instances, including this one."""
        self._share.set_instances(count)

    def sweep(self) -> None:
        """Forgets tiers that are no longer pressed."""
        self._order.expire(self._loop.time())

    def find_pressed(self, service: ids.ServiceName) -> dict[ids.Tier, float]:
        """Returns the pressed tiers, and for how long they are, in seconds."""
        return self._order.find_pressed(service, self._loop.time())

    def measure_opening(self, demand: Demand) -> float:
        """Returns the fraction of its tier's requests that may begin."""
        return self._order.measure_opening(
            demand.profile.service,
            demand.tier,
            demand.tiers,
            self._loop.time(),
        )

    def draw(self) -> float:
        """Returns a random number from 0 to 1."""
        return self._rng.random()

    def take_share(self, demand: Demand) -> bool:
        """Returns whether a request may begin though its tier is refused."""
        service = demand.profile.service
        runners = self._chooser.availability.count_accepting(service)
        rate = runners * candidates.PREFILL_TOKENS_PER_S
        return self._share.try_take(
            service,
            demand.is_least_urgent,
            demand.tokens,
            rate,
            self._loop.time(),
        )

    def find_longest_wait(self, demand: Demand) -> float | None:
        """Returns how long a request may wait at another than its best runner.

        None: it isn't sent to another one.
        """
        if demand.limit_s is None or demand.is_least_urgent:
            return None
        now = self._loop.time()
        may_refuse = self._order.may_refuse(
            demand.profile.service, demand.tier, demand.tiers, now
        )
        if may_refuse:
            return demand.limit_s
        hopeless_s = (demand.deadline - now) * _HOPELESS_SHARE
        return max(demand.limit_s, hopeless_s)

    def record_found(self, demand: Demand, found: outcomes.Outcome) -> None:
        """Records whether a request's tier is pressed."""
        if demand.is_least_urgent or not demand.target_s:
            return
        if not isinstance(found, outcomes.Grant | outcomes.Overloaded):
            return
        if found.least_backlog_s > demand.target_s * _PRESSED_SHARE:
            self.record_pressure(demand)

    def record_pressure(self, demand: Demand) -> None:
        """Records that requests of a tier wait or are refused."""
        if demand.is_least_urgent:
            return
        now = self._loop.time()
        announced = self._order.record_pressure(
            demand.profile.service, demand.tier, now
        )
        if announced and self._updates is not None:
            self._updates.announce_pressures(self._order.take_news(now))

    def refuse_closed(self) -> outcomes.Closed:
        """Returns the refusal of a request whose tier is closed."""
        return outcomes.Closed(_RETURN_S * (1.0 + self._rng.random()))


class Claim:
    """One request's claim to begin.

    Attributes:
        has_share: Whether it begins as part of the share that is kept for
            requests that would be refused.
    """

    def __init__(self, order_of_tiers: Shedder, demand: Demand) -> None:
        """Creates the claim.

        Args:
            order_of_tiers: Decides.
            demand: What the request asks.
        """
        self._shedder = order_of_tiers
        self._demand = demand
        self._drawn: float | None = None
        self.has_share = False

    def may_begin(self) -> bool:
        """Returns whether the request may begin now, as far as tiers go."""
        if self.has_share:
            return True
        opening = self._shedder.measure_opening(self._demand)
        if opening >= 1.0:
            return True
        if self._drawn is None:
            self._drawn = self._shedder.draw()
        return self._drawn < opening or self.take_share()

    def take_share(self) -> bool:
        """Returns whether the request may begin though its tier is refused."""
        if not self.has_share:
            self.has_share = self._shedder.take_share(self._demand)
        return self.has_share

    def find_longest_wait(self) -> float | None:
        """Returns how long it may wait at another than its best runner."""
        return self._shedder.find_longest_wait(self._demand)

    def record_found(self, found: outcomes.Outcome) -> None:
        """Records whether its tier is pressed, by what was found for it."""
        self._shedder.record_found(self._demand, found)

    def record_wait(self) -> None:
        """Records that it waits, or is refused."""
        self._shedder.record_pressure(self._demand)
