"""A request that ends its runners is kept back everywhere, and no other one.

Each innocent case shows that the rule of "three ends while it ran" would have
kept the request back: it broke at three runners that had ended, or more.
"""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.poison import cases
from pollenfork.poison.tests import fleet as fleets

POISON, POPULAR, OTHER = 11, 22, 33


def judge(fleet: fleets.Fleet, digest: int) -> set[cases.Verdict]:
    """Returns what the instances think of a request."""
    return {
        each.suspected.judge(ids.RequestDigest(digest), fleet.now)
        for each in fleet.instances
        if each.alive
    }


@pytest.mark.parametrize("gap_s", [0.25, 1.1, 4.0])
def test_a_request_that_ends_its_runners_ends_three(gap_s) -> None:
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.poison.add(POISON)
    fleet.repeat(POISON, gap_s, 40 * gap_s)
    fleet.run(40 * gap_s)
    assert fleet.count_ends(POISON) == 3
    assert fleet.count_late(POISON) == 0
    assert len(fleet.sent[POISON]) == 3


# Guards against a runner that is back before others check it, and seems to have
# lived on: its end was doubted, and the request sent once more.
@pytest.mark.parametrize("gap_s", [0.18, 0.25, 0.4, 1.1])
def test_runners_back_before_they_are_checked_end_three_times_at_most(
    gap_s,
) -> None:
    fleet = fleets.Fleet(instances=3, runners=4)
    fleet.down_s = 0.12
    fleet.connect_s = 0.13
    fleet.tells_findings = True
    fleet.registry_s = 0.85
    fleet.poison.add(POISON)
    fleet.repeat(POISON, gap_s, 8.0, run_s=0.04)
    fleet.run(8.0)
    assert fleet.count_ends(POISON) <= 3
    assert fleet.count_late(POISON) == 0


