"""Order of waiting requests: strict tiers, oldest first in a tier."""

import collections

from pollenfork import ids
from pollenfork.admission import messages


class Queue:
    """Requests that wait for a slot, bounded for each class."""

    def __init__(self) -> None:
        self._tiers: dict[
            ids.Tier, collections.OrderedDict[ids.RequestId, messages.Ask]
        ] = {}

    def add(self, ask: messages.Ask) -> messages.Refused | None:
        """Queues the request, or says why not."""
        tier = self._tiers.setdefault(ask.tier, collections.OrderedDict())
        same = sum(w.class_name == ask.class_name for w in tier.values())
        if same >= ask.max_waiting:
            reason = messages.RefusalReason.QUEUE_FULL
            return messages.Refused(request=ask.request, reason=reason)
        tier[ask.request] = ask
        return None

    def remove(self, request: ids.RequestId) -> messages.Ask | None:
        """Takes a request out, wherever it waits."""
        for tier in self._tiers.values():
            if request in tier:
                return tier.pop(request)
        return None

    def list_in_order(self) -> list[messages.Ask]:
        """Returns the waiting requests, the next to serve first."""
        return [
            ask
            for tier in sorted(self._tiers)
            for ask in self._tiers[tier].values()
        ]

    def take_expired(self, now: float) -> list[messages.Refused]:
        """Removes the requests whose wait has ended."""
        expired = [a for a in self.list_in_order() if a.give_up_at <= now]
        for ask in expired:
            self.remove(ask.request)
        reason = messages.RefusalReason.WAITED_TOO_LONG
        return [
            messages.Refused(request=ask.request, reason=reason)
            for ask in expired
        ]
