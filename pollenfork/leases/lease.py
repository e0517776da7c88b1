"""A lease: who may act on something, and until when.

Two clocks never have to agree. The holder counts from before it sent the
write; everybody else counts from after they read what it wrote, which is
later. The table's conditional write decides between two claimants.
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


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Times of leases and orders, in seconds.

    Attributes:
        lease_s: How long one write of the row lets its writer act.
        order_s: The longest time from sending an order to its effect.
        margin_s: How much earlier than its end the holder stops; covers
            clocks that run at slightly different rates.
    """

    lease_s: float = 30.0
    order_s: float = 10.0
    margin_s: float = 1.0


class Hold(enum.Enum):
    """How this instance stands to the lease."""

    UNREAD = "unread"  # The row has not been read since it changed.
    FREE = "free"  # Nobody holds it, or its holder's time is over.
    OTHERS = "others"
    MINE = "mine"
    LAPSED = "lapsed"  # Ours by the row, but too old to act on.


class Lease(Generic[RowT]):
    """What this instance knows of one lease's row.

    Attributes:
        row: As last seen or written; None where there is none.
        version: The store's version of it, which the next write must meet.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        limits: Limits,
        new_id: Callable[[], ids.WriteId],
        make_first: Callable[[], RowT],
    ) -> None:
        """Starts with nothing read.

        Args:
            instance: This one.
            limits: Times of the lease.
            new_id: Returns an id that no other write has.
            make_first: Returns the row that stands for none.
        """
        self.row: RowT | None = None
        self.version = ABSENT
        self._instance = instance
        self._limits = limits
        self._new_id = new_id
        self._make_first = make_first
        self._known = False
        self._seen_at = 0.0
        self._sent_at: dict[ids.WriteId, float] = {}

    def read_hold(self, now: float, checks_fencing: bool) -> Hold:
        """Returns how this instance stands to the lease at `now`."""
        if not self._known:
            return Hold.UNREAD
        if self.row is None or not self.row.holder:
            return Hold.FREE
        if self.row.write_id in self._sent_at:
            return Hold.MINE if now < self.act_until() else Hold.LAPSED
        return self._judge_other(now, checks_fencing)

    def act_until(self) -> float:
        """Returns when this instance stops acting on the row it wrote."""
        if self.row is None or self.row.write_id not in self._sent_at:
            return float("-inf")
        lease_s = self.row.lease_ms / 1000
        sent_at = self._sent_at[self.row.write_id]
        return sent_at + lease_s - self._limits.margin_s

    def read_age(self, now: float) -> float:
        """Returns seconds since this instance sent the row's write."""
        if self.row is None or self.row.write_id not in self._sent_at:
            return float("inf")
        return now - self._sent_at[self.row.write_id]

    def propose(self, row: RowT, now: float) -> RowT:
        """Returns `row` as this instance's next write, sent not before `now`.

        `now` is read before the write leaves, so that the time in flight is
        never added to the lease.
        """
        write_id = self._new_id()
        self._sent_at[write_id] = now
        while len(self._sent_at) > _REMEMBERED_WRITES:
            del self._sent_at[next(iter(self._sent_at))]
        return msgspec.structs.replace(
            row,
            write_id=write_id,
            lease_ms=round(self._limits.lease_s * 1000),
            order_ms=round(self._limits.order_s * 1000),
        )

    def propose_claim(self, now: float) -> RowT:
        """Returns the row that makes this instance the next holder."""
        old = self._make_first() if self.row is None else self.row
        fencing = ids.FencingNumber(old.fencing + 1)
        claim = msgspec.structs.replace(
            old, holder=self._instance, fencing=fencing
        )
        return self.propose(claim, now)

    def confirm(self, row: RowT, version: int, now: float) -> None:
        """Takes in that this instance's write of `row` made `version`."""
        self._adopt(row, version, now)

    def observe(self, row: RowT | None, version: int, now: float) -> None:
        """Takes in a row as read; `now` is after the answer came.

        A write of ours whose answer was lost is known again by its id and
        counts from when it was first sent.
        """
        self._adopt(row, version, now)

    def forget(self) -> None:
        """The row may have changed: it must be read before the next step."""
        self._known = False

    def _adopt(self, row: RowT | None, version: int, now: float) -> None:
        self._known = True
        if version == self.version and row == self.row:
            return  # Counted from when this version was first seen.
        self.row = row
        self.version = version
        self._seen_at = now

    def _judge_other(self, now: float, checks_fencing: bool) -> Hold:
        assert self.row is not None
        wait_s = self.row.lease_ms / 1000
        if not checks_fencing:
            wait_s += self.row.order_ms / 1000
        over = now >= self._seen_at + wait_s
        return Hold.FREE if over else Hold.OTHERS
