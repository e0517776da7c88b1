"""One instance acts for all, whatever happens to it and its ways."""

import msgspec
import pytest

from pollenfork.duties import agenda
from pollenfork.duties import messages
from pollenfork.duties import office
from pollenfork.duties.tests import schedules
from pollenfork.duties.tests import world as worlds
from pollenfork.leases import lease


@pytest.mark.parametrize("first", range(0, 300, 50))
def test_no_two_act_and_no_window_is_lost(first) -> None:
    played = [schedules.play(first + number) for number in range(50)]
    assert [each for each in played if each.broken or each.missing] == []


def _find_broken() -> list[str]:
    return [
        broken for seed in range(60) for broken in schedules.play(seed).broken
    ]


def test_who_takes_a_lease_before_it_is_over_is_found(monkeypatch) -> None:
    monkeypatch.setattr(
        lease.Lease, "_judge_other", lambda self, now, checks: lease.Hold.FREE
    )
    assert any("after" in each or "turns" in each for each in _find_broken())


def test_who_acts_after_its_lease_is_found(monkeypatch) -> None:
    def make(self, work, now):
        if work is None:
            return None
        return messages.Task(self.fencing, float("inf"), work)

    monkeypatch.setattr(office.Office, "_make_task", make)
    monkeypatch.setattr(worlds.World, "careless", True)
    assert any("after" in each for each in _find_broken())


def test_a_number_that_doesnt_grow_is_found(monkeypatch) -> None:
    def claim(self, now):
        old = self.row or self._make_first()
        return self.propose(
            msgspec.structs.replace(old, holder=self._instance), now
        )

    monkeypatch.setattr(lease.Lease, "propose_claim", claim)
    assert any("two machines" in each for each in _find_broken())


def test_a_report_that_is_told_before_it_is_written_is_found(
    monkeypatch,
) -> None:
    def find(self, now):
        ready = {**self._ready, **self.frozen}
        due = sorted(set(ready) - self._confirmed)
        return ready[due[0]] if due else None

    monkeypatch.setattr(agenda.Agenda, "next_report", find)
    assert any("two reports" in each for each in _find_broken())


# The worst case of each step from a holder's death to the next one's first
# act; the table of these sums is in docs/design/duties.md.
def test_a_window_is_reported_in_time_though_its_holder_dies() -> None:
    worst = 0.0
    for seed in range(20):
        world = worlds.World(seed, machines=5)
        world.run(4.0 + seed * 0.25)
        (holder,) = world.list_holders()
        holder.alive = False
        window = int(world.now // worlds.WINDOW_S)
        end = (window + 1) * worlds.WINDOW_S
        world.run(end + worlds.DUE_S - world.now)
        worst = max(worst, world.acknowledged[window] - end)
    assert worst < 0.7 * worlds.DUE_S


def test_a_frozen_report_is_told_in_the_same_words_by_the_next_holder() -> None:
    world = worlds.World(3, machines=3)
    world.platform_up = False
    world.run(8.0)
    (holder,) = world.list_holders()
    frozen = dict(holder.office.agenda.frozen)
    holder.alive = False
    world.platform_up = True
    world.run(12.0)
    told = {
        call.work.window: call.work
        for call in world.calls
        if isinstance(call.work, messages.Report)
    }
    assert frozen
    assert {window: told[window] for window in frozen} == frozen


def test_nothing_is_asked_of_the_store_while_another_one_holds() -> None:
    world = worlds.World(4, machines=8)
    world.run(4.0)
    (holder,) = world.list_holders()
    asked = []
    ask = world._ask_store

    def note(machine, step):
        asked.append(machine)
        ask(machine, step)

    world._ask_store = note
    world.run(20.0)
    assert set(map(id, asked)) == {id(holder)}


def test_reports_that_nobody_takes_are_bounded() -> None:
    world = worlds.World(5, machines=3)
    world.platform_up = False
    world.run(500.0)
    (holder,) = world.list_holders()
    assert len(holder.office.agenda.frozen) <= agenda.WAITING_LIMIT + 3
    assert len(world.store.rows) <= agenda.WAITING_LIMIT + 4
    world.platform_up = True
    world.run(60.0)
    told = {
        call.work.window
        for call in world.calls
        if isinstance(call.work, messages.Report)
    }
    assert len(told) >= agenda.WAITING_LIMIT
    assert len(world.store.rows) <= 3
