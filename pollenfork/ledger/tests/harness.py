"""Simulated instances on a shared platform, with an endpoint."""

import collections
from collections.abc import Callable
import enum
import itertools

import msgspec

from pollenfork import clock
from pollenfork.ledger import claiming
from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger import ledger
from pollenfork.standin.platform import config
from pollenfork.standin.platform import core
from pollenfork.standin.platform import fake

LIMITS = claiming.Limits()


class Fault(enum.Enum):
    """The fault at one step of an instance."""

    NONE = "none"
    DOWN = "down"
    THROTTLED = "throttled"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"


_PLATFORM_FAULTS = {
    Fault.DOWN: config.Faults(down=True),
    Fault.THROTTLED: config.Faults(throttle=True),
    Fault.LOST_BEFORE: config.Faults(lose=config.Loss.BEFORE_EFFECT),
    Fault.LOST_AFTER: config.Faults(lose=config.Loss.AFTER_EFFECT),
}


class Delivery(enum.Enum):
    """How the endpoint handles a request."""

    RUN = "run"
    REFUSED = "refused"  # Certainly not run.
    CUT_BEFORE = "cut_before"  # Not run, but the instance can't know.
    CUT_AFTER = "cut_after"


class ToldOutcome(enum.Enum):
    """Outcome that a client is told after its claim was granted."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Run(msgspec.Struct, frozen=True):
    """One actual run of a request at the endpoint."""

    key: keys.RequestKey
    request: bytes
    at: float
    answer: bytes


class Crash(BaseException):
    """The instance's process ended."""


class Simulation:
    """The platform, the endpoint and the processes known to have ended."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.state = core.Platform(
            config.PlatformConfig(reads_per_s=1e9, writes_per_s=1e9)
        )
        self.runs: list[Run] = []
        self.ended = set()
        self.incarnations = itertools.count(1)
        self.id_numbers = itertools.count(1)

    def is_gone(self, instance, incarnation):
        return (instance, incarnation) in self.ended

    def start(self, name):
        return Instance(self, name, next(self.incarnations))

    def send(self, key, request, delivery):
        """Returns the answer, or None if it was lost or the request refused."""
        if delivery in (Delivery.RUN, Delivery.CUT_AFTER):
            answer = b"answer %d" % len(self.runs)
            now = self.clock.wall()
            self.runs.append(Run(key, request, now, answer))
            return answer if delivery is Delivery.RUN else None
        return None

    def count_runs(self, key):
        return sum(run.key == key for run in self.runs)


class Instance:
    """One process of an instance; `choose_fault` is called at each step."""

    def __init__(self, simulation, name, incarnation):
        self.simulation = simulation
        self.owner = claiming.Owner(name, incarnation)
        self.dead = False
        self.choose_fault: Callable[[], Fault] = lambda: Fault.NONE
        self.events = collections.Counter()
        self.platform = fake.FakePlatform(simulation.clock, simulation.state)
        self.ledger = self.make_ledger(
            StepwiseService(self, self.platform.table),
            StepwiseService(self, self.platform.objects),
        )

    def make_ledger(self, table, objects):
        deps = ledger.Dependencies(
            get_owner=lambda: self.owner,
            table=table,
            objects=objects,
            owners=self.simulation,
            now=self.simulation.clock,
            new_id=lambda: f"{next(self.simulation.id_numbers):016x}",
            limits=LIMITS,
            count=lambda event: self.events.update([event]),
        )
        return ledger.Ledger(deps)

    def step(self, call=lambda: None):
        """Performs one step with the fault chosen for it."""
        fault = self.choose_fault()
        if self.dead or fault is Fault.CRASH_BEFORE:
            self.dead = True
            raise Crash
        self.platform.set_faults(_PLATFORM_FAULTS.get(fault, config.Faults()))
        answer = call()
        self.platform.set_faults(config.Faults())
        if fault is Fault.CRASH_AFTER:
            self.dead = True
            raise Crash
        return answer

    def submit(self, key, request=b"post 7 kWh", delivery=Delivery.RUN):
        """Handles one keyed request as the entry does."""
        simulation = self.simulation
        fingerprint = keys.compute_fingerprint("POST", "/postings", request)
        claim_result = self.ledger.claim(
            key, fingerprint, simulation.clock.wall()
        )
        if claim_result.is_err():
            return claim_result.unwrap_err()
        with claim_result.unwrap() as claim:
            self.step()
            if not claim.may_send():
                claim.record_not_run()
                return ToldOutcome.NOT_RUN
            answer = simulation.send(key, request, delivery)
            self.step()
            if delivery is Delivery.REFUSED:
                claim.record_not_run()
                return ToldOutcome.NOT_RUN
            if answer is None:
                return ToldOutcome.UNKNOWN
            claim.record_done(200, [("X-Run", "1")], answer)
            return ToldOutcome.DONE

    def submit_until_crash(self, *args):
        try:
            return self.submit(*args)
        except Crash:
            return None


class StepwiseService:
    """A platform service; each call to it is a step of the instance."""

    def __init__(self, instance, service):
        self._instance = instance
        self._service = service

    def __getattr__(self, name):
        call = getattr(self._service, name)
        return lambda *args: self._instance.step(lambda: call(*args))


def get_result_name(claim_result):
    """Returns the name of a refusal's type or of the outcome told."""
    if isinstance(claim_result, errors.LedgerRefusal):
        return type(claim_result).__name__
    return claim_result.name
