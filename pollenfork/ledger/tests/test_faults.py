"""The fault table: one fault at one step, then the repeat's answer."""

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
Sending = harness.Sending

# The steps of a request that runs: platform calls, and points between them.
CLAIM, BEFORE_SEND, AFTER_RUN, STORE, RECORD = range(5)


@pytest.fixture
def world():
    return harness.World()


def script(instance, step, fault):
    """Lets `fault` happen at the step of that number."""
    faults = iter([Fault.NONE] * step + [fault])
    instance.choose_fault = lambda: next(faults, Fault.NONE)


def heal(instance):
    instance.choose_fault = lambda: Fault.NONE


def repeat(world, sending=Sending.RUN, name="entry-2"):
    return harness.name_verdict(world.start(name).submit(KEY, sending=sending))


CRASHES = [
    # step, fault, repeat at once, repeat once the owner is gone, all runs
    (CLAIM, Fault.CRASH_BEFORE, "DONE", "Replay", 1),
    (CLAIM, Fault.CRASH_AFTER, "Running", "UnknownOutcome", 0),
    (BEFORE_SEND, Fault.CRASH_BEFORE, "Running", "UnknownOutcome", 0),
    (AFTER_RUN, Fault.CRASH_BEFORE, "Running", "UnknownOutcome", 1),
    (STORE, Fault.CRASH_BEFORE, "Running", "UnknownOutcome", 1),
    (STORE, Fault.CRASH_AFTER, "Running", "Replay", 1),
    (RECORD, Fault.CRASH_BEFORE, "Running", "Replay", 1),
    (RECORD, Fault.CRASH_AFTER, "Replay", "Replay", 1),
]


def know_by_membership(world, owner):
    world.gone.add((owner.instance, owner.incarnation))


def know_by_age(world, owner):
    world.clock.advance(harness.LIMITS.longest_run_s)


def know_by_restart(world, owner):
    """The repeat comes to a later incarnation of the owner itself."""


@pytest.mark.parametrize(("step", "fault", "at_once", "later", "runs"), CRASHES)
@pytest.mark.parametrize(
    ("learn", "asked"),
    [
        (know_by_membership, "entry-2"),
        (know_by_age, "entry-2"),
        (know_by_restart, "entry-1"),
    ],
)
def test_a_crash_never_leads_to_a_second_run(
    world, step, fault, at_once, later, runs, learn, asked
):
    first = world.start("entry-1")
    script(first, step, fault)
    assert first.submit_until_crash(KEY) is None
    assert repeat(world) == at_once
    learn(world, first.owner)
    assert [repeat(world, name=asked) for _ in range(3)] == [later] * 3
    assert world.count_runs(KEY) == runs


