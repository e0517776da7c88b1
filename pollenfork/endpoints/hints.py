"""Cache events of an engine as hints, late and with gaps."""

from collections.abc import Sequence

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import messages


class Hints:
    """What one engine's cache events have said so far."""

    def __init__(self, endpoint: ids.EndpointId) -> None:
        self._endpoint = endpoint
        self._latest = 0  # The latest sequence seen; they start at 1.

    def ask_after(self) -> int:
        """Returns from where to ask: the latest event comes once more.

        An engine that no longer has it began anew.
        """
        return max(0, self._latest - 1)

    def take(self, events: Sequence[edges.CacheEvent]) -> messages.CacheHint:
        """Returns what the events change.

        After a gap or a restart an eviction may have been missed, so the
        earlier hints are forgotten.
        """
        ordered = sorted(events, key=lambda event: event.sequence)
        first = ordered[0].sequence if ordered else 0
        forget = self._latest > 0 and first != self._latest
        before = 0 if forget else self._latest
        held: dict[int, bool] = {}
        for event in ordered:
            if event.sequence <= before:
                continue
            if before and event.sequence != before + 1:
                forget = True
                held.clear()
            before = event.sequence
            held[event.prefix] = event.stored
        self._latest = before
        return messages.CacheHint(
            endpoint=self._endpoint,
            forget=forget,
            stored=tuple(prefix for prefix, kept in held.items() if kept),
            evicted=tuple(p for p, kept in held.items() if not kept),
        )
