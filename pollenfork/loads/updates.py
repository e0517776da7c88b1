"""Updates that wait to be sent to another instance."""

import collections
import itertools

import msgspec

from pollenfork import ids
from pollenfork.loads import messages

# Updates of each kind in one datagram: a pace takes 7 to 15 bytes, a return up
# to 24, and a lost datagram loses few.
MAX_PER_DATAGRAM = 100
# Updates of each kind that wait for one instance; the oldest are dropped beyond
# this. It is what all instances together send in 5 s.
_MAX_QUEUED = 1000
# A pace that has waited longer is dropped, in seconds: receivers take the time
# of arrival for the time of the answer.
_MAX_PACE_WAIT_S = 2.0
# A return is useless this long after it was due, in milliseconds.
_MAX_OVERDUE_MS = 2000.0
# Intervals within these bounds are sent in whole milliseconds, which changes
# them by 3% at most; a sample then takes 7 to 9 bytes instead of 15.
_MIN_ROUNDED_MS = 16.0
_MAX_ROUNDED_MS = 65_535.0

NONE = messages.Updates()


class UpdateQueue(msgspec.Struct):
    """The updates that one instance has yet to receive.

    Attributes:
        paces: Samples of paces, and when they were queued.
        returns: Planned returns, and when they were queued.
        pressures: Pressed tiers by service and tier, and when they were queued.
    """

    paces: collections.deque[tuple[float, messages.PaceSample]] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_QUEUED)
    )
    returns: collections.deque[tuple[float, messages.PlannedReturn]] = (
        msgspec.field(
            default_factory=lambda: collections.deque(maxlen=_MAX_QUEUED)
        )
    )

    pressures: dict[
        tuple[int, ids.Tier], tuple[float, messages.TierPressure]
    ] = msgspec.field(default_factory=dict)

    def add(self, updates: messages.Updates, now: float) -> None:
        """Queues updates to send."""
        if updates.paces:
            self.paces.extend(zip(itertools.repeat(now), updates.paces))
        if updates.returns:
            self.returns.extend(zip(itertools.repeat(now), updates.returns))
        for pressure in updates.pressures:
            self._add_pressure(pressure, now)

    @property
    def is_urgent(self) -> bool:
        """Whether they are to be sent at once.

        A caller may return 0.15 s after it was refused, and a pressed tier
        waits, while a pace can wait for the next regular datagram.
        """
        return bool(self.returns or self.pressures)

    def take(self, now: float) -> messages.Updates | None:
        """Returns the updates for the next datagram, if there are any."""
        paces: list[messages.PaceSample] = []
        while self.paces and len(paces) < MAX_PER_DATAGRAM:
            queued_at, sample = self.paces.popleft()
            if now - queued_at <= _MAX_PACE_WAIT_S:
                paces.append(sample)
        returns: list[messages.PlannedReturn] = []
        while self.returns and len(returns) < MAX_PER_DATAGRAM:
            queued_at, planned = self.returns.popleft()
            due_in_ms = planned.due_in_ms - (now - queued_at) * 1000
            if due_in_ms >= -_MAX_OVERDUE_MS:
                returns.append(
                    msgspec.structs.replace(planned, due_in_ms=due_in_ms)
                )
        pressures = self._take_pressures(now)
        if not paces and not returns and not pressures:
            return None
        return messages.Updates(tuple(paces), tuple(returns), pressures)

    def _add_pressure(
        self, pressure: messages.TierPressure, now: float
    ) -> None:
        """Queues a pressed tier; of several announcements the newest counts."""
        key = pressure.service, pressure.tier
        if key not in self.pressures and len(self.pressures) >= _MAX_QUEUED:
            return
        known = self.pressures.get(key)
        if known is not None:
            waited_ms = int((now - known[0]) * 1000)
            pressure = msgspec.structs.replace(
                pressure,
                since_ms=max(pressure.since_ms, known[1].since_ms + waited_ms),
                age_ms=min(pressure.age_ms, known[1].age_ms + waited_ms),
            )
        self.pressures[key] = now, pressure

    def _take_pressures(self, now: float) -> tuple[messages.TierPressure, ...]:
        taken = []
        for key in list(self.pressures)[:MAX_PER_DATAGRAM]:
            queued_at, pressure = self.pressures.pop(key)
            waited_ms = int((now - queued_at) * 1000)
            taken.append(
                msgspec.structs.replace(
                    pressure,
                    since_ms=pressure.since_ms + waited_ms,
                    age_ms=pressure.age_ms + waited_ms,
                )
            )
        return tuple(taken)


def limit(updates: messages.Updates | None) -> messages.Updates:
    """Returns received updates for use and for forwarding.

    Those beyond the limit are left out.
    """
    if updates is None:
        return NONE
    return messages.Updates(
        tuple(shorten(each) for each in updates.paces[:MAX_PER_DATAGRAM]),
        updates.returns[:MAX_PER_DATAGRAM],
        updates.pressures[:MAX_PER_DATAGRAM],
    )


def shorten(sample: messages.PaceSample) -> messages.PaceSample:
    """Returns a sample whose interval takes fewer bytes.

    Decoding makes the interval a float, so each sender has to call it.
    """
    interval_ms = sample.interval_ms
    if _MIN_ROUNDED_MS <= interval_ms <= _MAX_ROUNDED_MS:
        return messages.PaceSample(sample.runner, round(interval_ms))
    return sample
