"""Writes to the tree with optimistic locking and safe retries."""

from collections.abc import Callable, Collection
import logging
import random

import msgspec
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.settings import authority
from pollenfork.settings import changes
from pollenfork.settings import errors
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

_LOG = logging.getLogger(__name__)

WRITE_TIMEOUT_S = 10.0
"""How long one write is tried before it fails."""
_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0


class Accepted(msgspec.Struct, frozen=True):
    """A durable write.

    Attributes:
        revision: The tree's revision that the write produced.
        tree: The tree at this revision or a later one.
        repeated: An earlier request with the same write id had succeeded.
    """

    revision: ids.Revision
    tree: state.InForce
    repeated: bool = False


class _TableState(msgspec.Struct, frozen=True):
    """The table's contents that a write is based on."""

    head: store.Head
    tree: state.InForce
    writes: tuple[rows.WriteRecord, ...]


class Writer:
    """Performs operators' writes; thread-safe."""

    def __init__(
        self,
        table: edges.TableService,
        now: clock.Clock,
        rng: random.Random,
        wait: Callable[[float], None],
        get_in_force: Callable[[], state.InForce | None],
        first_operators: Collection[str] = (),
    ) -> None:
        """Creates a writer.

        Args:
            table: The platform's table.
            now: The clock.
            rng: Randomness for backoff and transaction ids.
            wait: Sleeps for the given seconds.
            get_in_force: Returns the tree in force; reads start from it.
            first_operators: See `authority.find_rights`.
        """
        self._table = table
        self._clock = now
        self._rng = rng
        self._wait = wait
        self._get_in_force = get_in_force
        self._first_operators = first_operators

    def write(
        self, change: changes.Change
    ) -> result.Result[Accepted, errors.SettingsFailure]:
        """Performs one write; retries until its outcome is known or times out.

        Failures: `BadTree`, `Stale`, `Forbidden`, `NoSuchPath` and
        `WriteIdReused` reject the write; after `NotWritten` it had no effect
        and will not take effect later; after `WriteUnknown` a retry with the
        same write id is safe.
        """
        outcome = _WriteOperation(self, change).run()
        if isinstance(outcome, result.Ok):
            _LOG.info(
                "event=settings_written path=%s revision=%s write=%s",
                change.path,
                outcome.ok_value.revision,
                change.write_id,
            )
        else:
            _LOG.info(
                "event=settings_write_failed path=%s write=%s reason=%s",
                change.path,
                change.write_id,
                type(outcome.err_value).__name__,
            )
        return outcome


