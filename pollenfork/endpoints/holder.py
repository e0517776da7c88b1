"""Gives one endpoint its orders, in order, while holding its lease.

Every order is written into the lease row before it is sent and struck out
after its answer, so that the next holder knows where the last one stopped.
The core has one step under way at a time; `take_*` brings its outcome.
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

_LONGEST_BACKOFF = 16  # Times `Pace.retry_s`.


class Pace(msgspec.Struct, frozen=True, kw_only=True):
    """How often the holder looks and tries again, in seconds.

    Attributes:
        look_s: Between two readings of a row that others may have changed.
        retry_s: After a refusal that had no effect; doubles up to 16 times.
        rejected_s: Before an order is given again that was rejected, or
            that the endpoint confirmed but does not report.
        rank_s: How much longer each further candidate waits for the ones
            before it to take the lease.
    """

    look_s: float = 15.0
    retry_s: float = 2.0
    rejected_s: float = 60.0
    rank_s: float = 30.0


class Holder:
    """One endpoint's orders as this instance sees them."""

    def __init__(
        self,
        endpoint: ids.EndpointId,
        data_centre: ids.DataCentre,
        instance: ids.InstanceId,
        new_id: Callable[[], ids.WriteId],
        limits: lease.LeaseTimes | None = None,
        pace: Pace | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._key = rows.lease_key(data_centre, endpoint)
        self._limits = limits or lease.LeaseTimes()
        self._pace = pace or Pace()
        self._lease = lease.Lease(
            instance, self._limits, new_id, lambda: _make_first(instance)
        )
        self._desired: orders.Desired | None = None
        self._loading = loading.Loading(endpoint, data_centre)
        self._reported: tuple[str, ...] = ()
        self._reported_at = float("-inf")
        self._settled_at = float("-inf")  # When the last order was confirmed.
        self._held_back: dict[orders.Work, float] = {}
        self._busy: steps.Step | None = None
        self._proposed: rows.LeaseRow | None = None
        self._not_before = float("-inf")
        self._look_at = float("-inf")
        self._needed_since: float | None = None
        self._permitted = 0  # Sequence of the order that has its permit.
        self._answered: tuple[int, bool] | None = None  # Sequence, accepted.
        self._failures = 0  # In a row, since a step last succeeded.
        self._stopping = False
        self._overtaken = False  # The endpoint has seen a higher number.

    def wish(
        self,
        desired: orders.Desired | None,
        carriers: Mapping[str, frozenset[ids.EndpointId]],
    ) -> None:
        """Sets what the endpoint should be; None gives no more orders.

        `carriers` names the endpoints planned for each model.
        """
        self._desired = desired
        self._loading.plan(carriers)

    def hear_models(self, models: tuple[str, ...], measured_at: float) -> None:
        """Takes in what the endpoint's own report says is loaded."""
        self._reported = models
        self._reported_at = measured_at

    def stop(self) -> None:
        """Starts no further order; the lease is given back when idle."""
        self._stopping = True

    def holds(self, now: float) -> bool:
        """Returns whether this instance may act on the endpoint at `now`."""
        return self._read_hold(now) is lease.LeaseState.HELD

    def read_fencing(self) -> ids.FencingNumber:
        """Returns the latest fencing number seen in the table."""
        row = self._lease.row
        return row.fencing if row else ids.FencingNumber(0)

    def read_pending(self) -> rows.PendingOrder | None:
        """Returns the order under way by the table, whoever gives it."""
        return self._lease.row.pending if self._lease.row else None

    def next_step(self, now: float, rank: int | None) -> steps.Step | None:
        """Returns the next thing to do, if there is one and none under way.

        `rank` is this instance's place among the endpoint's candidates,
        None when it is none of them.
        """
        if self._busy or self._desired is None or now < self._not_before:
            return None
        self._busy = self._choose(now, rank)
        return self._busy

    def take_row(
        self,
        answer: result.Result[
            platform_edges.Row | None, errors.PlatformFailure
        ],
        now: float,
    ) -> None:
        """Takes in the row read; `now` is after the answer came."""
        step, self._busy = self._busy, None
        assert isinstance(step, steps.Read)
        if isinstance(answer, result.Err):
            self._back_off(now, answer.err_value)
            return
        row = answer.ok_value
        if step.key != self._key:
            taken = self._loading.take(step.key, row)
        else:
            taken = self._take_lease_row(row, now)
        if isinstance(taken, result.Err):
            self._not_before = now + self._pace.look_s

    def take_commit(
        self,
        answer: result.Result[platform_edges.Committed, errors.PlatformFailure],
        now: float,
    ) -> None:
        """Takes in what became of the write."""
        self._busy = None
        self._loading.forget()
        proposed, self._proposed = self._proposed, None
        assert proposed is not None
        if isinstance(answer, result.Ok):
            self._failures = 0
            self._lease.confirm(proposed, answer.ok_value.versions[0], now)
            return
        failure = answer.err_value
        if isinstance(failure, errors.Unanswered | errors.Conflicted):
            self._lease.invalidate()  # Reading shows whose write it was.
            return
        self._back_off(now, failure)

    def take_permit(
        self, answer: result.Result[None, errors.PlatformFailure], now: float
    ) -> None:
        """Takes in whether the weight store lets the load go on."""
        self._busy = None
        if isinstance(answer, result.Err):
            self._back_off(now, answer.err_value)
            return
        pending = self.read_pending()
        self._permitted = pending.sequence if pending else 0

    def take_order(
        self, answer: result.Result[None, edges.EndpointFailure], now: float
    ) -> None:
        """Takes in what became of the order.

        After a lost answer nothing more is sent until the order can no
        longer take effect; then it is sent again under the same id.
        """
        self._busy = None
        pending = self.read_pending()
        sequence = pending.sequence if pending else 0
        if isinstance(answer, result.Ok):
            self._failures = 0
            self._answered = (sequence, True)
            return
        match answer.err_value:
            case edges.Rejected():
                self._answered = (sequence, False)
            case edges.Unanswered():
                self._not_before = now + self._limits.order_s
            case edges.Fenced():
                self._overtaken = True
                self._lease.invalidate()
                self._back_off(now, None)
            case _:
                self._back_off(now, None)

    def _choose(self, now: float, rank: int | None) -> steps.Step | None:
        hold = self._read_hold(now)
        if hold is lease.LeaseState.HELD and not self._overtaken:
            return self._act(now)
        if rank is None:
            return None
        if hold is lease.LeaseState.UNREAD:
            return self._look(now)
        work = self._find_work(now)
        if work is None and self.read_pending() is None:
            self._needed_since = None
            return None
        if self._needed_since is None:
            self._needed_since = now
        if now >= self._look_at:
            return self._look(now)
        late = now - self._needed_since < rank * self._pace.rank_s
        if hold is lease.LeaseState.HELD_BY_OTHER or (
            hold is lease.LeaseState.FREE and late
        ):
            return None
        return self._claim(work, now)

    def _claim(self, work: orders.Work | None, now: float) -> steps.Step | None:
        """Takes the lease, unless the order would have to wait for others."""
        if work and self.read_pending() is None:
            unread = self._loading.find_unread(work)
            if unread:
                return steps.Read(unread)
            if not self._loading.has_room(work):
                self._wait_for_room(now)
                return None
        self._overtaken = False
        return self._write(self._lease.propose_claim(now), ())

    def _act(self, now: float) -> steps.Step | None:
        """Does the next thing that the holder has to do."""
        row = self._lease.row
        assert row is not None
        pending = row.pending
        if pending and self._answered and self._answered[0] == pending.sequence:
            return self._strike_out(row, pending, now)
        work = self._find_work(now)
        if pending is None and work is None:
            return self._give_back(row, now)
        if self._lease.age(now) > self._limits.lease_s / 3:
            return self._write(self._change(row, now), ())
        if pending:
            return self._send(row, pending)
        assert work is not None
        return self._write_down(row, work, now)

    def _write_down(
        self, row: rows.LeaseRow, work: orders.Work, now: float
    ) -> steps.Step:
        unread = self._loading.find_unread(work)
        if unread:
            return steps.Read(unread)
        if not self._loading.has_room(work):
            self._wait_for_room(now)
            return self._give_back(row, now)
        sequence = row.sequence + 1
        pending = rows.PendingOrder(
            sequence=sequence, kind=work[0], argument=work[1]
        )
        changed = self._change(row, now, sequence=sequence, pending=pending)
        return self._write(changed, self._loading.make_puts(work, enter=True))

    def _send(
        self, row: rows.LeaseRow, pending: rows.PendingOrder
    ) -> steps.Step:
        needs_permit = loading.is_load((pending.kind, pending.argument))
        if needs_permit and self._permitted != pending.sequence:
            return steps.AskPermit(*orders.split_version(pending.argument))
        order = orders.make_order(self._endpoint, row, pending)
        return steps.Send(order, self._lease.act_until())

    def _strike_out(
        self, row: rows.LeaseRow, pending: rows.PendingOrder, now: float
    ) -> steps.Step:
        work = (pending.kind, pending.argument)
        unread = self._loading.find_unread(work)
        if unread:
            return steps.Read(unread)
        applied = row.applied
        if self._answered and self._answered[1]:
            applied = orders.note_done(applied, *work)
        self._settled_at = now
        self._held_back[work] = now + self._pace.rejected_s
        changed = self._change(row, now, pending=None, applied=applied)
        return self._write(changed, self._loading.make_puts(work, enter=False))

    def _give_back(self, row: rows.LeaseRow, now: float) -> steps.Step:
        return self._write(self._change(row, now, holder=""), ())

    def _change(
        self, row: rows.LeaseRow, now: float, **fields: object
    ) -> rows.LeaseRow:
        changed = msgspec.structs.replace(row, **fields)
        return self._lease.propose(changed, now)

    def _write(
        self, row: rows.LeaseRow, more: tuple[platform_edges.Put, ...]
    ) -> steps.Write:
        self._proposed = row
        put = platform_edges.Put(
            self._key, rows.encode(row), self._lease.version
        )
        puts = (put, *more)
        return steps.Write(platform_edges.Transaction(row.write_id, puts))

    def _read_hold(self, now: float) -> lease.LeaseState:
        checks = self._desired is not None and self._desired.checks_fencing
        return self._lease.get_state(now, checks)

    def _find_work(self, now: float) -> orders.Work | None:
        """Returns the first order needed that isn't held back."""
        if self._desired is None or self._stopping:
            return None
        row = self._lease.row
        applied = row.applied if row else rows.Applied()
        reported = self._reported
        if self._reported_at <= self._settled_at:
            reported += applied.models  # Too old to show the last order.
        for work in orders.list_work(self._desired, applied, reported):
            if loading.is_load(work) and self._reported_at == float("-inf"):
                continue  # It may be loaded already.
            if now >= self._held_back.get(work, now):
                return work
        return None

    def _look(self, now: float) -> steps.Step:
        self._look_at = now + self._pace.look_s
        return steps.Read(self._key)

    def _take_lease_row(
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

    def _wait_for_room(self, now: float) -> None:
        self._loading.forget()
        self._not_before = now + self._pace.retry_s

    def _back_off(
        self, now: float, failure: errors.PlatformFailure | None
    ) -> None:
        times = min(2**self._failures, _LONGEST_BACKOFF)
        self._failures += 1
        wait_s = self._pace.retry_s * times
        if isinstance(failure, errors.Throttled):
            wait_s = max(wait_s, failure.retry_after_s)
        self._not_before = now + wait_s


def _make_first(instance: ids.InstanceId) -> rows.LeaseRow:
    """Returns the row that stands for none: the first claim is number one."""
    return rows.LeaseRow(
        holder=instance,
        fencing=ids.FencingNumber(0),
        write_id=ids.WriteId(""),
        lease_ms=0,
        order_ms=0,
    )
