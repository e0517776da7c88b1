"""Splits the slots of shared endpoints among instances, by tier.

Every instance knows its own demand immediately and its peers' demand from their
latest pressure reports, and computes the same split: tiers in order, and within
a tier in proportion to demand. This needs no coordination and no leases.
"""

from collections.abc import Sequence
import math
from typing import Protocol

import msgspec

_HEADROOM = 1.2


class SlotUsage(msgspec.Struct):
    """The slots of a set of endpoints that are wanted and held, by tier.

    Attributes:
        capacity: The total number of slots.
        own_waiting: Requests waiting at this instance.
        own_in_flight: Attempts of this instance.
        peer_waiting: Requests waiting at peers.
        peer_in_flight: Attempts of peers.
        own_held: Sum of `own_in_flight`.
        peer_held: Sum of `peer_in_flight`.
        unattributed: Attempts known only from the endpoints' own reports.
        instances: Instances that share the endpoints, including this one.
        is_cut_off: Whether all peers are unreachable; they may be running.
    """

    capacity: float
    own_waiting: Sequence[int]
    own_in_flight: list[int]
    peer_waiting: list[int]
    peer_in_flight: list[int]
    instances: int
    own_held: int = 0
    peer_held: int = 0
    unattributed: int = 0
    is_cut_off: bool = False

    def get_capacity(self) -> float:
        """Returns the number of slots to split.

        An instance that is cut off from all peers uses only an equal share,
        unless the endpoints' own reports show at least that many free slots.
        """
        share = math.ceil(self.capacity / self.instances)
        if self.is_cut_off and self.count_free() < share:
            return share
        return self.capacity

    def held_elsewhere(self) -> float:
        """Returns the fraction of the held slots that other instances hold."""
        others = self.peer_held + self.unattributed
        return others / max(1, self.own_held + others)

    def count_free(self) -> float:
        """Returns the number of slots not known to be held."""
        return (
            self.capacity - self.own_held - self.peer_held - self.unattributed
        )


class SlotSharing(Protocol):
    """A policy for splitting slots among instances."""

    def max_slots(self, usage: SlotUsage, tier: int, asking: int) -> int:
        """Returns how many slots this instance may hold in the tier.

        Args:
            usage: The slots that are wanted and held.
            tier: The tier of the request to serve.
            asking: 1 if the request isn't counted as waiting yet, else 0.
        """

    def headroom(self, usage: SlotUsage, tier: int) -> float:
        """Returns how many slots the tier leaves free for higher tiers."""


class DemandSplit:
    """Splits slots by the demand and occupancy that peers report.

    A tier leaves slots free for higher tiers: for each of them the square root
    of the slots that it holds, times `headroom`, as in square-root staffing for
    random arrivals. Otherwise all slots may be held by long answers of lower
    tiers, and an urgent request must wait for a release that may happen at
    another instance. The headroom therefore grows with the fraction of slots
    held by other instances.
    """

    def __init__(self, headroom: float = _HEADROOM) -> None:
        self._headroom = headroom

    def max_slots(self, usage: SlotUsage, tier: int, asking: int) -> int:
        """Returns how many slots this instance may hold in the tier."""
        own = usage.own_waiting[tier] + usage.own_in_flight[tier] + asking
        peers = usage.peer_waiting[tier] + usage.peer_in_flight[tier]
        left = usage.get_capacity() - _sum_higher(usage, tier)
        if left <= 0:
            return 0
        kept = self.headroom(usage, tier)
        if kept and usage.count_free() < kept + 1:
            return 0
        if own + peers <= left:
            return own
        return math.ceil(left * own / (own + peers))

    def headroom(self, usage: SlotUsage, tier: int) -> float:
        """Returns how many slots the tier leaves free for higher tiers."""
        own, peers = usage.own_in_flight, usage.peer_in_flight
        roots = sum(math.sqrt(own[t] + peers[t]) for t in range(tier))
        return self._headroom * usage.held_elsewhere() * roots


def _sum_higher(usage: SlotUsage, tier: int) -> int:
    return (
        sum(usage.own_waiting[:tier])
        + sum(usage.own_in_flight[:tier])
        + sum(usage.peer_waiting[:tier])
        + sum(usage.peer_in_flight[:tier])
    )
