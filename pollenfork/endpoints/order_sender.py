"""Sends one endpoint its orders, in sequence, while holding its lease.

Every order is stored in the lease row before it is sent, and removed after its
answer, so that the next holder can continue where the last one stopped. At
most one step is in progress at a time; a `handle_*` method takes its result.
"""

from collections.abc import Callable, Mapping

import msgspec
import result

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import loading
from pollenfork.endpoints import orders
from pollenfork.endpoints import rows
from pollenfork.endpoints import steps
from pollenfork.leases import lease
from pollenfork.store import edges as platform_edges
from pollenfork.store import errors

_MAX_BACKOFF_FACTOR = 16  # Limits the doubling of `Delays.retry_s`.


class Delays(msgspec.Struct, frozen=True, kw_only=True):
    """Delays between reads and retries, in seconds.

    Attributes:
        reread_s: Between two reads of a row that others may have changed.
        retry_s: After a call that failed without effect. It doubles with each
            further failure, up to 16 times its value.
        rejected_retry_s: Before an order is sent again that was rejected, or
            that the endpoint confirmed but doesn't report.
        rank_delay_s: How much longer each further candidate waits for those
            ranked before it to claim the lease.
    """

    reread_s: float = 15.0
    retry_s: float = 2.0
    rejected_retry_s: float = 60.0
    rank_delay_s: float = 30.0


