"""A crashed runner costs a few sends, however many instances there are."""

import random

import pytest

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet.tests import test_registry
from pollenfork.loads import dissemination
from pollenfork.loads import members
from pollenfork.loads import messages as loads

Symptom = loads.Symptom
LOCAL = ids.DataCentre("a")
SERVICE = ids.ServiceName("s")
NOW = 100.0
# Expiry of a dead runner's entry: three heartbeats of 1.2 s.
EXPIRY_S = 3.6
PERIOD_S = 0.05
RUNNERS = 20
# Requests per second and runner at the load for which sends are counted.
RATE = 9.0


class Bench:
    """One instance's view of three runners."""

    def __init__(self) -> None:
        self.runners = registry.Registry()
        for number in range(3):
            self.runners.put(test_registry.make_runner(f"r{number}"))
        self.chooser = choice.Chooser(self.runners, random.Random(1))
        self.evidence = evidence.Evidence(
            self.runners, self.chooser.get_state, LOCAL
        )

    def receive(
        self, symptom, name="r1", centre="a", observer=1, age_s=0.1
    ) -> None:
        runner = self.runners.find(ids.EndpointId(name))
        runner_hash = evidence.hash_runner(runner)
        finding = loads.Finding(runner_hash, symptom, age_s, centre, observer)
        self.evidence.receive(finding, NOW)

    def choose(self, now: float = NOW, count: int = 60) -> set[str]:
        """Returns the runners that requests are sent to."""
        chosen = set()
        for _ in range(count):
            grant = self.chooser.choose(
                candidates.RequestProfile(SERVICE), set(), now
            )
            chosen.add(grant.runner.id)
            self.chooser.settle(grant)
        return chosen


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_a_displaced_runner_is_never_chosen_again(bench) -> None:
    bench.receive(Symptom.DISPLACED)
    assert bench.choose(NOW + 60.0) == {"r0", "r2"}


def test_an_own_finding_applies_locally_and_is_sent_once(bench) -> None:
    runner = bench.runners.find(ids.EndpointId("r1"))
    bench.evidence.record(runner, Symptom.DISPLACED)
    assert bench.choose(NOW + 60.0) == {"r0", "r2"}
    assert [each.symptom for each in bench.evidence.take_findings()] == [
        Symptom.DISPLACED
    ]
    assert bench.evidence.take_findings() == []


def test_a_finding_does_not_apply_to_a_runner_that_has_moved(bench) -> None:
    bench.receive(Symptom.DISPLACED)
    bench.runners.put(test_registry.make_runner("r1", port=99))
    assert "r1" in bench.choose()


def test_a_finding_does_not_apply_to_a_later_incarnation(bench) -> None:
    bench.receive(Symptom.DISPLACED)
    bench.runners.put(test_registry.make_runner("r1", start=9))
    assert "r1" in bench.choose()


def test_a_runner_that_refuses_connections_is_avoided_for_a_moment(
    bench,
) -> None:
    bench.receive(Symptom.REFUSED)
    assert bench.choose(NOW) == {"r0", "r2"}
    assert "r1" in bench.choose(NOW + 1.0)


def test_runners_are_still_tried_if_all_seem_dead(bench) -> None:
    for number in range(3):
        bench.receive(Symptom.DISPLACED, f"r{number}")
        bench.receive(Symptom.REFUSED, f"r{number}")
    assert bench.choose() == {"r0", "r1", "r2"}


@pytest.mark.parametrize(
    ("reports", "avoided"),
    [
        ([("a", 1)], False),
        ([("a", 1), ("a", 1)], False),
        ([("a", 1), ("a", 2)], True),
        ([("b", 1), ("b", 2), ("b", 3)], False),
        ([("b", 1), ("c", 2)], True),
        ([("b", 1), ("a", 2)], True),
    ],
)
def test_a_timeout_needs_two_local_reports_or_two_data_centres(
    bench, reports, avoided
) -> None:
    for centre, observer in reports:
        bench.receive(Symptom.SILENT, centre=centre, observer=observer)
    assert (bench.choose(NOW) == {"r0", "r2"}) is avoided


