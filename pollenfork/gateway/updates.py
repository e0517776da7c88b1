"""Connects updates of other instances with the parts that use them."""

from collections.abc import Callable

from pollenfork.loads import messages
from pollenfork.loads import updates as queues
from pollenfork.pace import estimator
from pollenfork.returns import edges as returns

PressuresCallback = Callable[[tuple[messages.TierPressure, ...], float], None]


class UpdateExchange:
    """Collects this instance's updates and passes on those of others."""

    def __init__(
        self, paces: estimator.PaceTable, clock: Callable[[], float]
    ) -> None:
        """Starts without updates.

        Args:
            paces: Provides and receives samples of paces.
            clock: Returns monotonic seconds.
        """
        self._paces = paces
        self._clock = clock
        self._queue = queues.UpdateQueue()
        self._on_returns: list[returns.ReturnsCallback] = []
        self._on_pressures: list[PressuresCallback] = []

    def when_pressures(self, callback: PressuresCallback) -> None:
        """Calls `callback` with the tiers that other instances find pressed.

        And with the time at which that arrived, in monotonic seconds.
        """
        self._on_pressures.append(callback)

    def announce_pressures(
        self, pressures: tuple[messages.TierPressure, ...]
    ) -> None:
        """Queues the tiers that this instance finds pressed."""
        self._queue.add(messages.Updates(pressures=pressures), self._clock())

    def when_returns(self, callback: returns.ReturnsCallback) -> None:
        """Calls `callback` with other instances' planned returns and a time.

        The time is when they arrived, in monotonic seconds; `due_in_ms` counts
        from then.
        """
        self._on_returns.append(callback)

    def announce_return(self, planned: messages.PlannedReturn) -> None:
        """Queues a return that a caller of this instance was told."""
        self._queue.add(messages.Updates(returns=(planned,)), self._clock())

    def take(self, now: float) -> messages.Updates:
        """Returns this instance's updates to send now."""
        queued = self._queue.take(now) or messages.Updates()
        return messages.Updates(
            self._paces.take_samples(now), queued.returns, queued.pressures
        )

    def receive(self, updates: messages.Updates, now: float) -> None:
        """Passes on the updates of other instances."""
        self._paces.record_shared(updates.paces, now)
        if updates.returns:
            for notify in self._on_returns:
                notify(updates.returns, now)
        if updates.pressures:
            for inform in self._on_pressures:
                inform(updates.pressures, now)
