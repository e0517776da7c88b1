"""Who acts for all instances, and what it has written down to do.

One row of the store says who; every change of it is conditional on what was
read. What the platform is to be told is written there first: whoever holds the
row next tells it in the same words. The core has one call to the store under
way at a time.
"""

from collections.abc import Callable
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import agenda
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.leases import lease

_LOG = logging.getLogger(__name__)

# The holder writes its row anew after this part of the lease: two writes may
# fail before it ends.
_RENEWED = 1.0 / 3.0
# Between two changes of the row, in seconds.
_SPACING_S = 0.1
# After a call to the store that came to nothing, in seconds; it doubles, as
# all who would act ask when the store is away.
_RETRY_S = 0.3
_LONGEST_RETRY_S = 2.4
# Between two readings of a row that can't be read, in seconds.
_LOOK_S = 2.0
# A row that was read longer ago is read again by whoever would act, in seconds:
# a claim by what it was long ago fails, and the wait only begins then.
_RECENT_S = 2.0
# Writes that fail in a row until another one may act sooner than this one.
_STRUGGLES = 2


class Office:
    """The lease, and the tasks that come with it.

    Attributes:
        claims: How often this instance began to act for all.
        agenda: What the platform is to be told.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        host: str,
        limits: lease.Limits,
        new_id: Callable[[], ids.WriteId],
        read_window: Callable[[], int],
    ) -> None:
        """Starts with nothing read.

        Args:
            instance: This one.
            host: Its host.
            limits: Times of the lease.
            new_id: Returns an id that no other write has.
            read_window: Returns the number of the present window.
        """
        self.claims = 0
        self._host = host
        self._limits = limits
        self._lease = lease.Lease(
            instance, limits, new_id, lambda: _make_first(read_window())
        )
        self._busy: messages.Step | None = None
        self._not_before = 0.0
        self._read_at = float("-inf")
        self._failures = 0
        self.agenda = agenda.Agenda()

    def holds(self, now: float) -> bool:
        """Returns whether this instance may act for all."""
        return self._lease.read_hold(now, False) is lease.Hold.MINE

    @property
    def fencing(self) -> ids.FencingNumber:
        """The latest number seen."""
        row = self._lease.row
        return row.fencing if row else ids.FencingNumber(0)

    @property
    def struggles(self) -> bool:
        """Whether the store takes none of this instance's writes."""
        return self._failures >= _STRUGGLES

    def find_holder(self, now: float) -> str:
        """Returns the host of another instance that holds the row, if any."""
        if self._lease.read_hold(now, False) is not lease.Hold.OTHERS:
            return ""
        return self._lease.row.host if self._lease.row else ""

    @property
    def next_window(self) -> int:
        """The first window without a report, written down or ready."""
        return self.agenda.find_next_window(self._lease.row)

    def find_baseline(self, service: ids.ServiceName) -> int | None:
        """Returns how many runners a service was started with, if known."""
        return self.agenda.find_baseline(self._lease.row, service)

    def next_step(self, now: float, stands: bool) -> messages.Step | None:
        """Returns the next call to the store, if there is one to make.

        Args:
            now: Monotonic seconds.
            stands: Whether this instance would act, as nobody seems to.
        """
        if self._busy is not None or now < self._not_before:
            return None
        self._busy = self._choose(now, stands)
        return self._busy

    def take_rows(
        self,
        answer: result.Result[catalogue.Rows, catalogue.ReadFailure],
        now: float,
    ) -> None:
        """Takes in the table; `now` is after the answer came."""
        self._busy = None
        if isinstance(answer, result.Err):
            self._back_off(now)
            return
        self._failures = 0
        self._read_at = now
        known = {row.key: row for row in answer.ok_value.rows}
        stored = known.pop(rows.HOLDER_KEY, None)
        if stored is None:
            self._lease.observe(None, lease.ABSENT, now)
            self.agenda.adopt(None, ())
            return
        row = rows.decode(stored.value, rows.HolderRow)
        if isinstance(row, result.Err):
            _LOG.error(
                "event=duty_row_unreadable key=%s detail=%r",
                stored.key,
                row.err_value.detail,
            )
            self._not_before = now + _LOOK_S
            return
        self._lease.observe(row.ok_value, stored.version, now)
        self.agenda.adopt(row.ok_value, known.values())

    def take_commit(
        self, answer: result.Result[int, changes.WriteFailure], now: float
    ) -> None:
        """Takes in what became of a write: its version, or why not."""
        step, self._busy = self._busy, None
        assert isinstance(step, messages.Write)
        if isinstance(answer, result.Ok):
            self._note_written(step, answer.ok_value, now)
        elif answer.err_value is changes.WriteFailure.REFUSED:
            self._back_off(now)
        else:
            self._failures += 1
            self._lease.forget()  # Reading shows whose write it was.

    def next_report(self, now: float) -> messages.Task | None:
        """Returns the oldest report that is to be told now."""
        return self._make_task(self.agenda.next_report(now), now)

    def next_order(self, now: float) -> messages.Task | None:
        """Returns an order that is to be given now."""
        return self._make_task(self.agenda.next_order(now), now)

    # Holding the row.

    def _choose(self, now: float, stands: bool) -> messages.Step | None:
        hold = self._lease.read_hold(now, False)
        if hold is lease.Hold.MINE:
            due = self._lease.read_age(now) >= self._limits.lease_s * _RENEWED
            return self._write(now) if due or self.agenda.has_news else None
        if hold is lease.Hold.LAPSED:
            return self._claim(now)
        unsure = hold is lease.Hold.UNREAD and now < self._lease.act_until()
        if not stands and not unsure:
            return None
        if hold is lease.Hold.UNREAD or now - self._read_at > _RECENT_S:
            return messages.Read()
        return self._claim(now) if hold is lease.Hold.FREE else None

    def _claim(self, now: float) -> messages.Write:
        self.agenda.begin()
        claim = self._lease.propose_claim(now)
        row = msgspec.structs.replace(claim, host=self._host)
        return messages.Write(row, self._lease.version)

    def _write(self, now: float) -> messages.Write:
        old = self._lease.row
        assert old is not None
        return messages.Write(
            self._lease.propose(self.agenda.change(old), now),
            self._lease.version,
            self.agenda.list_reports(),
            self.agenda.list_removable(),
        )

    def _back_off(self, now: float) -> None:
        wait_s = min(_RETRY_S * 2.0**self._failures, _LONGEST_RETRY_S)
        self._failures += 1
        self._not_before = now + wait_s

    def _note_written(
        self, written: messages.Write, version: int, now: float
    ) -> None:
        self._failures = 0
        before = self._lease.row
        self._lease.confirm(written.row, version, now)
        self._not_before = now + _SPACING_S
        if before is None or before.fencing != written.row.fencing:
            self.claims += 1
            self.agenda.note_taken()
            _LOG.info(
                "event=duties_taken fencing=%d after=%s next_window=%d "
                "frozen=%d",
                written.row.fencing,
                before.holder if before else "-",
                written.row.next_window,
                len(self.agenda.frozen),
            )
        self.agenda.note_written(written)

    def _make_task(
        self, work: messages.Report | rows.Order | None, now: float
    ) -> messages.Task | None:
        if work is None or not self.holds(now):
            return None
        return messages.Task(self.fencing, self._lease.act_until(), work)


def _make_first(window: int) -> rows.HolderRow:
    """Returns the row that stands for none: the first claim is number one."""
    return rows.HolderRow(
        holder=ids.InstanceId(""),
        fencing=ids.FencingNumber(0),
        write_id=ids.WriteId(""),
        lease_ms=0,
        order_ms=0,
        next_window=window,
    )
