"""The ledger of one instance: claims, their outcomes and the clean-up.

Its calls block on the platform. Claims and their outcomes are written in the
worker thread that serves the client; deferred writes and the clean-up run in
the instance's housekeeping thread.
"""

from collections.abc import Callable, Iterable
import enum
import logging
import threading
import types
from typing import TypeVar

import msgspec
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.ledger import claiming
from pollenfork.ledger import edges
from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger import outbox
from pollenfork.ledger import records
from pollenfork.ledger import settling
from pollenfork.ledger import steps
from pollenfork.ledger import sweeping
from pollenfork.store import edges as platform_edges

_LOG = logging.getLogger(__name__)
_T = TypeVar("_T")

PAGE_ROWS = 200
ROWS_PER_REMOVAL = 8


class Event(enum.Enum):
    """What the ledger did; each event has a counter."""

    CLAIMED = "claimed"
    RECORDED = "recorded"
    DEFERRED = "deferred"
    SUPERSEDED = "superseded"
    DROPPED = "dropped"
    RUNNING = "running"
    REPLAY = "replay"
    ANSWER_UNAVAILABLE = "answer_unavailable"
    ANSWER_NOT_KEPT = "answer_not_kept"
    UNKNOWN_OUTCOME = "unknown_outcome"
    KEY_REUSED = "key_reused"
    LEDGER_DOWN = "ledger_down"


_REFUSAL_EVENTS: dict[type[errors.LedgerRefusal], Event] = {
    errors.Running: Event.RUNNING,
    errors.Replay: Event.REPLAY,
    errors.AnswerUnavailable: Event.ANSWER_UNAVAILABLE,
    errors.AnswerNotKept: Event.ANSWER_NOT_KEPT,
    errors.UnknownOutcome: Event.UNKNOWN_OUTCOME,
    errors.KeyReused: Event.KEY_REUSED,
    errors.LedgerDown: Event.LEDGER_DOWN,
}


class Dependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Services, callbacks and limits that a ledger uses.

    Attributes:
        get_owner: Returns this process; its incarnation may increase while it
            runs.
        new_id: Returns a new unique string at each call.
        count: Called with each `Event`.
    """

    get_owner: Callable[[], claiming.Owner]
    table: platform_edges.TableService
    objects: platform_edges.ObjectStore
    owners: edges.OwnerLiveness
    now: clock.Clock
    new_id: Callable[[], str]
    limits: claiming.Limits = claiming.Limits()
    count: Callable[[enum.Enum], None] = lambda event: None


class Claim:
    """The right to run one request once; not thread-safe.

    As a context manager, it records an unknown outcome if the body ends or
    raises without recording an outcome. Only the first call of a `record_`
    method has an effect.
    """

    def __init__(
        self,
        ledger: "Ledger",
        row: str,
        claimed: claiming.ClaimedRow,
        deadline: float,
    ) -> None:
        self._ledger = ledger
        self._row = row
        self._claimed = claimed
        self._deadline = deadline
        self._settlement: settling.Settlement | None = None

    @property
    def attempt(self) -> ids.AttemptId:
        """The id under which the record and the answer are stored."""
        return self._claimed.record.attempt

    def may_send(self) -> bool:
        """Returns whether the request may still be sent to an endpoint.

        Must be called right before each attempt. False after `longest_run_s`,
        measured from before the claim was written: a process that was paused
        for so long must not act on its claim, as others may have closed its
        record.
        """
        if self._settlement is not None:
            return False
        return self._ledger.monotonic() < self._deadline

    def record_done(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes | None,
    ) -> settling.Settlement:
        """Records that the request is done, and stores its whole answer.

        If `body` is None, no answer is stored.
        """
        if body is None:
            return self._settle(records.State.DONE)
        answer = records.Answer(status, tuple(headers), body)
        return self._settle(records.State.DONE, answer)

    def record_not_run(self) -> settling.Settlement:
        """Frees the key; allowed only if it is certain that no attempt ran."""
        return self._settle(records.State.NOT_RUN)

    def record_unknown(self) -> settling.Settlement:
        """Blocks the key, because the request may have run."""
        return self._settle(records.State.UNKNOWN)

    def __enter__(self) -> "Claim":
        """Returns the claim."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Records an unknown outcome unless one was recorded."""
        if self._settlement is None:
            self.record_unknown()

    def _settle(
        self, state: records.State, answer: records.Answer | None = None
    ) -> settling.Settlement:
        if self._settlement is None:
            self._settlement = self._ledger.record_outcome(
                self._row, self._claimed, state, answer
            )
        return self._settlement


