"""Carries out the duties: calls to the store, to the platform, to others."""

import asyncio
import collections
from collections.abc import Callable, Coroutine
import logging
import math
import random
import time
from typing import TYPE_CHECKING, Protocol

import result

from pollenfork import ids
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import messages
from pollenfork.duties import office
from pollenfork.duties import rows
from pollenfork.duties import tallies
from pollenfork.duties import truetime
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.gateway import settings
from pollenfork.leases import lease
from pollenfork.loads import messages as loads

if TYPE_CHECKING:
    from pollenfork import metrics

_LOG = logging.getLogger(__name__)

# The lease is longer than the time in which two holders must not act by turns
# by this part, so that one that comes back doesn't act within it again.
_LEASE_PART = 1.2
# From the sending of a call to the platform until it is given up, in seconds.
_ORDER_S = 0.8
# Clocks that run at different rates, and this process's own delay, in seconds.
_MARGIN_S = 0.3
_STORE_CALL_S = 1.0
_TICK_S = 0.1
# How often an instance tells what it has counted, in seconds; less often where
# there are many, so that the holder takes in some 170 tellings a second.
_TELL_S = 0.5
_TELL_EACH_S = 0.006
# The holder is missed after this long without a word, in seconds, and each
# further candidate waits this much longer.
_SILENT_S = 1.2
_RANK_S = 1.0
# A word of another one is passed on while it is younger than this, in seconds.
_FRESH_S = 1.2
# A window is reported once all have told it, or after this part of the time
# until it is due.
_WAITED_PART = 0.5
# The least time after a window's end until it is reported, in seconds: what
# began to run just before is counted by then.
_SETTLED_S = 0.3
# Who has taken over has been told by all others after this long, in seconds;
# they tell it within `_TURN_S` of hearing of it.
_TAKEN_S = 1.0
_TURN_S = 0.3
_SHOWN_LIMIT = 720
# Candidates that the holder tells of itself again and again.
_TOLD_FIRST = 3


class Others(Protocol):
    """The other instances, as far as the duties need them."""

    @property
    def instances(self) -> int:
        """How many instances are known, this one included."""

    def list_candidates(self) -> list[str]:
        """Returns all hosts in the order in which they should act for all."""

    def tell(self, host: str, message: loads.Message) -> None:
        """Sends one instance a message."""


