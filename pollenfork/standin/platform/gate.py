"""The platform's state behind its faults, safe for several threads."""

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


class Gate:
    """Makes calls to the state as the faults have it.

    `Unavailable` stands for a refusal before any effect, `Unanswered` for a
    lost answer.
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
        self._left = faults.times
        self._stale: tuple[edges.ListedInstance, ...] | None = None

    @property
    def faults(self) -> configs.Faults:
        """The faults in force."""
        return self._faults

    def set_faults(self, faults: configs.Faults) -> None:
        """Puts faults in force for the calls to come."""
        stale = None
        if faults.stale_list:
            stale = self.run(lambda s, now: s.list_instances(now)).unwrap()
        with self._lock:
            self._faults = faults
            self._left = faults.times
            self._stale = stale

    def run(self, act: Callable[[core.Platform, float], T]) -> T:
        """Acts on the state as if there were no faults."""
        with self._state.lock:
            return act(self._state, self._clock.monotonic())

    def call(
        self,
        operation: configs.Operation,
        act: Callable[[core.Platform, float], Outcome[T]],
    ) -> Outcome[T]:
        """Makes one call, as the faults let it."""
        faults = self._faults
        if not faults.only or operation in faults.only:
            if faults.delay_s:
                self._sleep(faults.delay_s)
            failure = self._fail(faults)
        else:
            failure = None
        if failure is None:
            return self.run(act)
        if faults.lose is configs.Loss.AFTER_EFFECT and isinstance(
            failure, errors.Unanswered
        ):
            self.run(act)
        return result.Err(failure)

    def list_instances(self) -> Outcome[tuple[edges.ListedInstance, ...]]:
        """Returns the list, or the stale one."""
        with self._lock:
            stale = self._stale

        def act(
            state: core.Platform, now: float
        ) -> Outcome[tuple[edges.ListedInstance, ...]]:
            present = state.list_instances(now)
            return present if stale is None else result.Ok(stale)

        return self.call(configs.Operation.INSTANCES, act)

    def _fail(self, faults: configs.Faults) -> errors.PlatformFailure | None:
        if not (faults.down or faults.throttle or faults.lose):
            return None
        if not self._spend():
            return None
        if faults.down:
            return errors.Unavailable(detail="down")
        if faults.throttle:
            return errors.Throttled(
                detail="over the rate", retry_after_s=_RETRY_AFTER_S
            )
        return errors.Unanswered(detail="the answer was lost")

    def _spend(self) -> bool:
        with self._lock:
            if self._left is None:
                return True
            if self._left == 0:
                return False
            self._left -= 1
            return True
