"""Instances interleaved at every call, with every fault: one run at most."""

import itertools
import queue
import threading

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from pollenfork import failures
from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger.tests import harness

NAMES = ("entry-1", "entry-2", "entry-3")
KEYS = [keys.RequestKey("settlement", name) for name in "ab"]
REQUESTS = [b"post 7 kWh", b"post 7 kWh", b"post 7 kWh", b"post 8 kWh"]
RETENTION_S = harness.LIMITS.retention_s
_here = threading.local()


class Job:
    """A thread that halts before each step until it is given a fault."""

    def __init__(self, instance, work):
        self.instance = instance
        self.verdict = None
        self.ended = False
        self._faults = queue.SimpleQueue()
        self._halts = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, args=(work,))
        self._thread.start()
        self._await_halt()

    def step(self, fault):
        self._faults.put(fault)
        self._await_halt()

    def halt(self):
        self._halts.put(False)
        return self._faults.get()

    def _await_halt(self):
        self.ended = self._halts.get()
        if self.ended:
            self._thread.join()

    def _run(self, work):
        _here.job = self
        try:
            self.verdict = work()
        except harness.Crash:
            pass
        finally:
            self._halts.put(True)


def choose_fault():
    """The fault for a step: a job's is given to it, others have none."""
    job = getattr(_here, "job", None)
    return job.halt() if job else harness.Fault.NONE


class CheckedWorld(harness.World):
    """Checks at each sending that the claim was rightly granted."""

    def __init__(self):
        super().__init__()
        self.faults = []  # Failed checks in threads.

    def list_runs(self, key):
        """Returns the key's runs that its record must still know."""
        since = self.clock.wall() - RETENTION_S
        return [run for run in self.runs if run.key == key and run.at > since]

    def send(self, key, request, sending):
        if self.list_runs(key):
            self.faults.append(f"a second claim of {key.key} was granted")
        return super().send(key, request, sending)


class AtMostOnce(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = CheckedWorld()
        self.instances = {name: self.start(name) for name in NAMES}
        self.jobs = []
        self.crashed = False

    def start(self, name):
        instance = self.world.start(name)
        instance.choose_fault = choose_fault
        return instance

    @stateful.precondition(lambda self: len(self.jobs) < 3)
    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        key=strategies.sampled_from([KEYS[0], *KEYS]),
        request=strategies.sampled_from(REQUESTS),
        sending=strategies.sampled_from(
            [harness.Sending.RUN] * 3 + list(harness.Sending)
        ),
    )
    def submit(self, name, key, request, sending):
        instance = self.instances[name]

        def work():
            verdict = instance.submit(key, request, sending)
            self.check(key, request, verdict)
            return verdict

        self.add(Job(instance, work))

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        removals=strategies.sampled_from([1, 10]),
    )
    def sweep(self, name, removals):
        instance = self.instances[name]
        self.add(Job(instance, lambda: instance.ledger.sweep(removals)))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def settle(self, name):
        instance = self.instances[name]
        self.add(Job(instance, instance.ledger.retry_deferred))

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(
        number=strategies.integers(0, 7),
        faults=strategies.lists(
            strategies.sampled_from(
                [harness.Fault.NONE] * 20 + list(harness.Fault)
            ),
            min_size=1,
            max_size=3,
        ),
    )
    def go_on(self, number, faults):
        job = self.jobs[number % len(self.jobs)]
        for fault in faults:
            if not job.ended:
                job.step(fault)
        self.forget_ended()

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(number=strategies.integers(0, 7))
    def finish(self, number):
        job = self.jobs[number % len(self.jobs)]
        while not job.ended:
            job.step(harness.Fault.NONE)
        self.forget_ended()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def outlast(self, name):
        """Every record ends and expires, whoever still holds it."""
        self.world.clock.advance(harness.LIMITS.longest_run_s)
        if not self.instances[name].dead:
            self.instances[name].ledger.sweep(0)
            self.instances[name].ledger.sweep(0)
        self.world.clock.advance(RETENTION_S)

    @stateful.rule(
        seconds=strategies.sampled_from([1.0, 450.0, 950.0, RETENTION_S])
    )
    def advance(self, seconds):
        self.world.clock.advance(seconds)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def suspect(self, name):
        """Membership calls it gone, rightly or not."""
        owner = self.instances[name].owner
        self.world.gone.add((owner.instance, owner.incarnation))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def replace(self, name):
        """Ends the instance, unless it has ended, and starts it again."""
        self.instances[name].dead = True
        self.crashed = True
        self.instances[name] = self.start(name)

    @stateful.invariant()
    def nothing_ran_twice(self):
        assert self.world.faults == []
        for key in KEYS:
            times = [run.at for run in self.world.runs if run.key == key]
            for earlier, later in itertools.pairwise(times):
                assert later - earlier >= RETENTION_S

    def add(self, job):
        self.jobs.append(job)
        self.forget_ended()

    def forget_ended(self):
        self.crashed |= any(job.instance.dead for job in self.jobs)
        self.jobs = [job for job in self.jobs if not job.ended]

    def check(self, key, request, verdict):
        """Compares what a caller is told with what ran."""
        ran = [
            run
            for run in self.world.runs
            if (run.key, run.request) == (key, request)
        ]
        if isinstance(verdict, errors.Replay):
            wrong = verdict.answer.body not in [run.answer for run in ran]
        elif isinstance(verdict, errors.KeyReused):
            wrong = any(run in ran for run in self.world.list_runs(key))
        elif isinstance(verdict, errors.LedgerRefusal):
            wrong = verdict.outcome is failures.Outcome.DONE and not ran
        else:
            wrong = verdict is harness.Told.DONE and not ran
        if wrong:
            self.world.faults.append(f"told {verdict!r}, but ran: {ran}")

    def teardown(self):
        """Heals everything: each key must then have a lasting answer."""
        while self.jobs:
            self.jobs[0].step(harness.Fault.NONE)
            self.forget_ended()
        self.nothing_ran_twice()
        for instance in self.instances.values():
            if not instance.dead:
                assert instance.ledger.retry_deferred() == 0
        alive = {i.owner for i in self.instances.values() if not i.dead}
        self.world.is_gone = lambda *owner: (
            not any(owner == (one.instance, one.incarnation) for one in alive)
        )
        for key in KEYS:
            self.check_lasting(key)
        self.nothing_ran_twice()

    def check_lasting(self, key):
        ran = self.world.list_runs(key)
        request = ran[-1].request if ran else REQUESTS[0]
        last = self.start("entry-4")
        verdict = last.submit(key, request)
        self.check(key, request, verdict)
        lasting = {"DONE", "Replay", "UnknownOutcome", "KeyReused"}
        if self.crashed:
            lasting |= {"AnswerUnavailable", "AnswerNotKept"}
        assert harness.name_verdict(verdict) in lasting
        assert not ran or verdict is not harness.Told.DONE


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