class _WriteOperation:
    """One write with all its retries."""

    def __init__(self, writer: Writer, change: changes.Change) -> None:
        self._writer = writer
        self._table = writer._table
        self._clock = writer._clock
        self._change = change
        self._deadline = self._clock.monotonic() + WRITE_TIMEOUT_S
        self._backoff_count = 0
        self._may_have_effect = False
        self._last_failure: store.Failure | None = None

    def run(self) -> result.Result[Accepted, errors.SettingsFailure]:
        while self._has_time():
            base = self._read_table()
            if isinstance(base, result.Err):
                self._pause(base.err_value)
                continue
            # A commit whose answer was lost either shows up in this read or
            # can no longer succeed: `_commit` returns None only then.
            resolved = self._resolve_without_commit(base.ok_value)
            if resolved is not None:
                return resolved
            planned = changes.plan(self._change, base.ok_value.tree)
            if isinstance(planned, result.Err):
                return planned
            committed = self._commit(base.ok_value, planned.ok_value)
            if committed is not None:
                return committed
        return self._give_up()

    def _read_table(self) -> result.Result[_TableState, store.Failure]:
        head = store.read_head(self._table)
        if isinstance(head, result.Err):
            return head
        previous = self._writer._get_in_force() or state.EMPTY
        tree = store.read_tree_at(self._table, head.ok_value.row, previous)
        if isinstance(tree, result.Err):
            return tree
        # Read after the head: if a write came in between, the commit fails
        # on the head's version, so no write record is ever overwritten.
        writes = store.read_writes(self._table)
        if isinstance(writes, result.Err):
            return writes
        found = writes.ok_value
        if found and found[-1].revision > head.ok_value.row.revision:
            return result.Err(errors.TreeMoving(detail="a write came between"))
        return result.Ok(_TableState(head.ok_value, tree.ok_value, found))

    def _resolve_without_commit(
        self, base: _TableState
    ) -> result.Result[Accepted, errors.SettingsFailure] | None:
        """Returns the outcome if it is known without a commit."""
        change = self._change
        for record in base.writes:
            if record.write_id == change.write_id:
                return self._resolve_retry(record, base.tree)
        rights = authority.find_rights(
            base.tree.tree, change.operator, self._writer._first_operators
        )
        if rights is None or not authority.covers(rights, change.path):
            detail = f"the token isn't bound to {change.path}"
            return result.Err(errors.Forbidden(detail=detail))
        current = changes.find_revision(base.tree, change.path)
        if current != change.expected:
            detail = (
                f"{str(change.path) or 'the tree'} is at revision {current}"
            )
            return result.Err(errors.Stale(detail=detail, current=current))
        return None

    def _resolve_retry(
        self, record: rows.WriteRecord, tree: state.InForce
    ) -> result.Result[Accepted, errors.SettingsFailure]:
        if record.digest != self._change.digest():
            detail = f"write id {record.write_id} had another content"
            return result.Err(errors.WriteIdReused(detail=detail))
        return result.Ok(Accepted(record.revision, tree, repeated=True))

    def _commit(
        self, base: _TableState, planned: changes.Plan
    ) -> result.Result[Accepted, errors.SettingsFailure] | None:
        """Commits, or returns None if the table must be read again.

        None means that the condition on the head failed: the transaction
        has already taken effect or never will.
        """
        if planned.tree.revision == base.tree.revision:
            return result.Ok(Accepted(base.tree.revision, base.tree))
        transaction = self._build(base, planned)
        while self._has_time():
            answer = self._table.commit(transaction)
            if isinstance(answer, result.Ok):
                revision = planned.tree.revision
                return result.Ok(Accepted(revision, planned.tree))
            failure = answer.err_value
            if isinstance(failure, platform_errors.Conflicted):
                self._may_have_effect = False
                self._pause(failure)
                return None
            if isinstance(failure, platform_errors.Unanswered):
                self._may_have_effect = True
            self._pause(failure)
        return self._give_up()

    def _build(
        self, base: _TableState, planned: changes.Plan
    ) -> edges.Transaction:
        puts, deletes = changes.build_rows(
            self._change,
            planned,
            base.head.version,
            base.writes,
            self._clock.wall(),
        )
        # A new id for each set of rows: with a reused id the table would
        # return the result of another transaction. The operator's write id
        # is stored in the rows.
        nonce = self._writer._rng.getrandbits(64)
        transaction_id = ids.WriteId(f"{self._change.write_id}.{nonce:016x}")
        return edges.Transaction(transaction_id, puts, deletes)

    def _has_time(self) -> bool:
        return self._clock.monotonic() < self._deadline

    def _pause(self, failure: store.Failure) -> None:
        longest = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2**self._backoff_count)
        self._backoff_count += 1
        self._last_failure = failure
        seconds = longest * self._writer._rng.uniform(0.5, 1.0)
        if isinstance(failure, platform_errors.Throttled):
            seconds = max(seconds, failure.retry_after_s)
        left = self._deadline - self._clock.monotonic()
        self._writer._wait(max(0.0, min(seconds, left)))

    def _give_up(self) -> result.Err[errors.SettingsFailure]:
        if self._may_have_effect:
            detail = "the table's answer was lost: repeat with the same id"
            return result.Err(errors.WriteUnknown(detail=detail))
        last = self._last_failure
        cause = f"{type(last).__name__}: {last.detail}" if last else "too late"
        detail = f"nothing was written; {cause}"
        return result.Err(errors.NotWritten(detail=detail))
