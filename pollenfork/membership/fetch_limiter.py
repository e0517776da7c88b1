"""Which whole states are being fetched, so that few are at a time."""

from pollenfork import ids

_LIMIT = 4


class FetchLimiter:
    """Leave to fetch; when many members start at once, most wait.

    A member that gets no leave is asked about again with its next heartbeat.
    """

    def __init__(self) -> None:
        self._running: set[ids.InstanceId] = set()

    def try_start(self, instance: ids.InstanceId) -> bool:
        """Returns whether the member's state may be fetched now."""
        if instance in self._running or len(self._running) >= _LIMIT:
            return False
        self._running.add(instance)
        return True

    def finish(self, instance: ids.InstanceId) -> None:
        """Records that the fetch has been answered, or has failed."""
        self._running.discard(instance)
