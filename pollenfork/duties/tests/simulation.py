"""Simulates instances, the store and the platform, with faults."""

from collections.abc import Callable
import heapq
import itertools
import random

import msgspec
import result

from pollenfork import ids
from pollenfork import versions
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import duty_lease
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.duties.tests import call_rules
from pollenfork.leases import lease

ALTERNATION_S = 3.0
WINDOW_S = 5.0
DUE_S = 10.0
TIMES = lease.LeaseTimes(lease_s=3.6, order_s=0.8, margin_s=0.3)
RESUME_SLACK_S = 0.3
_TICK_S = 0.1
_LATENCY_S = 0.002
_STORE_CALL_S = 1.0
_HOLDER_TIMEOUT_S = 1.2
_RANK_DELAY_S = 0.4
_SETTLED_S = 0.3
_POOL = rows.RunnerPool(
    ids.ServiceName("s"), ids.DataCentre("a"), reclaimable=False
)


class Store:
    """The store, with conditional writes."""

    def __init__(self) -> None:
        self.epoch = 0
        self.number = 0
        self.rows: dict[str, catalogue.Row] = {}

    @property
    def version(self) -> int:
        return versions.combine(self.epoch, self.number)

    def save(self) -> tuple[int, dict[str, catalogue.Row]]:
        """Returns a copy to restore the store from."""
        return self.number, dict(self.rows)

    def restore(self, copy: tuple[int, dict[str, catalogue.Row]]) -> None:
        """Loses what was written since a copy was made."""
        self.epoch += 1
        self.number = copy[0]
        self.rows = {
            key: msgspec.structs.replace(
                row,
                version=versions.combine(
                    self.epoch, versions.get_number(row.version)
                ),
            )
            for key, row in copy[1].items()
        }

    def read(self) -> catalogue.Rows:
        return catalogue.Rows(tuple(self.rows.values()), self.version)

    def write(
        self, change: messages.Write
    ) -> result.Result[int, changes.WriteFailure]:
        known = self.rows.get(rows.HOLDER_KEY)
        number = versions.get_number(known.version) if known else 0
        if number != versions.get_number(change.version):
            return result.Err(changes.WriteFailure.CONFLICT)
        if rows.format_epoch_key(change.unless_begun) in self.rows:
            return result.Err(changes.WriteFailure.CONFLICT)
        self.number += 1
        self._put(rows.HOLDER_KEY, rows.encode(change.row))
        for each in change.reports:
            key = rows.format_report_key(each.window, each.part)
            self._put(key, rows.encode(each))
        for epoch in change.epochs:
            self._put(rows.format_epoch_key(epoch), rows.EPOCH_VALUE)
        for key in change.removed:
            self.rows.pop(key, None)
        return result.Ok(self.version)

    def _put(self, key: str, value: bytes) -> None:
        self.rows[key] = catalogue.Row(key, value, self.version)


