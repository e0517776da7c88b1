"""Turns an engine's cache events, late and with gaps, into cache hints."""

from collections.abc import Sequence

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import messages


class CacheHints:
    """Follows the cache events of one engine."""

    def __init__(self, endpoint: ids.EndpointId) -> None:
        self._endpoint = endpoint
        self._last_sequence = 0  # The latest sequence seen; they start at 1.

    def fetch_after(self) -> int:
        """Returns the sequence after which to fetch events.

        The latest event is fetched once more: an engine that doesn't return it
        has restarted.
        """
        return max(0, self._last_sequence - 1)

    def process(self, events: Sequence[edges.CacheEvent]) -> messages.CacheHint:
        """Returns the changes that the events report.

        After a gap or a restart an eviction may have been missed, so all
        earlier hints are invalidated.
        """
        ordered = sorted(events, key=lambda event: event.sequence)
        first = ordered[0].sequence if ordered else 0
        invalidates_all = (
            self._last_sequence > 0 and first != self._last_sequence
        )
        previous = 0 if invalidates_all else self._last_sequence
        stored_by_prefix: dict[int, bool] = {}
        for event in ordered:
            if event.sequence <= previous:
                continue
            if previous and event.sequence != previous + 1:
                invalidates_all = True
                stored_by_prefix.clear()
            previous = event.sequence
            stored_by_prefix[event.prefix] = event.stored
        self._last_sequence = previous
        return messages.CacheHint(
            endpoint=self._endpoint,
            invalidates_all=invalidates_all,
            stored=tuple(
                prefix for prefix, stored in stored_by_prefix.items() if stored
            ),
            evicted=tuple(
                p for p, stored in stored_by_prefix.items() if not stored
            ),
        )
