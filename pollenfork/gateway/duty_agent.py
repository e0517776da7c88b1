"""One instance's part in the duties that one instance performs for all.

The duty holder is the instance that holds the lease of the duties. It reports
usage and orders runners for the whole cluster.
"""

import asyncio
from collections.abc import Callable, Coroutine
import logging
import random
import time
from typing import TYPE_CHECKING, Protocol

import msgspec

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

# The lease is longer by this factor than the time within which two holders must
# not alternate, so that a returning holder doesn't act within that time again.
_LEASE_FACTOR = 1.2
# Allows for clock drift and for delays of this process, in seconds.
_MARGIN_S = 0.3
_TICK_S = 0.1
# How often an instance sends its tally, in seconds. The interval grows with the
# number of instances, so that the holder receives some 170 tallies a second.
_TALLY_INTERVAL_S = 0.5
_TALLY_INTERVAL_EACH_S = 0.006
# The first tally to a new holder is sent after a random part of this time, in
# seconds.
_NEW_HOLDER_SPREAD_S = 0.3
# The holder counts as lost after this many seconds without a message. Each
# further candidate waits this much longer before it takes over.
_HOLDER_TIMEOUT_S = 1.2
_RANK_DELAY_S = 0.4
# The number of candidates to which the holder announces itself periodically.
_ANNOUNCED_CANDIDATES = 3

TakeReply = Callable[[messages.PlatformCall, messages.Reply, float], None]


class Peers(Protocol):
    """What the duties need of the other instances."""

    @property
    def instances(self) -> int:
        """How many instances are known, including this one."""

    def list_candidates(self) -> list[str]:
        """Returns all hosts in the order of candidates for duty holder."""

    def send(self, host: str, message: loads.Message) -> None:
        """Sends one instance a message."""


