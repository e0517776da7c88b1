"""Limits the number of full states that are fetched concurrently."""

from pollenfork import ids

_MAX_FETCHES = 4


class FetchLimiter:
    """Tracks running fetches; excess ones wait when many members start.

    A member whose fetch was denied is tried again on its next heartbeat.
    """

    def __init__(self) -> None:
        self._running: set[ids.InstanceId] = set()

    def try_start(self, instance: ids.InstanceId) -> bool:
        """Returns whether the member's state may be fetched now."""
        if instance in self._running or len(self._running) >= _MAX_FETCHES:
            return False
        self._running.add(instance)
        return True

    def finish(self, instance: ids.InstanceId) -> None:
        """Records that the fetch was answered or failed."""
        self._running.discard(instance)
