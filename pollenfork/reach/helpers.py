"""Chooses the instance to which a request is forwarded.

An instance that has lost its runners asks others which of them reach theirs.
Offers are used for a moment only, so that a helper that ends, freezes or is cut
off itself is soon passed over, and nobody keeps a list of who is cut off.
"""

from collections.abc import Sequence
import random

import msgspec

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.loads import reach_messages

# The pause between queries while help is needed, in seconds.
_QUERY_S = 0.25
# An offer is used for this long, in seconds: some queries may be lost.
_OFFER_S = 1.0
# A helper that failed isn't asked again for this long, in seconds.
_FAILED_S = 1.0
# The number of instances asked at once, here and in other data centres. While
# nine tenths of many instances are cut off, a round finds a helper in four of
# five cases; offers of earlier rounds are used too.
_ASKED_EACH = 8
# Helpers compared for each request. The least loaded of all would be chosen by
# all instances at once.
_COMPARED = 2
# Forwarded requests that a helper in another data centre must have fewer to be
# preferred: traffic between data centres is paid for.
_DISTANCE = 8


class _Helper(msgspec.Struct):
    """An instance that has offered help.

    Attributes:
        offer: Its latest offer.
        offered_at: When that arrived.
        sent: Requests of this instance that it is serving.
    """

    offer: reach_messages.HelpOffer
    offered_at: float
    sent: int = 0


class Helpers:
    """The instances that serve forwarded requests."""

    def __init__(self, data_centre: ids.DataCentre, rng: random.Random) -> None:
        """Starts without any offer.

        Args:
            data_centre: Where this instance runs.
            rng: Spreads queries and requests over the helpers.
        """
        self._data_centre = data_centre
        self._rng = rng
        self._helpers: dict[str, _Helper] = {}
        self._failed: dict[str, float] = {}
        self._asked_at = float("-inf")

    def choose_asked(
        self, near: Sequence[str], all_hosts: Sequence[str], now: float
    ) -> list[str]:
        """Returns the hosts to ask for help now; none if it isn't due.

        Args:
            near: Other hosts of this data centre.
            all_hosts: All other hosts.
            now: Monotonic seconds.
        """
        if now - self._asked_at < _QUERY_S:
            return []
        self._asked_at = now
        far = sorted(set(all_hosts) - set(near))
        return self._sample(sorted(near)) + self._sample(far)

    def record_offer(
        self, host: str, offer: reach_messages.HelpOffer, now: float
    ) -> None:
        """Records an instance's offer."""
        known = self._helpers.setdefault(host, _Helper(offer, now))
        known.offer = offer
        known.offered_at = now

    def choose(
        self,
        service: ids.ServiceName,
        excluded: set[str],
        now: float,
        *,
        keeps_versions: bool = False,
    ) -> str | None:
        """Returns the host to forward a request to; None: nobody helps.

        Args:
            service: The service whose runners must be reached.
            excluded: Hosts that have been tried for this request.
            now: Monotonic seconds.
            keeps_versions: Whether it must keep to a software version.
        """
        self._expire(now)
        wanted = messages.hash_name(service.encode())
        usable = [
            host
            for host, each in self._helpers.items()
            if host not in excluded
            and host not in self._failed
            and now - each.offered_at <= _OFFER_S
            and wanted not in each.offer.lost
            and (each.offer.keeps_versions or not keeps_versions)
        ]
        if not usable:
            return None
        compared = self._rng.sample(usable, min(_COMPARED, len(usable)))
        return min(compared, key=self._rank)

    def choose_from(
        self, hosts: Sequence[str], excluded: set[str]
    ) -> str | None:
        """Returns one of some hosts; None: all are excluded."""
        usable = [host for host in hosts if host not in excluded]
        return self._rng.choice(usable) if usable else None

    def record_sent(self, host: str) -> None:
        """Records that a request is forwarded to a helper."""
        if host in self._helpers:
            self._helpers[host].sent += 1

    def record_ended(self, host: str) -> None:
        """Records the end of a forwarded request."""
        if host in self._helpers:
            self._helpers[host].sent -= 1

    def record_failed(self, host: str, now: float) -> None:
        """Passes over a helper that doesn't answer or declines."""
        self._failed[host] = now

    def _rank(self, host: str) -> int:
        known = self._helpers[host]
        is_near = known.offer.data_centre == self._data_centre
        load = max(known.offer.forwarded, known.sent)
        return load + (0 if is_near else _DISTANCE)

    def _expire(self, now: float) -> None:
        for host, at in list(self._failed.items()):
            if now - at > _FAILED_S:
                del self._failed[host]
        for host, each in list(self._helpers.items()):
            if now - each.offered_at > _OFFER_S and not each.sent:
                del self._helpers[host]

    def _sample(self, hosts: list[str]) -> list[str]:
        return self._rng.sample(hosts, min(_ASKED_EACH, len(hosts)))
