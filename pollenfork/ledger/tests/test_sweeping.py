"""The clean-up: bounded pages, and races with claims and outcomes."""

import pytest

from pollenfork.ledger import errors
from pollenfork.ledger import keys
from pollenfork.ledger import settling
from pollenfork.ledger import sweeping
from pollenfork.ledger.tests import harness
from pollenfork.standin.platform import config

KEY = keys.RequestKey("settlement", "k")
Fault = harness.Fault
Delivery = harness.Delivery
RETENTION_S = harness.LIMITS.retention_s
SCAN, REMOVE, COMMIT = range(3)


@pytest.fixture
def simulation():
    return harness.Simulation()


def read_row(instance):
    return instance.platform.table.read(KEY.row).unwrap()


def list_objects(simulation):
    return simulation.state._objects


def call_before_step(instance, number, act):
    """Calls `act` right before the instance's step `number`."""
    steps = []

    def choose_fault():
        steps.append(None)
        if len(steps) == number + 1:
            act()
        return Fault.NONE

    instance.choose_fault = choose_fault


@pytest.mark.parametrize(
    ("delivery", "age_s", "removed"),
    [
        (Delivery.RUN, RETENTION_S - 1, False),
        (Delivery.RUN, RETENTION_S, True),
        (Delivery.REFUSED, RETENTION_S, True),
        (Delivery.CUT_AFTER, RETENTION_S - 1, False),
        (Delivery.CUT_AFTER, RETENTION_S, True),
    ],
)
def test_expired_records_are_removed_with_their_answers(
    simulation, delivery, age_s, removed
):
    first = simulation.start("entry-1")
    first.submit(KEY, delivery=delivery)
    simulation.clock.advance(age_s)
    second = simulation.start("entry-2")
    second.ledger._cursor = ""
    assert second.ledger.sweep(10).removed == removed
    assert (read_row(first) is None) == removed
    if removed:
        assert list_objects(simulation) == {}


@pytest.mark.parametrize(
    ("age_s", "known_ended", "closed"),
    [(1.0, False, 0), (1.0, True, 1), (900.0, False, 1)],
)
def test_abandoned_records_are_closed_and_kept(
    simulation, age_s, known_ended, closed
):
    first = simulation.start("entry-1")
    call_before_step(first, 2, lambda: setattr(first, "dead", True))
    first.submit_until_crash(KEY)
    simulation.clock.advance(age_s)
    if known_ended:
        simulation.ended.add((first.owner.instance, first.owner.incarnation))
    second = simulation.start("entry-2")
    second.ledger._cursor = ""
    report = second.ledger.sweep(10)
    assert (report.closed, report.open_records) == (closed, 1 - closed)
    simulation.clock.advance(RETENTION_S - 1)
    expected = errors.UnknownOutcome
    assert type(second.submit(KEY)) is expected


def test_an_open_record_never_expires(simulation):
    first = simulation.start("entry-1")
    call_before_step(first, 2, lambda: setattr(first, "dead", True))
    first.submit_until_crash(KEY)
    second = simulation.start("entry-2")
    results = []
    for wait_s in (RETENTION_S + 1, RETENTION_S - 1, 1.0):
        simulation.clock.advance(wait_s)
        results.append(harness.get_result_name(second.submit(KEY)))
    assert results == ["UnknownOutcome", "UnknownOutcome", "DONE"]


def test_the_retention_begins_at_the_end_of_the_request(simulation):
    first = simulation.start("entry-1")
    call_before_step(first, 2, lambda: simulation.clock.advance(800.0))
    first.submit(KEY)
    simulation.clock.advance(RETENTION_S - 1)
    assert type(first.submit(KEY)) is errors.Replay


@pytest.mark.parametrize("step", [REMOVE, COMMIT])
def test_a_sweep_leaves_a_record_that_changed_meanwhile(simulation, step):
    first = simulation.start("entry-1")
    first.submit(KEY)
    simulation.clock.advance(RETENTION_S)
    second = simulation.start("entry-2")
    second.ledger._cursor = ""
    call_before_step(second, step, lambda: first.submit(KEY))
    assert second.ledger.sweep(10).removed == 0
    assert type(first.submit(KEY)) is errors.Replay
    assert simulation.count_runs(KEY) == 2  # At least the retention time apart.


