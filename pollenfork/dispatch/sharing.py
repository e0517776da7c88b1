"""How instances that share endpoints split their slots by tier.

Every instance knows its own demand at once and its peers' from their last
pressure, and computes the same split: tiers in order, and inside a tier in
proportion to demand. Nobody is asked, nothing is leased.
"""

from collections.abc import Sequence
import math
from typing import Protocol

import msgspec

_HEADROOM = 1.2


class Claims(msgspec.Struct):
    """Who wants and holds the slots of a set of endpoints, by tier.

    Attributes:
        capacity: Slots of all these endpoints.
        own_waiting: Requests waiting here.
        own_in_flight: Attempts of this instance.
        peer_waiting: Requests waiting at peers.
        peer_in_flight: Attempts of peers.
        own_held: Sum of `own_in_flight`.
        peer_held: Sum of `peer_in_flight`.
        unseen: Attempts that only the endpoints' own reports tell of.
        instances: Instances that share the endpoints, this one included.
        is_cut_off: All peers there were are out of reach, perhaps at work.
    """

    capacity: float
    own_waiting: Sequence[int]
    own_in_flight: list[int]
    peer_waiting: list[int]
    peer_in_flight: list[int]
    instances: int
    own_held: int = 0
    peer_held: int = 0
    unseen: int = 0
    is_cut_off: bool = False

    def read_capacity(self) -> float:
        """Returns the slots to split.

        Cut off from all peers, an instance keeps to an equal share, unless
        the endpoints' own reports show that much free.
        """
        share = math.ceil(self.capacity / self.instances)
        if self.is_cut_off and self.count_free() < share:
            return share
        return self.capacity

    def rate_elsewhere(self) -> float:
        """Returns the part of the held slots that others hold."""
        others = self.peer_held + self.unseen
        return others / max(1, self.own_held + others)

    def count_free(self) -> float:
        """Returns the slots that nobody is known to hold."""
        return self.capacity - self.own_held - self.peer_held - self.unseen


class Sharing(Protocol):
    """A way to split slots among instances."""

    def allow(self, claims: Claims, tier: int, asking: int) -> int:
        """Returns how many slots this instance may hold in the tier.

        Args:
            claims: Who wants and holds the slots.
            tier: The tier of the request to serve.
            asking: 1 for a request that isn't counted as waiting yet.
        """

    def keep_free(self, claims: Claims, tier: int) -> float:
        """Returns how many slots the tier leaves to the tiers above it."""


class DemandSplit:
    """Splits by the demand and occupancy that peers report.

    A tier leaves some slots free for the tiers above it: the square root of
    what each of them holds, times `headroom`, as for servers under random
    arrivals.
    Without that, an urgent request finds every slot held by long answers of
    lower tiers, and waits for a release that may come at another instance;
    so the headroom grows with the part of the releases that come elsewhere.
    """

    def __init__(self, headroom: float = _HEADROOM) -> None:
        self._headroom = headroom

    def allow(self, claims: Claims, tier: int, asking: int) -> int:
        """Returns how many slots this instance may hold in the tier."""
        own = claims.own_waiting[tier] + claims.own_in_flight[tier] + asking
        peers = claims.peer_waiting[tier] + claims.peer_in_flight[tier]
        left = claims.read_capacity() - _sum_higher(claims, tier)
        if left <= 0:
            return 0
        kept = self.keep_free(claims, tier)
        if kept and claims.count_free() < kept + 1:
            return 0
        if own + peers <= left:
            return own
        return math.ceil(left * own / (own + peers))

    def keep_free(self, claims: Claims, tier: int) -> float:
        """Returns how many slots the tier leaves to the tiers above it."""
        own, peers = claims.own_in_flight, claims.peer_in_flight
        roots = sum(math.sqrt(own[t] + peers[t]) for t in range(tier))
        return self._headroom * claims.rate_elsewhere() * roots


def _sum_higher(claims: Claims, tier: int) -> int:
    return (
        sum(claims.own_waiting[:tier])
        + sum(claims.own_in_flight[:tier])
        + sum(claims.peer_waiting[:tier])
        + sum(claims.peer_in_flight[:tier])
    )
