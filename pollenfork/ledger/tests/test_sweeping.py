"""The clean-up: bounded pages, and races with claims and endings."""

import pytest

from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger import settling
from pollenfork.ledger import sweeping
from pollenfork.ledger.tests import harness
from pollenfork.standin.platform import config

KEY = keys.RequestKey("settlement", "k")
Fault = harness.Fault
Sending = harness.Sending
RETENTION_S = harness.LIMITS.retention_s
SCAN, REMOVE, COMMIT = range(3)


@pytest.fixture
def world():
    return harness.World()


def read_row(instance):
    return instance.platform.table.read(KEY.row).unwrap()


def list_objects(world):
    return world.state._objects


def at_step(instance, number, act):
    """Does `act` right before the instance's step of that number."""
    steps = []

    def choose_fault():
        steps.append(None)
        if len(steps) == number + 1:
            act()
        return Fault.NONE

    instance.choose_fault = choose_fault


@pytest.mark.parametrize(
    ("sending", "age_s", "removed"),
    [
        (Sending.RUN, RETENTION_S - 1, False),
        (Sending.RUN, RETENTION_S, True),
        (Sending.REFUSED, RETENTION_S, True),
        (Sending.CUT_AFTER, RETENTION_S - 1, False),
        (Sending.CUT_AFTER, RETENTION_S, True),
    ],
)
def test_expired_records_leave_with_their_answers(
    world, sending, age_s, removed
):
    first = world.start("entry-1")
    first.submit(KEY, sending=sending)
    world.clock.advance(age_s)
    second = world.start("entry-2")
    second.ledger._cursor = ""
    assert second.ledger.sweep(10).removed == removed
    assert (read_row(first) is None) == removed
    if removed:
        assert list_objects(world) == {}


@pytest.mark.parametrize(
    ("age_s", "known_gone", "closed"),
    [(1.0, False, 0), (1.0, True, 1), (900.0, False, 1)],
)
def test_abandoned_records_are_closed_and_kept(
    world, age_s, known_gone, closed
):
    first = world.start("entry-1")
    at_step(first, 2, lambda: setattr(first, "dead", True))
    first.submit_until_crash(KEY)
    world.clock.advance(age_s)
    if known_gone:
        world.gone.add((first.owner.instance, first.owner.incarnation))
    second = world.start("entry-2")
    second.ledger._cursor = ""
    report = second.ledger.sweep(10)
    assert (report.closed, report.open_records) == (closed, 1 - closed)
    world.clock.advance(RETENTION_S - 1)
    expected = errors.UnknownOutcome
    assert type(second.submit(KEY)) is expected


def test_an_open_record_never_expires_by_itself(world):
    first = world.start("entry-1")
    at_step(first, 2, lambda: setattr(first, "dead", True))
    first.submit_until_crash(KEY)
    second = world.start("entry-2")
    verdicts = []
    for wait_s in (RETENTION_S + 1, RETENTION_S - 1, 1.0):
        world.clock.advance(wait_s)
        verdicts.append(harness.name_verdict(second.submit(KEY)))
    assert verdicts == ["UnknownOutcome", "UnknownOutcome", "DONE"]


def test_the_retention_begins_at_the_end_of_the_request(world):
    first = world.start("entry-1")
    at_step(first, 2, lambda: world.clock.advance(800.0))
    first.submit(KEY)
    world.clock.advance(RETENTION_S - 1)
    assert type(first.submit(KEY)) is errors.Replay


@pytest.mark.parametrize("step", [REMOVE, COMMIT])
def test_a_sweep_leaves_a_record_that_changed_meanwhile(world, step):
    first = world.start("entry-1")
    first.submit(KEY)
    world.clock.advance(RETENTION_S)
    second = world.start("entry-2")
    second.ledger._cursor = ""
    at_step(second, step, lambda: first.submit(KEY))
    assert second.ledger.sweep(10).removed == 0
    assert type(first.submit(KEY)) is errors.Replay
    assert world.count_runs(KEY) == 2  # A retention apart.