class OrderSender:
    """Tracks and sends the orders of one endpoint."""

    def __init__(
        self,
        endpoint: ids.EndpointId,
        data_centre: ids.DataCentre,
        instance: ids.InstanceId,
        new_id: Callable[[], ids.WriteId],
        times: lease.LeaseTimes | None = None,
        delays: Delays | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._key = rows.lease_key(data_centre, endpoint)
        self._times = times or lease.LeaseTimes()
        self._delays = delays or Delays()
        self._lease = lease.Lease(
            instance, self._times, new_id, lambda: _make_first(instance)
        )
        self._desired: orders.Desired | None = None
        self._loading_slots = loading.LoadingSlots(endpoint, data_centre)
        self._reported: tuple[str, ...] = ()
        self._reported_at = float("-inf")
        self._confirmed_at = float("-inf")  # When an order last completed.
        self._deferred_until: dict[orders.Work, float] = {}
        self._current_step: steps.Step | None = None
        self._proposed: rows.LeaseRow | None = None
        self._not_before = float("-inf")
        self._reread_at = float("-inf")
        self._needed_since: float | None = None
        self._permitted_sequence = 0  # Of the order that has its permit.
        # The sequence of the answered order, and whether it was accepted.
        self._order_result: tuple[int, bool] | None = None
        self._failures = 0  # Successive failures.
        self._stopping = False
        self._fenced = False  # The endpoint has seen a higher fencing number.

    def set_desired(
        self,
        desired: orders.Desired | None,
        endpoints_by_model: Mapping[str, frozenset[ids.EndpointId]],
    ) -> None:
        """Sets the endpoint's desired state; None sends no more orders.

        `endpoints_by_model` are the endpoints configured for each model.
        """
        self._desired = desired
        self._loading_slots.set_endpoints(endpoints_by_model)

    def record_models(
        self, models: tuple[str, ...], measured_at: float
    ) -> None:
        """Records the models that the endpoint's load report lists."""
        self._reported = models
        self._reported_at = measured_at

    def stop(self) -> None:
        """Stops the start of further orders; an idle lease is released."""
        self._stopping = True

    def holds(self, now: float) -> bool:
        """Returns whether this instance holds the lease at `now`."""
        return self._get_lease_state(now) is lease.LeaseState.HELD

    def get_fencing(self) -> ids.FencingNumber:
        """Returns the latest fencing number read from the store."""
        row = self._lease.row
        return row.fencing if row else ids.FencingNumber(0)

    def get_pending(self) -> rows.PendingOrder | None:
        """Returns the stored order in progress, whichever instance sends it."""
        return self._lease.row.pending if self._lease.row else None

    def next_step(self, now: float, rank: int | None) -> steps.Step | None:
        """Returns the next step, unless one is in progress or none is due.

        `rank` is this instance's rank among the candidates for the lease; None
        if it isn't a candidate.
        """
        if (
            self._current_step
            or self._desired is None
            or now < self._not_before
        ):
            return None
        self._current_step = self._choose_step(now, rank)
        return self._current_step

    def handle_row(
        self,
        answer: result.Result[
            platform_edges.Row | None, errors.PlatformFailure
        ],
        now: float,
    ) -> None:
        """Handles the result of a read; `now` is after the answer arrived."""
        step, self._current_step = self._current_step, None
        assert isinstance(step, steps.Read)
        if isinstance(answer, result.Err):
            self._back_off(now, answer.err_value)
            return
        row = answer.ok_value
        if step.key != self._key:
            handled = self._loading_slots.handle_row(step.key, row)
        else:
            handled = self._handle_lease_row(row, now)
        if isinstance(handled, result.Err):
            self._not_before = now + self._delays.reread_s

    def handle_commit(
        self,
        answer: result.Result[platform_edges.Committed, errors.PlatformFailure],
        now: float,
    ) -> None:
        """Handles the result of a write."""
        self._current_step = None
        self._loading_slots.invalidate()
        proposed, self._proposed = self._proposed, None
        assert proposed is not None
        if isinstance(answer, result.Ok):
            self._failures = 0
            self._lease.confirm(proposed, answer.ok_value.versions[0], now)
            return
        failure = answer.err_value
        if isinstance(failure, errors.Unanswered | errors.Conflicted):
            self._lease.invalidate()  # A read shows whose write succeeded.
            return
        self._back_off(now, failure)

    def handle_permit(
        self, answer: result.Result[None, errors.PlatformFailure], now: float
    ) -> None:
        """Handles the weight store's answer to a permit request."""
        self._current_step = None
        if isinstance(answer, result.Err):
            self._back_off(now, answer.err_value)
            return
        pending = self.get_pending()
        self._permitted_sequence = pending.sequence if pending else 0

    def handle_order(
        self, answer: result.Result[None, edges.EndpointFailure], now: float
    ) -> None:
        """Handles the endpoint's answer to an order.

        After a lost answer, nothing is sent until the order can no longer take
        effect; then it is sent again with the same id.
        """
        self._current_step = None
        pending = self.get_pending()
        sequence = pending.sequence if pending else 0
        if isinstance(answer, result.Ok):
            self._failures = 0
            self._order_result = (sequence, True)
            return
        match answer.err_value:
            case edges.Rejected():
                self._order_result = (sequence, False)
            case edges.Unanswered():
                self._not_before = now + self._times.order_s
            case edges.Fenced():
                self._fenced = True
                self._lease.invalidate()
                self._back_off(now, None)
            case _:
                self._back_off(now, None)

    def _choose_step(self, now: float, rank: int | None) -> steps.Step | None:
        state = self._get_lease_state(now)
        if state is lease.LeaseState.HELD and not self._fenced:
            return self._next_holder_step(now)
        if rank is None:
            return None
        if state is lease.LeaseState.UNREAD:
            return self._read_lease(now)
        work = self._find_next_work(now)
        if work is None and self.get_pending() is None:
            self._needed_since = None
            return None
        if self._needed_since is None:
            self._needed_since = now
        if now >= self._reread_at:
            return self._read_lease(now)
        must_wait = now - self._needed_since < rank * self._delays.rank_delay_s
        if state is lease.LeaseState.HELD_BY_OTHER or (
            state is lease.LeaseState.FREE and must_wait
        ):
            return None
        return self._claim(work, now)

    def _claim(self, work: orders.Work | None, now: float) -> steps.Step | None:
        """Claims the lease, unless the order must wait for a loading slot."""
        if work and self.get_pending() is None:
            unread = self._loading_slots.find_unread_key(work)
            if unread:
                return steps.Read(unread)
            if not self._loading_slots.has_slot(work):
                self._wait_for_slot(now)
                return None
        self._fenced = False
        return self._write(self._lease.propose_claim(now), ())

    def _next_holder_step(self, now: float) -> steps.Step | None:
        """Returns the next step of the lease holder."""
        row = self._lease.row
        assert row is not None
        pending = row.pending
        if (
            pending
            and self._order_result
            and self._order_result[0] == pending.sequence
        ):
            return self._complete_order(row, pending, now)
        work = self._find_next_work(now)
        if pending is None and work is None:
            return self._release_lease(row, now)
        if self._lease.age(now) > self._times.lease_s / 3:
            return self._write(self._update_row(row, now), ())
        if pending:
            return self._send_order(row, pending)
        assert work is not None
        return self._store_order(row, work, now)

    def _store_order(
        self, row: rows.LeaseRow, work: orders.Work, now: float
    ) -> steps.Step:
        unread = self._loading_slots.find_unread_key(work)
        if unread:
            return steps.Read(unread)
        if not self._loading_slots.has_slot(work):
            self._wait_for_slot(now)
            return self._release_lease(row, now)
        sequence = row.sequence + 1
        pending = rows.PendingOrder(
            sequence=sequence, kind=work[0], argument=work[1]
        )
        changed = self._update_row(row, now, sequence=sequence, pending=pending)
        return self._write(
            changed, self._loading_slots.make_puts(work, add=True)
        )

    def _send_order(
        self, row: rows.LeaseRow, pending: rows.PendingOrder
    ) -> steps.Step:
        needs_permit = loading.is_load((pending.kind, pending.argument))
        if needs_permit and self._permitted_sequence != pending.sequence:
            return steps.RequestPermit(*orders.split_version(pending.argument))
        order = orders.make_order(self._endpoint, row, pending)
        return steps.SendOrder(order, self._lease.act_until())

    def _complete_order(
        self, row: rows.LeaseRow, pending: rows.PendingOrder, now: float
    ) -> steps.Step:
        work = (pending.kind, pending.argument)
        unread = self._loading_slots.find_unread_key(work)
        if unread:
            return steps.Read(unread)
        applied = row.applied
        if self._order_result and self._order_result[1]:
            applied = orders.record_done(applied, *work)
        self._confirmed_at = now
        self._deferred_until[work] = now + self._delays.rejected_retry_s
        changed = self._update_row(row, now, pending=None, applied=applied)
        return self._write(
            changed, self._loading_slots.make_puts(work, add=False)
        )

    def _release_lease(self, row: rows.LeaseRow, now: float) -> steps.Step:
        return self._write(self._update_row(row, now, holder=""), ())

    def _update_row(
        self, row: rows.LeaseRow, now: float, **fields: object
    ) -> rows.LeaseRow:
        changed = msgspec.structs.replace(row, **fields)
        return self._lease.propose(changed, now)

    def _write(
        self, row: rows.LeaseRow, more_puts: tuple[platform_edges.Put, ...]
    ) -> steps.Write:
        self._proposed = row
        put = platform_edges.Put(
            self._key, rows.encode(row), self._lease.version
        )
        puts = (put, *more_puts)
        return steps.Write(platform_edges.Transaction(row.write_id, puts))

    def _get_lease_state(self, now: float) -> lease.LeaseState:
        checks = self._desired is not None and self._desired.checks_fencing
        return self._lease.get_state(now, checks)

    def _find_next_work(self, now: float) -> orders.Work | None:
        """Returns the first order that is needed and not deferred."""
        if self._desired is None or self._stopping:
            return None
        row = self._lease.row
        applied = row.applied if row else rows.Applied()
        reported = self._reported
        if self._reported_at <= self._confirmed_at:
            reported += applied.models  # The report predates the last order.
        for work in orders.list_work(self._desired, applied, reported):
            if loading.is_load(work) and self._reported_at == float("-inf"):
                continue  # Until the first report, it may be loaded already.
            if now >= self._deferred_until.get(work, now):
                return work
        return None

    def _read_lease(self, now: float) -> steps.Step:
        self._reread_at = now + self._delays.reread_s
        return steps.Read(self._key)

    def _handle_lease_row(
        self, row: platform_edges.Row | None, now: float
    ) -> result.Result[None, rows.BadRow]:
        if row is None:
            self._lease.observe(None, platform_edges.ABSENT, now)
            return result.Ok(None)
        decoded = rows.decode(row.value, rows.LeaseRow)
        if isinstance(decoded, result.Err):
            return result.Err(decoded.err_value)
        self._lease.observe(decoded.ok_value, row.version, now)
        return result.Ok(None)

    def _wait_for_slot(self, now: float) -> None:
        self._loading_slots.invalidate()
        self._not_before = now + self._delays.retry_s

    def _back_off(
        self, now: float, failure: errors.PlatformFailure | None
    ) -> None:
        factor = min(2**self._failures, _MAX_BACKOFF_FACTOR)
        self._failures += 1
        wait_s = self._delays.retry_s * factor
        if isinstance(failure, errors.Throttled):
            wait_s = max(wait_s, failure.retry_after_s)
        self._not_before = now + wait_s


def _make_first(instance: ids.InstanceId) -> rows.LeaseRow:
    """Returns the row to start from: the first claim has fencing number 1."""
    return rows.LeaseRow(
        holder=instance,
        fencing=ids.FencingNumber(0),
        write_id=ids.WriteId(""),
        lease_ms=0,
        order_ms=0,
    )
