"""Retries, circuit breakers and budgets around the platform's services.

The wrappers implement the Protocols of `platform.edges`; a caller doesn't
see whether it holds an adapter or a wrapper.
"""

from collections.abc import Callable
import enum
import random
from typing import TypeVar

import msgspec
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.store import breaker
from pollenfork.store import budget
from pollenfork.store import edges
from pollenfork.store import errors

_T = TypeVar("_T")
_Call = Callable[[], result.Result[_T, errors.PlatformFailure]]


class CallEvent(enum.Enum):
    """What the policy did; each has its counter."""

    RETRY_UNAVAILABLE = "retry_unavailable"
    RETRY_UNANSWERED = "retry_unanswered"
    RETRY_THROTTLED = "retry_throttled"
    REFUSED_BREAKER_OPEN = "refused_breaker_open"
    REFUSED_OUT_OF_BUDGET = "refused_out_of_budget"


_RETRY_EVENTS: dict[type[errors.PlatformFailure], CallEvent] = {
    errors.Unavailable: CallEvent.RETRY_UNAVAILABLE,
    errors.Unanswered: CallEvent.RETRY_UNANSWERED,
    errors.Throttled: CallEvent.RETRY_THROTTLED,
}


class BreakerOpen(errors.Unavailable, frozen=True, kw_only=True):
    """The service failed too often lately; nothing was sent."""


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How often and how long one call is tried.

    Attributes:
        attempts: The first one included.
        call_s: No attempt starts later than this after the first; far less
            than the ten minutes for which the table knows a write id.
    """

    attempts: int = 4
    call_s: float = 5.0


class Tools(msgspec.Struct, frozen=True, kw_only=True):
    """What the wrappers are handed instead of time and chance.

    Attributes:
        wait: Blocks for so many seconds.
        count: Called with each `CallEvent`.
    """

    now: clock.Clock
    rng: random.Random
    wait: Callable[[float], None]
    count: Callable[[enum.Enum], None] = lambda event: None


class Guard:
    """Runs the calls to one service; shared by threads.

    Args:
        name: Of the service, for the log.
        tools: Clock, random generator, `wait` and `count`.
        share: The instance's budget; None for a service without one.
        limits: Of the retries.
    """

    def __init__(
        self,
        name: str,
        tools: Tools,
        share: budget.Budget | None,
        limits: RetryLimits | None = None,
    ) -> None:
        self._name = name
        self._tools = tools
        self._share = share
        self._limits = limits or RetryLimits()
        self._breaker = breaker.Breaker(tools.rng)
        self._backoff = breaker.Backoff(tools.rng)

    def run(
        self, kind: budget.CallKind, call: _Call[_T]
    ) -> result.Result[_T, errors.PlatformFailure]:
        """Returns the answer of `call`, which must be safe to repeat.

        Once an attempt is `Unanswered` it may have had effect, and no later
        refusal proves otherwise: the call stays `Unanswered` unless a later
        attempt is answered.
        """
        started = self._tools.now.monotonic()
        doubt: errors.PlatformFailure | None = None
        retry = 0
        while True:
            answer = self._attempt(kind, call)
            if _is_answered(answer):
                return answer
            failure = answer.unwrap_err()
            if isinstance(failure, errors.Unanswered):
                doubt = failure
            delay_s = self._choose_delay(failure, retry, started)
            if delay_s is None:
                return result.Err(doubt or failure)
            self._tools.count(_RETRY_EVENTS[type(failure)])
            self._tools.wait(delay_s)
            retry += 1

    def _attempt(
        self, kind: budget.CallKind, call: _Call[_T]
    ) -> result.Result[_T, errors.PlatformFailure]:
        if self._breaker.is_blocked(self._tools.now.monotonic()):
            return result.Err(self._refuse())
        refusal = self._spend(kind)
        if refusal:
            return result.Err(refusal)
        era = self._breaker.admit(self._tools.now.monotonic())
        if era is None:  # Another thread became the probe meanwhile.
            return result.Err(self._refuse())
        succeeded = False
        try:
            answer = call()
            succeeded = answer.is_ok() or not isinstance(
                answer.unwrap_err(), errors.Unavailable | errors.Unanswered
            )
            return answer
        finally:
            now = self._tools.now.monotonic()
            self._breaker.record(era, succeeded, now)

    def _refuse(self) -> BreakerOpen:
        self._tools.count(CallEvent.REFUSED_BREAKER_OPEN)
        detail = f"the platform's {self._name} failed too often lately"
        return BreakerOpen(detail=detail)

    def _spend(self, kind: budget.CallKind) -> errors.Throttled | None:
        if self._share is None:
            return None
        wait_s = self._share.take(kind, self._tools.now.monotonic())
        if wait_s == 0.0:
            return None
        self._tools.count(CallEvent.REFUSED_OUT_OF_BUDGET)
        detail = f"this instance's {kind.value}s are spent"
        return errors.Throttled(detail=detail, retry_after_s=wait_s)

    def _choose_delay(
        self, failure: errors.PlatformFailure, retry: int, started: float
    ) -> float | None:
        if isinstance(failure, BreakerOpen):
            return None
        if retry + 1 >= self._limits.attempts:
            return None
        delay_s = self._backoff.choose_delay(retry)
        if isinstance(failure, errors.Throttled):
            delay_s += failure.retry_after_s
        elapsed_s = self._tools.now.monotonic() - started
        return delay_s if elapsed_s + delay_s <= self._limits.call_s else None


class GuardedTable:
    """`edges.TableService` with a guard; a retry keeps its write id."""

    def __init__(self, table: edges.TableService, guard: Guard) -> None:
        self._table = table
        self._guard = guard

    def read(
        self, key: str
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None where there is none."""
        return self._guard.run(
            budget.CallKind.READ, lambda: self._table.read(key)
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows whose key starts with `prefix`, past `after`."""
        return self._guard.run(
            budget.CallKind.READ,
            lambda: self._table.scan(prefix, after, limit),
        )

    def commit(
        self, transaction: edges.Transaction
    ) -> result.Result[edges.Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` where a condition fails."""
        return self._guard.run(
            budget.CallKind.WRITE, lambda: self._table.commit(transaction)
        )


class GuardedObjects:
    """`edges.ObjectStore` with a guard."""

    def __init__(self, objects: edges.ObjectStore, guard: Guard) -> None:
        self._objects = objects
        self._guard = guard

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None where there is none."""
        return self._guard.run(
            budget.CallKind.READ, lambda: self._objects.fetch(key)
        )

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the object whole, replacing an older one."""
        return self._guard.run(
            budget.CallKind.WRITE, lambda: self._objects.store(key, body)
        )

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object; an absent one is no failure."""
        return self._guard.run(
            budget.CallKind.WRITE, lambda: self._objects.remove(key)
        )


class GuardedInstances:
    """`edges.InstanceList` with a guard."""

    def __init__(self, instances: edges.InstanceList, guard: Guard) -> None:
        self._instances = instances
        self._guard = guard

    def fetch(
        self,
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the list as the platform has it now."""
        return self._guard.run(budget.CallKind.READ, self._instances.fetch)


class GuardedWeights:
    """`edges.WeightStore` with a guard that never retries.

    A lost answer may have used a permit up; the caller, who staggers loads,
    decides when to ask again.
    """

    def __init__(self, weights: edges.WeightStore, guard: Guard) -> None:
        self._weights = weights
        self._guard = guard

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Takes a permit to load the weights; `Throttled` when over rate."""
        return self._guard.run(
            budget.CallKind.READ,
            lambda: self._weights.request_read(model, version),
        )


class Platform:
    """The platform's services as an instance uses them.

    Each service has its own breaker.

    Attributes:
        budget: In two parts; `keyed_table` and `keyed_objects` use the one,
            the table, objects and instance list the other.
        keyed_table: The table for the records of requests with a key.
        keyed_objects: The object store for their answers.
        polled_table: The table for callers that poll: their next poll is the
            retry, and they have other things to do meanwhile.
    """

    def __init__(
        self,
        *,
        table: edges.TableService,
        objects: edges.ObjectStore,
        instances: edges.InstanceList,
        weights: edges.WeightStore,
        tools: Tools,
    ) -> None:
        self.budget = budget.Budgets(tools.now.monotonic())
        share, keyed = self.budget.control, self.budget.keyed
        once = RetryLimits(attempts=1)
        self.table = GuardedTable(table, Guard("table", tools, share))
        self.polled_table = GuardedTable(
            table, Guard("polled table", tools, share, once)
        )
        self.keyed_table = GuardedTable(table, Guard("table", tools, keyed))
        self.objects = GuardedObjects(objects, Guard("objects", tools, share))
        self.keyed_objects = GuardedObjects(
            objects, Guard("objects", tools, keyed)
        )
        self.instances = GuardedInstances(
            instances, Guard("instances", tools, share)
        )
        self.weights = GuardedWeights(
            weights, Guard("weights", tools, None, once)
        )


def _is_answered(
    answer: result.Result[_T, errors.PlatformFailure],
) -> bool:
    return answer.is_ok() or isinstance(answer.unwrap_err(), errors.Conflicted)