class DutyAgent:
    """Sends this instance's tallies, and performs the duties as the holder.

    Attributes:
        accounts: Counts of requests that started to run.
        lease: The state of the lease and of the duties.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: settings.GatewaySettings,
        duties: settings.DutySettings,
        store: edges.Store,
        cloud: edges.Cloud,
        rng: random.Random,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Creates an agent that knows no holder yet.

        Args:
            loop: Provides the clock and runs asynchronous calls.
            config: The settings.
            duties: The settings of the duties.
            store: Encodes and decodes the store's calls.
            cloud: Encodes and decodes the platform's calls.
            rng: Draws values that must differ between instances.
            read_wall: Returns the wall-clock time in Unix seconds.
        """
        self._loop = loop
        self._duties = duties
        self._rng = rng
        self._host = config.front.host
        self._data_centre = config.data_centre
        self.accounts = accounting.Accounting(
            loop, config, duties, rng, read_wall
        )
        self._calls = platform_calls.PlatformCalls(
            loop, duties, cloud, self.accounts.measure_lateness
        )
        limits = lease.LeaseTimes(
            lease_s=duties.alternation_s * _LEASE_FACTOR,
            order_s=platform_calls.ORDER_S,
            margin_s=_MARGIN_S,
        )
        self.lease = duty_lease.DutyLease(
            config.instance,
            self._host,
            limits,
            lambda: ids.WriteId(f"{self._host}-{rng.getrandbits(64):x}"),
            lambda offset_s: self.accounts.windows.find(
                self.accounts.read_time() + offset_s
            ),
        )
        now = loop.time()
        self._peers: Peers | None = None
        self._holder = ""
        self._holder_contact_at = self._holder_since = now
        self._next_tally_at = now
        self._rows = duty_rows.DutyRows(config.store, store)
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_held: list[Callable[[float], None]] = []
        self._on_reply: list[TakeReply] = []

    def join(self, peers: Peers) -> None:
        """Sets the other instances."""
        self._peers = peers

    def when_held(self, callback: Callable[[float], None]) -> None:
        """Calls `callback` with the time of each tick as the duty holder."""
        self._on_held.append(callback)

    def when_answered(self, callback: TakeReply) -> None:
        """Calls `callback` with each answer of the platform and its time."""
        self._on_reply.append(callback)

    def show(self, output: "metrics.Metrics") -> None:
        """Exports the metrics of the duties."""
        output.set_count("pollenfork_duty_claims_total", self.lease.claims)
        self._calls.show(output)

    def receive(
        self, message: loads.Tally | loads.HolderNotice, host: str
    ) -> None:
        """Handles a message of another instance."""
        now = self._loop.time()
        if isinstance(message, loads.HolderNotice):
            self.accounts.receive_acknowledgement(message, host, now)
            self._receive_holder_notice(message, host, now)
            return
        self.lease.record_reported_through(message.reported_through)
        self.accounts.receive_tally(message, host, now)
        self._acknowledge(message, host, now)

    async def run(self) -> None:
        """Runs ticks until cancelled."""
        try:
            while True:
                self.tick(self._loop.time())
                await asyncio.sleep(_TICK_S)
        finally:
            self._calls.close()
            for task in self._tasks:
                task.cancel()

    def tick(self, now: float) -> None:
        """Does all work that is due; called ten times a second."""
        self.accounts.sweep(now)
        if self.lease.holds(now):
            self._perform_duties(now)
        elif self._holder == self._host:
            self._holder = ""
        step = self.lease.next_store_call(now, self._is_candidate_due(now))
        if step is not None:
            self._spawn(self._execute_step(step))
        self._send_tally(now)

    def _perform_duties(self, now: float) -> None:
        """Performs the duties, as the holder."""
        if self._holder != self._host:
            self._holder = self._host
            self._holder_since = now
            self._announce(self._list_candidates())
        self._holder_contact_at = now
        self.accounts.record_own_counts(now)
        if self._duties.reports:
            first = self.lease.find_next_window(now)
            for each in self.accounts.sum_up(first, self._holder_since, now):
                self.lease.work_queue.add_report(each)
        for on_held in self._on_held:
            on_held(now)
        self._calls.begin(self.lease.next_report(now), self._record_reply)
        self._calls.begin(self.lease.next_order(now), self._record_reply)

    def _record_reply(
        self, task: messages.PlatformCall, reply: messages.Reply
    ) -> None:
        now = self._loop.time()
        self.lease.work_queue.handle_reply(task.work, reply, now)
        for on_reply in self._on_reply:
            on_reply(task, reply, now)

    # Electing the holder.

    def _is_candidate_due(self, now: float) -> bool:
        """Returns whether this instance should try to become the holder."""
        silence_s = now - self._holder_contact_at
        if silence_s < _HOLDER_TIMEOUT_S:
            return False
        candidates = self._list_candidates()
        rank = candidates.index(self._host) if self._host in candidates else 0
        return silence_s >= _HOLDER_TIMEOUT_S + rank * _RANK_DELAY_S

    def _list_candidates(self) -> list[str]:
        return [] if self._peers is None else self._peers.list_candidates()

    def _find_holder(self, now: float) -> str:
        """Returns the holder, or the first candidate if there is none."""
        if self._holder and now - self._holder_contact_at < _HOLDER_TIMEOUT_S:
            return self._holder
        candidates = self._list_candidates()
        return candidates[0] if candidates else self._host

    async def _execute_step(self, step: messages.StoreCall) -> None:
        if isinstance(step, messages.Read):
            await self._read()
        else:
            await self._write(step)

    async def _read(self) -> None:
        read = await self._rows.read()
        now = self._loop.time()
        self.lease.handle_rows(read, now)
        holder = self.lease.find_holder(now)
        if holder and holder != self._host:
            # The row may be some seconds old; the holder's answer corrects it.
            self._holder = holder
            self._send_tally_to(holder, now)

    async def _write(self, step: messages.Write) -> None:
        written = await self._rows.write(step)
        self.lease.handle_commit(written, self._loop.time())

    # Messages between instances.

    def _send_tally(self, now: float) -> None:
        if self._peers is None or now < self._next_tally_at:
            return
        size = self._peers.instances
        self._next_tally_at = now + max(
            _TALLY_INTERVAL_S, size * _TALLY_INTERVAL_EACH_S
        )
        holder = self._find_holder(now)
        if holder != self._host:
            self._send_tally_to(holder, now)
        elif self.lease.holds(now):
            # Other instances ask the first candidates who the holder is.
            self._announce(self._list_candidates()[:_ANNOUNCED_CANDIDATES])

    def _send_tally_to(self, holder: str, now: float) -> None:
        """Sends this instance's tally to the holder or to a candidate."""
        if self._peers is not None:
            tally = msgspec.structs.replace(
                self.accounts.make_tally(holder, now),
                reported_through=self.lease.work_queue.reported_through,
            )
            self._peers.send(holder, tally)

    def _acknowledge(self, tally: loads.Tally, host: str, now: float) -> None:
        """Acknowledges a tally and names the holder to its sender."""
        if self._peers is None:
            return
        holds = self.lease.holds(now) and not self.lease.is_store_failing
        age_s = 0.0 if holds else now - self._holder_contact_at
        is_known = self._holder != self._host and age_s < _HOLDER_TIMEOUT_S
        holder = self._host if holds else self._holder if is_known else ""
        notice = loads.HolderNotice(
            self._data_centre,
            holder,
            self.accounts.start,
            age_s,
            tally.sent_at,
            self.accounts.read_time() if holds else 0.0,
            self.lease.work_queue.reported_through,
        )
        self._peers.send(host, notice)

    def _announce(self, hosts: list[str]) -> None:
        """Announces this instance as the holder, or that it can't remain it."""
        holder = "" if self.lease.is_store_failing else self._host
        notice = loads.HolderNotice(
            self._data_centre,
            holder,
            self.accounts.start,
            0.0,
            reported_through=self.lease.work_queue.reported_through,
        )
        for host in hosts:
            if self._peers is not None and host != self._host:
                self._peers.send(host, notice)

    def _receive_holder_notice(
        self, notice: loads.HolderNotice, host: str, now: float
    ) -> None:
        self.lease.record_reported_through(notice.reported_through)
        contact_at = now - max(0.0, notice.age_s)
        if self.lease.holds(now):
            return
        if not notice.holder:
            if host == self._holder:
                # It can't renew its lease, so waiting for the lease to expire
                # starts now.
                self._holder_contact_at = min(
                    self._holder_contact_at, now - _HOLDER_TIMEOUT_S
                )
            return
        if contact_at < self._holder_contact_at and notice.holder != host:
            return
        if notice.holder != self._holder:
            _LOG.info("event=duty_holder_changed holder=%s", notice.holder)
            delay_s = self._rng.random() * _NEW_HOLDER_SPREAD_S
            self._next_tally_at = min(self._next_tally_at, now + delay_s)
        self._holder = notice.holder
        self._holder_contact_at = max(contact_at, self._holder_contact_at)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
