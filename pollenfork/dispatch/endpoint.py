"""One instance's view of an endpoint."""

from typing import NamedTuple

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import limits
from pollenfork.dispatch import messages
from pollenfork.settings import model

_REPORT_MAX_AGE_S = 3.0
_STALE_AFTER_EVENTS = 8
_MIN_KV_FREE = 0.03
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 8.0

_Live = messages.EndpointState.LIVE


class Assessment(NamedTuple):
    """An endpoint's current capacity.

    Attributes:
        has_room: Whether one more attempt may be sent to it.
        capacity: The slots that it contributes to its pools.
        unattributed: Attempts known only from its own report.
    """

    has_room: bool
    capacity: float
    unattributed: int


class Endpoint:
    """The state, concurrency limit and load of an endpoint.

    Attributes:
        own_attempts: Attempts of this instance in flight.
        peer_attempts: Attempts of peers, as last reported by them.
        last_token_at: When it last produced a token.
        ejected_until: When its ejection as a straggler ends.
        leaving_peers: The number of peers that report it as leaving.
    """

    def __init__(
        self, name: ids.EndpointId, settings: model.EndpointSettings
    ) -> None:
        self.name = name
        self.settings = settings
        self.state = _Live
        self.own_attempts = 0
        self.peer_attempts = 0
        self.leaving_peers = 0
        self.last_token_at = float("-inf")
        self.ejected_until = 0.0
        self.limit = limits.ConcurrencyLimit(settings.slots)
        self.loaded: tuple[ids.ModelName, ...] = ()
        self._report: messages.EndpointReport | None = None
        self._since_report = 0
        self._events_since_change = 0
        self._backoff_s = 0.0
        self._retry_at = 0.0

    def apply_settings(self, settings: model.EndpointSettings) -> None:
        """Applies changed settings."""
        if settings.slots != self.settings.slots:
            self.limit.resize(settings.slots)
        self.settings = settings

    def is_usable(self, now: float) -> bool:
        """Returns whether it may be sent new work at all."""
        return (
            self.state is _Live
            and not self.leaving_peers
            and now >= self.ejected_until
            and now >= self._retry_at
        )

    def is_live(self) -> bool:
        """Returns whether it is neither leaving nor gone."""
        return self.state is _Live and not self.leaving_peers

    def record_state(self, state: messages.EndpointState, now: float) -> None:
        """Updates its state; a returning endpoint starts slowly."""
        if state is _Live and self.state is not _Live:
            self.limit.start_slow(now)
            self._backoff_s = 0.0
            self._retry_at = 0.0
            self._report = None
        self.state = state

    def record_sent(self) -> None:
        """Counts an attempt that was sent."""
        self.own_attempts += 1
        self._since_report += 1
        self._events_since_change += 1

    def record_ended(self) -> None:
        """Counts an attempt that has ended."""
        self.own_attempts -= 1
        self._since_report -= 1
        self._events_since_change += 1

    def record_failure(self, now: float) -> None:
        """Starts a back-off, which doubles with each consecutive failure."""
        if now < self._retry_at:
            return
        doubled = min(self._backoff_s * 2, _MAX_BACKOFF_S)
        self._backoff_s = max(_INITIAL_BACKOFF_S, doubled)
        self._retry_at = now + self._backoff_s
        self.limit.start_slow(self._retry_at)

    def record_token(self, at: float) -> None:
        """Records a token, which resets the back-off."""
        self.last_token_at = max(self.last_token_at, at)
        self._backoff_s = 0.0

    def eject(self, until: float) -> None:
        """Ejects it as a straggler; afterwards it starts slowly."""
        self.ejected_until = until
        self.limit.start_slow(until)

    def record_report(self, report: messages.EndpointReport) -> None:
        """Applies its own load report."""
        earlier = self._report
        if earlier and report.measured_at < earlier.measured_at:
            return
        if earlier is None or _has_changed(earlier, report):
            self._events_since_change = 0
        self._since_report = 0
        self._report = report
        self.loaded = report.models

    def estimate_load(self, now: float) -> int:
        """Returns its attempts: own, peers' and unattributed ones.

        The endpoint's own report counts only if its number is higher, and only
        while it is recent and changes as attempts start and end.
        """
        known = self.own_attempts + self.peer_attempts
        report = self._report
        if report is None or now - report.measured_at > _REPORT_MAX_AGE_S:
            return known
        if self._events_since_change >= _STALE_AFTER_EVENTS:
            return known
        reported = report.running + report.waiting + self._since_report
        return max(known, reported)

    def assess(self, now: float) -> Assessment:
        """Returns its current capacity."""
        known = self.own_attempts + self.peer_attempts
        if not self.is_usable(now):
            # Its remaining attempts count as capacity that is in use.
            held = min(known, self.settings.slots)
            return Assessment(False, float(held), 0)
        load = self.estimate_load(now)
        limit = self.limit.get(now)
        has_room = load + 1 <= limit and self._has_memory(now)
        return Assessment(has_room, limit, load - known)

    def get_utilization(self, now: float) -> float:
        """Returns the fraction of its limit in use with one more attempt."""
        return (self.estimate_load(now) + 1) / self.limit.get(now)

    def _has_memory(self, now: float) -> bool:
        """Returns whether free KV memory remains, by a recent report."""
        report = self._report
        if report is None or now - report.measured_at > _REPORT_MAX_AGE_S:
            return True
        if self._events_since_change >= _STALE_AFTER_EVENTS:
            return True
        return report.kv_free > _MIN_KV_FREE

    def list_pools(self) -> set[admission_messages.PoolKey]:
        """Returns the pools of its models, with and without version."""
        names = self.loaded or self.settings.models
        pools = {admission_messages.PoolKey(name) for name in names}
        return pools | {
            admission_messages.PoolKey(name.partition("@")[0]) for name in names
        }


def _has_changed(
    earlier: messages.EndpointReport, report: messages.EndpointReport
) -> bool:
    return (
        earlier.running != report.running
        or earlier.waiting != report.waiting
        or earlier.kv_free != report.kv_free
    )
