"""When and at what cost an instance's subset changes."""

import pytest

from pollenfork.gateway.connections import assignment
from pollenfork.gateway.connections import subsets
from pollenfork.gateway.connections.tests import support
from pollenfork.poison.tests import fleet as fleets


@pytest.fixture
def assigned(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Records the assignments that are computed."""
    calls: list[int] = []
    assign = assignment.assign

    def record(rankings, runners, index):
        calls.append(len(rankings))
        return assign(rankings, runners, index)

    monkeypatch.setattr(assignment, "assign", record)
    return calls


@pytest.fixture
def ranked(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Records the sizes of the rankings that are computed."""
    sizes: list[int] = []
    ranking = assignment.Ranking

    def record(host, runners):
        sizes.append(len(runners))
        return ranking(host, runners)

    monkeypatch.setattr(assignment, "Ranking", record)
    return sizes


def make_subset(hosts, runners, host: str = "") -> subsets.RunnerSubset:
    """Returns a subset after as many updates as it needs."""
    subset = subsets.RunnerSubset(host or hosts[0])
    for now in range(30):
        subset.update(fleets.SERVICE, hosts, runners, float(now))
    return subset


def list_preferred(subset: subsets.RunnerSubset, runners) -> set[str]:
    return {each.id for each in runners if subset.prefers(each)}


# Guards against an assignment that is computed for each request or each half
# second: it takes milliseconds.
def test_an_assignment_is_kept_until_something_changes(assigned) -> None:
    hosts, runners = support.list_hosts(81), support.list_runners(70)
    subset = subsets.RunnerSubset(hosts[0])
    for now in (0.0, 10.0, 20.0):
        subset.update(fleets.SERVICE, reversed(hosts), iter(runners), now)
        subset.update(fleets.SERVICE, hosts, reversed(runners), now)
    assert assigned == [81]
    subset.update(fleets.SERVICE, hosts[:-1], runners, 30.0)
    subset.update(fleets.SERVICE, hosts[:-1], runners[:-1], 40.0)
    assert assigned == [81, 80, 80]


# Guards against runners that come and go all the time, each of which would
# cost an assignment at 600 runners 29 ms.
def test_assignments_are_at_least_five_seconds_apart(assigned) -> None:
    hosts, runners = support.list_hosts(81), support.list_runners(70)
    subset = subsets.RunnerSubset(hosts[0])
    for step in range(40):
        left = runners[: 70 - step]
        subset.update(fleets.SERVICE, hosts, left, step * 0.5)
    assert len(assigned) == 4
    subset.update(fleets.SERVICE, hosts, left, 30.0)
    expected = list_preferred(make_subset(hosts, left), runners)
    assert list_preferred(subset, runners) == expected


# Guards against streams that stall while an instance that has just started
# ranks 600 runners for 360 instances: 0.1 to 0.2 s at once.
def test_rankings_are_computed_a_few_at_a_time(ranked) -> None:
    hosts, runners = support.list_hosts(360), support.list_runners(600)
    subset = subsets.RunnerSubset(hosts[0])
    for step in range(14):
        subset.update(fleets.SERVICE, hosts, runners, step * 0.5)
        assert sum(ranked) <= 15_000
        assert list_preferred(subset, runners) == {each.id for each in runners}
        ranked.clear()
    subset.update(fleets.SERVICE, hosts, runners, 7.0)
    assert len(list_preferred(subset, runners)) == 64


# Guards against the same when many runners are replaced at once, and against
# an outcome that differs from that of an instance that has just started.
def test_many_replaced_runners_give_the_subset_of_a_new_instance(
    ranked,
) -> None:
    hosts, runners = support.list_hosts(81), support.list_runners(600)
    subset = make_subset(hosts, runners[:500])
    ranked.clear()
    subset.update(fleets.SERVICE, hosts, runners[100:], 50.0)
    # Updating each ranking for 200 runners would take longer than new ones.
    assert 0 < sum(ranked) <= 15_000
    for step in range(10):
        subset.update(fleets.SERVICE, hosts, runners[100:], 51.0 + step)
    expected = list_preferred(make_subset(hosts, runners[100:]), runners)
    assert list_preferred(subset, runners) == expected


# Guards against a killed instance whose share no instance takes over.
def test_the_share_of_a_killed_instance_is_taken_over() -> None:
    hosts, runners = support.list_hosts(9), support.list_runners(30)
    shares = {host: make_subset(hosts, runners, host) for host in hosts}
    left = hosts[:4] + hosts[5:]
    counts = dict.fromkeys((each.id for each in runners), 0)
    for host in left:
        shares[host].update(fleets.SERVICE, left, runners, 50.0)
        for runner in list_preferred(shares[host], runners):
            counts[runner] += 1
    mean = sum(counts.values()) / len(runners)
    assert max(counts.values()) <= 1.15 * mean
    assert min(counts.values()) >= 1


# Guards against an instance without a subset that avoids all runners, and one
# whose peers don't know it yet.
def test_without_other_instances_all_runners_are_preferred() -> None:
    runners = support.list_runners(9)
    subset = subsets.RunnerSubset("10.0.0.1")
    assert len(list_preferred(subset, runners)) == 9
    subset.update(fleets.SERVICE, [], runners, 0.0)
    assert len(list_preferred(subset, runners)) == 9
    subset.update(fleets.SERVICE, [], [], 9.0)
    assert len(list_preferred(subset, runners)) == 9


def test_a_service_that_is_no_longer_forecast_has_no_subset() -> None:
    hosts, runners = support.list_hosts(81), support.list_runners(70)
    subset = make_subset(hosts, runners)
    assert len(list_preferred(subset, runners)) == 16
    subset.retain([])
    assert len(list_preferred(subset, runners)) == 70
