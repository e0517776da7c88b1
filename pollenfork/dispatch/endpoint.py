"""What one instance knows of one endpoint."""

from typing import NamedTuple

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import limits
from pollenfork.dispatch import messages
from pollenfork.settings import model

_REPORT_VALID_S = 3.0
_FROZEN_EVENTS = 8
_LEAST_KV_FREE = 0.03
_FIRST_BACKOFF_S = 0.5
_LONGEST_BACKOFF_S = 8.0

_Live = messages.EndpointState.LIVE


class Assessment(NamedTuple):
    """What an endpoint offers.

    Attributes:
        has_room: One more attempt may go to it.
        capacity: The slots it adds to its pools.
        unseen: Attempts that only its own report tells of.
    """

    has_room: bool
    capacity: float
    unseen: int


class Endpoint:
    """State, limit and load of one endpoint.

    Attributes:
        own: Attempts of this instance in flight.
        peers: Attempts of peers, as last reported by them.
        heard_at: When it last gave a token.
        ejected_until: Taken out as a straggler until then.
        left_by_peers: Peers that say it is leaving.
    """

    def __init__(
        self, name: ids.EndpointId, settings: model.EndpointSettings
    ) -> None:
        self.name = name
        self.settings = settings
        self.state = _Live
        self.own = 0
        self.peers = 0
        self.left_by_peers = 0
        self.heard_at = float("-inf")
        self.ejected_until = 0.0
        self.limit = limits.ConcurrencyLimit(settings.slots)
        self.loaded: tuple[ids.ModelName, ...] = ()
        self._report: messages.EndpointReport | None = None
        self._since_report = 0
        self._events_since_change = 0
        self._backoff_s = 0.0
        self._retry_at = 0.0

    def apply_settings(self, settings: model.EndpointSettings) -> None:
        """Takes changed settings."""
        if settings.slots != self.settings.slots:
            self.limit.resize(settings.slots)
        self.settings = settings

    def is_usable(self, now: float) -> bool:
        """Returns whether new work may go to it at all."""
        return (
            self.state is _Live
            and not self.left_by_peers
            and now >= self.ejected_until
            and now >= self._retry_at
        )

    def is_live(self) -> bool:
        """Returns whether it is neither leaving nor gone."""
        return self.state is _Live and not self.left_by_peers

    def note_state(self, state: messages.EndpointState, now: float) -> None:
        """Takes its state; one that returns starts slowly."""
        if state is _Live and self.state is not _Live:
            self.limit.start_slowly(now)
            self._backoff_s = 0.0
            self._retry_at = 0.0
            self._report = None
        self.state = state

    def note_sent(self) -> None:
        """Counts an attempt in."""
        self.own += 1
        self._since_report += 1
        self._events_since_change += 1

    def note_ended(self) -> None:
        """Counts an attempt out."""
        self.own -= 1
        self._since_report -= 1
        self._events_since_change += 1

    def note_failure(self, now: float) -> None:
        """Keeps new work away for a while that doubles with each failure."""
        if now < self._retry_at:
            return
        doubled = min(self._backoff_s * 2, _LONGEST_BACKOFF_S)
        self._backoff_s = max(_FIRST_BACKOFF_S, doubled)
        self._retry_at = now + self._backoff_s
        self.limit.start_slowly(self._retry_at)

    def note_token(self, at: float) -> None:
        """Takes a sign of life; the next backoff is a short one again."""
        self.heard_at = max(self.heard_at, at)
        self._backoff_s = 0.0

    def eject(self, until: float) -> None:
        """Takes it out as a straggler; it returns slowly."""
        self.ejected_until = until
        self.limit.start_slowly(until)

    def note_report(self, report: messages.EndpointReport) -> None:
        """Takes its own load report."""
        earlier = self._report
        if earlier and report.measured_at < earlier.measured_at:
            return
        if earlier is None or _has_moved(earlier, report):
            self._events_since_change = 0
        self._since_report = 0
        self._report = report
        self.loaded = report.models

    def estimate_load(self, now: float) -> int:
        """Returns the attempts it holds: own, peers' and unseen ones.

        The endpoint's own report counts only where it says more, and not
        once it is old or stands still while work comes and goes.
        """
        known = self.own + self.peers
        report = self._report
        if report is None or now - report.measured_at > _REPORT_VALID_S:
            return known
        if self._events_since_change >= _FROZEN_EVENTS:
            return known
        reported = report.running + report.waiting + self._since_report
        return max(known, reported)

    def assess(self, now: float) -> Assessment:
        """Returns what it offers now."""
        known = self.own + self.peers
        if not self.is_usable(now):
            # What it still holds counts as capacity that is in use.
            held = min(known, self.settings.slots)
            return Assessment(False, float(held), 0)
        load = self.estimate_load(now)
        limit = self.limit.read(now)
        has_room = load + 1 <= limit and self._has_memory(now)
        return Assessment(has_room, limit, load - known)

    def rate_use(self, now: float) -> float:
        """Returns the part of its limit in use with one more attempt."""
        return (self.estimate_load(now) + 1) / self.limit.read(now)

    def _has_memory(self, now: float) -> bool:
        """Returns whether a fresh report shows KV memory left."""
        report = self._report
        if report is None or now - report.measured_at > _REPORT_VALID_S:
            return True
        if self._events_since_change >= _FROZEN_EVENTS:
            return True
        return report.kv_free > _LEAST_KV_FREE

    def list_pools(self) -> set[admission_messages.PoolKey]:
        """Returns the models that it has loaded, with and without version."""
        names = self.loaded or self.settings.models
        pools = {admission_messages.PoolKey(name) for name in names}
        return pools | {
            admission_messages.PoolKey(name.partition("@")[0]) for name in names
        }


def _has_moved(
    earlier: messages.EndpointReport, report: messages.EndpointReport
) -> bool:
    return (
        earlier.running != report.running
        or earlier.waiting != report.waiting
        or earlier.kv_free != report.kv_free
    )
