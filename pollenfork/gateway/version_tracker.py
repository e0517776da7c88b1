"""Compares the version of a table known here with those that peers announce."""

import msgspec

from pollenfork.catalogue import messages


class AnnouncedVersion(msgspec.Struct, frozen=True):
    """The newest version of a table that peers have announced.

    While the store refuses some instances, peers announce different versions.
    The highest one counts, not the latest announcement: when the latest one
    counted, two relays with an old version kept a third from fetching the new
    one, and runners were sent requests until 3.8 s after they had left.

    Attributes:
        version: The store's version of the table's last change.
        sender: The host that last announced it; empty if it didn't answer when
            asked for the table.
    """

    version: int = 0
    sender: str = ""

    def renew(self, version: int, sender: str) -> "AnnouncedVersion":
        """Returns the newer of this version and one announced by a peer."""
        return (
            AnnouncedVersion(version, sender)
            if version >= self.version
            else self
        )


class VersionTracker:
    """Tracks one table's version here and at peers.

    Attributes:
        through: The store's version up to which all changes are known here.
        last_change: The store's version of the last change that is known here.
    """

    # Seconds within which a change that peers know should also arrive from the
    # store. After that, an instance that waits for the store asks the sender.
    LACKING_S = 0.25
    # Seconds within which a change announced by another instance should also
    # be announced by the relay, which all its reporters ask at once. After
    # that, the sender is asked. A relay announces a change within 0.14 s of
    # receiving it.
    RELAY_LATE_S = 0.15
    # Seconds within which a change should arrive from peers. After that, the
    # store is asked.
    BEHIND_S = 0.5

    def __init__(self) -> None:
        self.through = 0
        self.last_change = 0
        self._announced = AnnouncedVersion()
        self._behind_since: float | None = None
        self._reported_at: float | None = None

    @property
    def is_newer_elsewhere(self) -> bool:
        """Whether a peer has announced a version that is unknown here."""
        return self._announced.version > self.through

    @property
    def sender(self) -> str:
        """The host that last announced the newest version; may be empty."""
        return self._announced.sender

    def take(self, changes: messages.Changes) -> None:
        """Records changes that this instance has received."""
        self.through = changes.through
        self.last_change = max(self.last_change, changes.last_change)

    def record_announced(self, version: int, sender: str) -> None:
        """Records the version that a peer has announced."""
        self._announced = self._announced.renew(version, sender)

    def pass_over(self, sender: str) -> None:
        """Skips a host that doesn't answer, until it announces again."""
        if self._announced.sender == sender:
            self._announced = AnnouncedVersion(self._announced.version)

    def is_store_late(self, now: float) -> bool:
        """Returns whether a change is overdue from the store."""
        return self._measure_lag(now) >= self.LACKING_S

    def is_relay_late(self, now: float) -> bool:
        """Returns whether a change is overdue from the relay."""
        return self._measure_lag(now) >= self.RELAY_LATE_S

    def is_behind(self, now: float) -> bool:
        """Returns whether a change is overdue from all peers.

        While it stays overdue, this is True only once every `BEHIND_S`.
        """
        if self._measure_lag(now) < self.BEHIND_S:
            return False
        if (
            self._reported_at is not None
            and now - self._reported_at < self.BEHIND_S
        ):
            return False
        self._reported_at = now
        return True

    def _measure_lag(self, now: float) -> float:
        """Returns for how many seconds a change has been missing here."""
        if not self.is_newer_elsewhere:
            self._behind_since = None
            return 0.0
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since
