"""What is known of one table's changes here, and what others tell of them."""

import msgspec

from pollenfork.catalogue import messages


class Word(msgspec.Struct, frozen=True):
    """The newest version of a table that other instances have told of.

    Where the store turns some away, their words differ: the newest counts,
    whoever spoke last. Going by the last word, two relays without news kept a
    third from fetching it, and runners got work 3.8 s after they had left.

    Attributes:
        version: The store's version of its last change.
        teller: The host that last told of it; empty where it didn't answer.
    """

    version: int = 0
    teller: str = ""

    def renew(self, version: int, teller: str) -> "Word":
        """Returns the newer of this and what another instance tells."""
        return Word(version, teller) if version >= self.version else self


class TableNews:
    """Compares what is known of a table with what others tell.

    Attributes:
        through: The store's version up to which nothing is unknown.
        last_change: The store's version of the last change that is known.
    """

    # How long news that others have may take to come from the store too; then
    # one that waits for the store asks the teller.
    LACKING_S = 0.25
    # How long news that another instance tells may take to come from the
    # relay, which is asked by all its reporters at once; then the teller is
    # asked. A relay tells within 0.14 s of its own hearing.
    RELAY_LATE_S = 0.15
    # How long news may take to come from others; then the store is asked.
    BEHIND_S = 0.5

    def __init__(self) -> None:
        self.through = 0
        self.last_change = 0
        self._word = Word()
        self._since: float | None = None
        self._told_at: float | None = None

    @property
    def is_newer_elsewhere(self) -> bool:
        """Whether another instance knows something newer."""
        return self._word.version > self.through

    @property
    def teller(self) -> str:
        """The host that last told of the newest change; may be empty."""
        return self._word.teller

    def take(self, changes: messages.Changes) -> None:
        """Takes what has become known here."""
        self.through = changes.through
        self.last_change = max(self.last_change, changes.last_change)

    def take_word(self, version: int, teller: str) -> None:
        """Takes what another instance knows."""
        self._word = self._word.renew(version, teller)

    def pass_over(self, teller: str) -> None:
        """Takes that a host doesn't answer: whoever tells next is asked."""
        if self._word.teller == teller:
            self._word = Word(self._word.version)

    def lacks(self, now: float) -> bool:
        """Returns whether news doesn't come from the store in time."""
        return self._measure(now) >= self.LACKING_S

    def is_relay_late(self, now: float) -> bool:
        """Returns whether news doesn't come from the relay in time."""
        return self._measure(now) >= self.RELAY_LATE_S

    def is_behind(self, now: float) -> bool:
        """Returns whether news has been missing for long, once in that time."""
        if self._measure(now) < self.BEHIND_S:
            return False
        if self._told_at is not None and now - self._told_at < self.BEHIND_S:
            return False
        self._told_at = now
        return True

    def _measure(self, now: float) -> float:
        """Returns for how long news has been missing here, in seconds."""
        if not self.is_newer_elsewhere:
            self._since = None
            return 0.0
        if self._since is None:
            self._since = now
        return now - self._since
