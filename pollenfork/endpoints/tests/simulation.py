"""A table, an engine and holders that can be paused between any two steps."""

import itertools

import msgspec
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.endpoints import call_executor
from pollenfork.endpoints import calls
from pollenfork.endpoints import edges
from pollenfork.endpoints import order_sender
from pollenfork.endpoints import orders
from pollenfork.endpoints import steps
from pollenfork.leases import lease
from pollenfork.standin.platform import fake
from pollenfork.store import edges as platform_edges
from pollenfork.store import errors

ENDPOINT = ids.EndpointId("e1")
DC = ids.DataCentre("dc1")
LIMITS = lease.LeaseTimes()
_WITHOUT_RATES = fake.configs.PlatformConfig(reads_per_s=1e6, writes_per_s=1e6)
LOST = result.Err(errors.Unanswered())


class Engine:
    """Applies orders; says which came out of turn."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.applied = []  # (fencing, sequence, kind, argument)
        self.highest = 0

    def apply(self, order):
        if self.checks_fencing and order.fencing < self.highest:
            return result.Err(edges.Fenced())
        self.highest = max(self.highest, order.fencing)
        sequence = int(order.order_id.partition(":")[2])
        entry = (order.fencing, sequence, order.kind, order.argument)
        if self.applied:
            before = self.applied[-1]
            in_turn = entry[0] >= before[0] and entry[1] >= before[1]
            assert in_turn, f"{entry} came after {before}"
        self.applied.append(entry)
        return result.Ok(None)

    def read_models(self):
        """Returns the models that the applied orders leave loaded."""
        models = {}
        for _, _, kind, argument in self.applied:
            if kind is edges.OrderKind.LOAD_MODEL:
                models[argument.partition("@")[0]] = argument
        return tuple(models.values())


class InFlight(msgspec.Struct):
    """An order on its way to the engine."""

    order: edges.Order
    due: float


class World:
    """Everything that instances share, at one time."""

    def __init__(self, checks_fencing, carriers=frozenset((ENDPOINT,))):
        self.clock = clock.ManualClock()
        self.platform = fake.FakePlatform(
            self.clock, fake.core.Platform(_WITHOUT_RATES)
        )
        self.table = self.platform.table
        self.engine = Engine(checks_fencing)
        self.late_writes = []
        self.in_flight = []
        self.carriers = {"m": carriers}
        self.write_ids = (ids.WriteId(f"w{n}") for n in itertools.count())

    def find_row(self, key):
        return self.table.read(key).ok_value

    def put(self, key, value):
        put = platform_edges.Put(key, value)
        write_id = next(self.write_ids)
        self.table.commit(platform_edges.Transaction(write_id, puts=(put,)))

    def advance(self, seconds):
        """Moves the clock; an order in flight lands within its time."""
        until = self.clock.monotonic() + seconds
        for flight in sorted(self.in_flight, key=lambda f: f.due):
            # A fenced engine guards itself, however late the order comes.
            if flight.due <= until and not self.engine.checks_fencing:
                wait = flight.due - self.clock.monotonic()
                self.clock.advance(max(wait, 0.0))
                self.land(flight)
        self.clock.advance(until - self.clock.monotonic())

    def land(self, flight):
        """The engine acts on an order whose sender may be gone."""
        self.in_flight.remove(flight)
        return self.engine.apply(flight.order)


class Instance:
    """One holder whose every step can be interrupted."""

    def __init__(self, world, name, rank=0):
        self.world = world
        self.name = name
        self.rank = rank
        self.models = ()
        self.caller = call_executor.CallExecutor(
            world.clock,
            world.table,
            world.platform.instances,
            world.platform.weights,
        )
        self.start()

    def start(self):
        """A new process: nothing is remembered."""
        self.step = None
        self.stage = ""
        self.answer = None
        self.flight = None
        self.holder = order_sender.OrderSender(
            ENDPOINT, DC, self.name, self.world.write_ids.__next__
        )
        self.holder.record_models(self.world.engine.read_models(), self.now())
        self.wish(*self.models)

    def wish(self, *models):
        self.models = models
        desired = orders.Desired(
            models=self.models,
            checks_fencing=self.world.engine.checks_fencing,
        )
        self.holder.set_desired(desired, self.world.carriers)

    def now(self):
        return self.world.clock.monotonic()

    def move(self):
        """Goes on by one stage; returns whether there was one."""
        if self.step is None:
            self.step = self.holder.next_step(self.now(), self.rank)
            self.stage = "decided" if self.step else ""
            return self.step is not None
        getattr(self, f"_leave_{self.stage}")()
        return True

    def lose_answer(self):
        """The answer to the step under way gets lost."""
        if isinstance(self.step, steps.SendOrder):
            if self.stage == "sent":
                self._forget_flight()
            self.answer = result.Err(edges.Unanswered())
        else:
            self.answer = LOST
        self.stage = "answered"

    def delay_write(self):
        """The write takes effect later than its caller waits."""
        self.world.late_writes.append(self.step.transaction)
        self.answer = LOST
        self.stage = "answered"

    def refuse(self):
        """The step has no effect, and its caller is told so."""
        failure = errors.Unavailable()
        if isinstance(self.step, steps.SendOrder):
            failure = edges.Unreachable()
        self.answer = result.Err(failure)
        self.stage = "answered"

    def _leave_decided(self):
        call = calls.RunStep(ENDPOINT, self.step)
        answer = self.caller.execute(call, self)
        if self.flight in self.world.in_flight:
            self.stage = "sent"
            return
        self.answer = answer
        self.stage = "answered"

    def give_order(self, order):
        """Sends the order; the engine's answer comes with the next stage."""
        self.flight = InFlight(order, self.now() + LIMITS.order_s)
        self.world.in_flight.append(self.flight)

    def _leave_sent(self):
        if self.flight in self.world.in_flight:
            self.answer = self.world.land(self.flight)
        else:
            self.answer = result.Ok(None)  # It landed while we were paused.
        self.flight = None
        self.stage = "answered"

    def _forget_flight(self):
        """The order goes on alone; nobody hears what becomes of it."""
        self.flight = None

    def _leave_answered(self):
        step, answer = self.step, self.answer
        self.step = self.answer = None
        match step:
            case steps.Read():
                self.holder.handle_row(answer, self.now())
            case steps.Write():
                self.holder.handle_commit(answer, self.now())
            case steps.RequestPermit():
                self.holder.handle_permit(answer, self.now())
            case steps.SendOrder():
                self.holder.handle_order(answer, self.now())


def settle(world, instances, seconds=600.0, period=1.0):
    """Lets the instances go on without faults for so many seconds."""
    for _ in range(int(seconds / period)):
        for instance in instances:
            for _ in range(40):
                if not instance.move():
                    break
        world.advance(period)
