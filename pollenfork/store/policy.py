"""Retries, circuit breakers and budgets for calls to the platform.

The wrappers implement the Protocols of `store.edges`, so that callers use them
like the plain clients.
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
    """What a call policy did; each event has a counter."""

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
    """The circuit breaker is open; the call wasn't sent."""


class RetryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the attempts of one call.

    Attributes:
        attempts: Maximum number of attempts, including the first.
        call_s: No attempt starts later than this after the first. It must
            stay well below the ten minutes for which the table remembers a
            write id.
    """

    attempts: int = 4
    call_s: float = 5.0


class Dependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Clock, random generator and callbacks of the call policies.

    Attributes:
        wait: Blocks for the given number of seconds.
        count: Called with each `CallEvent`.
    """

    now: clock.Clock
    rng: random.Random
    wait: Callable[[float], None]
    count: Callable[[enum.Enum], None] = lambda event: None


class CallPolicy:
    """Runs the calls to one service with retries and a breaker; thread-safe.

    Args:
        name: Name of the service, for failure details.
        deps: Clock, random generator, `wait` and `count`.
        call_budget: The instance's budget; None if calls aren't limited.
        limits: Limits on retries.
    """

    def __init__(
        self,
        name: str,
        deps: Dependencies,
        call_budget: budget.Budget | None,
        limits: RetryLimits | None = None,
    ) -> None:
        self._name = name
        self._deps = deps
        self._budget = call_budget
        self._limits = limits or RetryLimits()
        self._breaker = breaker.CircuitBreaker(deps.rng)
        self._backoff = breaker.Backoff(deps.rng)

    def run(
        self, kind: budget.CallKind, call: _Call[_T]
    ) -> result.Result[_T, errors.PlatformFailure]:
        """Returns the result of `call`, which must be safe to repeat.

        An `Unanswered` attempt may have had an effect, and a later refusal
        doesn't disprove that. The result is then `Unanswered` unless a later
        attempt gets a response.
        """
        started = self._deps.now.monotonic()
        unanswered: errors.PlatformFailure | None = None
        retry = 0
        while True:
            outcome = self._attempt(kind, call)
            if _has_response(outcome):
                return outcome
            failure = outcome.unwrap_err()
            if isinstance(failure, errors.Unanswered):
                unanswered = failure
            delay_s = self._choose_delay(failure, retry, started)
            if delay_s is None:
                return result.Err(unanswered or failure)
            self._deps.count(_RETRY_EVENTS[type(failure)])
            self._deps.wait(delay_s)
            retry += 1

    def _attempt(
        self, kind: budget.CallKind, call: _Call[_T]
    ) -> result.Result[_T, errors.PlatformFailure]:
        if self._breaker.is_blocked(self._deps.now.monotonic()):
            return result.Err(self._make_breaker_failure())
        refusal = self._take_token(kind)
        if refusal:
            return result.Err(refusal)
        generation = self._breaker.admit(self._deps.now.monotonic())
        if generation is None:  # Another thread has just started the probe.
            return result.Err(self._make_breaker_failure())
        succeeded = False
        try:
            outcome = call()
            succeeded = outcome.is_ok() or not isinstance(
                outcome.unwrap_err(), errors.Unavailable | errors.Unanswered
            )
            return outcome
        finally:
            now = self._deps.now.monotonic()
            self._breaker.record(generation, succeeded, now)

    def _make_breaker_failure(self) -> BreakerOpen:
        self._deps.count(CallEvent.REFUSED_BREAKER_OPEN)
        detail = f"the platform's {self._name} failed too often lately"
        return BreakerOpen(detail=detail)

    def _take_token(self, kind: budget.CallKind) -> errors.Throttled | None:
        if self._budget is None:
            return None
        wait_s = self._budget.take(kind, self._deps.now.monotonic())
        if wait_s == 0.0:
            return None
        self._deps.count(CallEvent.REFUSED_OUT_OF_BUDGET)
        detail = f"this instance's {kind.value} budget is exhausted"
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
        elapsed_s = self._deps.now.monotonic() - started
        return delay_s if elapsed_s + delay_s <= self._limits.call_s else None


