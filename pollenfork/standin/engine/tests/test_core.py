"""The engine's batching, fault by fault, on a hand-moved clock."""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.entry import request
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import core
from pollenfork.standin.engine import jobs
from pollenfork.standin.engine import prompt as prompts

TOKEN = jobs.EventKind.TOKEN


def make_engine(**settings) -> core.Engine:
    defaults = {"step_ms": 10, "step_per_request_ms": 0, "slots": 2}
    return core.Engine(configs.EngineConfig(**{**defaults, **settings}))


def make_prompt(text="hello", length=4, **fields) -> prompts.Prompt:
    body = {"model": "model", "prompt": text, **fields}
    parsed = prompts.parse(msgspec.json.encode(body), False, 64, length)
    return parsed.unwrap()


def submit(engine, name, now=0.0, priority=0, **fields):
    prompt = make_prompt(**fields)
    return engine.submit(ids.AttemptId(name), prompt, priority, now)


def run(engine, until: float) -> list[jobs.Event]:
    return engine.advance(until)


def find_kinds(events, job) -> list[jobs.EventKind]:
    return [e.kind for e in events if e.job == job.number]


def test_each_step_gives_each_request_one_token():
    engine = make_engine(prefill_token_ms=0)
    first, second = submit(engine, "a"), submit(engine, "b", length=2)
    events = run(engine, 1)
    assert find_kinds(events, first) == [TOKEN] * 4 + [jobs.EventKind.FINISHED]
    assert find_kinds(events, second) == [TOKEN] * 2 + [jobs.EventKind.FINISHED]
    positions = [e.position for e in events if e.job == first.number]
    assert positions[:4] == [0, 1, 2, 3]
    assert engine.next_due() is None


def test_waiting_requests_start_by_priority():
    engine = make_engine(slots=1)
    submit(engine, "running")
    low = submit(engine, "low", priority=5)
    high = submit(engine, "high", priority=1)
    order = [e.job for e in run(engine, 10) if e.kind is not TOKEN]
    assert order[1:] == [high.number, low.number]


def test_a_long_prompt_costs_its_time_once_and_none_when_cached():
    engine = make_engine(prefill_token_ms=1, prefill_tokens=100_000)
    text = "x" * 4094  # Two bytes more as JSON: four whole blocks.
    submit(engine, "a", text=text, length=1)
    assert engine.next_due() == pytest.approx(0.010 + 1.023)
    run(engine, 2)
    submit(engine, "b", now=2, text=text, length=1)
    assert engine.next_due() == pytest.approx(2 + 0.010)


def test_prompt_tokens_beyond_the_step_limit_wait_for_the_next():
    engine = make_engine(prefill_tokens=512, prefill_token_ms=0)
    submit(engine, "a", text="x" * 4096, length=1)
    assert run(engine, 0.015) == []
    assert len(run(engine, 0.025)) == 2


def test_a_full_kv_memory_keeps_requests_waiting():
    engine = make_engine(kv_tokens=1100, slots=8)
    for name in "ab":
        submit(engine, name, text=name * 4000, length=2)
    report = engine.report_load(0)
    assert (report.running, report.waiting) == (1, 1)
    run(engine, 10)
    assert engine.runs.total.tokens == 4


def test_growing_answers_preempt_the_least_urgent_and_lose_no_token():
    engine = make_engine(kv_tokens=120, slots=8)
    urgent = submit(engine, "a", priority=0, text="a" * 40, length=60)
    other = submit(engine, "b", priority=3, text="b" * 40, length=60)
    events = run(engine, 10)
    assert engine.runs.total == msgspec.convert(
        {"count": 2, "tokens": 120}, type=type(engine.runs.total)
    )
    for job in (urgent, other):
        positions = [
            e.position
            for e in events
            if e.job == job.number and e.kind is TOKEN
        ]
        assert positions == list(range(60))
    ends = [e.job for e in events if e.kind is jobs.EventKind.FINISHED]
    assert ends == [urgent.number, other.number]


