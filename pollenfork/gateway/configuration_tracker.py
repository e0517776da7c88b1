"""Compares the configuration in force here with those in force at peers.

The store's rows alone don't tell which configuration is the newest: a restored
store may show an older one, and instances that have read a newer one keep it.
"""

import logging

from pollenfork.gateway import version_tracker

_LOG = logging.getLogger(__name__)


class ConfigurationTracker(version_tracker.VersionTracker):
    """Tracks the configuration's rows, and what they hold, here and at peers.

    Attributes:
        in_force: The operators' version in force here; 0 before the first.
    """

    # An instance that has a newer configuration announces it several times in
    # this many seconds. One that nobody announces any more is gone.
    ANNOUNCED_S = 3.0

    def __init__(self) -> None:
        super().__init__()
        self.in_force = 0
        self._in_force_elsewhere = version_tracker.AnnouncedVersion()
        self._is_renewed = False
        self._renewed_at = 0.0
        # The versions that hosts announced, but whose tables don't hold them.
        self._refuted: dict[str, int] = {}
        self._refuted_since: float | None = None

    @property
    def is_superseded(self) -> bool:
        """Whether a peer has a newer configuration in force."""
        return self._in_force_elsewhere.version > self.in_force

    @property
    def is_newer_elsewhere(self) -> bool:
        """Whether a peer has rows or a configuration unknown here."""
        return super().is_newer_elsewhere or self.is_superseded

    @property
    def sender(self) -> str:
        """The host that last announced the newest; may be empty."""
        if self.is_superseded:
            return self._in_force_elsewhere.sender or super().sender
        return super().sender

    def record_in_force(self, version: int, sender: str) -> None:
        """Records the operators' version in force at a peer; 0: unknown."""
        if version <= self._refuted.get(sender, 0):
            return
        announced = self._in_force_elsewhere
        if version >= announced.version:
            self._in_force_elsewhere = announced.renew(version, sender)
            self._is_renewed = True

    def pass_over(self, sender: str) -> None:
        """Skips a host that doesn't answer, until it announces again."""
        super().pass_over(sender)
        announced = self._in_force_elsewhere
        if announced.sender == sender:
            self._in_force_elsewhere = version_tracker.AnnouncedVersion(
                announced.version
            )

    def refute(self, sender: str) -> None:
        """Ignores what a host announced, as its table doesn't hold it.

        This lapses: it may have put the version in force after it answered.
        """
        announced = self._in_force_elsewhere
        if not self.is_superseded or announced.sender != sender:
            return
        self._refuted[sender] = announced.version
        self._in_force_elsewhere = version_tracker.AnnouncedVersion()
        _LOG.warning(
            "event=configuration_refuted version=%d in_force=%d sender=%s",
            announced.version,
            self.in_force,
            sender,
        )

    def expire(self, now: float) -> None:
        """Forgets a version that nobody announces any more.

        Args:
            now: Monotonic seconds; to be called at least once a second.
        """
        self._expire_refuted(now)
        if self._is_renewed:
            self._is_renewed = False
            self._renewed_at = now
        if now - self._renewed_at <= self.ANNOUNCED_S:
            return
        if self.is_superseded:
            _LOG.warning(
                "event=configuration_forgotten version=%d in_force=%d",
                self._in_force_elsewhere.version,
                self.in_force,
            )
        self._in_force_elsewhere = version_tracker.AnnouncedVersion()

    def _expire_refuted(self, now: float) -> None:
        if not self._refuted:
            self._refuted_since = None
        elif self._refuted_since is None:
            self._refuted_since = now
        elif now - self._refuted_since > self.ANNOUNCED_S:
            self._refuted.clear()
