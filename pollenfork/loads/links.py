"""What was last exchanged with another instance, and sums of loads."""

from collections.abc import Iterable

import msgspec

from pollenfork.loads import messages
from pollenfork.loads import updates

# Placements that wait to be sent; the oldest are dropped beyond this. It is the
# number of shared parts that 45 runners cache.
_MAX_QUEUED_PLACEMENTS = 8000
# Placements in one datagram: 12 bytes each, and a lost datagram loses few.
_PLACEMENTS_PER_DATAGRAM = 100
# Unchanged loads are sent again at this interval, as datagrams get lost.
_REPEAT_S = 0.3


class ReceivedLoads(msgspec.Struct):
    """The loads that another instance sent last.

    Attributes:
        loads: The loads.
        received_at: Monotonic seconds at which they arrived.
        sent_at: The sender's clock as it sent them.
    """

    loads: messages.LoadTable
    received_at: float
    sent_at: float = 0.0


def select_newer(
    known: ReceivedLoads | None, received: ReceivedLoads, expiry_s: float
) -> ReceivedLoads:
    """Returns the loads that were sent later by the same sender.

    The clock of a sender that was started anew may be behind, so known loads
    stay for `expiry_s` at most.
    """
    if known is None or received.sent_at >= known.sent_at:
        return received
    expired = received.received_at - known.received_at > expiry_s
    return received if expired else known


class Link(msgspec.Struct):
    """What is sent to another instance.

    Attributes:
        loads: The loads sent last.
        sent_at: When that was.
        placements: Placements that wait to be sent.
        status: The store's versions sent last.
        queue: Paces and planned returns that wait to be sent.
    """

    loads: messages.LoadTable = {}
    sent_at: float = -_REPEAT_S
    placements: list[messages.Placement] = msgspec.field(default_factory=list)
    status: messages.StoreStatus | None = None
    queue: updates.UpdateQueue = msgspec.field(
        default_factory=updates.UpdateQueue
    )

    def add_placements(self, placements: Iterable[messages.Placement]) -> None:
        """Queues placements to send."""
        self.placements.extend(placements)
        del self.placements[:-_MAX_QUEUED_PLACEMENTS]

    @property
    def next_placements(self) -> tuple[messages.Placement, ...]:
        """The placements for the next datagram."""
        return tuple(self.placements[:_PLACEMENTS_PER_DATAGRAM])

    def record_sent(self, loads: messages.LoadTable, now: float) -> None:
        """Notes that loads and the next placements were sent."""
        self.loads = loads
        self.sent_at = now
        del self.placements[:_PLACEMENTS_PER_DATAGRAM]


def is_due(link: Link, loads: messages.LoadTable, now: float) -> bool:
    """Returns whether anything changed, or it is time to repeat the loads."""
    changed = bool(link.placements) or link.loads != loads
    changed = changed or link.queue.is_urgent
    return changed or now - link.sent_at >= _REPEAT_S


def add(tables: list[messages.LoadTable]) -> messages.LoadTable:
    """Returns the sum of several load tables."""
    total: messages.LoadTable = {}
    for table in tables:
        for runner, load in table.items():
            known = total.get(runner)
            if known is not None:
                load = messages.Load(
                    known.active + load.active,
                    known.pending_tokens + load.pending_tokens,
                    known.top_tier + load.top_tier,
                    known.held_tokens + load.held_tokens,
                )
            total[runner] = load
    return total


def subtract(
    total: messages.LoadTable, part: messages.LoadTable
) -> messages.LoadTable:
    """Returns a sum without one of the tables that it contains."""
    rest = dict(total)
    for runner, load in part.items():
        known = rest[runner]
        if known == load:
            del rest[runner]
            continue
        rest[runner] = messages.Load(
            known.active - load.active,
            known.pending_tokens - load.pending_tokens,
            known.top_tier - load.top_tier,
            known.held_tokens - load.held_tokens,
        )
    return rest


def has_new_versions(link: Link, status: messages.StoreStatus | None) -> bool:
    """Returns whether the store's tables changed since the last message."""
    sent = link.status
    if status is None:
        return False
    if sent is None:
        return True
    return status.versions != sent.versions
