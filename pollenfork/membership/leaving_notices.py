"""Notices of endpoints that are leaving, and their dissemination."""

import msgspec

from pollenfork import ids

_RELAY_PERIOD_S = 10.0
_EXPIRY_S = 60.0


class _Notice(msgspec.Struct):
    local_at: float  # Last received from inside this data centre.
    remote_at: float  # Last received from another data centre.
    relay_until: float


class LeavingNotices:
    """Relays notices between data centres without a loop.

    Notices from inside are sent in summaries; those that arrive in a summary
    are relayed in this data centre's heartbeats for a while, and no further.
    """

    def __init__(self) -> None:
        self._notices: dict[ids.EndpointId, _Notice] = {}

    def record(
        self,
        endpoints: tuple[ids.EndpointId, ...],
        now: float,
        *,
        remote: bool,
        relay: bool = False,
    ) -> list[ids.EndpointId]:
        """Records notices and returns the endpoints not known before.

        Args:
            endpoints: The endpoints that are leaving.
            now: Monotonic seconds.
            remote: The notice originates in another data centre.
            relay: It came directly from that data centre, so this instance
                relays it in its own.
        """
        added = []
        for endpoint in endpoints:
            notice = self._notices.get(endpoint)
            if notice is None:
                notice = _Notice(-_EXPIRY_S, -_EXPIRY_S, 0.0)
                notice.relay_until = now + _RELAY_PERIOD_S if relay else 0.0
                self._notices[endpoint] = notice
                added.append(endpoint)
            if remote:
                notice.remote_at = now
            else:
                notice.local_at = now
        return added

    def expire(self, now: float) -> None:
        """Drops notices no longer repeated; a later one counts as new."""
        expired = [
            endpoint
            for endpoint, notice in self._notices.items()
            if now - max(notice.local_at, notice.remote_at) > _EXPIRY_S
        ]
        for endpoint in expired:
            del self._notices[endpoint]

    def list_local(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns the endpoints to announce to other data centres."""
        return tuple(
            endpoint
            for endpoint, notice in self._notices.items()
            if now - notice.local_at <= _RELAY_PERIOD_S
        )

    def list_relayed(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns remote notices to announce in this data centre."""
        return tuple(
            endpoint
            for endpoint, notice in self._notices.items()
            if now < notice.relay_until
        )
