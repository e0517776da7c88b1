"""Spreads which runners have announced that they leave.

An announcement is sent to a few instances at once and in the next ticks, and
those forward it in turn. Until the registry says the same, each instance
also repeats all that it knows at intervals, for those that were missed, were
suspended, or have just started.
"""

import msgspec

from pollenfork.loads import edges

# Ticks in which a new announcement is sent.
_ROUNDS = 3
# Interval at which all announcements are repeated to one instance of this data
# centre and one elsewhere, in seconds.
_REPEAT_S = 0.25
# Announcements in one datagram, 9 bytes each.
_MAX_PER_DATAGRAM = 100


class Due(msgspec.Struct, frozen=True):
    """What is to be sent now.

    Attributes:
        recent: Announcements for a few instances.
        repeated: Announcements for one instance here and one elsewhere.
    """

    recent: tuple[int, ...]
    repeated: tuple[int, ...] = ()


class Outbox:
    """Decides which announcements to send when."""

    def __init__(self, instance: edges.Instance) -> None:
        """Creates an outbox that has sent nothing.

        Args:
            instance: Knows the announcements.
        """
        self._instance = instance
        self._rounds_left: dict[int, int] = {}
        self._repeat_at = 0.0

    def take_recent(self) -> tuple[int, ...]:
        """Returns the announcements that are new since the last call."""
        recent = tuple(self._instance.take_departures())
        self._rounds_left.update(dict.fromkeys(recent, _ROUNDS - 1))
        return recent[:_MAX_PER_DATAGRAM]

    def tick(self, now: float) -> Due:
        """Returns what to send in this tick."""
        recent = list(self._rounds_left)[:_MAX_PER_DATAGRAM]
        for each in recent:
            self._rounds_left[each] -= 1
            if not self._rounds_left[each]:
                del self._rounds_left[each]
        recent += self.take_recent()
        if now < self._repeat_at:
            return Due(tuple(recent[:_MAX_PER_DATAGRAM]))
        self._repeat_at = now + _REPEAT_S
        repeated = self._instance.list_departures()
        return Due(
            tuple(recent[:_MAX_PER_DATAGRAM]),
            tuple(repeated[:_MAX_PER_DATAGRAM]),
        )
