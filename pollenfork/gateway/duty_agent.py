"""Finds who acts for all, and acts where that is this instance."""

import asyncio
from collections.abc import Callable, Coroutine
import logging
import random
import time
from typing import TYPE_CHECKING, Protocol

from pollenfork import ids
from pollenfork.duties import duty_lease
from pollenfork.duties import messages
from pollenfork.gateway import accounting
from pollenfork.gateway import duty_rows
from pollenfork.gateway import edges
from pollenfork.gateway import platform_calls
from pollenfork.gateway import settings
from pollenfork.leases import lease
from pollenfork.loads import messages as loads

if TYPE_CHECKING:
    from pollenfork import metrics

_LOG = logging.getLogger(__name__)

# The lease is longer than the time in which two holders must not act by turns
# by this part, so that one that comes back doesn't act within it again.
_LEASE_PART = 1.2
# Clocks that run at different rates, and this process's own delay, in seconds.
_MARGIN_S = 0.3
_TICK_S = 0.1
# How often an instance tells what it has counted, in seconds; less often where
# there are many, so that the holder takes in some 170 tellings a second.
_TELL_S = 0.5
_TELL_EACH_S = 0.006
# A new holder is told within this time of being known, in seconds.
_TURN_S = 0.3
# The holder is missed after this long without a word, in seconds, and each
# further candidate waits this much longer.
_SILENT_S = 1.2
_RANK_S = 0.4
# Candidates that the holder tells of itself again and again.
_TOLD_FIRST = 3

TakeReply = Callable[[messages.PlatformCall, messages.Reply, float], None]


class Peers(Protocol):
    """The other instances, as far as the duties need them."""

    @property
    def instances(self) -> int:
        """How many instances are known, this one included."""

    def list_candidates(self) -> list[str]:
        """Returns all hosts in the order in which they should act for all."""

    def tell(self, host: str, message: loads.Message) -> None:
        """Sends one instance a message."""


