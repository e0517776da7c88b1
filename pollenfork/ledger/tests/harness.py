"""Instances that share a platform, an endpoint that counts its runs."""

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
    """What goes wrong at one step of an instance."""

    NONE = "none"
    DOWN = "down"
    THROTTLED = "throttled"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"


_FAULTS = {
    Fault.DOWN: config.Faults(down=True),
    Fault.THROTTLED: config.Faults(throttle=True),
    Fault.LOST_BEFORE: config.Faults(lose=config.Loss.BEFORE_EFFECT),
    Fault.LOST_AFTER: config.Faults(lose=config.Loss.AFTER_EFFECT),
}


class Sending(enum.Enum):
    """What the endpoint makes of a request."""

    RUN = "run"
    REFUSED = "refused"  # Proved not run.
    CUT_BEFORE = "cut_before"  # Not run, but the caller can't know.
    CUT_AFTER = "cut_after"


class Told(enum.Enum):
    """What the caller hears where the claim was granted."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Run(msgspec.Struct, frozen=True):
    """One real run at the endpoint."""

    key: keys.RequestKey
    request: bytes
    at: float
    answer: bytes


class Crash(BaseException):
    """The instance ended; nothing of it runs any more."""


class World:
    """The platform, the endpoint, and who is known to be gone."""

    def __init__(self):
        self.clock = clock.ManualClock()
        self.state = core.Platform(
            config.PlatformConfig(reads_per_s=1e9, writes_per_s=1e9)
        )
        self.runs: list[Run] = []
        self.gone = set()
        self.incarnations = itertools.count(1)
        self.numbers = itertools.count(1)

    def is_gone(self, instance, incarnation):
        return (instance, incarnation) in self.gone

    def start(self, name):
        return Instance(self, name, next(self.incarnations))

    def send(self, key, request, sending):
        """Returns the answer, or None where it was lost or refused."""
        if sending in (Sending.RUN, Sending.CUT_AFTER):
            answer = b"answer %d" % len(self.runs)
            now = self.clock.wall()
            self.runs.append(Run(key, request, now, answer))
            return answer if sending is Sending.RUN else None
        return None

    def count_runs(self, key):
        return sum(run.key == key for run in self.runs)


class Instance:
    """One process start; `choose_fault` is asked at each step."""

    def __init__(self, world, name, incarnation):
        self.world = world
        self.owner = claiming.Owner(name, incarnation)
        self.dead = False
        self.choose_fault: Callable[[], Fault] = lambda: Fault.NONE
        self.events = collections.Counter()
        self.platform = fake.FakePlatform(world.clock, world.state)
        self.ledger = self.make_ledger(
            Wire(self, self.platform.table), Wire(self, self.platform.objects)
        )

    def make_ledger(self, table, objects):
        parts = ledger.Dependencies(
            get_owner=lambda: self.owner,
            table=table,
            objects=objects,
            owners=self.world,
            now=self.world.clock,
            new_id=lambda: f"{next(self.world.numbers):016x}",
            limits=LIMITS,
            count=lambda event: self.events.update([event]),
        )
        return ledger.Ledger(parts)

    def step(self, act=lambda: None):
        """Does one step under the fault that is chosen for it."""
        fault = self.choose_fault()
        if self.dead or fault is Fault.CRASH_BEFORE:
            self.dead = True
            raise Crash
        self.platform.set_faults(_FAULTS.get(fault, config.Faults()))
        answer = act()
        self.platform.set_faults(config.Faults())
        if fault is Fault.CRASH_AFTER:
            self.dead = True
            raise Crash
        return answer

    def submit(self, key, request=b"post 7 kWh", sending=Sending.RUN):
        """Does what the entry does for one keyed request."""
        world = self.world
        fingerprint = keys.compute_fingerprint("POST", "/postings", request)
        verdict = self.ledger.claim(key, fingerprint, world.clock.wall())
        if verdict.is_err():
            return verdict.unwrap_err()
        with verdict.unwrap() as claim:
            self.step()
            if not claim.may_send():
                claim.record_not_run()
                return Told.NOT_RUN
            answer = world.send(key, request, sending)
            self.step()
            if sending is Sending.REFUSED:
                claim.record_not_run()
                return Told.NOT_RUN
            if answer is None:
                return Told.UNKNOWN
            claim.record_done(200, [("X-Run", "1")], answer)
            return Told.DONE

    def submit_until_crash(self, *asked):
        try:
            return self.submit(*asked)
        except Crash:
            return None


class Wire:
    """A service of the platform, reached step by step."""

    def __init__(self, instance, service):
        self._instance = instance
        self._service = service

    def __getattr__(self, name):
        call = getattr(self._service, name)
        return lambda *args: self._instance.step(lambda: call(*args))


def name_verdict(verdict):
    """Returns the name of a refusal's type, or of what was told."""
    if isinstance(verdict, errors.LedgerRefusal):
        return type(verdict).__name__
    return verdict.name
