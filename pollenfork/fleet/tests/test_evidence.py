"""A runner that is gone costs a few sends, however many instances there are."""

import random

import pytest

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.fleet import offers
from pollenfork.fleet import registry
from pollenfork.fleet.tests import test_registry
from pollenfork.loads import dissemination
from pollenfork.loads import members
from pollenfork.loads import messages as loads

Sign = loads.Symptom
HERE = ids.DataCentre("a")
SERVICE = ids.ServiceName("s")
NOW = 100.0
# How long a dead runner's entry lasts: three heartbeats of 1.2 s.
LAPSE_S = 3.6
PERIOD_S = 0.05
RUNNERS = 20
# Requests a second and runner at the load that the sends were counted at.
RATE = 9.0


class Bench:
    """What one instance knows of three runners."""

    def __init__(self) -> None:
        self.runners = registry.Registry()
        for number in range(3):
            self.runners.put(test_registry.make_runner(f"r{number}"))
        self.chooser = choice.Chooser(self.runners, random.Random(1))
        self.evidence = evidence.Evidence(
            self.runners, self.chooser.find_standing, HERE
        )

    def hear(self, sign, name="r1", centre="a", witness=1, age_s=0.1) -> None:
        runner = self.runners.find(ids.EndpointId(name))
        place = evidence.mark(runner)
        finding = loads.Finding(place, sign, age_s, centre, witness)
        self.evidence.take(finding, NOW)

    def choose(self, now: float = NOW, count: int = 60) -> set[str]:
        """Returns the runners that requests go to."""
        chosen = set()
        for _ in range(count):
            grant = self.chooser.choose(offers.Demand(SERVICE), set(), now)
            chosen.add(grant.runner.id)
            self.chooser.settle(grant)
        return chosen


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_proof_that_another_runner_lives_there_ends_it_for_good(bench) -> None:
    bench.hear(Sign.DISPLACED)
    assert bench.choose(NOW + 60.0) == {"r0", "r2"}


def test_an_own_finding_ends_it_here_too_and_is_told_once(bench) -> None:
    runner = bench.runners.find(ids.EndpointId("r1"))
    bench.evidence.note(runner, Sign.DISPLACED)
    assert bench.choose(NOW + 60.0) == {"r0", "r2"}
    assert [each.symptom for each in bench.evidence.take_findings()] == [
        Sign.DISPLACED
    ]
    assert bench.evidence.take_findings() == []


def test_a_runner_that_has_moved_is_not_meant_by_what_was_found(bench) -> None:
    bench.hear(Sign.DISPLACED)
    bench.runners.put(test_registry.make_runner("r1", port=99))
    assert "r1" in bench.choose()


def test_a_later_start_is_not_meant_by_what_was_found_before(bench) -> None:
    bench.hear(Sign.DISPLACED)
    bench.runners.put(test_registry.make_runner("r1", start=9))
    assert "r1" in bench.choose()


def test_a_refused_connection_lets_others_go_first_for_a_moment(bench) -> None:
    bench.hear(Sign.REFUSED)
    assert bench.choose(NOW) == {"r0", "r2"}
    assert "r1" in bench.choose(NOW + 1.0)


def test_a_fleet_that_all_looks_dead_is_still_tried(bench) -> None:
    for number in range(3):
        bench.hear(Sign.DISPLACED, f"r{number}")
        bench.hear(Sign.REFUSED, f"r{number}")
    assert bench.choose() == {"r0", "r1", "r2"}


@pytest.mark.parametrize(
    ("told", "believed"),
    [
        ([("a", 1)], False),
        ([("a", 1), ("a", 1)], False),
        ([("a", 1), ("a", 2)], True),
        ([("b", 1), ("b", 2), ("b", 3)], False),
        ([("b", 1), ("c", 2)], True),
        ([("b", 1), ("a", 2)], True),
    ],
)
def test_silence_needs_two_witnesses_whose_ways_differ_or_are_ours(
    bench, told, believed
) -> None:
    for centre, witness in told:
        bench.hear(Sign.SILENT, centre=centre, witness=witness)
    assert (bench.choose(NOW) == {"r0", "r2"}) is believed