@pytest.mark.parametrize("size", [8, 75, 195])
def test_one_that_comes_everywhere_at_once_ends_what_it_ran_at_by_then(
    size,
) -> None:
    fleet = fleets.Fleet(instances=size, runners=max(9, size // 3))
    fleet.poison.add(POISON)
    fleet.ask_all(POISON, over_s=1.0)
    fleet.run(1.5)
    first_at = fleet.ended_at[0][0]
    # News is everywhere 30 ms after the first end: proven after 3, told in
    # some ways of 1 ms and rounds of 50.
    under_way = sum(at < first_at + 0.03 for at in fleet.sent[POISON])
    assert fleet.count_ends(POISON) <= max(3, under_way + 2)
    fleet.repeat(POISON, 0.1, 20.0)
    fleet.run(20.0)
    assert fleet.count_late(POISON) == 0
    assert judge(fleet, POISON) == {cases.Verdict.KEPT_BACK}


def test_a_popular_text_that_runs_at_each_end_is_served_on() -> None:
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.poison.add(POISON)
    fleet.repeat(POPULAR, 0.01, 30.0, run_s=0.3)
    fleet.run(1.0)
    fleet.repeat(POISON, 0.25, 20.0)
    fleet.run(30.0)
    assert fleet.count_ends(POISON) == 3
    assert fleet.count_ends(POPULAR) >= 3
    assert POPULAR not in fleet.kept


def test_a_text_that_many_send_as_a_quarter_of_the_fleet_ends_is_served() -> (
    None
):
    fleet = fleets.Fleet(instances=8, runners=36)
    fleet.repeat(POPULAR, 0.005, 10.0, run_s=0.5)
    fleet.run(0.4)  # None has been answered yet.
    for number in range(9):
        fleet.crash(f"r{number}")
    fleet.run(12.0)
    assert fleet.count_ends(POPULAR) >= 3
    assert POPULAR not in fleet.kept


@pytest.mark.parametrize("gap_s", [0.7, 2.0])
def test_a_runner_that_ends_by_itself_again_and_again_blames_none(
    gap_s,
) -> None:
    fleet = fleets.Fleet(instances=3, runners=3)
    fleet.repeat(OTHER, 0.1, 30.0, run_s=0.4)
    for number in range(int(30 / gap_s)):
        fleet.call_in(number * gap_s, lambda: fleet.crash("r1", 0.3))
    fleet.run(31.0)
    assert fleet.count_ends(OTHER) >= 3
    assert OTHER not in fleet.kept


def test_runners_that_are_restarted_in_turn_blame_none() -> None:
    fleet = fleets.Fleet(instances=8, runners=6)
    fleet.repeat(OTHER, 0.1, 20.0, run_s=0.8)
    for number in range(30):
        name = f"r{number % 6}"
        fleet.call_in(number * 0.5, lambda name=name: fleet.crash(name, 0.2))
    fleet.run(21.0)
    assert fleet.count_ends(OTHER) >= 3
    assert OTHER not in fleet.kept


def test_connections_that_break_prove_nothing() -> None:
    fleet = fleets.Fleet(instances=3, runners=3)
    for _ in range(12):
        fleet.ask(fleet.instances[0], OTHER, run_s=1.0)
        fleet.run(0.1)
        for name in fleet.runners:
            fleet.cut_connections(name)
        fleet.run(0.5)
    assert judge(fleet, OTHER) == {cases.Verdict.CLEAR}


def test_a_runner_that_leaves_ends_as_planned() -> None:
    fleet = fleets.Fleet(instances=1, runners=6)
    one = fleet.instances[0]
    for number in range(5):
        name = f"r{number}"
        for each in list(fleet.runners):
            if each != name:
                one.runners.drop(ids.EndpointId(each))
        one.runners.put(fleet.runners[name])
        fleet.ask(one, OTHER, run_s=5.0)
        fleet.run(0.1)
        known = one.runners.find(ids.EndpointId(name))
        leaving = msgspec.structs.replace(known, leaving=True)
        one.runners.put(leaving)
        fleet.run(1.0)
        fleet.crash(name)
        fleet.run(0.1)
        for each in fleet.runners.values():
            one.runners.put(each)
    assert judge(fleet, OTHER) == {cases.Verdict.CLEAR}


def test_a_broken_instance_that_accuses_everything_keeps_nothing_back() -> None:
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.repeat(OTHER, 0.02, 30.0)
    fleet.run(2.0)
    accuser = fleet.instances[0]
    others = list(range(1000, 1400))
    for number in range(3):
        for name in fleet.runners:
            place = fleets.evidence.hash_runner(fleet.runners[name])
            ends = tuple(
                messages.RunnerEnd(digest, place, 300 - 90 * number, 250, 1)
                for digest in (OTHER, *others)
            )
            told = messages.Suspicions("c0", ends)
            for each in fleet.instances[1:]:
                sends = each.exchange.hear(told, accuser.host, fleet.now)
                fleet.deliver(each, sends)
        fleet.run(1.0)
    fleet.run(25.0)
    assert OTHER not in fleet.kept
    accuser.alive = False
    for digest in others:
        assert cases.Verdict.KEPT_BACK not in judge(fleet, digest)


def test_a_broken_instance_hides_no_true_end() -> None:
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.repeat(OTHER, 0.02, 20.0)
    fleet.run(2.0)
    for each in fleet.instances:
        for number in range(20):
            place = fleets.evidence.hash_runner(fleet.runners[f"r{number % 9}"])
            end = messages.RunnerEnd(POISON, place + number, 90, 80, 1)
            told = messages.Suspicions("c0", (end,))
            each.suspected.note_told(told, "10.0.0.000", fleet.now)
            fleet.run(0.05)
    fleet.poison.add(POISON)
    fleet.repeat(POISON, 0.25, 8.0)
    fleet.run(9.0)
    assert judge(fleet, POISON) == {cases.Verdict.KEPT_BACK}
    assert fleet.count_ends(POISON) == 3


def test_it_is_served_again_once_a_runner_has_answered_it() -> None:
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.poison.add(POISON)
    fleet.ask(fleet.instances[0], POISON, run_s=8.0)  # Ends nothing, below.
    fleet.repeat(POISON, 0.25, 4.0)
    fleet.run(4.0)
    assert judge(fleet, POISON) == {cases.Verdict.KEPT_BACK}
    fleet.poison.clear()
    fleet.run(6.0)
    assert cases.Verdict.KEPT_BACK not in judge(fleet, POISON)


def test_an_operator_lifts_it_everywhere_and_it_counts_anew() -> None:
    fleet = fleets.Fleet(instances=8, runners=9)
    fleet.poison.add(POISON)
    fleet.repeat(POISON, 0.25, 4.0)
    fleet.run(4.0)
    digest = ids.RequestDigest(POISON)
    assert fleet.instances[5].suspected.lift(digest)
    fleet.run(1.0)
    assert judge(fleet, POISON) == {cases.Verdict.CLEAR}
    fleet.repeat(POISON, 0.5, 10.0)
    fleet.run(11.0)
    assert judge(fleet, POISON) == {cases.Verdict.KEPT_BACK}
    assert fleet.count_ends(POISON) == 6


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_one_that_starts_or_was_cut_off_knows_within_the_window(loss) -> None:
    fleet = fleets.Fleet(instances=12, runners=9)
    fleet.poison.add(POISON)
    late, cut = fleet.instances[3], fleet.instances[4]
    late.alive = False
    fleet.cuts.add(cut.host)
    fleet.loss = loss
    fleet.repeat(POISON, 0.25, 6.0)
    fleet.run(8.0)
    fleet.cuts.clear()
    late.begin()
    fleet.run(2.9)
    assert judge(fleet, POISON) == {cases.Verdict.KEPT_BACK}


def test_the_last_one_knows_though_all_were_replaced_in_turn() -> None:
    fleet = fleets.Fleet(instances=6, runners=9)
    fleet.poison.add(POISON)
    fleet.repeat(POISON, 0.25, 4.0)
    fleet.run(5.0)
    for each in fleet.instances:
        each.begin()
        fleet.run(3.0)
    assert judge(fleet, POISON) == {cases.Verdict.KEPT_BACK}


def test_a_thousand_such_requests_cost_what_is_stated() -> None:
    fleet = fleets.Fleet(instances=8, runners=60)
    idle = fleet.bytes
    fleet.run(10.0)
    idle = (fleet.bytes - idle) / 10.0 / 8
    for number in range(1000):
        digest = ids.RequestDigest(5000 + number)
        ends = [
            cases.End(
                place, fleet.now - 9 + 2 * place, fleet.now - 8 + 2 * place, 1
            )
            for place in range(3)
        ]
        stored = cases.Case(digest, ends)
        fleet.instances[0].suspected.book.restore(stored, fleet.now)
    before = fleet.bytes
    fleet.run(10.0)
    assert len(fleet.instances[0].suspected.book.list_kept()) == 1000
    each = (fleet.bytes - before) / 10.0 / 8
    assert each - idle < 15_000  # Bytes a second.
