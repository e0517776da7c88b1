"""Thread-safe access to the platform's state, with injected faults."""

from collections.abc import Callable
import threading
from typing import TypeVar

import result

from pollenfork import clock as clocks
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import core
from pollenfork.store import edges
from pollenfork.store import errors

T = TypeVar("T")
Outcome = result.Result[T, errors.PlatformFailure]

_RETRY_AFTER_S = 1.0


class FaultInjector:
    """Makes calls to the state and injects the faults in force.

    A call that is refused without effect fails with `Unavailable` or
    `Throttled`, one whose answer is lost with `Unanswered`.
    """

    def __init__(
        self,
        state: core.Platform,
        clock: clocks.Clock,
        faults: configs.Faults,
        sleep: Callable[[float], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._faults = faults
        self._faults_left = faults.times
        self._stale_list: tuple[edges.ListedInstance, ...] | None = None

    @property
    def faults(self) -> configs.Faults:
        """The faults in force."""
        return self._faults

    def set_faults(self, faults: configs.Faults) -> None:
        """Replaces the faults for subsequent calls."""
        stale = None
        if faults.stale_list:
            stale = self.run(
                lambda state, now: state.list_instances(now)
            ).unwrap()
        with self._lock:
            self._faults = faults
            self._faults_left = faults.times
            self._stale_list = stale

    def run(self, action: Callable[[core.Platform, float], T]) -> T:
        """Runs `action` on the state, without faults."""
        with self._state.lock:
            return action(self._state, self._clock.monotonic())

    def call(
        self,
        operation: configs.Operation,
        action: Callable[[core.Platform, float], Outcome[T]],
    ) -> Outcome[T]:
        """Makes one call, subject to the faults in force."""
        faults = self._faults
        if not faults.only or operation in faults.only:
            if faults.delay_s:
                self._sleep(faults.delay_s)
            failure = self._make_failure(faults)
        else:
            failure = None
        if failure is None:
            return self.run(action)
        if faults.lose is configs.Loss.AFTER_EFFECT and isinstance(
            failure, errors.Unanswered
        ):
            self.run(action)
        return result.Err(failure)

    def list_instances(self) -> Outcome[tuple[edges.ListedInstance, ...]]:
        """Returns the instance list, or the frozen one if it is stale."""
        with self._lock:
            stale = self._stale_list

        def fetch_list(
            state: core.Platform, now: float
        ) -> Outcome[tuple[edges.ListedInstance, ...]]:
            current = state.list_instances(now)
            return current if stale is None else result.Ok(stale)

        return self.call(configs.Operation.INSTANCES, fetch_list)

    def _make_failure(
        self, faults: configs.Faults
    ) -> errors.PlatformFailure | None:
        if not (faults.down or faults.throttle or faults.lose):
            return None
        if not self._use_fault():
            return None
        if faults.down:
            return errors.Unavailable(detail="down")
        if faults.throttle:
            return errors.Throttled(
                detail="rate limit exceeded", retry_after_s=_RETRY_AFTER_S
            )
        return errors.Unanswered(detail="the answer was lost")

    def _use_fault(self) -> bool:
        with self._lock:
            if self._faults_left is None:
                return True
            if self._faults_left == 0:
                return False
            self._faults_left -= 1
            return True
