"""What the platform is to be told, as far as it is written down.

A report is ready, then frozen once it is in the store, then confirmed once the
platform has it, and forgotten once its rows are removed. An order is wanted,
then written down, then accepted; the latest on each subject stays.
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

# Windows that wait for the platform; the oldest go when there are more: five
# minutes of them, some 60 rows of the store at the usual size.
WAITING_LIMIT = 60
# After a call to the platform that came to nothing, in seconds.
_PAUSE_S = 0.5


class Agenda:
    """Reports and orders on their way to the platform.

    Attributes:
        frozen: Reports that are in the store, by window.
    """

    def __init__(self) -> None:
        """Starts with nothing to tell."""
        self._ready: dict[int, messages.Report] = {}
        self.frozen: dict[int, messages.Report] = {}
        self._stored_keys: dict[int, tuple[str, ...]] = {}
        self._confirmed: set[int] = set()
        self._orders: dict[rows.Subject, rows.Order] = {}
        self._wanted: dict[rows.Subject, rows.Order] = {}
        self._accepted: dict[rows.Subject, rows.Order] = {}
        self._baselines: dict[ids.ServiceName, int] = {}
        self._paused_until: dict[int | rows.Subject, float] = {}

    @property
    def has_news(self) -> bool:
        """Whether something waits to be written down."""
        return bool(self._ready or self._wanted)

    def find_next_window(self, row: rows.HolderRow | None) -> int:
        """Returns the first window without a report, written down or ready."""
        written = row.next_window if row else 0
        return max([written, *(window + 1 for window in self._ready)])

    def list_orders(self) -> list[rows.Order]:
        """Returns the latest order on each subject."""
        return list({**self._orders, **self._wanted}.values())

    def find_baseline(
        self, row: rows.HolderRow | None, service: ids.ServiceName
    ) -> int | None:
        """Returns how many runners a service was started with, if known."""
        written = row.baselines if row else {}
        return self._baselines.get(service, written.get(service))

    def set_baseline(self, service: ids.ServiceName, count: int) -> None:
        """Takes how many runners a service was started with."""
        self._baselines[service] = count

    def add_report(self, report: messages.Report) -> None:
        """Takes a report to be written down, then told."""
        self._ready[report.window] = report
        waiting = self._list_waiting()
        for window in waiting[: max(0, len(waiting) - WAITING_LIMIT)]:
            # Nobody was there to be told for as long as that.
            _LOG.error("event=window_dropped window=%d", window)
            self._confirmed.add(window)

    def add_order(self, order: rows.Order) -> None:
        """Takes an order to be written down, then given."""
        self._wanted[order.subject] = order
        self._accepted.pop(order.subject, None)

    # What is told the platform.

    def next_report(self, now: float) -> messages.Report | None:
        """Returns the oldest report that is to be told now."""
        for window in self._list_waiting():
            if now >= self._paused_until.get(window, now):
                return self.frozen[window]
        return None

    def next_order(self, now: float) -> rows.Order | None:
        """Returns an order that is to be given now."""
        for subject, order in self._orders.items():
            if self._accepted.get(subject) == order or subject in self._wanted:
                continue
            if now >= self._paused_until.get(subject, now):
                return order
        return None

    def take_reply(
        self,
        work: messages.Report | rows.Order,
        reply: messages.Reply,
        now: float,
    ) -> None:
        """Takes in what the platform answered."""
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

    # What is written down.

    def begin(self) -> None:
        """Forgets what was ready when this instance held before."""
        self._ready.clear()
        self._wanted.clear()
        self._baselines.clear()

    def note_taken(self) -> None:
        """Takes that another instance may have given orders meanwhile."""
        self._accepted.clear()

    def change(self, old: rows.HolderRow) -> rows.HolderRow:
        """Returns the holder's row with what is ready."""
        orders = {**self._orders, **self._wanted}
        return msgspec.structs.replace(
            old,
            next_window=self.find_next_window(old),
            orders=tuple(orders.values()),
            baselines={**old.baselines, **self._baselines},
        )

    def list_reports(self) -> tuple[rows.ReportRow, ...]:
        """Returns the rows of the reports that are ready."""
        ready = sorted(self._ready.values(), key=lambda each: each.window)
        return tuple(
            part
            for report in ready
            for part in rows.cut_report(report.window, report.counts)
        )

    def list_removable(self) -> tuple[str, ...]:
        """Returns the keys of rows that are of no use any more."""
        return tuple(
            key
            for window in sorted(self._confirmed)
            for key in self._stored_keys.get(window, ())
        )

    def note_written(self, written: messages.Write) -> None:
        """Takes that a write of the holder is in the store."""
        for part in written.reports:
            report = self._ready.pop(part.window, None)
            if report is not None:
                self.frozen[part.window] = report
            self._note_key(part.window, rows.report_key(part.window, part.part))
        self._orders = {each.subject: each for each in written.row.orders}
        self._wanted = {
            subject: order
            for subject, order in self._wanted.items()
            if self._orders.get(subject) != order
        }
        self._forget(set(written.removed))

    def adopt(
        self, row: rows.HolderRow | None, stored: Iterable[catalogue.Row]
    ) -> None:
        """Takes over what is written down, by whomever."""
        parts: dict[int, list[rows.ReportRow]] = {}
        self._stored_keys = {}
        for each in stored:
            read = rows.decode(each.value, rows.ReportRow)
            if isinstance(read, result.Err):
                continue  # Nothing that this version has to tell.
            part = read.ok_value
            parts.setdefault(part.window, []).append(part)
            self._note_key(part.window, each.key)
        self.frozen = {
            window: _join(window, found)
            for window, found in parts.items()
            if len(found) == found[0].parts
        }
        written = row.next_window if row else 0
        self._ready = {w: r for w, r in self._ready.items() if w >= written}
        orders = row.orders if row else ()
        self._orders = {each.subject: each for each in orders}

    def _list_waiting(self) -> list[int]:
        return sorted(set(self.frozen) - self._confirmed)

    def _note_key(self, window: int, key: str) -> None:
        keys = self._stored_keys.get(window, ())
        self._stored_keys[window] = (*keys, key)

    def _forget(self, removed: set[str]) -> None:
        for window in sorted(self._confirmed):
            keys = self._stored_keys.get(window, ())
            if removed.issuperset(keys):
                self._confirmed.discard(window)
                self.frozen.pop(window, None)
                self._stored_keys.pop(window, None)
                self._paused_until.pop(window, None)


def _join(window: int, parts: list[rows.ReportRow]) -> messages.Report:
    counts: dict[ids.AccountId, int] = {}
    for part in parts:
        counts.update(part.counts)
    return messages.Report(window, counts)
