"""The lease on the duties, and the calls that its holder makes.

One row of the store names the holder; every change of it is conditional on the
version that was read. Reports and orders for the platform are stored there
first, so that the next holder sends exactly the same. At most one call to the
store is in progress at a time.
"""

from collections.abc import Callable
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork import versions
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import continuity
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.duties import work_queue
from pollenfork.leases import lease

_LOG = logging.getLogger(__name__)

# The holder renews its lease after this fraction of it: two writes may fail
# before it ends.
_RENEW_AFTER = 1.0 / 3.0
# The least time between two changes of the row, in seconds.
_WRITE_INTERVAL_S = 0.1
# The delay after a failed call to the store, in seconds. It doubles with each
# failure, as all candidates call while the store is unavailable.
_RETRY_S = 0.3
_MAX_RETRY_S = 2.4
# Between two reads of a row that can't be decoded, in seconds.
_UNREADABLE_RETRY_S = 2.0
# A candidate reads the row again if its last read is older than this, in
# seconds: a claim based on an outdated version fails, and only then would the
# wait for the lease to end begin.
_MAX_READ_AGE_S = 2.0
# Successive failed calls after which another instance should take over early.
_FAILURE_LIMIT = 2
# A restored store may have lost claims, whose fencing numbers must not be used
# again. So each epoch of the store has numbers of its own, this many.
_FENCING_PER_EPOCH = 1 << 20
# A write may reach the store seconds late, and a restored store gives versions
# out again. So each claim records that its epoch has begun, and the last few
# before it, and no write of an earlier epoch takes effect from then on.
_RECORDED_EPOCHS = 4


