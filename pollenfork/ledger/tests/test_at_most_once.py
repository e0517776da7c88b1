"""At-most-once runs under all faults and interleavings of platform calls."""

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
_thread_local = threading.local()


class Job:
    """Runs a function in a thread, one step at a time.

    The thread waits before each step until `step` supplies its fault.
    """

    def __init__(self, instance, work):
        self.instance = instance
        self.outcome = None
        self.ended = False
        self._faults = queue.SimpleQueue()
        self._pauses = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, args=(work,))
        self._thread.start()
        self._wait_for_pause()

    def step(self, fault):
        self._faults.put(fault)
        self._wait_for_pause()

    def wait_for_fault(self):
        self._pauses.put(False)
        return self._faults.get()

    def _wait_for_pause(self):
        self.ended = self._pauses.get()
        if self.ended:
            self._thread.join()

    def _run(self, work):
        _thread_local.job = self
        try:
            self.outcome = work()
        except harness.Crash:
            pass
        finally:
            self._pauses.put(True)


def choose_fault():
    """Returns the fault for the current step; none outside of jobs."""
    job = getattr(_thread_local, "job", None)
    return job.wait_for_fault() if job else harness.Fault.NONE


class CheckedSimulation(harness.Simulation):
    """Checks at each sent request that its claim was granted correctly."""

    def __init__(self):
        super().__init__()
        self.violations = []  # Checks that failed, in any thread.

    def list_runs(self, key):
        """Returns the key's runs within the retention time."""
        since = self.clock.wall() - RETENTION_S
        return [run for run in self.runs if run.key == key and run.at > since]

    def send(self, key, request, delivery):
        if self.list_runs(key):
            self.violations.append(f"a second claim of {key.key} was granted")
        return super().send(key, request, delivery)


class AtMostOnce(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.simulation = CheckedSimulation()
        self.instances = {name: self.start(name) for name in NAMES}
        self.jobs = []
        self.crashed = False

    def start(self, name):
        instance = self.simulation.start(name)
        instance.choose_fault = choose_fault
        return instance

    @stateful.precondition(lambda self: len(self.jobs) < 3)
    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        key=strategies.sampled_from([KEYS[0], *KEYS]),
        request=strategies.sampled_from(REQUESTS),
        delivery=strategies.sampled_from(
            [harness.Delivery.RUN] * 3 + list(harness.Delivery)
        ),
    )
    def submit(self, name, key, request, delivery):
        instance = self.instances[name]

        def work():
            outcome = instance.submit(key, request, delivery)
            self.check(key, request, outcome)
            return outcome

        self.add(Job(instance, work))

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        removals=strategies.sampled_from([1, 10]),
    )
    def sweep(self, name, removals):
        instance = self.instances[name]
        self.add(Job(instance, lambda: instance.ledger.sweep(removals)))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def retry_deferred(self, name):
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
    def run_steps(self, number, faults):
        job = self.jobs[number % len(self.jobs)]
        for fault in faults:
            if not job.ended:
                job.step(fault)
        self.remove_ended()

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(number=strategies.integers(0, 7))
    def finish(self, number):
        job = self.jobs[number % len(self.jobs)]
        while not job.ended:
            job.step(harness.Fault.NONE)
        self.remove_ended()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def expire_records(self, name):
        """Lets every record close and expire, even those with a live owner."""
        self.simulation.clock.advance(harness.LIMITS.longest_run_s)
        if not self.instances[name].dead:
            self.instances[name].ledger.sweep(0)
            self.instances[name].ledger.sweep(0)
        self.simulation.clock.advance(RETENTION_S)

    @stateful.rule(
        seconds=strategies.sampled_from([1.0, 450.0, 950.0, RETENTION_S])
    )
    def advance(self, seconds):
        self.simulation.clock.advance(seconds)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def report_ended(self, name):
        """Lets the membership report the process as ended, correctly or not."""
        owner = self.instances[name].owner
        self.simulation.ended.add((owner.instance, owner.incarnation))

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def restart(self, name):
        """Ends the instance, if it is running, and starts it again."""
        self.instances[name].dead = True
        self.crashed = True
        self.instances[name] = self.start(name)

    @stateful.invariant()
    def no_key_ran_twice(self):
        assert self.simulation.violations == []
        for key in KEYS:
            times = [run.at for run in self.simulation.runs if run.key == key]
            for earlier, later in itertools.pairwise(times):
                assert later - earlier >= RETENTION_S

    def add(self, job):
        self.jobs.append(job)
        self.remove_ended()

    def remove_ended(self):
        self.crashed |= any(job.instance.dead for job in self.jobs)
        self.jobs = [job for job in self.jobs if not job.ended]

    def check(self, key, request, outcome):
        """Compares the response to a client with the actual runs."""
        ran = [
            run
            for run in self.simulation.runs
            if (run.key, run.request) == (key, request)
        ]
        if isinstance(outcome, errors.Replay):
            wrong = outcome.answer.body not in [run.answer for run in ran]
        elif isinstance(outcome, errors.KeyReused):
            wrong = any(run in ran for run in self.simulation.list_runs(key))
        elif isinstance(outcome, errors.LedgerRefusal):
            wrong = outcome.outcome is failures.Outcome.DONE and not ran
        else:
            wrong = outcome is harness.ToldOutcome.DONE and not ran
        if wrong:
            self.simulation.violations.append(
                f"told {outcome!r}, but ran: {ran}"
            )

    def teardown(self):
        """Ends all jobs without faults; each key must get a final result."""
        while self.jobs:
            self.jobs[0].step(harness.Fault.NONE)
            self.remove_ended()
        self.no_key_ran_twice()
        for instance in self.instances.values():
            if not instance.dead:
                assert instance.ledger.retry_deferred() == 0
        alive = {i.owner for i in self.instances.values() if not i.dead}
        self.simulation.is_gone = lambda *owner: (
            not any(owner == (one.instance, one.incarnation) for one in alive)
        )
        for key in KEYS:
            self.check_final(key)
        self.no_key_ran_twice()

    def check_final(self, key):
        ran = self.simulation.list_runs(key)
        request = ran[-1].request if ran else REQUESTS[0]
        last = self.start("entry-4")
        outcome = last.submit(key, request)
        self.check(key, request, outcome)
        final = {"DONE", "Replay", "UnknownOutcome", "KeyReused"}
        if self.crashed:
            final |= {"AnswerUnavailable", "AnswerNotKept"}
        assert harness.get_result_name(outcome) in final
        assert not ran or outcome is not harness.ToldOutcome.DONE


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
