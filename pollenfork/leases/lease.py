"""A lease on the exclusive right to act, kept in a row of the store.

No two clocks need to agree. The holder counts the lease from before it sent the
write; all others count from after they read the row, which is later. The
store's conditional write decides between competing claims.
"""

from collections.abc import Callable
import enum
from typing import Generic, TypeVar

import msgspec

from pollenfork import ids
from pollenfork.leases import claims

ABSENT = 0  # The version of a row that doesn't exist.
_REMEMBERED_WRITES = 16

RowT = TypeVar("RowT", bound=claims.Claim)


class LeaseTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Durations of leases and orders, in seconds.

    Attributes:
        lease_s: How long one write of the row lets its writer act.
        order_s: The longest time from sending an order until it takes effect.
        margin_s: How long before its lease ends the holder stops acting; covers
            clocks that run at slightly different rates.
    """

    lease_s: float = 30.0
    order_s: float = 10.0
    margin_s: float = 1.0


class LeaseState(enum.Enum):
    """The state of a lease from the point of view of this instance."""

    UNREAD = "unread"  # The row wasn't read since it may have changed.
    FREE = "free"  # Nobody holds it, or the holder's time has run out.
    HELD_BY_OTHER = "others"
    HELD = "mine"
    EXPIRED = "lapsed"  # Held by this instance, but too old to act on.


class Lease(Generic[RowT]):
    """The view that this instance has of a lease's row.

    Attributes:
        row: The row as last read or written; None where there is none.
        version: Its version in the store, which the next write must match.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        times: LeaseTimes,
        new_id: Callable[[], ids.WriteId],
        make_first: Callable[[], RowT],
    ) -> None:
        """Creates a lease whose row is yet to be read.

        Args:
            instance: The id of this instance.
            times: The durations of the lease.
            new_id: Returns a unique id for a write.
            make_first: Returns the row to start from where there is none.
        """
        self.row: RowT | None = None
        self.version = ABSENT
        self._instance = instance
        self._times = times
        self._new_id = new_id
        self._make_first = make_first
        self._known = False
        self._seen_at = 0.0
        self._sent_at: dict[ids.WriteId, float] = {}

    def get_state(self, now: float, checks_fencing: bool) -> LeaseState:
        """Returns the state of the lease at `now`.

        Args:
            now: Monotonic seconds.
            checks_fencing: Whether the receiver of orders rejects those with an
                outdated fencing number; otherwise a claim waits until the
                previous holder's last order has taken effect.
        """
        if not self._known:
            return LeaseState.UNREAD
        if self.row is None or not self.row.holder:
            return LeaseState.FREE
        if self.row.write_id in self._sent_at:
            return (
                LeaseState.HELD
                if now < self.act_until()
                else LeaseState.EXPIRED
            )
        return self._get_state_of_other(now, checks_fencing)

    def act_until(self) -> float:
        """Returns when this instance must stop acting on the row it wrote."""
        if self.row is None or self.row.write_id not in self._sent_at:
            return float("-inf")
        lease_s = self.row.lease_ms / 1000
        sent_at = self._sent_at[self.row.write_id]
        return sent_at + lease_s - self._times.margin_s

    def exclusive_until(self) -> float:
        """Returns until when no other instance can have claimed the lease.

        This holds where claims wait for the last order of the holder before.
        """
        if self.row is None or self.row.write_id not in self._sent_at:
            return float("-inf")
        return self.act_until() + self.row.order_ms / 1000

    def age(self, now: float) -> float:
        """Returns seconds since this instance sent the write of the row."""
        if self.row is None or self.row.write_id not in self._sent_at:
            return float("inf")
        return now - self._sent_at[self.row.write_id]

    def propose(self, row: RowT, now: float) -> RowT:
        """Returns `row` as this instance's next write, to be sent after `now`.

        `now` is read before the write is sent, so that the latency of the write
        doesn't extend the lease.
        """
        write_id = self._new_id()
        self._sent_at[write_id] = now
        while len(self._sent_at) > _REMEMBERED_WRITES:
            del self._sent_at[next(iter(self._sent_at))]
        return msgspec.structs.replace(
            row,
            write_id=write_id,
            lease_ms=round(self._times.lease_s * 1000),
            order_ms=round(self._times.order_s * 1000),
        )

    def propose_claim(self, now: float, min_fencing: int = 0) -> RowT:
        """Returns the row that makes this instance the next holder.

        Args:
            now: Monotonic seconds.
            min_fencing: The least fencing number to use.
        """
        old = self._make_first() if self.row is None else self.row
        fencing = ids.FencingNumber(max(old.fencing + 1, min_fencing))
        claim = msgspec.structs.replace(
            old, holder=self._instance, fencing=fencing
        )
        return self.propose(claim, now)

    def confirm(self, row: RowT, version: int, now: float) -> None:
        """Records that this instance's write of `row` made `version`."""
        self._adopt(row, version, now)

    def observe(self, row: RowT | None, version: int, now: float) -> None:
        """Records a row as read; `now` is after the reply arrived.

        A write by this instance whose reply was lost is recognized by its id,
        and its lease counts from when it was sent.
        """
        self._adopt(row, version, now)

    def abandon(self) -> None:
        """Stops acting on own writes, which the store may have lost."""
        self._sent_at.clear()
        self._known = False

    def invalidate(self) -> None:
        """Requires a read before the next write; the row may have changed."""
        self._known = False

    def _adopt(self, row: RowT | None, version: int, now: float) -> None:
        self._known = True
        if version == self.version and row == self.row:
            return  # The lease counts from when this version was first seen.
        self.row = row
        self.version = version
        self._seen_at = now

    def _get_state_of_other(
        self, now: float, checks_fencing: bool
    ) -> LeaseState:
        assert self.row is not None
        wait_s = self.row.lease_ms / 1000
        if not checks_fencing:
            wait_s += self.row.order_ms / 1000
        over = now >= self._seen_at + wait_s
        return LeaseState.FREE if over else LeaseState.HELD_BY_OTHER