@pytest.mark.parametrize(
    ("settings", "faults", "fields", "refusal"),
    [
        ({}, {"leaving": True}, {}, jobs.Refusal.LEAVING),
        ({}, {"refuse": True}, {}, jobs.Refusal.REFUSING),
        ({"slots": 1, "max_waiting": 0}, {}, {}, jobs.Refusal.QUEUE_FULL),
        ({"models": ("x",)}, {}, {}, jobs.Refusal.UNKNOWN_MODEL),
        ({"kv_tokens": 9}, {}, {"length": 9}, jobs.Refusal.TOO_LARGE),
    ],
)
def test_a_refused_request_never_runs(settings, faults, fields, refusal):
    engine = make_engine(**settings)
    if refusal is jobs.Refusal.QUEUE_FULL:
        submit(engine, "first")
    engine.change_faults(configs.Faults(**faults), 0)
    assert submit(engine, "refused", **fields) is refusal
    run(engine, 10)
    assert b"refused" not in engine.runs.encode()


@pytest.mark.parametrize(
    ("when", "sent"), [("before_first", 0), ("midway", 2), ("at_end", 5)]
)
@pytest.mark.parametrize("resumable", [True, False])
def test_a_crash_breaks_the_answer_at_its_point(when, sent, resumable):
    engine = make_engine()
    crash = configs.Crash(
        when=configs.CrashPoint(when),
        after_tokens=2,
        resumable=resumable,
        times=1,
    )
    engine.change_faults(configs.Faults(crash=crash), 0)
    job = submit(engine, "a", length=5)
    kinds = find_kinds(run(engine, 1), job)
    assert kinds == [TOKEN] * sent + [jobs.EventKind.BROKEN]
    assert (engine.resume(ids.AttemptId("a")) is job) == resumable
    generated = 5 if resumable else min(sent + 1, 5)
    assert engine.runs.total.tokens == generated
    spared = submit(engine, "b", now=1, length=5)
    assert find_kinds(run(engine, 2), spared)[-1] is jobs.EventKind.FINISHED


def test_a_preempted_request_is_never_said_not_to_have_run():
    engine = make_engine(kv_tokens=120, slots=8)
    submit(engine, "urgent", priority=0, text="a" * 40, length=60)
    preempted = submit(engine, "b", priority=3, text="b" * 40, length=60)
    now = 0.0
    while preempted.state is not jobs.JobState.WAITING or not preempted.ran:
        now = engine.next_due()
        run(engine, now)
    outcome, _ = engine.cancel(preempted.request, now)
    assert outcome is edges.CancelOutcome.CANCELLED
    assert b'"b":{"count":1' in engine.runs.encode()


def test_a_broken_stream_runs_on_for_its_time_and_is_then_cancelled():
    engine = make_engine(keep_stream_s=0.1)
    crash = configs.Crash(when=configs.CrashPoint.MIDWAY, after_tokens=1)
    engine.change_faults(configs.Faults(crash=crash), 0)
    submit(engine, "a", length=1000)
    run(engine, 0.05)
    for _ in range(100):
        run(engine, engine.next_due() or 9)
    assert engine.runs.total.tokens < 20
    assert engine.find_stream(ids.AttemptId("a")) is None


def test_a_resumed_stream_runs_to_its_end():
    engine = make_engine(keep_stream_s=0.1)
    crash = configs.Crash(when=configs.CrashPoint.MIDWAY, after_tokens=1)
    engine.change_faults(configs.Faults(crash=crash), 0)
    job = submit(engine, "a", length=100)
    run(engine, 0.05)
    assert engine.resume(ids.AttemptId("a")) is job
    assert find_kinds(run(engine, 9), job)[-1] is jobs.EventKind.FINISHED


def test_a_cancel_tells_what_became_of_the_request():
    engine = make_engine(slots=1)
    submit(engine, "running")
    submit(engine, "waiting")
    outcomes = [
        engine.cancel(ids.AttemptId(name), 0)[0]
        for name in ("waiting", "running", "running", "never")
    ]
    assert outcomes == [
        edges.CancelOutcome.NOT_RUN,
        edges.CancelOutcome.CANCELLED,
        edges.CancelOutcome.CANCELLED,
        edges.CancelOutcome.UNKNOWN_REQUEST,
    ]
    submit(engine, "done", now=1)
    run(engine, 2)
    outcome, _ = engine.cancel(ids.AttemptId("done"), 2)
    assert outcome is edges.CancelOutcome.FINISHED
    assert b"waiting" not in engine.runs.encode()


