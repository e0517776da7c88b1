"""The ledger of one instance: claims, their endings and the clean-up.

Its calls block on the platform. Claims and endings run in the worker thread
that holds the caller anyway; deferred endings and the clean-up run in the
thread of `ledger.actor`.
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
    """What the ledger did; each has its counter."""

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


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """What a ledger works with.

    Attributes:
        find_owner: Returns this process start of this instance; its
            incarnation may grow while it runs.
        new_id: Returns another unique string at each call.
        count: Called with each `Event`.
    """

    find_owner: Callable[[], claiming.Owner]
    table: platform_edges.TableService
    objects: platform_edges.ObjectStore
    owners: edges.Owners
    now: clock.Clock
    new_id: Callable[[], str]
    limits: claiming.Limits = claiming.Limits()
    count: Callable[[enum.Enum], None] = lambda event: None


class Claim:
    """The right to run one request once; one thread at a time holds it.

    Used as a context manager it records an unknown outcome when the body
    ends, or raises, without having recorded another. The first of the
    `record_` calls counts, later ones change nothing.
    """

    def __init__(
        self, owner: "Ledger", row: str, held: claiming.Held, until: float
    ) -> None:
        self._ledger = owner
        self._row = row
        self._held = held
        self._until = until
        self._settlement: settling.Settlement | None = None

    @property
    def attempt(self) -> ids.AttemptId:
        """The id under which the record and the answer are kept."""
        return self._held.record.attempt

    def may_send(self) -> bool:
        """Returns whether the request may still be sent to an endpoint.

        To be asked right before each sending. False once the longest run is
        over, measured from before the claim was written: a holder that was
        paused so long must not act on its claim any more.
        """
        if self._settlement is not None:
            return False
        return self._ledger.monotonic() < self._until

    def record_done(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes | None,
    ) -> settling.Settlement:
        """Keeps the answer for repeats; to be called when it is whole.

        With None as its body the answer isn't kept, only that it was done.
        """
        if body is None:
            return self._settle(records.State.DONE)
        answer = records.Answer(status, tuple(headers), body)
        return self._settle(records.State.DONE, answer)

    def record_not_run(self) -> settling.Settlement:
        """Frees the key; only with proof that no attempt ran."""
        return self._settle(records.State.NOT_RUN)

    def record_unknown(self) -> settling.Settlement:
        """Keeps the key closed: the request may have run."""
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
        """Records an unknown outcome unless another was recorded."""
        if self._settlement is None:
            self.record_unknown()

    def _settle(
        self, state: records.State, answer: records.Answer | None = None
    ) -> settling.Settlement:
        if self._settlement is None:
            self._settlement = self._ledger.end(
                self._row, self._held, state, answer
            )
        return self._settlement


class Ledger:
    """The ledger of one instance; shared by threads."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._limits = parts.limits
        self._outbox = outbox.Outbox()
        self._lock = threading.Lock()
        self._live: set[ids.AttemptId] = set()
        self._cursor = keys.ROW_PREFIX + parts.new_id()

    def claim(
        self, key: keys.RequestKey, fingerprint: bytes, now: float
    ) -> result.Result[Claim, errors.LedgerRefusal]:
        """Claims the right to run the request under `key`; blocks.

        Args:
            key: The account with its key.
            fingerprint: See `keys.compute_fingerprint`.
            now: Unix seconds.

        Returns:
            The claim, which must be ended by one of its `record_` calls; or
            why the request may not run, with the answer to give instead.
        """
        started = self.monotonic()
        self._settle_waiting(key.row)
        ask = claiming.Ask(
            key=key,
            fingerprint=fingerprint,
            attempt=ids.AttemptId(self._parts.new_id()),
            owner=self._parts.find_owner(),
            now_ms=_to_ms(now),
            limits=self._limits,
            is_lost=self._is_lost,
        )
        with self._lock:
            self._live.add(ask.attempt)
        verdict = self._run(claiming.claim(ask))
        if isinstance(verdict, result.Err):
            self._refuse(ask, verdict.err_value)
            return verdict
        self._parts.count(Event.CLAIMED)
        until = started + self._limits.longest_run_s
        return result.Ok(Claim(self, key.row, verdict.ok_value, until))

    def end(
        self,
        row: str,
        held: claiming.Held,
        state: records.State,
        answer: records.Answer | None,
    ) -> settling.Settlement:
        """Writes the ending of a claim; `Claim` calls it."""
        body = records.encode_answer(answer) if answer else b""
        kept = 0 < len(body) <= self._limits.answer_bytes
        record = msgspec.structs.replace(
            held.record,
            state=state,
            changed_ms=_to_ms(self._parts.now.wall()),
            answer_digest=records.compute_digest(body) if kept else b"",
        )
        ending = settling.Ending(
            row=row,
            record=record,
            version=held.version,
            answer=body if kept else None,
        )
        return self._settle(ending)

    def settle_deferred(self) -> int:
        """Tries all deferred endings again; returns how many are left.

        It stops at the first that fails again: the platform is still away.
        """
        for ending in self._outbox.list_all():
            if self._settle(ending) is settling.Settlement.DEFERRED:
                break
        return len(self._outbox)

    def sweep(self, removals: int) -> sweeping.Report:
        """Cleans the next page of records; at most `removals` leave.

        A page has eight rows for each removal, and 200 at most: an instance
        with a small share of the writes reads no more than it can remove.
        """
        rows = ROWS_PER_REMOVAL * max(1, removals)
        report = self._run(
            sweeping.sweep(
                sweeping.Ask(
                    after=self._cursor,
                    rows=min(PAGE_ROWS, rows),
                    removals=removals,
                    write_id=ids.WriteId(self._parts.new_id()),
                    now_ms=_to_ms(self._parts.now.wall()),
                    limits=self._limits,
                    is_lost=self._is_lost,
                )
            )
        )
        self._cursor = report.after
        return report

    def monotonic(self) -> float:
        """Returns the monotonic seconds of the ledger's clock."""
        return self._parts.now.monotonic()

    def _run(self, core: steps.Steps[_T]) -> _T:
        return steps.run(core, self._parts.table, self._parts.objects)

    def _is_lost(self, record: records.Record) -> bool:
        mine = self._parts.find_owner()
        if record.owner != mine.instance:
            return self._parts.owners.is_gone(record.owner, record.incarnation)
        with self._lock:
            live = record.attempt in self._live
        return not live and record.incarnation <= mine.incarnation

    def _refuse(self, ask: claiming.Ask, refusal: errors.LedgerRefusal) -> None:
        self._parts.count(_REFUSAL_EVENTS[type(refusal)])
        if not isinstance(refusal, errors.LedgerDown) or not refusal.in_doubt:
            self._forget(ask.attempt)
            return
        # The claim's write may have had effect after all: free its key.
        record = msgspec.structs.replace(
            claiming.make_record(ask), state=records.State.NOT_RUN
        )
        self._defer(
            settling.Ending(row=ask.key.row, record=record, version=None)
        )

    def _settle_waiting(self, row: str) -> None:
        for ending in self._outbox.list_all(row):
            self._settle(ending)

    def _settle(self, ending: settling.Ending) -> settling.Settlement:
        settled = self._run(settling.settle(ending))
        if settled.rest:
            self._defer(settled.rest)
        else:
            self._outbox.discard(ending.record.attempt)
            self._forget(ending.record.attempt)
        self._parts.count(Event[settled.settlement.name])
        _LOG.info(
            "event=claim_ended attempt=%s state=%s settlement=%s",
            ending.record.attempt,
            ending.record.state.name.lower(),
            settled.settlement.value,
        )
        return settled.settlement

    def _defer(self, ending: settling.Ending) -> None:
        for dropped in self._outbox.put(ending):
            self._forget(dropped.record.attempt)
            self._parts.count(Event.DROPPED)
            _LOG.error(
                "event=ending_dropped attempt=%s state=%s",
                dropped.record.attempt,
                dropped.record.state.name.lower(),
            )

    def _forget(self, attempt: ids.AttemptId) -> None:
        with self._lock:
            self._live.discard(attempt)


def _to_ms(seconds: float) -> int:
    return int(seconds * 1000)