LOSSES = [
    # step, fault, told, repeat at once, repeat once settled, all runs
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
def test_the_platform_fails_once(
    world, step, fault, told, at_once, settled, runs
):
    first = world.start("entry-1")
    script(first, step, fault)
    assert harness.name_verdict(first.submit(KEY)) == told
    assert repeat(world) == at_once
    assert first.ledger.retry_deferred() == 0
    assert repeat(world) == settled
    assert world.count_runs(KEY) == runs


@pytest.mark.parametrize(("step", "fault"), [row[:2] for row in LOSSES])
def test_the_policy_hides_one_failure(world, step, fault):
    first = world.start("entry-1")
    tools = policy.Dependencies(
        now=world.clock, rng=random.Random(5), wait=world.clock.advance
    )
    wire = [
        harness.Wire(first, first.platform.table),
        harness.Wire(first, first.platform.objects),
    ]
    first.ledger = first.make_ledger(
        policy.ResilientTable(wire[0], policy.CallPolicy("table", tools, None)),
        policy.ResilientObjects(
            wire[1], policy.CallPolicy("objects", tools, None)
        ),
    )
    script(first, step, fault)
    assert harness.name_verdict(first.submit(KEY)) == "DONE"
    assert repeat(world) == "Replay"
    assert world.count_runs(KEY) == 1


@pytest.mark.parametrize(
    ("sending", "told", "again", "runs"),
    [
        (Sending.RUN, "DONE", "Replay", 1),
        (Sending.REFUSED, "NOT_RUN", "DONE", 1),
        (Sending.CUT_BEFORE, "UNKNOWN", "UnknownOutcome", 0),
        (Sending.CUT_AFTER, "UNKNOWN", "UnknownOutcome", 1),
    ],
)
def test_the_outcome_decides_the_repeat(world, sending, told, again, runs):
    assert repeat(world, sending, "entry-1") == told
    assert repeat(world) == again
    assert world.count_runs(KEY) == runs


def test_a_repeat_while_running_waits_and_one_after_is_replayed(world):
    first, verdicts = world.start("entry-1"), []

    def submit_meanwhile():
        if not verdicts:
            verdicts.append(None)  # The claim's own write.
        elif world.start("entry-2"):
            first.choose_fault = lambda: Fault.NONE
            verdicts.append(first.submit(KEY))
            verdicts.append(world.start("entry-2").submit(KEY))
        return Fault.NONE

    first.choose_fault = submit_meanwhile
    assert first.submit(KEY) is harness.Told.DONE
    for verdict in verdicts[1:]:
        assert type(verdict) is errors.Running
        assert verdict.retry_after_s > 0
    replayed = world.start("entry-2").submit(KEY)
    assert replayed.answer == records.Answer(
        200, (("X-Run", "1"),), world.runs[0].answer
    )


def test_another_request_under_the_key_is_refused_until_the_key_is_free(
    world,
):
    first = world.start("entry-1")
    first.submit(KEY, b"a")
    reused = first.submit(KEY, b"b")
    assert type(reused) is errors.KeyReused
    assert reused.outcome is failures.Outcome.NOT_RUN
    world.clock.advance(harness.LIMITS.retention_s)
    assert first.submit(KEY, b"b") is harness.Told.DONE
    other = keys.RequestKey("treasury", KEY.key)
    assert first.submit(other, b"c") is harness.Told.DONE


@pytest.mark.parametrize("state", ["claimed", "done"])
def test_the_platform_is_down_for_a_repeat(world, state):
    """The record is seen to exist, or nothing is known: never "not run"."""
    if state == "done":
        world.start("entry-1").submit(KEY)
    else:
        crashed = world.start("entry-1")
        script(crashed, BEFORE_SEND, Fault.CRASH_BEFORE)
        crashed.submit_until_crash(KEY)
    second = world.start("entry-2")
    script(second, 1, Fault.DOWN)  # After the refused write, the read.
    refused = second.submit(KEY)
    assert type(refused) is errors.LedgerDown
    assert refused.outcome is failures.Outcome.UNKNOWN
    script(second, 2, Fault.DOWN)  # The object store.
    refused = second.submit(KEY)
    if state == "done":
        assert type(refused) is errors.AnswerUnavailable
        assert refused.outcome is failures.Outcome.DONE
    else:
        assert type(refused) is errors.Running


def test_the_owner_corrects_a_record_that_others_closed_too_early(world):
    first = world.start("entry-1")
    seen = []

    def suspect():
        if len(seen) == AFTER_RUN:
            know_by_membership(world, first.owner)
            seen.append(repeat(world))
        else:
            seen.append(None)
        return Fault.NONE

    first.choose_fault = suspect
    assert first.submit(KEY) is harness.Told.DONE
    assert seen[AFTER_RUN] == "UnknownOutcome"
    assert repeat(world) == "Replay"
    assert world.count_runs(KEY) == 1


@pytest.mark.parametrize("pause_s", [899.0, 900.0, 90_000.0])
def test_a_holder_that_was_paused_too_long_does_not_send(world, pause_s):
    first = world.start("entry-1")
    steps = []

    def pause():
        steps.append(None)
        if len(steps) == BEFORE_SEND + 1:
            world.clock.advance(pause_s)
        return Fault.NONE

    first.choose_fault = pause
    sent = pause_s < harness.LIMITS.longest_run_s
    expected = harness.Told.DONE if sent else harness.Told.NOT_RUN
    assert first.submit(KEY) is expected
    assert world.count_runs(KEY) == sent


def test_a_caller_who_raises_leaves_an_unknown_outcome(world):
    first = world.start("entry-1")
    verdict = first.ledger.claim(KEY, b"f", world.clock.wall())
    with pytest.raises(ZeroDivisionError), verdict.unwrap():
        _ = 1 // 0
    again = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap_err()
    assert type(again) is errors.UnknownOutcome


def test_only_the_first_ending_counts(world):
    first = world.start("entry-1")
    claim = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap()
    claim.record_unknown()
    claim.record_not_run()
    assert not claim.may_send()
    again = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap_err()
    assert type(again) is errors.UnknownOutcome


def test_an_answer_too_large_is_done_but_not_kept(world):
    first = world.start("entry-1")
    claim = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap()
    claim.record_done(200, [], b"x" * (harness.LIMITS.answer_bytes + 1))
    again = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap_err()
    assert type(again) is errors.AnswerNotKept
    assert again.outcome is failures.Outcome.DONE


def test_a_late_insert_can_not_open_a_record_that_was_disowned(world):
    """The write was lost, is disowned, and arrives afterwards."""
    first, late = world.start("entry-1"), []
    commit = first.platform.table.commit
    first.platform.table.commit = lambda sent: late.append(sent) or commit(sent)
    script(first, CLAIM, Fault.LOST_BEFORE)
    first.submit(KEY)
    heal(first)
    assert first.ledger.retry_deferred() == 0
    assert commit(late[0]).is_err()
    assert repeat(world) == "DONE"


def test_a_record_of_a_later_version_is_left_alone(world):
    first = world.start("entry-1")
    first.submit(KEY)
    row = first.platform.table.read(KEY.row).unwrap()
    world.state.commit(make_write(row.key, b"\x02later"), 0.0)
    assert repeat(world) == "UnknownOutcome"
    assert first.ledger.sweep(10).unreadable == 1


def make_write(key, value):
    return edges.Transaction("w", (edges.Put(key, value),))


def test_an_outage_keeps_endings_within_bounds(world):
    first = world.start("entry-1")
    claims = [
        first.ledger.claim(
            keys.RequestKey("a", str(number)), b"f", world.clock.wall()
        ).unwrap()
        for number in range(600)
    ]
    first.choose_fault = lambda: Fault.DOWN
    for claim in claims:
        claim.record_done(200, [], b"x" * 10_000)
    kept = outbox.MAX_BYTES // 10_008  # Eight bytes of framing each.
    assert first.ledger.retry_deferred() == kept
    assert first.events[ledger.Event.DROPPED] == 600 - kept
    heal(first)
    assert first.ledger.retry_deferred() == 0
    verdicts = [
        type(first.ledger.claim(key, b"f", world.clock.wall()).unwrap_err())
        for key in (keys.RequestKey("a", "0"), keys.RequestKey("a", "599"))
    ]
    assert verdicts == [errors.UnknownOutcome, errors.Replay]