def test_a_sweep_closes_no_record_that_ended_meanwhile(world):
    first, second = world.start("entry-1"), world.start("entry-2")
    second.ledger._cursor = ""
    world.gone.add((first.owner.instance, first.owner.incarnation))
    at_step(second, 1, lambda: claim.record_done(200, [], b"x"))
    claim = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap()
    assert second.ledger.sweep(10).closed == 0
    again = second.ledger.claim(KEY, b"f", world.clock.wall())
    assert type(again.unwrap_err()) is errors.Replay


def test_a_late_ending_leaves_the_next_record_alone(world):
    """The holder was paused until its key was free and claimed again."""
    first, second = world.start("entry-1"), world.start("entry-2")
    late = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap()
    world.clock.advance(harness.LIMITS.longest_run_s)
    second.ledger._cursor = ""
    assert second.ledger.sweep(10).closed == 1
    world.clock.advance(RETENTION_S)
    next_one = second.ledger.claim(KEY, b"f", world.clock.wall()).unwrap()
    before = read_row(first)
    assert late.record_not_run() is settling.Settlement.SUPERSEDED
    assert read_row(first) == before
    next_one.record_done(200, [], b"x")
    again = first.ledger.claim(KEY, b"f", world.clock.wall()).unwrap_err()
    assert again.answer.body == b"x"


@pytest.mark.parametrize("damage", [b"", b"\x01\x93\xcc\xc8\x90\xc4\x01x"])
def test_a_damaged_answer_is_not_replayed(world, damage):
    first = world.start("entry-1")
    first.submit(KEY)
    objects = list_objects(world)
    objects.update(dict.fromkeys(objects, damage))
    assert type(first.submit(KEY)) is errors.AnswerNotKept


def test_an_own_write_is_found_where_the_table_forgot_its_id(world):
    first = world.start("entry-1")
    commit = first.platform.table.commit

    def commit_twice(transaction):
        commit(transaction)  # Its answer was lost.
        world.state._answers.clear()
        return commit(transaction)

    first.platform.table.commit = commit_twice
    assert first.submit(KEY) is harness.Told.DONE


def test_pages_are_bounded_and_come_round(world):
    first = world.start("entry-1")
    for number in range(450):
        first.submit(keys.RequestKey("a", str(number)), sending=Sending.REFUSED)
    world.clock.advance(RETENTION_S)
    sweeper = world.start("entry-2").ledger
    sweeper._cursor = ""
    before = world.state.calls.copy()
    removed = [sweeper.sweep(removals=100).removed for _ in range(5)]
    assert removed == [100, 100, 100, 100, 50]
    calls = world.state.calls - before
    assert calls[config.Operation.SCAN] == 5
    assert calls[config.Operation.COMMIT] == 5
    assert sweeper._cursor == ""


@pytest.mark.parametrize("step", [SCAN, REMOVE, COMMIT])
def test_a_sweep_while_the_platform_is_down_changes_nothing(world, step):
    first = world.start("entry-1")
    first.submit(KEY)
    world.clock.advance(RETENTION_S)
    first.ledger._cursor = ""
    faults = [Fault.NONE] * step + [Fault.DOWN]
    first.choose_fault = lambda: faults.pop(0)
    assert first.ledger.sweep(10).removed == 0
    assert read_row(first)
    first.choose_fault = lambda: Fault.NONE
    first.ledger._cursor = ""
    assert first.ledger.sweep(10).removed == 1


@pytest.mark.parametrize(
    ("writes_per_s", "removals"), [(0.525, 1), (23.625, 29), (0.01, 1)]
)
def test_a_sweep_takes_a_quarter_of_the_writes(writes_per_s, removals):
    assert sweeping.compute_removals(writes_per_s, 5.0) == removals


@pytest.mark.parametrize(("removals", "rows"), [(0, 8), (3, 24), (90, 200)])
def test_a_page_is_as_large_as_its_removals_need(world, removals, rows):
    first = world.start("entry-1")
    for number in range(250):
        first.submit(keys.RequestKey("a", str(number)), sending=Sending.REFUSED)
    first.ledger._cursor = ""
    assert first.ledger.sweep(removals).rows == rows
