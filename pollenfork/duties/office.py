"""Who acts for all instances, and what it has written down to do.

One row of the store says who; every change of it is conditional on what was
read. What the platform is to be told is written there first: whoever holds the
row next tells it in the same words. The core has one call to the store under
way at a time.
"""

from collections.abc import Callable, Iterable
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
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
# Windows that wait for the platform; the oldest go when there are more: five
# minutes of them, some 60 rows of the store at the usual size.
_WAITING_LIMIT = 60
# Writes that fail in a row until another one may act sooner than this one.
_STRUGGLES = 2
# After a call to the platform that came to nothing, in seconds.
_PAUSE_S = 0.5


class Office:
    """The lease, and the tasks that come with it.

    Attributes:
        claims: How often this instance began to act for all.
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
        self._ready: dict[int, messages.Report] = {}
        self._frozen: dict[int, messages.Report] = {}
        self._stored_keys: dict[int, tuple[str, ...]] = {}
        self._confirmed: set[int] = set()
        self._orders: dict[rows.Subject, rows.Order] = {}
        self._wanted: dict[rows.Subject, rows.Order] = {}
        self._accepted: dict[rows.Subject, rows.Order] = {}
        self._baselines: dict[ids.ServiceName, int] = {}
        self._paused_until: dict[int | rows.Subject, float] = {}

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
        row = self._lease.row
        written = row.next_window if row else 0
        return max([written, *(window + 1 for window in self._ready)])

    def list_orders(self) -> list[rows.Order]:
        """Returns the latest order on each subject."""
        return list({**self._orders, **self._wanted}.values())

    def find_baseline(self, service: ids.ServiceName) -> int | None:
        """Returns how many runners a service was started with, if known."""
        row = self._lease.row
        written = row.baselines if row else {}
        return self._baselines.get(service, written.get(service))

    def set_baseline(self, service: ids.ServiceName, count: int) -> None:
        """Takes how many runners a service was started with."""
        self._baselines[service] = count

    def add_report(self, report: messages.Report) -> None:
        """Takes a report to be written down, then told."""
        self._ready[report.window] = report
        waiting = sorted(set(self._frozen) - self._confirmed)
        for window in waiting[: max(0, len(waiting) - _WAITING_LIMIT)]:
            # Nobody was there to be told for as long as that.
            _LOG.error("event=window_dropped window=%d", window)
            self._confirmed.add(window)

    def add_order(self, order: rows.Order) -> None:
        """Takes an order to be written down, then given."""
        self._wanted[order.subject] = order
        self._accepted.pop(order.subject, None)

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
        answer: result.Result[catalogue.Rows, catalogue.Trouble],
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
            self._adopt(())
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
        self._adopt(known.values())

    def take_commit(
        self, answer: result.Result[int, changes.Trouble], now: float
    ) -> None:
        """Takes in what became of a write: its version, or why not."""
        step, self._busy = self._busy, None
        assert isinstance(step, messages.Write)
        if isinstance(answer, result.Ok):
            self._note_written(step, answer.ok_value, now)
        elif answer.err_value is changes.Trouble.REFUSED:
            self._back_off(now)
        else:
            self._failures += 1
            self._lease.forget()  # Reading shows whose write it was.

    def next_report(self, now: float) -> messages.Task | None:
        """Returns the oldest report that is to be told now."""
        due = sorted(set(self._frozen) - self._confirmed)
        for window in due:
            if now >= self._paused_until.get(window, now):
                return self._make_task(self._frozen[window], now)
        return None

    def next_order(self, now: float) -> messages.Task | None:
        """Returns an order that is to be given now."""
        for subject, order in self._orders.items():
            if self._accepted.get(subject) == order or subject in self._wanted:
                continue
            if now >= self._paused_until.get(subject, now):
                return self._make_task(order, now)
        return None

    def take_reply(
        self, task: messages.Task, reply: messages.Reply, now: float
    ) -> None:
        """Takes in what the platform answered."""
        work = task.work
        again = reply in (messages.Reply.BUSY, messages.Reply.NO_ANSWER)
        if isinstance(work, messages.Report):
            if again:
                self._paused_until[work.window] = now + _PAUSE_S
            else:
                self._confirmed.add(work.window)
            return
        if again:
            self._paused_until[work.subject] = now + _PAUSE_S
        else:
            self._accepted[work.subject] = work

    # Holding the row.

    def _choose(self, now: float, stands: bool) -> messages.Step | None:
        hold = self._lease.read_hold(now, False)
        if hold is lease.Hold.MINE:
            due = self._lease.read_age(now) >= self._limits.lease_s * _RENEWED
            return self._write(now) if due or self._has_news() else None
        if hold is lease.Hold.LAPSED:
            return self._claim(now)
        unsure = hold is lease.Hold.UNREAD and now < self._lease.act_until()
        if not stands and not unsure:
            return None
        if hold is lease.Hold.UNREAD or now - self._read_at > _RECENT_S:
            return messages.Read()
        return self._claim(now) if hold is lease.Hold.FREE else None

    def _claim(self, now: float) -> messages.Write:
        # Whatever this instance had ready is of the time when it held.
        self._ready.clear()
        self._wanted.clear()
        self._baselines.clear()
        claim = self._lease.propose_claim(now)
        row = msgspec.structs.replace(claim, host=self._host)
        return messages.Write(row, self._lease.version)

    def _write(self, now: float) -> messages.Write:
        old = self._lease.row
        assert old is not None
        ready = sorted(self._ready.values(), key=lambda each: each.window)
        orders = {**self._orders, **self._wanted}
        changed = msgspec.structs.replace(
            old,
            next_window=self.next_window,
            orders=tuple(orders.values()),
            baselines={**old.baselines, **self._baselines},
        )
        return messages.Write(
            self._lease.propose(changed, now),
            self._lease.version,
            tuple(
                part
                for report in ready
                for part in rows.cut_report(report.window, report.counts)
            ),
            tuple(
                key
                for window in sorted(self._confirmed)
                for key in self._stored_keys.get(window, ())
            ),
        )

    def _back_off(self, now: float) -> None:
        wait_s = min(_RETRY_S * 2.0**self._failures, _LONGEST_RETRY_S)
        self._failures += 1
        self._not_before = now + wait_s

    def _has_news(self) -> bool:
        return bool(self._ready or self._wanted)

    def _note_written(
        self, written: messages.Write, version: int, now: float
    ) -> None:
        self._failures = 0
        before = self._lease.row
        self._lease.confirm(written.row, version, now)
        self._not_before = now + _SPACING_S
        if before is None or before.fencing != written.row.fencing:
            self._accepted.clear()
            self.claims += 1
            _LOG.info(
                "event=duties_taken fencing=%d after=%s next_window=%d "
                "frozen=%d",
                written.row.fencing,
                before.holder if before else "-",
                written.row.next_window,
                len(self._frozen),
            )
        for part in written.reports:
            report = self._ready.pop(part.window, None)
            if report is not None:
                self._frozen[part.window] = report
            key = rows.report_key(part.window, part.part)
            keys = self._stored_keys.get(part.window, ())
            self._stored_keys[part.window] = (*keys, key)
        self._orders = {each.subject: each for each in written.row.orders}
        self._wanted = {
            subject: order
            for subject, order in self._wanted.items()
            if self._orders.get(subject) != order
        }
        self._forget(set(written.removed))

    def _adopt(self, stored: Iterable[catalogue.Row]) -> None:
        """Takes over what is written down, by whomever."""
        row = self._lease.row
        parts: dict[int, list[rows.ReportRow]] = {}
        self._stored_keys = {}
        for each in stored:
            read = rows.decode(each.value, rows.ReportRow)
            if isinstance(read, result.Err):
                continue  # Nothing that this version has to tell.
            part = read.ok_value
            parts.setdefault(part.window, []).append(part)
            keys = self._stored_keys.get(part.window, ())
            self._stored_keys[part.window] = (*keys, each.key)
        self._frozen = {
            window: _join(window, found)
            for window, found in parts.items()
            if len(found) == found[0].parts
        }
        written = row.next_window if row else 0
        self._ready = {w: r for w, r in self._ready.items() if w >= written}
        orders = row.orders if row else ()
        self._orders = {each.subject: each for each in orders}

    def _forget(self, removed: set[str]) -> None:
        for window in sorted(self._confirmed):
            keys = self._stored_keys.get(window, ())
            if removed.issuperset(keys):
                self._confirmed.discard(window)
                self._frozen.pop(window, None)
                self._stored_keys.pop(window, None)
                self._paused_until.pop(window, None)

    def _make_task(
        self, work: messages.Report | rows.Order, now: float
    ) -> messages.Task | None:
        if not self.holds(now):
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


def _join(window: int, parts: list[rows.ReportRow]) -> messages.Report:
    counts: dict[ids.AccountId, int] = {}
    for part in parts:
        counts.update(part.counts)
    return messages.Report(window, counts)