def test_nothing_is_taken_of_a_runner_that_nobody_knows(bench) -> None:
    finding = loads.Finding(7, Sign.DISPLACED, 0.1, "a", 1)
    bench.evidence.take(finding, NOW)
    assert bench.choose() == {"r0", "r1", "r2"}


def test_findings_that_nobody_takes_do_not_pile_up(bench) -> None:
    runner = bench.runners.find(ids.EndpointId("r1"))
    for _ in range(10_000):
        bench.evidence.note(runner, Sign.REFUSED)
    assert len(bench.evidence.take_findings()) <= 200


class _Teller:
    """What the exchange asks of an instance; only findings matter here."""

    def __init__(self, found: evidence.Evidence) -> None:
        self._evidence = found

    def read_store_status(self, now: float) -> None:
        return None

    def take_findings(self) -> list[loads.Finding]:
        return self._evidence.take_findings()

    def record_finding(self, finding: loads.Finding, now: float) -> None:
        self._evidence.take(finding, now)

    def take_suspicions(self, now):
        return None

    def take_suspicions_page(self, now):
        return None

    def list_suspicions(self, now):
        return [loads.Suspicions("")]

    def record_suspicions(self, told, host, now):
        pass

    def record_instance_count(self, count: int) -> None:
        """Takes nothing."""


class _Instance:
    """One of many instances that share the requests to a fleet."""

    def __init__(self, number: int, everyone, runners) -> None:
        known = registry.Registry()
        for runner in runners:
            known.put(runner)
        self.chooser = choice.Chooser(known, random.Random(number))
        roster = members.Roster(everyone[number])
        for each in everyone:
            roster.record_sighting(each, 1.0)
        self.evidence = evidence.Evidence(
            known,
            self.chooser.find_standing,
            ids.DataCentre(everyone[number].data_centre),
        )
        self.rumours = dissemination.Disseminator(
            everyone[number], roster, _Teller(self.evidence)
        )

    def send(self, dead: model.Runner, now: float) -> bool:
        """Sends a request; returns whether it went to the dead runner."""
        demand = offers.Demand(SERVICE)
        grant = self.chooser.choose(demand, set(), now)
        wasted = grant.runner.id == dead.id
        end = messages.End.UNSENT if wasted else messages.End.WHOLE
        grant.standing.note_end(end, False, now)
        if wasted:
            # The caller's own next tries avoid it; another request would not.
            grant.standing.unsent = 0
            self.evidence.note(grant.runner, Sign.REFUSED)
        self.chooser.settle(grant)
        return wasted


def count_wasted(count: int, centres: int, tells: bool = True) -> int:
    """Returns the sends to a runner that crashed, until its entry lapses."""
    rng = random.Random(3)
    everyone = [make_member(number, centres) for number in range(count)]
    runners = [
        test_registry.make_runner(f"r{number}") for number in range(RUNNERS)
    ]
    instances = [_Instance(each, everyone, runners) for each in range(count)]
    hosts = {each.host: at for at, each in enumerate(everyone)}
    now, wasted, due = NOW, 0, 0.0
    while now < NOW + LAPSE_S:
        now += PERIOD_S
        due += RATE * RUNNERS * PERIOD_S
        while due >= 1.0:
            due -= 1.0
            wasted += rng.choice(instances).send(runners[0], now)
        if not tells:
            continue
        told = [
            (host, message)
            for each in instances
            for host, message in each.rumours.tick(now)
        ]
        for host, message in told:
            instances[hosts[host]].rumours.receive(message, "", now)
    return wasted


def make_member(number: int, centres: int) -> loads.Member:
    centre = number % centres
    return loads.Member(f"10.{centre}.0.{number}", f"dc{centre}")


@pytest.mark.parametrize(("count", "centres"), [(8, 3), (75, 4), (195, 5)])
def test_sends_wasted_on_a_dead_runner_stay_few_at_any_size(
    count, centres
) -> None:
    assert count_wasted(count, centres) < 15


def test_without_telling_each_instance_finds_out_by_itself() -> None:
    assert count_wasted(195, 5, tells=False) > 25
