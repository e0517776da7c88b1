"""Usage reports and scaling orders on their way to the platform.

A report is first unwritten, then stored, then acknowledged by the platform, and
forgotten once its rows are removed. An order is first unwritten, then stored,
then accepted by the platform; the latest order for each pool is kept.
"""

from collections.abc import Iterable
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import messages
from pollenfork.duties import rows

_LOG = logging.getLogger(__name__)

# The most windows that wait for the platform; beyond that the oldest are
# dropped. It holds five minutes, about 60 rows of the store at the usual size.
BACKLOG_LIMIT = 60
# The delay after a failed call to the platform, in seconds.
_RETRY_DELAY_S = 0.5
NO_WINDOW = -1


class WorkQueue:
    """The queue of reports and orders for the platform.

    Attributes:
        stored_reports: Reports that are in the store, by window.
        reported_through: The last window of an uninterrupted sequence that
            needs no report any more: the platform has it, or it was dropped.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._unwritten_reports: dict[int, messages.UsageReport] = {}
        self.stored_reports: dict[int, messages.UsageReport] = {}
        self._stored_keys: dict[int, tuple[str, ...]] = {}
        self._acknowledged: set[int] = set()
        self._stored_orders: dict[rows.RunnerPool, rows.ScalingOrder] = {}
        self._unwritten_orders: dict[rows.RunnerPool, rows.ScalingOrder] = {}
        self._accepted: dict[rows.RunnerPool, rows.ScalingOrder] = {}
        self._baselines: dict[ids.ServiceName, int] = {}
        self._paused_until: dict[int | rows.RunnerPool, float] = {}
        # Reports that were stored and aren't any more, as the store was
        # restored. The platform may have them, so only the same may be sent.
        self._lost_reports: dict[int, messages.UsageReport] = {}
        self._attempted: set[int] = set()
        self._has_unreadable = False
        # Windows that the platform has, also if the store has lost their rows.
        self._reported: set[int] = set()
        self.reported_through = NO_WINDOW

    @property
    def has_unwritten(self) -> bool:
        """Whether any report or order is yet to be stored."""
        return bool(self._unwritten_reports or self._unwritten_orders)

    def find_next_window(
        self, row: rows.HolderRow | None, earliest: int = 0
    ) -> int:
        """Returns the first window without a report, stored or unwritten.

        Args:
            row: The holder's row.
            earliest: The windows before it may have been reported.
        """
        stored = row.next_window if row else 0
        following = max(
            stored,
            earliest,
            self.reported_through + 1,
            *(window + 1 for window in self._unwritten_reports),
        )
        while following in self._reported:
            following += 1
        return following

    def list_orders(self) -> list[rows.ScalingOrder]:
        """Returns the latest order for each pool."""
        return list({**self._stored_orders, **self._unwritten_orders}.values())

    def find_baseline(
        self, row: rows.HolderRow | None, service: ids.ServiceName
    ) -> int | None:
        """Returns how many runners a service was started with, if known."""
        stored = row.baselines if row else {}
        return self._baselines.get(service, stored.get(service))

    def set_baseline(self, service: ids.ServiceName, count: int) -> None:
        """Sets how many runners a service was started with."""
        self._baselines[service] = count

    def add_report(self, report: messages.UsageReport) -> None:
        """Queues a report to be stored, then sent."""
        self._unwritten_reports[report.window] = report
        waiting = self._list_waiting()
        for window in waiting[: max(0, len(waiting) - BACKLOG_LIMIT)]:
            # The platform was unreachable for as long as the limit covers.
            _LOG.error("event=window_dropped window=%d", window)
            self._acknowledged.add(window)

    def add_order(self, order: rows.ScalingOrder) -> None:
        """Queues an order to be stored, then sent."""
        self._unwritten_orders[order.subject] = order
        self._accepted.pop(order.subject, None)

    # Calls to the platform.

    def next_report(self, now: float) -> messages.UsageReport | None:
        """Returns the oldest stored report that is due to be sent."""
        for window in self._list_waiting():
            if now >= self._paused_until.get(window, now):
                return self.stored_reports[window]
        return None

    def next_order(self, now: float) -> rows.ScalingOrder | None:
        """Returns a stored order that is due to be sent."""
        for subject, order in self._stored_orders.items():
            if (
                self._accepted.get(subject) == order
                or subject in self._unwritten_orders
            ):
                continue
            if now >= self._paused_until.get(subject, now):
                return order
        return None

    def handle_reply(
        self,
        work: messages.UsageReport | rows.ScalingOrder,
        reply: messages.Reply,
        now: float,
    ) -> None:
        """Handles the platform's reply to a report or an order."""
        retry = reply in (messages.Reply.BUSY, messages.Reply.NO_ANSWER)
        if isinstance(work, messages.UsageReport):
            if retry:
                self._paused_until[work.window] = now + _RETRY_DELAY_S
            else:
                self._acknowledged.add(work.window)
                self._record_reported(work.window)
            return
        if retry:
            self._paused_until[work.subject] = now + _RETRY_DELAY_S
        else:
            self._accepted[work.subject] = work

    def record_reported_through(self, window: int) -> None:
        """Records which windows the platform has according to the holder."""
        self.reported_through = max(self.reported_through, window)

    def _record_reported(self, window: int) -> None:
        self._reported.add(window)
        is_first = all(each >= window for each in self._list_waiting())
        if self.reported_through == NO_WINDOW and is_first:
            self.reported_through = window
        self._advance()

    def _close_before(self, next_window: int) -> None:
        """Records that windows without a stored report need none any more.

        Args:
            next_window: The first window whose report wasn't stored. Rows are
                removed only once the platform has their report.
        """
        if self._has_unreadable:
            return
        waiting = [w for w in self._list_waiting() if w < next_window]
        first = min(waiting, default=next_window)
        self.record_reported_through(first - 1)
        self._reported.update(set(range(first, next_window)) - set(waiting))
        self._advance()

    def _advance(self) -> None:
        while self.reported_through + 1 in self._reported:
            self.reported_through += 1
        self._reported = {
            each for each in self._reported if each > self.reported_through
        }

    def _is_reported(self, window: int) -> bool:
        return window <= self.reported_through or window in self._reported

    # Rows of the store.

    def reset(self) -> None:
        """Discards what was left unwritten when this instance last held.

        Reports that the store has lost are written again, and those whose write
        may still take effect.
        """
        for window in set(self._unwritten_reports) - self._attempted:
            del self._unwritten_reports[window]
        self._unwritten_reports.update(self._lost_reports)
        self._unwritten_orders.clear()
        self._baselines.clear()

    def prepare_write(self, earliest: int) -> None:
        """Chooses the reports to store with the next write.

        Args:
            earliest: The windows before it may have been reported differently.
        """
        self._unwritten_reports = {
            window: report
            for window, report in self._unwritten_reports.items()
            if window >= earliest or window in self._lost_reports
        }
        self._attempted = set(self._unwritten_reports)

    def record_takeover(self) -> None:
        """Sends all orders again, as another holder may have sent others."""
        self._accepted.clear()

    def update_row(self, old: rows.HolderRow, earliest: int) -> rows.HolderRow:
        """Returns the holder's row with everything unwritten added.

        Args:
            old: The row as stored.
            earliest: The windows before it may have been reported.
        """
        orders = {**self._stored_orders, **self._unwritten_orders}
        return msgspec.structs.replace(
            old,
            next_window=self.find_next_window(old, earliest),
            orders=tuple(orders.values()),
            baselines={**old.baselines, **self._baselines},
        )

    def list_report_rows(self) -> tuple[rows.ReportRow, ...]:
        """Returns the rows of the unwritten reports."""
        unwritten = sorted(
            self._unwritten_reports.values(), key=lambda each: each.window
        )
        return tuple(
            part
            for report in unwritten
            for part in rows.split_report(report.window, report.counts)
        )

    def list_removable(self) -> tuple[str, ...]:
        """Returns the keys of the rows of acknowledged reports."""
        return tuple(
            key
            for window in sorted(self._acknowledged)
            for key in self._stored_keys.get(window, ())
        )

    def record_written(self, written: messages.Write) -> None:
        """Records that a write of the holder is in the store."""
        for part in written.reports:
            report = self._unwritten_reports.pop(part.window, None)
            self._lost_reports.pop(part.window, None)
            if report is not None:
                self.stored_reports[part.window] = report
            self._add_key(
                part.window, rows.format_report_key(part.window, part.part)
            )
        self._stored_orders = {
            each.subject: each for each in written.row.orders
        }
        self._unwritten_orders = {
            subject: order
            for subject, order in self._unwritten_orders.items()
            if self._stored_orders.get(subject) != order
        }
        self._forget_removed(set(written.removed))
        self._close_before(written.row.next_window)

    def load(
        self, row: rows.HolderRow | None, stored: Iterable[catalogue.Row]
    ) -> None:
        """Loads the rows of the store, whoever wrote them."""
        next_window = row.next_window if row else 0
        self._lost_reports = {
            window: report
            for window, report in self._list_unconfirmed()
            if window >= next_window
        }
        parts: dict[int, list[rows.ReportRow]] = {}
        self._stored_keys = {}
        self._has_unreadable = False
        for each in stored:
            decoded = rows.decode(each.value, rows.ReportRow)
            if isinstance(decoded, result.Err):
                self._has_unreadable = True  # By this version.
                continue
            part = decoded.ok_value
            parts.setdefault(part.window, []).append(part)
            self._add_key(part.window, each.key)
        self.stored_reports = {
            window: _join_parts(window, found)
            for window, found in parts.items()
            if len(found) == found[0].parts
        }
        # A restored store lists reports that the platform already has.
        self._acknowledged.update(
            filter(self._is_reported, self.stored_reports)
        )
        self._unwritten_reports = {
            number: report
            for number, report in self._unwritten_reports.items()
            if number >= next_window
        }
        orders = row.orders if row else ()
        self._stored_orders = {each.subject: each for each in orders}
        self._close_before(next_window)

    def _list_unconfirmed(self) -> list[tuple[int, messages.UsageReport]]:
        """Returns known reports that the platform hasn't acknowledged."""
        known = {**self._lost_reports, **self.stored_reports}
        return [
            each
            for each in known.items()
            if each[0] not in self._acknowledged
            and not self._is_reported(each[0])
        ]

    def _list_waiting(self) -> list[int]:
        return sorted(set(self.stored_reports) - self._acknowledged)

    def _add_key(self, window: int, key: str) -> None:
        keys = self._stored_keys.get(window, ())
        self._stored_keys[window] = (*keys, key)

    def _forget_removed(self, removed: set[str]) -> None:
        for window in sorted(self._acknowledged):
            keys = self._stored_keys.get(window, ())
            if removed.issuperset(keys):
                self._acknowledged.discard(window)
                self.stored_reports.pop(window, None)
                self._stored_keys.pop(window, None)
                self._paused_until.pop(window, None)


def _join_parts(
    window: int, parts: list[rows.ReportRow]
) -> messages.UsageReport:
    counts: dict[ids.AccountId, int] = {}
    for part in parts:
        counts.update(part.counts)
    return messages.UsageReport(window, counts)