class DutyLease:
    """This instance's view of the lease, and the work queue of the holder.

    Attributes:
        claims: How often this instance became the holder.
        work_queue: Reports and orders for the platform.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        host: str,
        times: lease.LeaseTimes,
        new_id: Callable[[], ids.WriteId],
        find_window: Callable[[float], int],
    ) -> None:
        """Creates a lease whose row is yet to be read.

        Args:
            instance: The id of this instance.
            host: The host of this instance.
            times: The durations of the lease.
            new_id: Returns a unique id for a write.
            find_window: Returns the number of the window that contains the
                moment so many seconds from now.
        """
        self.claims = 0
        self._host = host
        self._times = times
        self._find_window = find_window
        self._lease = lease.Lease(
            instance, times, new_id, lambda: _make_first(find_window(0.0))
        )
        self._in_progress: messages.StoreCall | None = None
        self._not_before = 0.0
        self._read_at = float("-inf")
        self._failures = 0
        self._epoch: int | None = None
        self._claim_not_before = float("-inf")
        self._epoch_keys: list[str] = []
        # The window in which a peer's statement was last refused.
        self._refused_in = work_queue.NO_WINDOW
        self._continuity = continuity.Continuity(find_window)
        self.work_queue = work_queue.WorkQueue()

    def holds(self, now: float) -> bool:
        """Returns whether this instance may perform the duties."""
        return self._lease.get_state(now, False) is lease.LeaseState.HELD

    @property
    def fencing(self) -> ids.FencingNumber:
        """The latest fencing number seen."""
        row = self._lease.row
        return row.fencing if row else ids.FencingNumber(0)

    @property
    def is_store_failing(self) -> bool:
        """Whether this instance's calls to the store keep failing."""
        return self._failures >= _FAILURE_LIMIT

    def find_holder(self, now: float) -> str:
        """Returns the host of another instance that holds the lease, if any."""
        if (
            self._lease.get_state(now, False)
            is not lease.LeaseState.HELD_BY_OTHER
        ):
            return ""
        return self._lease.row.host if self._lease.row else ""

    def find_next_window(self, now: float) -> int:
        """Returns the first window without a report, stored or unwritten."""
        earliest = self._continuity.find_earliest_window(now)
        return self.work_queue.find_next_window(self._lease.row, earliest)

    def find_baseline(self, service: ids.ServiceName) -> int | None:
        """Returns how many runners a service was started with, if known."""
        return self.work_queue.find_baseline(self._lease.row, service)

    def record_reported_through(self, window: int) -> None:
        """Records through which window no report is needed any more.

        A window that hasn't ended can't have been reported, so a peer that says
        so of one isn't believed.

        Args:
            window: The last such window according to a peer.
        """
        if window < self._find_window(continuity.CLOCK_SLACK_S):
            self.work_queue.record_reported_through(window)
            return
        current = self._find_window(0.0)
        if self._refused_in != current:
            # At most one line for each window, as peers repeat themselves.
            self._refused_in = current
            _LOG.warning(
                "event=reported_windows_refused through=%d current=%d",
                window,
                current,
            )

    def next_store_call(
        self, now: float, is_candidate: bool
    ) -> messages.StoreCall | None:
        """Returns the next call to the store, if one is due.

        Args:
            now: Monotonic seconds.
            is_candidate: Whether this instance should become the holder, as
                there seems to be none.
        """
        if self._in_progress is not None or now < self._not_before:
            return None
        self._in_progress = self._choose_call(now, is_candidate)
        return self._in_progress

    def handle_rows(
        self,
        answer: result.Result[catalogue.Rows, catalogue.ReadFailure],
        now: float,
    ) -> None:
        """Handles the result of a read; `now` is after the reply arrived."""
        self._in_progress = None
        if isinstance(answer, result.Err):
            self._back_off(now)
            return
        self._failures = 0
        self._read_at = now
        self._follow_epoch(answer.ok_value.version, now)
        found = {row.key: row for row in answer.ok_value.rows}
        stored = found.pop(rows.HOLDER_KEY, None)
        self._epoch_keys = [key for key in found if rows.is_epoch_key(key)]
        for key in self._epoch_keys:
            del found[key]
        if stored is None:
            self._observe(None, lease.ABSENT, now)
            self.work_queue.load(None, ())
            return
        row = rows.decode(stored.value, rows.HolderRow)
        if isinstance(row, result.Err):
            _LOG.error(
                "event=duty_row_unreadable key=%s detail=%r",
                stored.key,
                row.err_value.detail,
            )
            self._not_before = now + _UNREADABLE_RETRY_S
            return
        self._observe(row.ok_value, stored.version, now)
        self.work_queue.load(row.ok_value, found.values())

    def handle_commit(
        self, answer: result.Result[int, changes.WriteFailure], now: float
    ) -> None:
        """Handles the result of a write: the version, or why it failed."""
        call, self._in_progress = self._in_progress, None
        assert isinstance(call, messages.Write)
        if isinstance(answer, result.Ok):
            if self._follow_epoch(answer.ok_value, now):
                return  # The version that it was conditional on was another.
            self._record_written(call, answer.ok_value, now)
        elif answer.err_value is changes.WriteFailure.REFUSED:
            self._back_off(now)
        else:
            self._failures += 1
            self._lease.invalidate()  # A read shows whose write succeeded.

    def next_report(self, now: float) -> messages.PlatformCall | None:
        """Returns the call for the oldest report that is due to be sent."""
        return self._make_call(self.work_queue.next_report(now), now)

    def next_order(self, now: float) -> messages.PlatformCall | None:
        """Returns the call for an order that is due to be sent."""
        return self._make_call(self.work_queue.next_order(now), now)

    # Claiming and renewing the lease.

    def _choose_call(
        self, now: float, is_candidate: bool
    ) -> messages.StoreCall | None:
        state = self._lease.get_state(now, False)
        if state is lease.LeaseState.HELD:
            due = self._lease.age(now) >= self._times.lease_s * _RENEW_AFTER
            return (
                self._write(now)
                if due or self.work_queue.has_unwritten
                else None
            )
        if state is lease.LeaseState.EXPIRED:
            return self._claim(now) if now >= self._claim_not_before else None
        unsure = (
            state is lease.LeaseState.UNREAD and now < self._lease.act_until()
        )
        continues = self._continuity.has_last_claim(self._lease.row)
        if not is_candidate and not unsure and not continues:
            return None
        if (
            state is lease.LeaseState.UNREAD
            or now - self._read_at > _MAX_READ_AGE_S
        ):
            return messages.Read()
        is_free = (
            state is lease.LeaseState.FREE and now >= self._claim_not_before
        )
        return self._claim(now) if is_free or continues else None

    def _follow_epoch(self, version: int, now: float) -> bool:
        """Returns whether the store was restored since its last answer.

        The claims since the copy are lost, so the one who made the last of them
        may still act until its lease ends.
        """
        epoch = versions.get_epoch(version)
        before, self._epoch = self._epoch, epoch
        if before is None or epoch == before:
            return False
        self._continuity.begin_epoch(self._get_hold(before, now))
        self._lease.abandon()
        self._claim_not_before = now + self._times.lease_s + self._times.order_s
        _LOG.warning("event=duties_suspended epoch=%d before=%d", epoch, before)
        return True

    def _get_hold(self, epoch: int, now: float) -> continuity.Hold | None:
        """Returns the lease that no other can have claimed by now, if any."""
        row = self._lease.row
        if row is None or row.epoch != epoch:
            return None
        if now >= self._lease.exclusive_until():
            return None
        return continuity.Hold(row.fencing, row.next_window)

    def _observe(
        self, row: rows.HolderRow | None, version: int, now: float
    ) -> None:
        """Records the holder's row as read, and whether it is outdated."""
        is_known = version == self._lease.version
        self._lease.observe(row, version, now)
        if row is not None and row.epoch == self._epoch:
            self._continuity.record_current()
            return
        is_own = self._lease.act_until() > float("-inf")
        self._continuity.record_outdated(not is_known and not is_own, now)

    def _claim(self, now: float) -> messages.Write:
        self.work_queue.reset()
        epoch = self._epoch or 0
        claim = self._lease.propose_claim(now, epoch * _FENCING_PER_EPOCH)
        row = msgspec.structs.replace(claim, host=self._host)
        first = max(1, epoch + 1 - _RECORDED_EPOCHS)
        epochs = tuple(range(first, epoch + 1))
        kept = {rows.format_epoch_key(each) for each in epochs}
        outdated = [key for key in self._epoch_keys if key not in kept]
        return messages.Write(
            row,
            self._lease.version,
            removed=tuple(outdated),
            epochs=epochs,
            unless_begun=epoch + 1,
        )

    def _write(self, now: float) -> messages.Write:
        old = self._lease.row
        assert old is not None
        earliest = self._continuity.find_earliest_window(now)
        self.work_queue.prepare_write(earliest)
        epoch = self._epoch or 0
        updated = msgspec.structs.replace(
            self.work_queue.update_row(old, earliest), epoch=epoch
        )
        return messages.Write(
            self._lease.propose(updated, now),
            self._lease.version,
            self.work_queue.list_report_rows(),
            self.work_queue.list_removable(),
            unless_begun=epoch + 1,
        )

    def _back_off(self, now: float) -> None:
        wait_s = min(_RETRY_S * 2.0**self._failures, _MAX_RETRY_S)
        self._failures += 1
        self._not_before = now + wait_s

    def _record_written(
        self, written: messages.Write, version: int, now: float
    ) -> None:
        self._failures = 0
        before = self._lease.row
        self._lease.confirm(written.row, version, now)
        self._not_before = now + _WRITE_INTERVAL_S
        if before is None or before.fencing != written.row.fencing:
            self.claims += 1
            self.work_queue.record_takeover()
            _LOG.info(
                "event=duties_taken fencing=%d after=%s next_window=%d "
                "frozen=%d",
                written.row.fencing,
                before.holder if before else "-",
                written.row.next_window,
                len(self.work_queue.stored_reports),
            )
        if written.row.epoch == self._epoch:
            self._continuity.record_current()
        self.work_queue.record_written(written)

    def _make_call(
        self, work: messages.UsageReport | rows.ScalingOrder | None, now: float
    ) -> messages.PlatformCall | None:
        if work is None or not self.holds(now):
            return None
        return messages.PlatformCall(
            self.fencing, self._lease.act_until(), work
        )


def _make_first(window: int) -> rows.HolderRow:
    """Returns the row to start from; the first claim gets number one."""
    return rows.HolderRow(
        holder=ids.InstanceId(""),
        fencing=ids.FencingNumber(0),
        write_id=ids.WriteId(""),
        lease_ms=0,
        order_ms=0,
        next_window=window,
    )
