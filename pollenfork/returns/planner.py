"""Decides when refused callers return, and recognizes them when they do."""

import logging
import math
import random

import msgspec

from pollenfork import ids
from pollenfork import logs
from pollenfork.loads import messages
from pollenfork.returns import edges
from pollenfork.returns import promises
from pollenfork.returns import schedule
from pollenfork.returns import trend

_LOG = logging.getLogger(__name__)
_Event = edges.ReturnEvent

# The share of the runners' prefill rate that is given to returns; the rest is
# left to new callers.
_UTILIZATION = 0.5
# A wait up to this share of a caller's target is short enough to promise that
# it is admitted. If the wait is longer, the backlog has to fall first: where
# other work took 0.6 of the runners, promises without regard to this were kept
# in time for 0.004 of 1,650 refused callers in a fake site, and for 0.94 with
# it.
_TARGET_SHARE = 0.9
# The share of the spare rate given to returns while the backlog is too long;
# with the rest the backlog falls further.
_SPARE_SHARE = 0.9
_MIN_SPARE = 0.01
# The maximum share of the caller's remaining time after which it returns.
_MAX_SHARE = 1 / 3
# The time, in seconds, that a refusal may take to its caller, whose remaining
# time is measured when the refusal arrives.
_TRANSIT_S = 0.03
# Promises per second of all instances together. Each takes 18 bytes, so that
# an instance receives 10.8 KB/s at most.
_MAX_RATE = 600.0
# The shortest time after which a caller returns, in seconds: by then a promise
# is known to all instances.
_MIN_WAIT_S = 0.15
# Returns due within this time, in seconds, count as load for new requests.
_HORIZON_S = 0.5
# Instances that haven't been heard from for less than this, in seconds, may
# only be partitioned and still be assigning return times.
_PARTITION_S = 60.0
# An instance that has known no other for this long, in seconds, is alone. Its
# first messages are answered within a tenth of that.
_ALONE_S = 3.0
# Resolution of `Retry-After` in 1/s.
_RESOLUTION = 100


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """One request as far as its return is concerned.

    Attributes:
        request: The request's id, as quoted in logs.
        service: The service that it needs.
        digest: Identifies the same request when it is sent again.
        tokens: Prompt tokens that no runner has cached.
        target_s: Target time to the first event, in seconds.
        arrived: Monotonic seconds at which it arrived.
        deadline: Monotonic seconds from which on its answer is useless.
        tier: The request's tier.
    """

    request: str
    service: ids.ServiceName
    digest: ids.RequestDigest
    tokens: int
    target_s: float
    arrived: float
    deadline: float
    tier: ids.Tier = ids.Tier(0)


class Overload(msgspec.Struct, frozen=True):
    """The overload of a service at a refusal.

    Attributes:
        wait_s: Seconds until the best runner would have processed the prompt.
        backlog_s: The mean backlog of the service's runners in seconds.
        rate: Prompt tokens per second that they process.
    """

    wait_s: float
    backlog_s: float
    rate: float


class Plan(msgspec.Struct, frozen=True):
    """When a refused caller returns.

    Attributes:
        wait_s: Seconds after which it is told to return.
        obstacle: Why it is promised nothing then; None: it is promised to be
            admitted.
    """

    wait_s: float
    obstacle: str | None = None


