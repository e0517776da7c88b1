"""Simulates a store, an engine and instances that can pause at any step."""

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
TIMES = lease.LeaseTimes()
_WITHOUT_RATES = fake.configs.PlatformConfig(reads_per_s=1e6, writes_per_s=1e6)
LOST = result.Err(errors.Unanswered())


class FakeEngine:
    """Applies orders and asserts that they arrive in sequence."""

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
            in_order = entry[0] >= before[0] and entry[1] >= before[1]
            assert in_order, f"{entry} arrived after {before}"
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


class Simulation:
    """The clock, the store and the engine that the instances share."""

    def __init__(self, checks_fencing, model_endpoints=frozenset((ENDPOINT,))):
        self.clock = clock.ManualClock()
        self.platform = fake.FakePlatform(
            self.clock, fake.core.Platform(_WITHOUT_RATES)
        )
        self.table = self.platform.table
        self.engine = FakeEngine(checks_fencing)
        self.late_writes = []
        self.in_flight = []
        self.endpoints_by_model = {"m": model_endpoints}
        self.write_ids = (ids.WriteId(f"w{n}") for n in itertools.count())

    def find_row(self, key):
        return self.table.read(key).ok_value

    def put(self, key, value):
        put = platform_edges.Put(key, value)
        write_id = next(self.write_ids)
        self.table.commit(platform_edges.Transaction(write_id, puts=(put,)))

    def advance(self, seconds):
        """Advances the clock, and delivers orders that are due by then."""
        until = self.clock.monotonic() + seconds
        for flight in sorted(self.in_flight, key=lambda f: f.due):
            # An engine that checks fencing numbers may get an order any time
            # later: it refuses it.
            if flight.due <= until and not self.engine.checks_fencing:
                wait = flight.due - self.clock.monotonic()
                self.clock.advance(max(wait, 0.0))
                self.deliver(flight)
        self.clock.advance(until - self.clock.monotonic())

    def deliver(self, flight):
        """Applies an order, whose sender may be gone."""
        self.in_flight.remove(flight)
        return self.engine.apply(flight.order)


class Instance:
    """An instance with an order sender that can be interrupted at any step."""

    def __init__(self, simulation, name, rank=0):
        self.simulation = simulation
        self.name = name
        self.rank = rank
        self.models = ()
        self.executor = call_executor.CallExecutor(
            simulation.clock,
            simulation.table,
            simulation.platform.instances,
            simulation.platform.weights,
        )
        self.start()

    def start(self):
        """Starts a new process without any state."""
        self.step = None
        self.stage = ""
        self.answer = None
        self.flight = None
        self.sender = order_sender.OrderSender(
            ENDPOINT, DC, self.name, self.simulation.write_ids.__next__
        )
        self.sender.record_models(
            self.simulation.engine.read_models(), self.now()
        )
        self.set_models(*self.models)

    def set_models(self, *models):
        self.models = models
        desired = orders.Desired(
            models=self.models,
            checks_fencing=self.simulation.engine.checks_fencing,
        )
        self.sender.set_desired(desired, self.simulation.endpoints_by_model)

    def now(self):
        return self.simulation.clock.monotonic()

    def advance(self):
        """Runs the next stage; returns whether there was one."""
        if self.step is None:
            self.step = self.sender.next_step(self.now(), self.rank)
            self.stage = "decided" if self.step else ""
            return self.step is not None
        getattr(self, f"_leave_{self.stage}")()
        return True

    def lose_answer(self):
        """Loses the answer to the current step."""
        if isinstance(self.step, steps.SendOrder):
            if self.stage == "sent":
                self._drop_flight()
            self.answer = result.Err(edges.Unanswered())
        else:
            self.answer = LOST
        self.stage = "answered"

    def delay_write(self):
        """Lets the write time out, and take effect later."""
        self.simulation.late_writes.append(self.step.transaction)
        self.answer = LOST
        self.stage = "answered"

    def refuse(self):
        """Fails the current step without effect."""
        failure = errors.Unavailable()
        if isinstance(self.step, steps.SendOrder):
            failure = edges.Unreachable()
        self.answer = result.Err(failure)
        self.stage = "answered"

    def _leave_decided(self):
        call = calls.RunStep(ENDPOINT, self.step)
        answer = self.executor.execute(call, self)
        if self.flight in self.simulation.in_flight:
            self.stage = "sent"
            return
        self.answer = answer
        self.stage = "answered"

    def give_order(self, order):
        """Sends the order; the engine answers in the next stage."""
        self.flight = InFlight(order, self.now() + TIMES.order_s)
        self.simulation.in_flight.append(self.flight)

    def _leave_sent(self):
        if self.flight in self.simulation.in_flight:
            self.answer = self.simulation.deliver(self.flight)
        else:
            self.answer = result.Ok(None)  # Delivered during a pause.
        self.flight = None
        self.stage = "answered"

    def _drop_flight(self):
        """Leaves the order in flight; its answer is lost."""
        self.flight = None

    def _leave_answered(self):
        step, answer = self.step, self.answer
        self.step = self.answer = None
        match step:
            case steps.Read():
                self.sender.handle_row(answer, self.now())
            case steps.Write():
                self.sender.handle_commit(answer, self.now())
            case steps.RequestPermit():
                self.sender.handle_permit(answer, self.now())
            case steps.SendOrder():
                self.sender.handle_order(answer, self.now())


def run_without_faults(simulation, instances, seconds=600.0, period=1.0):
    """Runs the instances for some seconds without faults."""
    for _ in range(int(seconds / period)):
        for instance in instances:
            for _ in range(40):
                if not instance.advance():
                    break
        simulation.advance(period)