class Machine:
    """One machine and the duty lease of its process.

    Attributes:
        suspended_until: Until when its process is suspended.
        resumed_at: When its process was last resumed.
        reaches_store: Whether it reaches the store.
        reaches_others: Whether it reaches other instances.
    """

    def __init__(self, simulation: "Simulation", name: str, host: str) -> None:
        self.simulation = simulation
        self.name = name
        self.host = host
        self.alive = True
        self.suspended_until = 0.0
        self.resumed_at = -1.0
        self.reaches_store = True
        self.reaches_others = True
        self.start()

    def start(self) -> None:
        """Starts a new process."""
        simulation = self.simulation
        self.alive = True
        self.process = next(simulation.order)
        self.heard_at = simulation.now
        self.busy: set[type] = set()
        self.was_holder = False
        self.noticed_at = float("-inf")
        self.duty_lease = duty_lease.DutyLease(
            ids.InstanceId(self.name),
            self.host,
            TIMES,
            lambda: ids.WriteId(
                f"{self.host}-{simulation.rng.getrandbits(64)}"
            ),
            lambda offset_s: int((simulation.now + offset_s) // WINDOW_S),
        )

    @property
    def runs(self) -> bool:
        """Whether its process is running now."""
        return self.alive and self.simulation.now >= self.suspended_until


class Simulation:
    """The simulated machines, and the calls that reached the platform.

    Attributes:
        now: Simulated seconds.
        calls: Calls that reached the platform.
        loss: The fraction of the store's replies that is lost.
        delayed: The fraction of the store's calls that is delayed by seconds.
        max_latency_s: The highest latency of the platform.
        platform_up: Whether the platform replies.
        platform_loss: The fraction of the platform's replies that is lost.
        notice_interval_s: How often an instance tells others which windows the
            platform has.
        on_accepted: Called with the machine whose report the platform has just
            accepted, before that machine knows.
        ignores_expiry: Injects a fault: a process that was once the holder
            keeps acting as one.
    """

    ignores_expiry = False

    def __init__(self, seed: int, machines: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.order = itertools.count()
        self.calls: list[call_rules.ReceivedCall] = []
        self.acknowledged: dict[int, float] = {}
        self.loss = 0.0
        self.delayed = 0.0
        self.max_latency_s = 0.0
        self.platform_up = True
        self.platform_loss = 0.0
        self.notice_interval_s = 0.0
        self.on_accepted: Callable[[Machine], None] = lambda machine: None
        self.store = Store()
        self._events: list[tuple] = []
        self.machines = [
            Machine(self, f"m{n}", f"10.0.0.{n}") for n in range(machines)
        ]
        for each in self.machines:
            offset_s = self.rng.random() * _TICK_S
            self.call_in(offset_s, lambda each=each: self._tick(each))

    def call_in(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call."""
        moment = self.now + seconds
        heapq.heappush(self._events, (moment, next(self.order), call))

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def suspend(self, machine: Machine, seconds: float) -> None:
        """Suspends a machine's process; its clock keeps running."""
        machine.suspended_until = self.now + seconds
        machine.resumed_at = self.now + seconds

    def list_holders(self) -> list[Machine]:
        """Returns the machines whose process may perform the duties now."""
        return [
            each
            for each in self.machines
            if each.runs and each.duty_lease.holds(self.now)
        ]

    def _tick(self, machine: Machine) -> None:
        self.call_in(_TICK_S, lambda: self._tick(machine))
        if not machine.runs:
            return
        self._hear_holder(machine)
        now = self.now
        held_lease = machine.duty_lease
        is_holder = held_lease.holds(now)
        machine.was_holder = machine.was_holder or is_holder
        if is_holder or (self.ignores_expiry and machine.was_holder):
            self._add_work(machine)
            self._send(machine, held_lease.next_report(now))
            self._send(machine, held_lease.next_order(now))
        rank = self.machines.index(machine)
        silence_s = now - machine.heard_at
        call = held_lease.next_store_call(
            now, silence_s >= _HOLDER_TIMEOUT_S + rank * _RANK_DELAY_S
        )
        if call is not None:
            self._call_store(machine, call)

    def _hear_holder(self, machine: Machine) -> None:
        """Notes when a machine hears of a holder that it can reach."""
        for each in self.list_holders():
            if each is machine or (
                each.reaches_others and machine.reaches_others
            ):
                machine.heard_at = self.now
        if self.now < machine.noticed_at + self.notice_interval_s:
            return
        machine.noticed_at = self.now
        for each in self.machines:
            if each.runs and each.reaches_others and machine.reaches_others:
                machine.duty_lease.record_reported_through(
                    each.duty_lease.work_queue.reported_through
                )

    def _add_work(self, machine: Machine) -> None:
        held_lease = machine.duty_lease
        while True:
            window = held_lease.find_next_window(self.now)
            if self.now < (window + 1) * WINDOW_S + _SETTLED_S:
                break
            # The counts differ by machine, which shows whose report was stored.
            counts = {ids.AccountId(machine.name): self.rng.randint(1, 9)}
            report = messages.UsageReport(window, counts)
            held_lease.work_queue.add_report(report)
        if self.rng.random() < 0.05:
            order = rows.ScalingOrder(_POOL, self.rng.randint(1, 9))
            held_lease.work_queue.add_order(order)

    def _call_store(self, machine: Machine, call: messages.StoreCall) -> None:
        process = machine.process
        done = []

        def finish(answer) -> None:
            if done or machine.process != process or not machine.alive:
                return
            if not machine.runs:
                wait_s = machine.suspended_until - self.now + 0.001
                self.call_in(wait_s, lambda: finish(answer))
                return
            done.append(answer)
            if isinstance(call, messages.Read):
                machine.duty_lease.handle_rows(answer, self.now)
            else:
                machine.duty_lease.handle_commit(answer, self.now)

        def arrive() -> None:
            if isinstance(call, messages.Read):
                answer = result.Ok(self.store.read())
            else:
                answer = self.store.write(call)
            if machine.reaches_store and self.rng.random() >= self.loss:
                self.call_in(_LATENCY_S, lambda: finish(answer))

        if machine.reaches_store:
            latency_s = _LATENCY_S
            if self.rng.random() < self.delayed:
                latency_s += self.rng.uniform(1.0, 6.0)
            self.call_in(latency_s, arrive)
        failures = (
            catalogue.ReadFailure
            if isinstance(call, messages.Read)
            else changes.WriteFailure
        )
        no_answer = result.Err(failures.NO_ANSWER)
        self.call_in(_STORE_CALL_S, lambda: finish(no_answer))

    def _send(
        self, machine: Machine, call: messages.PlatformCall | None
    ) -> None:
        if call is None or type(call.work) in machine.busy:
            return
        if self.now >= call.deadline:
            return
        process, kind = machine.process, type(call.work)
        host = machine.host  # The machine may be replaced meanwhile.
        machine.busy.add(kind)
        excused = self.now - machine.resumed_at < RESUME_SLACK_S
        latency_s = _LATENCY_S + self.rng.random() * self.max_latency_s
        done = []

        def finish(reply: messages.Reply) -> None:
            if done or machine.process != process or not machine.alive:
                return
            if not machine.runs:
                wait_s = machine.suspended_until - self.now + 0.001
                self.call_in(wait_s, lambda: finish(reply))
                return
            done.append(reply)
            machine.busy.discard(kind)
            machine.duty_lease.work_queue.handle_reply(
                call.work, reply, self.now
            )

        def arrive() -> None:
            if not self.platform_up:
                return
            self.calls.append(
                call_rules.ReceivedCall(
                    self.now, host, call.fencing, call.work, excused
                )
            )
            self._accept(machine, call.work)
            if not self._is_reply_lost():
                self.call_in(_LATENCY_S, lambda: finish(messages.Reply.DONE))

        if latency_s < TIMES.order_s:
            self.call_in(latency_s, arrive)
        limit = messages.Reply.NO_ANSWER
        self.call_in(TIMES.order_s, lambda: finish(limit))

    def _accept(
        self, machine: Machine, work: messages.UsageReport | rows.ScalingOrder
    ) -> None:
        if isinstance(work, messages.UsageReport):
            self.acknowledged.setdefault(work.window, self.now)
            self.on_accepted(machine)

    def _is_reply_lost(self) -> bool:
        if not self.platform_loss:
            return False
        return self.rng.random() < self.platform_loss
