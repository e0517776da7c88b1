"""No window is reported in two versions, whatever a copy has lost."""

import msgspec
import pytest

from pollenfork.duties import continuity
from pollenfork.duties import rows
from pollenfork.duties import work_queue
from pollenfork.duties.tests import call_rules
from pollenfork.duties.tests import restorations
from pollenfork.duties.tests import simulation as simulations

_COPY_AGE_S = 3.0


def _find_violations(simulation: simulations.Simulation) -> list[str]:
    return call_rules.find_violations(
        simulation.calls, simulations.ALTERNATION_S
    )


def _list_missing(simulation: simulations.Simulation, first: int) -> list[int]:
    last = int((simulation.now - 1.0) // simulations.WINDOW_S)
    return [w for w in range(first, last) if w not in simulation.acknowledged]


# Guards against a second report of a window whose first sender was killed and
# whose row the copy lacks.
@pytest.mark.parametrize("seed", range(20))
def test_a_killed_senders_report_is_not_repeated_in_other_words(seed) -> None:
    simulation, copies = restorations.make_simulation(seed, machines=3)
    simulation.run(10.0)
    sender = restorations.await_report(simulation)
    sender.alive = False
    simulation.run(1.0)
    copies.restore(_COPY_AGE_S)
    simulation.run(0.5)
    sender.start()
    simulation.run(20.0)
    assert _find_violations(simulation) == []
    assert _list_missing(simulation, 22) == []


# Guards against the same where no instance is left that was told anything.
@pytest.mark.parametrize("seed", range(20))
def test_after_a_loss_of_power_no_window_is_repeated(seed) -> None:
    simulation, copies = restorations.make_simulation(seed, machines=3)
    simulation.run(10.0)
    restorations.await_report(simulation)
    for each in simulation.machines:
        each.alive = False
    simulation.run(1.0)
    copies.restore(2.0 * _COPY_AGE_S)
    for each in simulation.machines:
        each.start()
    restored_at = simulation.now
    simulation.run(25.0)
    assert _find_violations(simulation) == []
    first = int(restored_at // simulations.WINDOW_S) + 1
    assert _list_missing(simulation, first) == []


# Guards against a new sum for a window whose report was sent, but whose answer
# and row were both lost.
@pytest.mark.parametrize("seed", range(20))
def test_an_unanswered_report_is_sent_again_in_the_same_words(seed) -> None:
    simulation, copies = restorations.make_simulation(seed, machines=3)
    simulation.run(10.0)
    simulation.platform_loss = 1.0
    restorations.await_report(simulation)
    simulation.run(0.2)
    copies.restore(_COPY_AGE_S)
    simulation.run(2.0)
    simulation.platform_loss = 0.0
    simulation.run(20.0)
    assert _find_violations(simulation) == []
    assert _list_missing(simulation, 22) == []


# A holder that lives on knows what it reported, so a drill costs no report.
@pytest.mark.parametrize("seed", range(20))
def test_a_drill_without_other_faults_costs_no_report(seed) -> None:
    simulation, copies = restorations.make_simulation(seed, machines=5)
    simulation.run(10.0 + seed * 0.25)
    for each in simulation.machines:
        each.reaches_store = False
    simulation.run(simulation.rng.uniform(0.2, 1.5))
    for each in simulation.machines:
        each.reaches_store = True
    copies.restore(simulation.rng.uniform(0.5, 6.0))
    simulation.run(20.0)
    assert _find_violations(simulation) == []
    assert _list_missing(simulation, 21) == []


def _find_failed(first: int, has_late_writes: bool) -> list:
    results = [
        restorations.run_seed(seed, has_late_writes)
        for seed in range(first, first + 50)
    ]
    return [each for each in results if each.violations or each.missing]


@pytest.mark.parametrize("first", range(0, 300, 50))
def test_no_drawn_drill_breaks_a_rule(first) -> None:
    assert _find_failed(first, has_late_writes=False) == []


# Guards against a write from before a restoration that takes effect after it,
# as its condition holds again: fencing numbers were given out twice, and rows
# of reports came back that hadn't been sent.
@pytest.mark.parametrize("first", range(0, 400, 50))
def test_no_late_write_breaks_a_rule(first) -> None:
    assert _find_failed(first, has_late_writes=True) == []


def _find_drawn_violations() -> list[str]:
    return [
        violation
        for seed in range(40)
        for violation in restorations.run_seed(seed).violations
    ]


def test_trust_in_a_copys_row_is_detected(monkeypatch) -> None:
    monkeypatch.setattr(
        continuity.Continuity, "find_earliest_window", lambda self, now: 0
    )
    assert any("two reports" in each for each in _find_drawn_violations())


def _lose_stored_reports(seed: int) -> list[int]:
    """Returns windows missing whose reports a copy lacks, unsent."""
    simulation, copies = restorations.make_simulation(seed, machines=3)
    simulation.run(9.0)
    simulation.platform_up = False
    simulation.run(7.0)
    copies.restore(_COPY_AGE_S)
    simulation.run(1.0)
    simulation.platform_up = True
    simulation.run(20.0)
    assert _find_violations(simulation) == []
    return _list_missing(simulation, 21)


# Guards against the loss of reports that a living holder has stored and the
# platform hasn't had.
@pytest.mark.parametrize("seed", range(20))
def test_lost_rows_of_reports_are_written_again(seed) -> None:
    assert _lose_stored_reports(seed) == []


def test_a_stored_report_that_is_forgotten_is_detected(monkeypatch) -> None:
    monkeypatch.setattr(
        work_queue.WorkQueue, "_list_unconfirmed", lambda self: []
    )
    assert any(_lose_stored_reports(seed) for seed in range(20))


# Guards against a window that is never reported through: others would report
# later windows again once the store has lost them.
def test_others_are_told_windows_whose_rows_are_gone() -> None:
    simulation, _ = restorations.make_simulation(1, machines=3)
    simulation.run(7.0)
    simulation.notice_interval_s = 1000.0
    simulation.run(5.5)
    (holder,) = simulation.list_holders()
    holder.alive = False
    simulation.run(20.0)
    (following,) = simulation.list_holders()
    queue = following.duty_lease.work_queue
    assert queue.reported_through == max(simulation.acknowledged)


def test_rows_of_earlier_builds_are_read_and_prove_no_epoch() -> None:
    row = rows.HolderRow(
        holder="a", fencing=1, write_id="w", lease_ms=1, order_ms=1, epoch=3
    )
    fields = msgspec.json.decode(rows.encode(row))
    del fields["epoch"]
    read = rows.decode(msgspec.json.encode(fields), rows.HolderRow)
    assert read.ok_value == msgspec.structs.replace(row, epoch=0)
