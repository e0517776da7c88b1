"""One fault at one step of a request, and the responses to its retries."""

import random

import pytest

from pollenfork import failures
from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger import ledger
from pollenfork.ledger import outbox
from pollenfork.ledger import records
from pollenfork.ledger.tests import harness
from pollenfork.store import edges
from pollenfork.store import policy

KEY = keys.RequestKey("settlement", "meter-7-2026-11")
Fault = harness.Fault
Delivery = harness.Delivery

# The steps of a request: platform calls, and the points before and after the
# request is sent.
CLAIM, BEFORE_SEND, AFTER_RUN, STORE, RECORD = range(5)


@pytest.fixture
def simulation():
    return harness.Simulation()


def inject_fault(instance, step, fault):
    """Injects `fault` at the given step."""
    faults = iter([Fault.NONE] * step + [fault])
    instance.choose_fault = lambda: next(faults, Fault.NONE)


def clear_faults(instance):
    instance.choose_fault = lambda: Fault.NONE


def retry(simulation, delivery=Delivery.RUN, name="entry-2"):
    return harness.get_result_name(
        simulation.start(name).submit(KEY, delivery=delivery)
    )


CRASHES = [
    # step, fault, result of an immediate retry, result of a retry once the
    # owner is known to have ended, number of runs
    (CLAIM, Fault.CRASH_BEFORE, "DONE", "Replay", 1),
    (CLAIM, Fault.CRASH_AFTER, "Running", "UnknownOutcome", 0),
    (BEFORE_SEND, Fault.CRASH_BEFORE, "Running", "UnknownOutcome", 0),
    (AFTER_RUN, Fault.CRASH_BEFORE, "Running", "UnknownOutcome", 1),
    (STORE, Fault.CRASH_BEFORE, "Running", "UnknownOutcome", 1),
    (STORE, Fault.CRASH_AFTER, "Running", "Replay", 1),
    (RECORD, Fault.CRASH_BEFORE, "Running", "Replay", 1),
    (RECORD, Fault.CRASH_AFTER, "Replay", "Replay", 1),
]


def learn_by_membership(simulation, owner):
    simulation.ended.add((owner.instance, owner.incarnation))


def learn_by_age(simulation, owner):
    simulation.clock.advance(harness.LIMITS.longest_run_s)


def learn_by_restart(simulation, owner):
    """The retry goes to a later incarnation of the owner itself."""


@pytest.mark.parametrize(("step", "fault", "at_once", "later", "runs"), CRASHES)
@pytest.mark.parametrize(
    ("learn", "retry_instance"),
    [
        (learn_by_membership, "entry-2"),
        (learn_by_age, "entry-2"),
        (learn_by_restart, "entry-1"),
    ],
)
def test_a_crash_never_leads_to_a_second_run(
    simulation, step, fault, at_once, later, runs, learn, retry_instance
):
    first = simulation.start("entry-1")
    inject_fault(first, step, fault)
    assert first.submit_until_crash(KEY) is None
    assert retry(simulation) == at_once
    learn(simulation, first.owner)
    assert [retry(simulation, name=retry_instance) for _ in range(3)] == [
        later
    ] * 3
    assert simulation.count_runs(KEY) == runs


LOSSES = [
    # step, fault, result, result of an immediate retry, result of a retry
    # after the deferred writes, number of runs
    (CLAIM, Fault.DOWN, "LedgerDown", "DONE", "Replay", 1),
    (CLAIM, Fault.THROTTLED, "LedgerDown", "DONE", "Replay", 1),
    (CLAIM, Fault.LOST_BEFORE, "LedgerDown", "DONE", "Replay", 1),
    (CLAIM, Fault.LOST_AFTER, "LedgerDown", "Running", "DONE", 1),
    (STORE, Fault.DOWN, "DONE", "AnswerUnavailable", "Replay", 1),
    (STORE, Fault.THROTTLED, "DONE", "AnswerUnavailable", "Replay", 1),
    (STORE, Fault.LOST_BEFORE, "DONE", "AnswerUnavailable", "Replay", 1),
    (STORE, Fault.LOST_AFTER, "DONE", "Replay", "Replay", 1),
    (RECORD, Fault.DOWN, "DONE", "Running", "Replay", 1),
    (RECORD, Fault.THROTTLED, "DONE", "Running", "Replay", 1),
    (RECORD, Fault.LOST_BEFORE, "DONE", "Running", "Replay", 1),
    (RECORD, Fault.LOST_AFTER, "DONE", "Replay", "Replay", 1),
]