def test_a_finding_about_an_unknown_runner_is_ignored(bench) -> None:
    finding = loads.Finding(7, Symptom.DISPLACED, 0.1, "a", 1)
    bench.evidence.receive(finding, NOW)
    assert bench.choose() == {"r0", "r1", "r2"}


def test_unsent_findings_are_bounded(bench) -> None:
    runner = bench.runners.find(ids.EndpointId("r1"))
    for _ in range(10_000):
        bench.evidence.record(runner, Symptom.REFUSED)
    assert len(bench.evidence.take_findings()) <= 200


class _LocalInstance:
    """The instance as the peer exchange sees it; only findings matter here."""

    def __init__(self, shared: evidence.Evidence) -> None:
        self._evidence = shared

    def read_store_status(self, now: float) -> None:
        return None

    def take_findings(self) -> list[loads.Finding]:
        return self._evidence.take_findings()

    def record_finding(self, finding: loads.Finding, now: float) -> None:
        self._evidence.receive(finding, now)

    def take_departures(self):
        return []

    def list_departures(self):
        return []

    def record_departures(self, announced):
        pass

    def take_suspicions(self, now):
        return None

    def take_suspicions_page(self, now):
        return None

    def list_suspicions(self, now):
        return [loads.Suspicions("")]

    def record_suspicions(self, suspicions, host, now):
        pass

    def record_instance_count(self, count: int) -> None:
        """Ignores the count."""


class _Instance:
    """One of many instances that send requests to the same runners."""

    def __init__(self, number: int, everyone, runners) -> None:
        registered = registry.Registry()
        for runner in runners:
            registered.put(runner)
        self.chooser = choice.Chooser(registered, random.Random(number))
        roster = members.Roster(everyone[number])
        for each in everyone:
            roster.record_sighting(each, 1.0)
        self.evidence = evidence.Evidence(
            registered,
            self.chooser.get_state,
            ids.DataCentre(everyone[number].data_centre),
        )
        self.disseminator = dissemination.Disseminator(
            everyone[number], roster, _LocalInstance(self.evidence)
        )

    def send(self, dead: model.Runner, now: float) -> bool:
        """Sends a request; returns whether it went to the dead runner."""
        profile = candidates.RequestProfile(SERVICE)
        grant = self.chooser.choose(profile, set(), now)
        wasted = grant.runner.id == dead.id
        end = messages.End.UNSENT if wasted else messages.End.WHOLE
        grant.state.record_end(end, False, now)
        if wasted:
            # Only the same request's retries avoid it; other requests don't.
            grant.state.unsent = 0
            self.evidence.record(grant.runner, Symptom.REFUSED)
        self.chooser.settle(grant)
        return wasted


def count_wasted(count: int, centres: int, shares: bool = True) -> int:
    """Returns the sends to a crashed runner until its entry expires."""
    rng = random.Random(3)
    everyone = [make_member(number, centres) for number in range(count)]
    runners = [
        test_registry.make_runner(f"r{number}") for number in range(RUNNERS)
    ]
    instances = [_Instance(each, everyone, runners) for each in range(count)]
    hosts = {each.host: at for at, each in enumerate(everyone)}
    now, wasted, due = NOW, 0, 0.0
    while now < NOW + EXPIRY_S:
        now += PERIOD_S
        due += RATE * RUNNERS * PERIOD_S
        while due >= 1.0:
            due -= 1.0
            wasted += rng.choice(instances).send(runners[0], now)
        if not shares:
            continue
        sent = [
            (host, message)
            for each in instances
            for host, message in each.disseminator.tick(now)
        ]
        for host, message in sent:
            instances[hosts[host]].disseminator.receive(message, "", now)
    return wasted


def make_member(number: int, centres: int) -> loads.Member:
    centre = number % centres
    return loads.Member(f"10.{centre}.0.{number}", f"dc{centre}")


@pytest.mark.parametrize(("count", "centres"), [(8, 3), (75, 4), (195, 5)])
def test_sends_wasted_on_a_dead_runner_stay_few_at_any_size(
    count, centres
) -> None:
    assert count_wasted(count, centres) < 15


def test_without_sharing_each_instance_discovers_the_crash_itself() -> None:
    assert count_wasted(195, 5, shares=False) > 25