class Officer:
    """One instance's part in the duties.

    Attributes:
        office: What it holds.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        told: settings.GatewaySettings,
        duties: settings.DutySettings,
        store: edges.Store,
        cloud: edges.Cloud,
        rng: random.Random,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Takes what it needs.

        Args:
            loop: Its clock is used, and runs what takes time.
            told: The settings.
            duties: Of them, those of the duties.
            store: Encodes and decodes the store's calls.
            cloud: The same for the platform's.
            rng: Draws what must differ between instances.
            read_wall: Returns the time of day in Unix seconds.
        """
        self._loop = loop
        self._told = told
        self._duties = duties
        self._store = store
        self._cloud = cloud
        self._read_wall = read_wall
        self._rng = rng
        self._host = told.front.host
        self._start = rng.getrandbits(32)
        length_s = duties.window_s
        kept = math.ceil(duties.due_s / length_s) + 2
        self._windows = tallies.Windows(length_s, kept)
        self._tallies = tallies.Tallies(self._windows)
        self._ledger = tallies.Ledger(self._windows)
        now = self._loop.time()
        self._time = truetime.TrueTime(read_wall, now)
        limits = lease.Limits(
            lease_s=duties.alternation_s * _LEASE_PART,
            order_s=_ORDER_S,
            margin_s=_MARGIN_S,
        )
        self.office = office.Office(
            told.instance,
            self._host,
            limits,
            lambda: ids.WriteId(f"{self._host}-{rng.getrandbits(64):x}"),
            lambda: self._windows.find(self._time.read(self._loop.time())),
        )
        self._others: Others | None = None
        self._holder = ""
        self._heard_at = self._held_since = now
        self._tell_at = now
        self._telling: dict[float, tuple[loads.Counted, ...]] = {}
        self._on_held: list[Callable[[float], None]] = []
        self._on_reply: list[
            Callable[[messages.Task, messages.Reply, float], None]
        ] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._calling = {
            messages.Report: client.Client(duties.platform),
            rows.Order: client.Client(duties.platform),
        }
        self._rows = client.Client(told.store)
        self._busy: set[type] = set()
        self._replies: collections.Counter[tuple[str, messages.Reply]] = (
            collections.Counter()
        )
        # Until a scraper takes them; an hour of windows where none comes.
        self._reported_s: collections.deque[float] = collections.deque(
            maxlen=_SHOWN_LIMIT
        )

    def join(self, others: Others) -> None:
        """Takes the other instances."""
        self._others = others

    def when_held(self, call: Callable[[float], None]) -> None:
        """Calls `call` with the moment each time that this one may act."""
        self._on_held.append(call)

    def when_answered(
        self, call: Callable[[messages.Task, messages.Reply, float], None]
    ) -> None:
        """Calls `call` with each answer of the platform, and its moment."""
        self._on_reply.append(call)

    def show(self, shown: "metrics.Metrics") -> None:
        """Shows what was done for all."""
        shown.set_count("pollenfork_duty_claims_total", self.office.claims)
        for (kind, reply), count in self._replies.items():
            shown.set_count(
                "pollenfork_platform_replies_total",
                count,
                kind=kind,
                reason=reply.value,
            )
        for late_s in self._reported_s:
            shown.observe("pollenfork_window_report_seconds", late_s)
        self._reported_s.clear()

    def note_begun(self, account: ids.AccountId) -> None:
        """Counts a request that began to run."""
        time_now = self._time.read(self._loop.time())
        self._tallies.note(account, time_now)

    def hear(self, message: loads.Tally | loads.HolderWord, host: str) -> None:
        """Takes what another instance tells."""
        now = self._loop.time()
        if isinstance(message, loads.HolderWord):
            self._take_word(message, host, now)
            return
        self._ledger.take(
            host, message.start, message.counted, message.through, now
        )
        self._time.note_clock(host, message.wall, now)
        self._answer(message, host, now)

    async def run(self) -> None:
        """Acts until cancelled."""
        try:
            while True:
                self._tick(self._loop.time())
                await asyncio.sleep(_TICK_S)
        finally:
            for task in self._tasks:
                task.cancel()

    def _tick(self, now: float) -> None:
        time_now = self._time.read(now)
        self._tallies.forget(time_now)
        self._ledger.forget(time_now, now)
        self._ledger.take(
            self._host, self._start, self._tallies.list_all(), time_now, now
        )
        if self.office.holds(now):
            if self._holder != self._host:
                self._held_since = now
                self._announce(self._list_candidates())
            self._holder = self._host
            self._heard_at = now
            self._time.agree(now)
            self._prepare_reports(time_now, now)
            for call in self._on_held:
                call(now)
            self._begin(self.office.next_report(now))
            self._begin(self.office.next_order(now))
        elif self._holder == self._host:
            self._holder = ""
        step = self.office.next_step(now, self._stands(now))
        if step is not None:
            self._spawn(self._carry_out(step))
        self._tell(now)

    # Who acts.

    def _stands(self, now: float) -> bool:
        """Returns whether this instance would act, as nobody seems to."""
        silent_s = now - self._heard_at
        if silent_s < _SILENT_S:
            return False
        candidates = self._list_candidates()
        rank = candidates.index(self._host) if self._host in candidates else 0
        return silent_s >= _SILENT_S + rank * _RANK_S

    def _list_candidates(self) -> list[str]:
        return [] if self._others is None else self._others.list_candidates()

    def _find_holder(self, now: float) -> str:
        """Returns whom to tell: the holder, or who should become it."""
        if self._holder and now - self._heard_at < _FRESH_S:
            return self._holder
        candidates = self._list_candidates()
        return candidates[0] if candidates else self._host

    async def _carry_out(self, step: messages.Step) -> None:
        if isinstance(step, messages.Read):
            await self._read()
        else:
            await self._write(step)

    async def _read(self) -> None:
        ask = self._store.write_range_ask(changes.Table.DUTIES, "")
        answer = await self._rows.call(ask, _STORE_CALL_S)
        read: result.Result[catalogue.Rows, catalogue.Trouble]
        read = result.Err(catalogue.Trouble.NO_ANSWER)
        if answer is not None:
            read = self._store.read_rows(*answer)
        now = self._loop.time()
        self.office.take_rows(read, now)
        holder = self.office.find_holder(now)
        if holder and holder != self._host:
            # Its row may be some seconds old: asking it will show.
            self._holder = holder
            self._tell_at = now
            self._ask(holder, now)

    async def _write(self, step: messages.Write) -> None:
        change = self._store.write_change(_make_change(step))
        answer = await self._rows.call(change, _STORE_CALL_S)
        written: result.Result[int, changes.Trouble]
        written = result.Err(changes.Trouble.NO_ANSWER)
        if answer is not None:
            written = self._store.read_changed(*answer)
        if isinstance(written, result.Err):
            _LOG.warning(
                "event=duty_write_failed fencing=%d trouble=%s",
                step.row.fencing,
                written.err_value.value,
            )
        self.office.take_commit(written, self._loop.time())

    # What is told the platform.

    def _prepare_reports(self, time_now: float, now: float) -> None:
        if not self._duties.reports:
            return
        while True:
            window = self.office.next_window
            late_s = time_now - self._windows.end(window)
            if late_s < _SETTLED_S:
                return
            missing = self._ledger.list_missing(window, now)
            if missing and late_s < self._duties.due_s * _WAITED_PART:
                return
            untold = now - self._held_since < _TAKEN_S
            if untold and late_s < self._duties.due_s - _TAKEN_S:
                return
            counts = self._ledger.add_up(window)
            _LOG.info(
                "event=window_summed window=%d accounts=%d requests=%d "
                "late_ms=%d missing=%s",
                window,
                len(counts),
                sum(counts.values()),
                late_s * 1000,
                ",".join(missing) or "-",
            )
            self.office.add_report(messages.Report(window, counts))

    def _begin(self, task: messages.Task | None) -> None:
        """Begins a call to the platform, one of a kind at a time."""
        if task is None or type(task.work) in self._busy:
            return
        self._busy.add(type(task.work))
        self._spawn(self._call(task))

    async def _call(self, task: messages.Task) -> None:
        kind = type(task.work)
        try:
            answer = await self._calling[kind].call(
                self._cloud.write(task), _ORDER_S, task.before
            )
        finally:
            self._busy.discard(kind)
        reply = messages.Reply.NO_ANSWER
        if answer is not None:
            reply = self._cloud.read(answer[0])
        self._note_reply(task, reply)
        now = self._loop.time()
        self.office.take_reply(task, reply, now)
        for call in self._on_reply:
            call(task, reply, now)

    def _note_reply(self, task: messages.Task, reply: messages.Reply) -> None:
        work = task.work
        if isinstance(work, rows.Order):
            self._replies["order", reply] += 1
            _LOG.info(
                "event=runners_ordered service=%s data_centre=%s "
                "reclaimable=%s count=%d fencing=%d reply=%s",
                work.subject.service,
                work.subject.data_centre,
                work.subject.reclaimable,
                work.count,
                task.fencing,
                reply.value,
            )
            return
        time_now = self._time.read(self._loop.time())
        late_s = time_now - self._windows.end(work.window)
        self._replies["report", reply] += 1
        if reply is messages.Reply.DONE:
            self._reported_s.append(late_s)
        _LOG.info(
            "event=window_reported window=%d late_ms=%d due=%s fencing=%d "
            "reply=%s",
            work.window,
            late_s * 1000,
            late_s <= self._duties.due_s,
            task.fencing,
            reply.value,
        )

    # What instances tell each other.

    def _tell(self, now: float) -> None:
        if self._others is None or now < self._tell_at:
            return
        size = self._others.instances
        self._tell_at = now + max(_TELL_S, size * _TELL_EACH_S)
        holder = self._find_holder(now)
        if holder != self._host:
            self._ask(holder, now)
        elif self.office.holds(now):
            # Those whom others ask first must know.
            self._announce(self._list_candidates()[:_TOLD_FIRST])

    def _ask(self, holder: str, now: float) -> None:
        """Tells the holder, or who may know it, what was counted here."""
        if self._others is None:
            return
        counted = self._tallies.list_untold(holder)
        self._telling = {now: counted}
        tally = loads.Tally(
            self._told.data_centre,
            self._start,
            counted,
            self._time.read(now),
            self._read_wall(),
            now,
        )
        self._others.tell(holder, tally)

    def _answer(self, tally: loads.Tally, host: str, now: float) -> None:
        if self._others is None:
            return
        holds = self.office.holds(now)
        known = holds or now - self._heard_at < _FRESH_S
        word = loads.HolderWord(
            self._told.data_centre,
            self._host if holds else self._holder if known else "",
            self._start,
            0.0 if holds else now - self._heard_at,
            tally.sent_at,
            self._time.read(now) if holds else 0.0,
        )
        self._others.tell(host, word)

    def _announce(self, hosts: list[str]) -> None:
        """Says that this instance acts for all."""
        word = loads.HolderWord(
            self._told.data_centre, self._host, self._start, 0.0
        )
        for host in hosts:
            if self._others is not None and host != self._host:
                self._others.tell(host, word)

    def _take_word(self, word: loads.HolderWord, host: str, now: float) -> None:
        counted = self._telling.pop(word.echo, None)
        if counted is not None:
            self._tallies.note_told(counted, host, word.start)
        heard_at = now - max(0.0, word.age_s)
        if not word.holder or self.office.holds(now):
            return
        if heard_at >= self._heard_at or word.holder == host:
            if word.holder != self._holder:
                _LOG.info("event=duty_holder_changed holder=%s", word.holder)
                turn_s = self._rng.random() * _TURN_S
                self._tell_at = min(self._tell_at, now + turn_s)
            self._holder = word.holder
            self._heard_at = max(heard_at, self._heard_at)
        if word.time and counted is not None:
            self._time.follow(word.time, word.echo, now)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _make_change(step: messages.Write) -> changes.Change:
    """Returns the rows that a write of the holder changes."""
    table = changes.Table.DUTIES
    holder = changes.Put(
        table, rows.HOLDER_KEY, rows.encode(step.row), step.version
    )
    reports = [
        changes.Put(
            table, rows.report_key(each.window, each.part), rows.encode(each)
        )
        for each in step.reports
    ]
    removed = [changes.Key(table, key) for key in step.removed]
    return changes.Change((holder, *reports), tuple(removed))
