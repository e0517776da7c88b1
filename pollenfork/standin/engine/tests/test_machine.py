"""Random lives of an engine: what must hold whatever comes when."""

import collections

from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import core
from pollenfork.standin.engine import jobs
from pollenfork.standin.engine import prompt as prompts

SLOTS, MAX_WAITING, KV_TOKENS = 3, 4, 160
LIVE = (jobs.JobState.WAITING, jobs.JobState.RUNNING)


class EngineMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = self.advanced_to = 0.0
        self.engine = core.Engine(
            configs.EngineConfig(
                slots=SLOTS,
                max_waiting=MAX_WAITING,
                step_ms=10,
                kv_tokens=KV_TOKENS,
                prefill_tokens=20,
                keep_stream_s=0.2,
            )
        )
        self.jobs: dict[int, jobs.Job] = {}
        self.expected: dict[int, int] = {}
        self.ended: dict[int, jobs.EventKind] = {}
        self.refused: list[str] = []
        self.not_run: list[str] = []

    def take(self, events) -> None:
        for event in events:
            assert event.job not in self.ended
            if event.kind is jobs.EventKind.TOKEN:
                assert event.position == self.expected[event.job]
                self.expected[event.job] += 1
            else:
                self.ended[event.job] = event.kind

    @stateful.rule(
        priority=st.integers(0, 2),
        size=st.integers(1, 200),
        length=st.integers(1, 60),
        first=st.integers(0, 5),
    )
    def submit(self, priority, size, length, first) -> None:
        name = ids.AttemptId(f"r{len(self.jobs) + len(self.refused)}")
        body = {
            "model": "model",
            "prompt": "x" * size,
            "continue_from": {"text": "", "tokens": first},
        }
        parsed = prompts.parse(msgspec.json.encode(body), False, 64, length)
        taken = self.engine.submit(name, parsed.unwrap(), priority, self.now)
        if isinstance(taken, jobs.Refusal):
            self.refused.append(name)
            return
        self.jobs[taken.number] = taken
        self.expected[taken.number] = taken.prompt.first

    @stateful.rule(seconds=st.floats(0, 0.15))
    def advance(self, seconds) -> None:
        self.now += seconds
        self.take(self.engine.advance(self.now))
        self.advanced_to = self.now

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(data=st.data())
    def cancel(self, data) -> None:
        job = self.jobs[data.draw(st.sampled_from(sorted(self.jobs)))]
        before = job.state
        outcome, events = self.engine.cancel(job.request, self.now)
        self.take(e for e in events if e.job not in self.ended)
        if outcome is edges.CancelOutcome.NOT_RUN:
            self.not_run.append(job.request)
        if before in LIVE and job.ran:
            assert outcome is edges.CancelOutcome.CANCELLED
        elif before in LIVE:
            assert outcome is edges.CancelOutcome.NOT_RUN

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(data=st.data())
    def detach(self, data) -> None:
        job = self.jobs[data.draw(st.sampled_from(sorted(self.jobs)))]
        if job.state in LIVE and job.attached:
            self.engine.detach(job, self.now)
            self.ended[job.number] = jobs.EventKind.CANCELLED

    @stateful.precondition(lambda self: self.ended)
    @stateful.rule(data=st.data())
    def resume(self, data) -> None:
        job = self.jobs[data.draw(st.sampled_from(sorted(self.ended)))]
        broken = self.ended[job.number] is jobs.EventKind.BROKEN
        if broken and self.engine.resume(job.request) is job:
            if job.state in LIVE:
                del self.ended[job.number]
            self.expected[job.number] = job.next_position

    @stateful.rule(
        when=st.sampled_from([None, *configs.CrashPoint]),
        resumable=st.booleans(),
        slowdown=st.sampled_from([0.5, 1.0, 5.0]),
        leaving=st.booleans(),
    )
    def change_faults(self, when, resumable, slowdown, leaving) -> None:
        crash = when and configs.Crash(
            when=when, after_tokens=3, resumable=resumable, times=2
        )
        faults = configs.Faults(crash=crash, slowdown=slowdown, leaving=leaving)
        self.engine.change_faults(faults, self.now)

    @stateful.invariant()
    def slots_and_memory_are_kept(self) -> None:
        states = collections.Counter(job.state for job in self.jobs.values())
        report = self.engine.report_load(self.now)
        assert report.running == states[jobs.JobState.RUNNING] <= SLOTS
        assert report.waiting == states[jobs.JobState.WAITING]
        assert report.waiting + report.running <= SLOTS + MAX_WAITING
        held = sum(
            job.kv_tokens
            for job in self.jobs.values()
            if job.state is jobs.JobState.RUNNING
        )
        assert held <= KV_TOKENS

    @stateful.invariant()
    def work_is_never_left_standing(self) -> None:
        busy = any(job.state in LIVE for job in self.jobs.values())
        assert not busy or self.engine.next_due() is not None

    @stateful.invariant()
    def a_stream_without_a_connection_ends_in_time(self) -> None:
        for job in self.jobs.values():
            if job.state in LIVE and not job.attached:
                assert job.kept_until is not None
                assert job.kept_until > self.advanced_to

    def teardown(self) -> None:
        self.engine.change_faults(configs.Faults(), self.now)
        self.now += 1000
        self.take(self.engine.advance(self.now))
        counts = msgspec.json.decode(self.engine.runs.encode())["requests"]
        generated = 0
        for job in self.jobs.values():
            assert job.number in self.ended
            if self.ended[job.number] is jobs.EventKind.FINISHED:
                assert self.expected[job.number] == job.prompt.length
            count = counts.get(job.request, {"count": 0, "tokens": 0})
            assert count["count"] == job.ran
            assert count["tokens"] == job.next_position - job.prompt.first
            generated += count["tokens"]
        assert self.engine.runs.total.tokens == generated
        assert not counts.keys() & {*self.refused, *self.not_run}


TestEngine = EngineMachine.TestCase