@pytest.mark.parametrize(
    ("step", "fault", "told", "at_once", "settled", "runs"), LOSSES
)
def test_one_platform_failure_leads_to_one_run(
    simulation, step, fault, told, at_once, settled, runs
):
    first = simulation.start("entry-1")
    inject_fault(first, step, fault)
    assert harness.get_result_name(first.submit(KEY)) == told
    assert retry(simulation) == at_once
    assert first.ledger.retry_deferred() == 0
    assert retry(simulation) == settled
    assert simulation.count_runs(KEY) == runs


@pytest.mark.parametrize(("step", "fault"), [row[:2] for row in LOSSES])
def test_the_call_policy_hides_one_failure(simulation, step, fault):
    first = simulation.start("entry-1")
    deps = policy.Dependencies(
        now=simulation.clock,
        rng=random.Random(5),
        wait=simulation.clock.advance,
    )
    services = [
        harness.StepwiseService(first, first.platform.table),
        harness.StepwiseService(first, first.platform.objects),
    ]
    first.ledger = first.make_ledger(
        policy.ResilientTable(
            services[0], policy.CallPolicy("table", deps, None)
        ),
        policy.ResilientObjects(
            services[1], policy.CallPolicy("objects", deps, None)
        ),
    )
    inject_fault(first, step, fault)
    assert harness.get_result_name(first.submit(KEY)) == "DONE"
    assert retry(simulation) == "Replay"
    assert simulation.count_runs(KEY) == 1


@pytest.mark.parametrize(
    ("delivery", "told", "again", "runs"),
    [
        (Delivery.RUN, "DONE", "Replay", 1),
        (Delivery.REFUSED, "NOT_RUN", "DONE", 1),
        (Delivery.CUT_BEFORE, "UNKNOWN", "UnknownOutcome", 0),
        (Delivery.CUT_AFTER, "UNKNOWN", "UnknownOutcome", 1),
    ],
)
def test_the_outcome_decides_the_response_to_a_retry(
    simulation, delivery, told, again, runs
):
    assert retry(simulation, delivery, "entry-1") == told
    assert retry(simulation) == again
    assert simulation.count_runs(KEY) == runs


def test_a_retry_gets_running_at_first_and_the_stored_answer_later(simulation):
    first, results = simulation.start("entry-1"), []

    def submit_meanwhile():
        if not results:
            results.append(None)  # The write of the claim itself.
        elif simulation.start("entry-2"):
            first.choose_fault = lambda: Fault.NONE
            results.append(first.submit(KEY))
            results.append(simulation.start("entry-2").submit(KEY))
        return Fault.NONE

    first.choose_fault = submit_meanwhile
    assert first.submit(KEY) is harness.ToldOutcome.DONE
    for claim_result in results[1:]:
        assert type(claim_result) is errors.Running
        assert claim_result.retry_after_s > 0
    replayed = simulation.start("entry-2").submit(KEY)
    assert replayed.answer == records.Answer(
        200, (("X-Run", "1"),), simulation.runs[0].answer
    )


def test_another_request_under_the_key_is_refused_until_the_key_is_free(
    simulation,
):
    first = simulation.start("entry-1")
    first.submit(KEY, b"a")
    reused = first.submit(KEY, b"b")
    assert type(reused) is errors.KeyReused
    assert reused.outcome is failures.Outcome.NOT_RUN
    simulation.clock.advance(harness.LIMITS.retention_s)
    assert first.submit(KEY, b"b") is harness.ToldOutcome.DONE
    other = keys.RequestKey("treasury", KEY.key)
    assert first.submit(other, b"c") is harness.ToldOutcome.DONE


@pytest.mark.parametrize("state", ["claimed", "done"])
def test_a_retry_while_the_platform_is_down(simulation, state):
    """The write conflicts, so a record exists: never "not run"."""
    if state == "done":
        simulation.start("entry-1").submit(KEY)
    else:
        crashed = simulation.start("entry-1")
        inject_fault(crashed, BEFORE_SEND, Fault.CRASH_BEFORE)
        crashed.submit_until_crash(KEY)
    second = simulation.start("entry-2")
    # The read that follows the conflicting write.
    inject_fault(second, 1, Fault.DOWN)
    refused = second.submit(KEY)
    assert type(refused) is errors.LedgerDown
    assert refused.outcome is failures.Outcome.UNKNOWN
    inject_fault(second, 2, Fault.DOWN)  # The object store.
    refused = second.submit(KEY)
    if state == "done":
        assert type(refused) is errors.AnswerUnavailable
        assert refused.outcome is failures.Outcome.DONE
    else:
        assert type(refused) is errors.Running


