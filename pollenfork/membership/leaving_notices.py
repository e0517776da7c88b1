"""Endpoints that members say are leaving, and who still has to hear it."""

import msgspec

from pollenfork import ids

_RELAY_S = 10.0
_FORGET_S = 60.0


class _Notice(msgspec.Struct):
    local_at: float  # Last heard inside this data centre.
    remote_at: float  # Last heard from another one.
    relay_until: float


class LeavingNotices:
    """Passes notices on between data centres without a loop.

    What is heard inside goes out in summaries; what comes in with a summary
    goes to this data centre's heartbeats for a while, and no further.
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
        """Records notices and returns the endpoints that are news.

        Args:
            endpoints: The endpoints said to be leaving.
            now: Monotonic seconds.
            remote: The notice began in another data centre.
            relay: This instance was told by that data centre itself.
        """
        news = []
        for endpoint in endpoints:
            notice = self._notices.get(endpoint)
            if notice is None:
                notice = _Notice(-_FORGET_S, -_FORGET_S, 0.0)
                notice.relay_until = now + _RELAY_S if relay else 0.0
                self._notices[endpoint] = notice
                news.append(endpoint)
            if remote:
                notice.remote_at = now
            else:
                notice.local_at = now
        return news

    def expire(self, now: float) -> None:
        """Drops notices that nobody repeats; a later one is news again."""
        old = [
            endpoint
            for endpoint, notice in self._notices.items()
            if now - max(notice.local_at, notice.remote_at) > _FORGET_S
        ]
        for endpoint in old:
            del self._notices[endpoint]

    def list_local(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns what other data centres should hear from this one."""
        return tuple(
            endpoint
            for endpoint, notice in self._notices.items()
            if now - notice.local_at <= _RELAY_S
        )

    def list_relayed(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns what this data centre should hear of the others."""
        return tuple(
            endpoint
            for endpoint, notice in self._notices.items()
            if now < notice.relay_until
        )