class ResilientTable:
    """`edges.TableService` with a call policy; retries keep the write id."""

    def __init__(
        self, table: edges.TableService, call_policy: CallPolicy
    ) -> None:
        self._table = table
        self._policy = call_policy

    def read(
        self, key: str
    ) -> result.Result[edges.Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None if there is none."""
        return self._policy.run(
            budget.CallKind.READ, lambda: self._table.read(key)
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[edges.Row, ...], errors.PlatformFailure]:
        """Returns rows whose key starts with `prefix` and follows `after`."""
        return self._policy.run(
            budget.CallKind.READ,
            lambda: self._table.scan(prefix, after, limit),
        )

    def commit(
        self, transaction: edges.Transaction
    ) -> result.Result[edges.Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` if a condition fails."""
        return self._policy.run(
            budget.CallKind.WRITE, lambda: self._table.commit(transaction)
        )


class ResilientObjects:
    """`edges.ObjectStore` with a call policy."""

    def __init__(
        self, objects: edges.ObjectStore, call_policy: CallPolicy
    ) -> None:
        self._objects = objects
        self._policy = call_policy

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None if there is none."""
        return self._policy.run(
            budget.CallKind.READ, lambda: self._objects.fetch(key)
        )

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the whole object, replacing an existing one."""
        return self._policy.run(
            budget.CallKind.WRITE, lambda: self._objects.store(key, body)
        )

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object; does nothing if it doesn't exist."""
        return self._policy.run(
            budget.CallKind.WRITE, lambda: self._objects.remove(key)
        )


class ResilientInstances:
    """`edges.InstanceList` with a call policy."""

    def __init__(
        self, instances: edges.InstanceList, call_policy: CallPolicy
    ) -> None:
        self._instances = instances
        self._policy = call_policy

    def fetch(
        self,
    ) -> result.Result[
        tuple[edges.ListedInstance, ...], errors.PlatformFailure
    ]:
        """Returns the platform's current list."""
        return self._policy.run(budget.CallKind.READ, self._instances.fetch)


class ResilientWeights:
    """`edges.WeightStore` with a call policy that never retries.

    A request without a response may have consumed a permit. The caller, which
    staggers loads, decides when to request another.
    """

    def __init__(
        self, weights: edges.WeightStore, call_policy: CallPolicy
    ) -> None:
        self._weights = weights
        self._policy = call_policy

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Requests a permit to load weights; `Throttled` if over the limit."""
        return self._policy.run(
            budget.CallKind.READ,
            lambda: self._weights.request_read(model, version),
        )


class Platform:
    """The platform's services with the call policies of one instance.

    Each service has its own circuit breaker.

    Attributes:
        budget: Two budgets: one for `keyed_table` and `keyed_objects`, the
            other for all other tables, objects and the instance list.
        keyed_table: The table for records of requests with an idempotency key.
        keyed_objects: The object store for the responses to such requests.
        polled_table: The table for callers that poll. It never retries: the
            next poll is the retry, and a wait would block the caller's other
            work.
    """

    def __init__(
        self,
        *,
        table: edges.TableService,
        objects: edges.ObjectStore,
        instances: edges.InstanceList,
        weights: edges.WeightStore,
        deps: Dependencies,
    ) -> None:
        self.budget = budget.Budgets(deps.now.monotonic())
        control, keyed = self.budget.control, self.budget.keyed
        single_attempt = RetryLimits(attempts=1)
        self.table = ResilientTable(table, CallPolicy("table", deps, control))
        self.polled_table = ResilientTable(
            table, CallPolicy("polled table", deps, control, single_attempt)
        )
        self.keyed_table = ResilientTable(
            table, CallPolicy("table", deps, keyed)
        )
        self.objects = ResilientObjects(
            objects, CallPolicy("objects", deps, control)
        )
        self.keyed_objects = ResilientObjects(
            objects, CallPolicy("objects", deps, keyed)
        )
        self.instances = ResilientInstances(
            instances, CallPolicy("instances", deps, control)
        )
        self.weights = ResilientWeights(
            weights, CallPolicy("weights", deps, None, single_attempt)
        )


def _has_response(
    outcome: result.Result[_T, errors.PlatformFailure],
) -> bool:
    return outcome.is_ok() or isinstance(
        outcome.unwrap_err(), errors.Conflicted
    )