def test_the_owner_corrects_a_record_that_others_closed_too_early(simulation):
    first = simulation.start("entry-1")
    seen = []

    def suspect():
        if len(seen) == AFTER_RUN:
            learn_by_membership(simulation, first.owner)
            seen.append(retry(simulation))
        else:
            seen.append(None)
        return Fault.NONE

    first.choose_fault = suspect
    assert first.submit(KEY) is harness.ToldOutcome.DONE
    assert seen[AFTER_RUN] == "UnknownOutcome"
    assert retry(simulation) == "Replay"
    assert simulation.count_runs(KEY) == 1


@pytest.mark.parametrize("pause_s", [899.0, 900.0, 90_000.0])
def test_a_claim_holder_that_was_paused_too_long_does_not_send(
    simulation, pause_s
):
    first = simulation.start("entry-1")
    steps = []

    def pause():
        steps.append(None)
        if len(steps) == BEFORE_SEND + 1:
            simulation.clock.advance(pause_s)
        return Fault.NONE

    first.choose_fault = pause
    sent = pause_s < harness.LIMITS.longest_run_s
    expected = harness.ToldOutcome.DONE if sent else harness.ToldOutcome.NOT_RUN
    assert first.submit(KEY) is expected
    assert simulation.count_runs(KEY) == sent


def test_a_caller_who_raises_leaves_an_unknown_outcome(simulation):
    first = simulation.start("entry-1")
    claim_result = first.ledger.claim(KEY, b"f", simulation.clock.wall())
    with pytest.raises(ZeroDivisionError), claim_result.unwrap():
        _ = 1 // 0
    again = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap_err()
    assert type(again) is errors.UnknownOutcome


def test_only_the_first_recorded_outcome_counts(simulation):
    first = simulation.start("entry-1")
    claim = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap()
    claim.record_unknown()
    claim.record_not_run()
    assert not claim.may_send()
    again = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap_err()
    assert type(again) is errors.UnknownOutcome


def test_an_answer_that_is_too_large_is_not_stored(simulation):
    first = simulation.start("entry-1")
    claim = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap()
    claim.record_done(200, [], b"x" * (harness.LIMITS.answer_bytes + 1))
    again = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap_err()
    assert type(again) is errors.AnswerNotKept
    assert again.outcome is failures.Outcome.DONE


def test_a_late_write_does_not_claim_a_key_that_was_freed(simulation):
    """The claim's write is lost, its key is freed, then the write arrives."""
    first, late = simulation.start("entry-1"), []
    commit = first.platform.table.commit
    first.platform.table.commit = lambda sent: late.append(sent) or commit(sent)
    inject_fault(first, CLAIM, Fault.LOST_BEFORE)
    first.submit(KEY)
    clear_faults(first)
    assert first.ledger.retry_deferred() == 0
    assert commit(late[0]).is_err()
    assert retry(simulation) == "DONE"


def test_a_record_of_a_later_version_is_not_changed(simulation):
    first = simulation.start("entry-1")
    first.submit(KEY)
    row = first.platform.table.read(KEY.row).unwrap()
    simulation.state.commit(make_write(row.key, b"\x02later"), 0.0)
    assert retry(simulation) == "UnknownOutcome"
    assert first.ledger.sweep(10).unreadable == 1


def make_write(key, value):
    return edges.Transaction("w", (edges.Put(key, value),))


def test_an_outage_does_not_exceed_the_bounds_of_deferred_writes(simulation):
    first = simulation.start("entry-1")
    claims = [
        first.ledger.claim(
            keys.RequestKey("a", str(number)), b"f", simulation.clock.wall()
        ).unwrap()
        for number in range(600)
    ]
    first.choose_fault = lambda: Fault.DOWN
    for claim in claims:
        claim.record_done(200, [], b"x" * 10_000)
    fitting = outbox.MAX_BYTES // 10_008  # Each has eight bytes of framing.
    assert first.ledger.retry_deferred() == fitting
    assert first.events[ledger.Event.DROPPED] == 600 - fitting
    clear_faults(first)
    assert first.ledger.retry_deferred() == 0
    results = [
        type(
            first.ledger.claim(key, b"f", simulation.clock.wall()).unwrap_err()
        )
        for key in (keys.RequestKey("a", "0"), keys.RequestKey("a", "599"))
    ]
    assert results == [errors.UnknownOutcome, errors.Replay]
