"""Instances, the store and the platform in simulated time, with faults."""

from collections.abc import Callable
import heapq
import itertools
import random

import result

from pollenfork import ids
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import messages
from pollenfork.duties import office
from pollenfork.duties import rows
from pollenfork.duties.tests import judge
from pollenfork.leases import lease

ALTERNATION_S = 3.0
WINDOW_S = 5.0
DUE_S = 10.0
LIMITS = lease.Limits(lease_s=3.6, order_s=0.8, margin_s=0.3)
THAW_SLACK_S = 0.3
_TICK_S = 0.1
_WAY_S = 0.002
_STORE_CALL_S = 1.0
_SILENT_S = 1.2
_RANK_S = 0.4
_SETTLED_S = 0.3
_SUBJECT = rows.Subject(
    ids.ServiceName("s"), ids.DataCentre("a"), reclaimable=False
)


class Store:
    """Rows that change under conditions."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[str, catalogue.Row] = {}

    def read(self) -> catalogue.Rows:
        return catalogue.Rows(tuple(self.rows.values()), self.version)

    def write(
        self, change: messages.Write
    ) -> result.Result[int, changes.WriteFailure]:
        known = self.rows.get(rows.HOLDER_KEY)
        if (known.version if known else 0) != change.version:
            return result.Err(changes.WriteFailure.CONFLICT)
        self.version += 1
        self._put(rows.HOLDER_KEY, rows.encode(change.row))
        for each in change.reports:
            key = rows.report_key(each.window, each.part)
            self._put(key, rows.encode(each))
        for key in change.removed:
            self.rows.pop(key, None)
        return result.Ok(self.version)

    def _put(self, key: str, value: bytes) -> None:
        self.rows[key] = catalogue.Row(key, value, self.version)


class Machine:
    """One machine and the office of its process.

    Attributes:
        frozen_until: Until when it stands still.
        thawed_at: When it last went on after that.
        to_store: Whether it reaches the store.
        to_others: Whether it reaches other instances.
    """

    def __init__(self, world: "World", name: str, host: str) -> None:
        self.world = world
        self.name = name
        self.host = host
        self.alive = True
        self.frozen_until = 0.0
        self.thawed_at = -1.0
        self.to_store = True
        self.to_others = True
        self.start()

    def start(self) -> None:
        """Starts the process anew."""
        world = self.world
        self.alive = True
        self.process = next(world.order)
        self.heard_at = world.now
        self.busy: set[type] = set()
        self.has_held = False
        self.office = office.Office(
            ids.InstanceId(self.name),
            self.host,
            LIMITS,
            lambda: ids.WriteId(f"{self.host}-{world.rng.getrandbits(64)}"),
            lambda: int(world.now // WINDOW_S),
        )

    @property
    def runs(self) -> bool:
        """Whether it runs now."""
        return self.alive and self.world.now >= self.frozen_until


class World:
    """Everything, and what reached the platform.

    Attributes:
        now: Simulated seconds.
        calls: What reached the platform.
        lost: The part of the store's answers that is lost.
        late: The part of its writes that are done seconds later.
        slow_s: How long the platform takes, at most.
        platform_up: Whether the platform answers.
        careless: A planted fault: whoever held once acts on.
    """

    careless = False

    def __init__(self, seed: int, machines: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.order = itertools.count()
        self.calls: list[judge.Called] = []
        self.acknowledged: dict[int, float] = {}
        self.lost = 0.0
        self.late = 0.0
        self.slow_s = 0.0
        self.platform_up = True
        self.store = Store()
        self._events: list[tuple] = []
        self.machines = [
            Machine(self, f"m{n}", f"10.0.0.{n}") for n in range(machines)
        ]
        for each in self.machines:
            phase_s = self.rng.random() * _TICK_S
            self.call_in(phase_s, lambda each=each: self._tick(each))

    def call_in(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls `call` later."""
        moment = self.now + seconds
        heapq.heappush(self._events, (moment, next(self.order), call))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def freeze(self, machine: Machine, seconds: float) -> None:
        """Lets a machine stand still; its clock goes on."""
        machine.frozen_until = self.now + seconds
        machine.thawed_at = self.now + seconds

    def list_holders(self) -> list[Machine]:
        """Returns the machines that may act now."""
        return [
            each
            for each in self.machines
            if each.runs and each.office.holds(self.now)
        ]

    def _tick(self, machine: Machine) -> None:
        self.call_in(_TICK_S, lambda: self._tick(machine))
        if not machine.runs:
            return
        self._hear(machine)
        now = self.now
        office = machine.office
        held = office.holds(now)
        machine.has_held = machine.has_held or held
        if held or (self.careless and machine.has_held):
            self._add_work(machine)
            self._send(machine, office.next_report(now))
            self._send(machine, office.next_order(now))
        rank = self.machines.index(machine)
        silent_s = now - machine.heard_at
        step = office.next_step(now, silent_s >= _SILENT_S + rank * _RANK_S)
        if step is not None:
            self._ask_store(machine, step)

    def _hear(self, machine: Machine) -> None:
        """Takes the word of a holder, where it can be heard."""
        for each in self.list_holders():
            if each is machine or (each.to_others and machine.to_others):
                machine.heard_at = self.now

    def _add_work(self, machine: Machine) -> None:
        office = machine.office
        while self.now >= (office.next_window + 1) * WINDOW_S + _SETTLED_S:
            # Each machine counts something else: who writes first is frozen.
            counts = {ids.AccountId(machine.name): self.rng.randint(1, 9)}
            report = messages.Report(office.next_window, counts)
            office.agenda.add_report(report)
        if self.rng.random() < 0.05:
            order = rows.Order(_SUBJECT, self.rng.randint(1, 9))
            office.agenda.add_order(order)

    def _ask_store(self, machine: Machine, step: messages.Step) -> None:
        process = machine.process
        done = []

        def tell(answer) -> None:
            if done or machine.process != process or not machine.alive:
                return
            if not machine.runs:
                wait_s = machine.frozen_until - self.now + 0.001
                self.call_in(wait_s, lambda: tell(answer))
                return
            done.append(answer)
            if isinstance(step, messages.Read):
                machine.office.take_rows(answer, self.now)
            else:
                machine.office.take_commit(answer, self.now)

        def arrive() -> None:
            if isinstance(step, messages.Read):
                answer = result.Ok(self.store.read())
            else:
                answer = self.store.write(step)
            if machine.to_store and self.rng.random() >= self.lost:
                self.call_in(_WAY_S, lambda: tell(answer))

        if machine.to_store:
            way_s = _WAY_S
            if self.rng.random() < self.late:
                way_s += self.rng.uniform(1.0, 6.0)
            self.call_in(way_s, arrive)
        trouble = (
            catalogue.ReadFailure
            if isinstance(step, messages.Read)
            else changes.WriteFailure
        )
        no_answer = result.Err(trouble.NO_ANSWER)
        self.call_in(_STORE_CALL_S, lambda: tell(no_answer))

    def _send(self, machine: Machine, task: messages.Task | None) -> None:
        if task is None or type(task.work) in machine.busy:
            return
        if self.now >= task.before:
            return
        process, kind = machine.process, type(task.work)
        host = machine.host  # Another one may take its name meanwhile.
        machine.busy.add(kind)
        excused = self.now - machine.thawed_at < THAW_SLACK_S
        way_s = _WAY_S + self.rng.random() * self.slow_s
        done = []

        def tell(reply: messages.Reply) -> None:
            if done or machine.process != process or not machine.alive:
                return
            if not machine.runs:
                wait_s = machine.frozen_until - self.now + 0.001
                self.call_in(wait_s, lambda: tell(reply))
                return
            done.append(reply)
            machine.busy.discard(kind)
            machine.office.agenda.take_reply(task.work, reply, self.now)

        def arrive() -> None:
            if not self.platform_up:
                return
            self.calls.append(
                judge.Called(self.now, host, task.fencing, task.work, excused)
            )
            if isinstance(task.work, messages.Report):
                self.acknowledged.setdefault(task.work.window, self.now)
            self.call_in(_WAY_S, lambda: tell(messages.Reply.DONE))

        if way_s < LIMITS.order_s:
            self.call_in(way_s, arrive)
        limit = messages.Reply.NO_ANSWER
        self.call_in(LIMITS.order_s, lambda: tell(limit))