class ReturnPlanner:
    """Promises return times to refused callers and keeps the promises."""

    def __init__(
        self,
        rng: random.Random,
        counted: edges.Counters,
        peers: edges.Peers | None = None,
        alone: bool = True,
    ) -> None:
        """Creates a planner that knows of no promises.

        Args:
            rng: Spreads the return times of different instances.
            counted: Counts what becomes of returns.
            peers: Propagates promises; None: there are no other instances, or
                `join` is called later.
            alone: Whether there is no other instance. Otherwise no returns are
                planned until the number of instances is known.
        """
        self._rng = rng
        self._counters = counted
        self._promises = promises.PromiseTable()
        self._schedules: dict[ids.ServiceName, schedule.ReturnSchedule] = {}
        self._trends: dict[ids.ServiceName, trend.BacklogTrend] = {}
        self._instances = 1 if alone else 0
        self._counted_at = 0.0
        self._first_counted_at: float | None = None
        self._peers: edges.Peers | None = None
        if peers is not None:
            self.join(peers)

    def join(self, peers: edges.Peers) -> None:
        """Exchanges promises with other instances from now on."""
        self._peers = peers
        peers.when_returns(self.record_returns)

    def set_instances(self, count: int, now: float) -> None:
        """Sets the number of known instances, including this one.

        A decrease takes effect only after a while, because instances that
        aren't heard may still be assigning return times for the same runners.
        """
        if self._first_counted_at is None:
            self._first_counted_at = now
        if count <= 1 and now - self._first_counted_at < _ALONE_S:
            return  # It has just started and may not know the others yet.
        if count >= self._instances or now - self._counted_at > _PARTITION_S:
            self._instances = count
            self._counted_at = now

    def record_returns(
        self, planned: tuple[messages.PlannedReturn, ...], now: float
    ) -> None:
        """Adds the promises of other instances."""
        for each in planned:
            due = now + each.due_in_ms / 1000
            self._promises.add(each.digest, due, each.tokens, now, each.tier)

    def claim(
        self, caller: Caller, now: float
    ) -> promises.Kept | promises.Early | None:
        """Uses up the promise of a request that has just arrived.

        Returns:
            Whether its promise is due; None: it has none.
        """
        short = promises.shorten_digest(caller.digest)
        return self._promises.claim(short, caller.arrived, now)

    def confirm(self, caller: Caller, kept: promises.Kept) -> None:
        """Records that a request was admitted because of its promise."""
        self._counters.record_return(_Event.KEPT)
        _LOG.info(
            "event=return_kept request=%s digest=%016x late_ms=%d",
            caller.request,
            caller.digest,
            kept.late_s * 1000,
            extra=logs.ORDINARY,
        )

    def restore(self, caller: Caller, kept: promises.Kept, now: float) -> None:
        """Renews the promise of a request for which there was no runner."""
        short = promises.shorten_digest(caller.digest)
        due = now - kept.late_s
        self._promises.add(short, due, caller.tokens, now, caller.tier)

    def measure_backlog(
        self, rate: float, now: float, tier: ids.Tier | None = None
    ) -> float:
        """Returns the seconds of work that the returns due soon will take.

        Args:
            tier: Less urgent returns than of this tier are left out, as they
                give way to it; None: none are.
            rate: Prompt tokens per second that the service's runners process.
            now: Monotonic seconds.
        """
        if rate <= 0:
            return 0.0
        return self._promises.count_tokens(now, _HORIZON_S, tier) / rate

    def refuse_early(
        self, caller: Caller, early: promises.Early, now: float
    ) -> float:
        """Returns the seconds after which a caller that came early returns."""
        wait_s = _round_down(
            min(early.left_s, self._find_latest(caller, now) - now)
        )
        self._counters.record_return(_Event.EARLY)
        _LOG.info(
            "event=return_early request=%s digest=%016x left_ms=%d told_ms=%d",
            caller.request,
            caller.digest,
            early.left_s * 1000,
            wait_s * 1000,
        )
        return wait_s

    def plan(self, caller: Caller, overload: Overload, now: float) -> Plan:
        """Promises a return time to a caller that would be refused.

        Args:
            caller: The request that would be refused.
            overload: Why it would be refused.
            now: Monotonic seconds.

        Returns:
            A promise if there is a free place; otherwise the latest time
            allowed, without a promise. If only the table of promises is full,
            the time of the free place, without a promise.
        """
        latest = self._find_latest(caller, now)
        spare = self._measure_spare(caller.service, overload, now)
        found = self._assign(caller, overload, spare, latest, now)
        if isinstance(found, str):
            return Plan(_round_down(latest - now), found)
        told_s = _round_down(found - now)
        due = now + told_s
        short = promises.shorten_digest(caller.digest)
        queue = len(self._promises)
        if not self._promises.add(short, due, caller.tokens, now, caller.tier):
            return Plan(told_s, "table_full")
        if self._peers is not None:
            self._peers.announce_return(
                messages.PlannedReturn(
                    short,
                    math.floor(told_s * 1000),
                    caller.tokens,
                    caller.tier,
                )
            )
        self._counters.record_return(_Event.PLANNED)
        _LOG.info(
            "event=return_planned request=%s digest=%016x due_ms=%d queue=%d "
            "wait_ms=%d latest_ms=%d own=%d spare=%d rate=%d instances=%d",
            caller.request,
            caller.digest,
            told_s * 1000,
            queue,
            overload.wait_s * 1000,
            (latest - now) * 1000,
            caller.tokens,
            spare * 100,
            overload.rate,
            self._instances,
        )
        return Plan(told_s)

    def refuse_unplanned(self, caller: Caller, plan: Plan) -> float:
        """Returns the seconds after which a caller without promise returns."""
        self._counters.record_return(_Event.UNPLANNED)
        _LOG.info(
            "event=return_unplanned request=%s digest=%016x told_ms=%d "
            "queue=%d reason=%s",
            caller.request,
            caller.digest,
            plan.wait_s * 1000,
            len(self._promises),
            plan.obstacle,
        )
        return plan.wait_s

    def _assign(
        self,
        caller: Caller,
        overload: Overload,
        spare: float,
        latest: float,
        now: float,
    ) -> float | str:
        """Returns the time of a free place, or why there is none."""
        if not self._instances:
            return "instances_unknown"
        if overload.rate <= 0:
            return "no_runners"
        earliest = min(now + max(overload.wait_s, _MIN_WAIT_S), latest)
        if earliest + caller.target_s > caller.deadline:
            return "no_time"
        excess_s = overload.wait_s - _TARGET_SHARE * caller.target_s
        utilization = _UTILIZATION
        if caller.target_s and excess_s > 0:
            utilization = min(utilization, spare * _SPARE_SHARE)
            earliest = max(earliest, now + excess_s / spare)
        if earliest > latest:
            return "overload_lasts"
        known = self._schedules.get(caller.service)
        if known is None:
            known = schedule.ReturnSchedule(self._rng)
            self._schedules[caller.service] = known
        share = overload.rate * utilization / self._instances
        length_s = max(caller.tokens / share, self._instances / _MAX_RATE)
        due = known.assign(schedule.Window(earliest, latest), length_s, now)
        return "no_place" if due is None else due

    def _measure_spare(
        self, service: ids.ServiceName, overload: Overload, now: float
    ) -> float:
        """Returns the share of the runners' rate that other work leaves.

        New requests are refused meanwhile, so the backlog consists of other
        tiers' requests and of returns. Where the fall of the backlog isn't
        known yet, half of the rate is assumed.
        """
        known = self._trends.setdefault(service, trend.BacklogTrend())
        known.record(overload.backlog_s, now)
        fall = known.measure()
        if fall is None or overload.rate <= 0:
            return _UTILIZATION
        returned = self._promises.count_returned(fall.start, fall.end)
        used = returned / overload.rate / (fall.end - fall.start)
        return min(1.0, max(_MIN_SPARE, fall.rate + used))

    def _find_latest(self, caller: Caller, now: float) -> float:
        """Returns the latest time at which a caller may be told to return."""
        left_s = max(0.0, caller.deadline - now - _TRANSIT_S)
        return now + left_s * _MAX_SHARE


def _round_down(seconds: float) -> float:
    """Returns a time as `Retry-After` shows it, never a longer one."""
    return max(0.0, math.floor(seconds * _RESOLUTION) / _RESOLUTION)