@pytest.mark.parametrize(("cancels", "tokens"), [(True, 1), (False, 4)])
def test_a_closed_connection_cancels_unless_told_otherwise(cancels, tokens):
    engine = make_engine()
    engine.change_faults(configs.Faults(close_cancels=cancels), 0)
    job = submit(engine, "a")
    run(engine, 0.015)
    engine.detach(job, 0.015)
    run(engine, 1)
    assert engine.runs.total.tokens == tokens


def test_a_straggler_is_slower_by_its_factor():
    engine = make_engine(prefill_token_ms=0)
    engine.change_faults(configs.Faults(slowdown=5), 0)
    submit(engine, "a", length=2)
    assert len(run(engine, 0.099)) == 1
    assert len(run(engine, 0.101)) == 2


def test_the_load_report_lags_and_freezes():
    engine = make_engine(slots=1)
    run(engine, 0)
    submit(engine, "a", length=1000)
    run(engine, 2)
    engine.change_faults(configs.Faults(load_age_s=3), 2)
    late = engine.report_load(2)
    assert (late.running, late.age_ms) == (0, 2000)
    engine.change_faults(configs.Faults(), 2)
    engine.change_faults(configs.Faults(load_frozen=True), 2)
    frozen = engine.report_load(2)
    engine.cancel(ids.AttemptId("a"), 3)
    run(engine, 4)
    assert engine.report_load(4) == frozen
    assert frozen.running == 1
    engine.change_faults(configs.Faults(), 4)
    assert engine.report_load(4).running == 0


def test_cache_events_tell_of_evictions_and_can_be_late_or_lost():
    engine = make_engine(cache_blocks=2)
    for i in range(20):
        submit(engine, str(i), text=str(i % 10) * 1024, length=1, now=i)
        run(engine, i + 1)
    log = engine.cache.fetch_events(0, 30, configs.Faults())
    assert [e.sequence for e in log] == list(range(1, len(log) + 1))
    held = set()
    for event in log:
        (held.add if event.stored else held.remove)(event.prefix)
    assert len(held) == 2
    lossy = configs.Faults(drop_cache_events=0.5)
    assert 0 < len(engine.cache.fetch_events(0, 30, lossy)) < len(log)
    late = configs.Faults(cache_delay_s=15)
    assert len(engine.cache.fetch_events(0, 20, late)) < len(log) / 2
    assert engine.cache.fetch_events(log[-1].sequence, 30, late) == []


def test_an_old_fencing_number_is_refused_unless_ignored():
    engine = make_engine()

    def give(order_id, fencing, argument="adapter", ignore=False):
        order = edges.Order(
            order_id=order_id,
            kind=edges.OrderKind.LOAD_ADAPTER,
            argument=argument,
            fencing=ids.FencingNumber(fencing),
        )
        return engine.orders.carry_out(order, ignore)

    assert give("a", 5, argument="first")
    assert not give("b", 4, argument="old")
    assert give("a", 5, argument="repeat")
    assert engine.orders.models == ["model", "first"]
    assert give("b", 4, argument="old", ignore=True)
    assert "old" in engine.orders.models


def test_an_engine_that_went_down_has_lost_its_streams():
    engine = make_engine()
    submit(engine, "a")
    engine.change_faults(configs.Faults(down=True), 0)
    assert engine.find_stream(ids.AttemptId("a")) is None
    assert run(engine, 9) == []


def test_a_part_generated_elsewhere_is_continued_with_the_same_tokens():
    whole = make_prompt(length=6)
    part = make_prompt(length=6, continue_from={"text": "…", "tokens": 4})
    assert part.first == 4
    engine = make_engine()
    job = engine.submit(ids.AttemptId("a"), part, 0, 0.0)
    positions = [e.position for e in run(engine, 1) if e.kind is TOKEN]
    assert positions == [4, 5]
    assert job.prompt.seed == whole.seed
    imported = engine.import_job(ids.AttemptId("b"), part, 1.0)
    assert imported.prefill_left == 0
    run(engine, 2)
    assert engine.runs.total.tokens == 4


def test_the_router_and_the_cache_events_name_a_prefix_alike():
    body = msgspec.json.encode(
        {"model": "model", "messages": [{"role": "user", "content": "é" * 999}]}
    )
    prompt = prompts.parse(body, True, 64).unwrap()
    routed = request.parse_prompt(body, chat=True).unwrap()
    assert request.hash_prefix(routed) == prompt.blocks[0]