class Ledger:
    """The ledger of one instance; thread-safe."""

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        self._limits = deps.limits
        self._outbox = outbox.Outbox()
        self._lock = threading.Lock()
        self._active: set[ids.AttemptId] = set()
        self._cursor = keys.ROW_PREFIX + deps.new_id()

    def claim(
        self, key: keys.RequestKey, fingerprint: bytes, now: float
    ) -> result.Result[Claim, errors.LedgerRefusal]:
        """Claims the right to run the request under `key`; blocks.

        Args:
            key: The account and its key.
            fingerprint: See `keys.compute_fingerprint`.
            now: Unix seconds.

        Returns:
            The claim, on which one `record_` method must be called; or why
            the request may not run, which decides the response.
        """
        started = self.monotonic()
        self._retry_row(key.row)
        request = claiming.ClaimRequest(
            key=key,
            fingerprint=fingerprint,
            attempt=ids.AttemptId(self._deps.new_id()),
            owner=self._deps.get_owner(),
            now_ms=_to_ms(now),
            limits=self._limits,
            is_owner_gone=self._is_owner_gone,
        )
        with self._lock:
            self._active.add(request.attempt)
        claim_result = self._run(claiming.claim(request))
        if isinstance(claim_result, result.Err):
            self._refuse(request, claim_result.err_value)
            return claim_result
        self._deps.count(Event.CLAIMED)
        deadline = started + self._limits.longest_run_s
        return result.Ok(Claim(self, key.row, claim_result.ok_value, deadline))

    def record_outcome(
        self,
        row: str,
        claimed: claiming.ClaimedRow,
        state: records.State,
        answer: records.Answer | None,
    ) -> settling.Settlement:
        """Writes the outcome of a claim; for `Claim` only."""
        body = records.encode_answer(answer) if answer else b""
        fits = 0 < len(body) <= self._limits.answer_bytes
        record = msgspec.structs.replace(
            claimed.record,
            state=state,
            changed_ms=_to_ms(self._deps.now.wall()),
            answer_digest=records.compute_digest(body) if fits else b"",
        )
        write = settling.OutcomeWrite(
            row=row,
            record=record,
            version=claimed.version,
            answer=body if fits else None,
        )
        return self._settle(write)

    def retry_deferred(self) -> int:
        """Retries all deferred writes; returns how many remain.

        Stops at the first failure, as the platform is still unavailable.
        """
        for write in self._outbox.list_all():
            if self._settle(write) is settling.Settlement.DEFERRED:
                break
        return len(self._outbox)

    def sweep(self, removals: int) -> sweeping.PageReport:
        """Cleans the next page of records; removes at most `removals`.

        A page has eight rows for each removal, and at most 200: an instance
        with a small share of the writes reads no more rows than it needs to
        find records to remove.
        """
        rows = ROWS_PER_REMOVAL * max(1, removals)
        report = self._run(
            sweeping.sweep(
                sweeping.PageRequest(
                    after=self._cursor,
                    rows=min(PAGE_ROWS, rows),
                    removals=removals,
                    write_id=ids.WriteId(self._deps.new_id()),
                    now_ms=_to_ms(self._deps.now.wall()),
                    limits=self._limits,
                    is_owner_gone=self._is_owner_gone,
                )
            )
        )
        self._cursor = report.after
        return report

    def monotonic(self) -> float:
        """Returns the monotonic time of the ledger's clock, in seconds."""
        return self._deps.now.monotonic()

    def _run(self, core: steps.Steps[_T]) -> _T:
        return steps.run(core, self._deps.table, self._deps.objects)

    def _is_owner_gone(self, record: records.Record) -> bool:
        current = self._deps.get_owner()
        if record.owner != current.instance:
            return self._deps.owners.is_gone(record.owner, record.incarnation)
        with self._lock:
            active = record.attempt in self._active
        return not active and record.incarnation <= current.incarnation

    def _refuse(
        self, request: claiming.ClaimRequest, refusal: errors.LedgerRefusal
    ) -> None:
        self._deps.count(_REFUSAL_EVENTS[type(refusal)])
        if not isinstance(refusal, errors.LedgerDown) or not refusal.in_doubt:
            self._remove_active(request.attempt)
            return
        # The claim may have been written after all: free its key.
        record = msgspec.structs.replace(
            claiming.make_record(request), state=records.State.NOT_RUN
        )
        self._defer(
            settling.OutcomeWrite(
                row=request.key.row, record=record, version=None
            )
        )

    def _retry_row(self, row: str) -> None:
        for write in self._outbox.list_all(row):
            self._settle(write)

    def _settle(self, write: settling.OutcomeWrite) -> settling.Settlement:
        settle_result = self._run(settling.settle(write))
        if settle_result.remaining:
            self._defer(settle_result.remaining)
        else:
            self._outbox.discard(write.record.attempt)
            self._remove_active(write.record.attempt)
        self._deps.count(Event[settle_result.settlement.name])
        _LOG.info(
            "event=claim_ended attempt=%s state=%s settlement=%s",
            write.record.attempt,
            write.record.state.name.lower(),
            settle_result.settlement.value,
        )
        return settle_result.settlement

    def _defer(self, write: settling.OutcomeWrite) -> None:
        for dropped in self._outbox.put(write):
            self._remove_active(dropped.record.attempt)
            self._deps.count(Event.DROPPED)
            _LOG.error(
                "event=ending_dropped attempt=%s state=%s",
                dropped.record.attempt,
                dropped.record.state.name.lower(),
            )

    def _remove_active(self, attempt: ids.AttemptId) -> None:
        with self._lock:
            self._active.discard(attempt)


def _to_ms(seconds: float) -> int:
    return int(seconds * 1000)