def test_a_sweep_closes_no_record_that_ended_meanwhile(simulation):
    first, second = simulation.start("entry-1"), simulation.start("entry-2")
    second.ledger._cursor = ""
    simulation.ended.add((first.owner.instance, first.owner.incarnation))
    call_before_step(second, 1, lambda: claim.record_done(200, [], b"x"))
    claim = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap()
    assert second.ledger.sweep(10).closed == 0
    again = second.ledger.claim(KEY, b"f", simulation.clock.wall())
    assert type(again.unwrap_err()) is errors.Replay


def test_a_late_outcome_does_not_change_the_next_record(simulation):
    """The owner was paused until its key expired and was claimed again."""
    first, second = simulation.start("entry-1"), simulation.start("entry-2")
    late = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap()
    simulation.clock.advance(harness.LIMITS.longest_run_s)
    second.ledger._cursor = ""
    assert second.ledger.sweep(10).closed == 1
    simulation.clock.advance(RETENTION_S)
    next_one = second.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap()
    before = read_row(first)
    assert late.record_not_run() is settling.Settlement.SUPERSEDED
    assert read_row(first) == before
    next_one.record_done(200, [], b"x")
    again = first.ledger.claim(KEY, b"f", simulation.clock.wall()).unwrap_err()
    assert again.answer.body == b"x"


@pytest.mark.parametrize("damage", [b"", b"\x01\x93\xcc\xc8\x90\xc4\x01x"])
def test_a_corrupt_answer_is_not_replayed(simulation, damage):
    first = simulation.start("entry-1")
    first.submit(KEY)
    objects = list_objects(simulation)
    objects.update(dict.fromkeys(objects, damage))
    assert type(first.submit(KEY)) is errors.AnswerNotKept


def test_a_claim_finds_its_own_write_after_the_table_lost_its_write_id(
    simulation,
):
    first = simulation.start("entry-1")
    commit = first.platform.table.commit

    def commit_twice(transaction):
        commit(transaction)  # Its response was lost.
        simulation.state._commit_results.clear()
        return commit(transaction)

    first.platform.table.commit = commit_twice
    assert first.submit(KEY) is harness.ToldOutcome.DONE


def test_pages_are_bounded_and_start_again_at_the_end(simulation):
    first = simulation.start("entry-1")
    for number in range(450):
        first.submit(
            keys.RequestKey("a", str(number)), delivery=Delivery.REFUSED
        )
    simulation.clock.advance(RETENTION_S)
    sweeper = simulation.start("entry-2").ledger
    sweeper._cursor = ""
    before = simulation.state.calls.copy()
    removed = [sweeper.sweep(removals=100).removed for _ in range(5)]
    assert removed == [100, 100, 100, 100, 50]
    calls = simulation.state.calls - before
    assert calls[config.Operation.SCAN] == 5
    assert calls[config.Operation.COMMIT] == 5
    assert sweeper._cursor == ""


@pytest.mark.parametrize("step", [SCAN, REMOVE, COMMIT])
def test_a_sweep_while_the_platform_is_down_changes_nothing(simulation, step):
    first = simulation.start("entry-1")
    first.submit(KEY)
    simulation.clock.advance(RETENTION_S)
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
def test_a_sweep_uses_a_quarter_of_the_writes(writes_per_s, removals):
    assert sweeping.compute_removals(writes_per_s, 5.0) == removals


@pytest.mark.parametrize(("removals", "rows"), [(0, 8), (3, 24), (90, 200)])
def test_the_page_size_depends_on_the_removals(simulation, removals, rows):
    first = simulation.start("entry-1")
    for number in range(250):
        first.submit(
            keys.RequestKey("a", str(number)), delivery=Delivery.REFUSED
        )
    first.ledger._cursor = ""
    assert first.ledger.sweep(removals).rows == rows