class DutyAgent:
    """One instance's part in what is done for all.

    Attributes:
        accounts: What began to run.
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
        self._duties = duties
        self._rng = rng
        self._host = told.front.host
        self._data_centre = told.data_centre
        self.accounts = accounting.Accounting(
            loop, told, duties, rng, read_wall
        )
        self._calls = platform_calls.PlatformCalls(
            loop, duties, cloud, self.accounts.read_late
        )
        limits = lease.LeaseTimes(
            lease_s=duties.alternation_s * _LEASE_PART,
            order_s=platform_calls.ORDER_S,
            margin_s=_MARGIN_S,
        )
        self.office = duty_lease.DutyLease(
            told.instance,
            self._host,
            limits,
            lambda: ids.WriteId(f"{self._host}-{rng.getrandbits(64):x}"),
            lambda: self.accounts.windows.find(self.accounts.read_time()),
        )
        now = loop.time()
        self._others: Peers | None = None
        self._holder = ""
        self._heard_at = self._held_since = now
        self._tell_at = now
        self._rows = duty_rows.DutyRows(told.store, store)
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_held: list[Callable[[float], None]] = []
        self._on_reply: list[TakeReply] = []

    def join(self, others: Peers) -> None:
        """Takes the other instances."""
        self._others = others

    def when_held(self, call: Callable[[float], None]) -> None:
        """Calls `call` with the moment each time that this one may act."""
        self._on_held.append(call)

    def when_answered(self, call: TakeReply) -> None:
        """Calls `call` with each answer of the platform, and its moment."""
        self._on_reply.append(call)

    def show(self, shown: "metrics.Metrics") -> None:
        """Shows what was done for all."""
        shown.set_count("pollenfork_duty_claims_total", self.office.claims)
        self._calls.show(shown)

    def hear(
        self, message: loads.Tally | loads.HolderNotice, host: str
    ) -> None:
        """Takes what another instance tells."""
        now = self._loop.time()
        if isinstance(message, loads.HolderNotice):
            self.accounts.take_answer(message, host, now)
            self._take_word(message, host, now)
            return
        self.accounts.take_tally(message, host, now)
        self._answer(message, host, now)

    async def run(self) -> None:
        """Acts until cancelled."""
        try:
            while True:
                self.tick(self._loop.time())
                await asyncio.sleep(_TICK_S)
        finally:
            self._calls.close()
            for task in self._tasks:
                task.cancel()

    def tick(self, now: float) -> None:
        """Does what is due; called ten times a second."""
        self.accounts.sweep(now)
        if self.office.holds(now):
            self._act(now)
        elif self._holder == self._host:
            self._holder = ""
        step = self.office.next_store_call(now, self._stands(now))
        if step is not None:
            self._spawn(self._carry_out(step))
        self._tell(now)

    def _act(self, now: float) -> None:
        """Does what only the holder may do."""
        if self._holder != self._host:
            self._holder = self._host
            self._held_since = now
            self._announce(self._list_candidates())
        self._heard_at = now
        self.accounts.lead(now)
        if self._duties.reports:
            first = self.office.next_window
            for each in self.accounts.sum_up(first, self._held_since, now):
                self.office.work_queue.add_report(each)
        for call in self._on_held:
            call(now)
        self._calls.begin(self.office.next_report(now), self._take_reply)
        self._calls.begin(self.office.next_order(now), self._take_reply)

    def _take_reply(
        self, task: messages.PlatformCall, reply: messages.Reply
    ) -> None:
        now = self._loop.time()
        self.office.work_queue.handle_reply(task.work, reply, now)
        for call in self._on_reply:
            call(task, reply, now)

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
        if self._holder and now - self._heard_at < _SILENT_S:
            return self._holder
        candidates = self._list_candidates()
        return candidates[0] if candidates else self._host

    async def _carry_out(self, step: messages.StoreCall) -> None:
        if isinstance(step, messages.Read):
            await self._read()
        else:
            await self._write(step)

    async def _read(self) -> None:
        read = await self._rows.read()
        now = self._loop.time()
        self.office.handle_rows(read, now)
        holder = self.office.find_holder(now)
        if holder and holder != self._host:
            # Its row may be some seconds old: asking it will show.
            self._holder = holder
            self._ask(holder, now)

    async def _write(self, step: messages.Write) -> None:
        written = await self._rows.write(step)
        self.office.handle_commit(written, self._loop.time())

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
        if self._others is not None:
            self._others.tell(holder, self.accounts.write_tally(holder, now))

    def _answer(self, tally: loads.Tally, host: str, now: float) -> None:
        """Tells an instance that its counts arrived, and who holds."""
        if self._others is None:
            return
        holds = self.office.holds(now) and not self.office.is_store_failing
        age_s = 0.0 if holds else now - self._heard_at
        known = self._holder != self._host and age_s < _SILENT_S
        holder = self._host if holds else self._holder if known else ""
        word = loads.HolderNotice(
            self._data_centre,
            holder,
            self.accounts.start,
            age_s,
            tally.sent_at,
            self.accounts.read_time() if holds else 0.0,
        )
        self._others.tell(host, word)

    def _announce(self, hosts: list[str]) -> None:
        """Says that this instance acts for all, or that it can't for long."""
        holder = "" if self.office.is_store_failing else self._host
        word = loads.HolderNotice(
            self._data_centre, holder, self.accounts.start, 0.0
        )
        for host in hosts:
            if self._others is not None and host != self._host:
                self._others.tell(host, word)

    def _take_word(
        self, word: loads.HolderNotice, host: str, now: float
    ) -> None:
        heard_at = now - max(0.0, word.age_s)
        if self.office.holds(now):
            return
        if not word.holder:
            if host == self._holder:
                # It can't keep on; the wait for its lease begins now.
                self._heard_at = min(self._heard_at, now - _SILENT_S)
            return
        if heard_at < self._heard_at and word.holder != host:
            return
        if word.holder != self._holder:
            _LOG.info("event=duty_holder_changed holder=%s", word.holder)
            turn_s = self._rng.random() * _TURN_S
            self._tell_at = min(self._tell_at, now + turn_s)
        self._holder = word.holder
        self._heard_at = max(heard_at, self._heard_at)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
