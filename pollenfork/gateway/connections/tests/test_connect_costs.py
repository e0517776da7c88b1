"""The cost of a missing connection, by request and runner."""

import pytest

from pollenfork.fleet import candidates
from pollenfork.fleet import model
from pollenfork.gateway import pool
from pollenfork.gateway.connections import connect_costs
from pollenfork.gateway.connections import subsets
from pollenfork.gateway.connections import view
from pollenfork.gateway.connections.tests import support
from pollenfork.poison.tests import fleet as fleets

HOSTS = support.list_hosts(81)
RUNNERS = support.list_runners(70)


def make_profile(shared: int = 350, idempotent: bool = True):
    parts = (model.Part(b"shared", shared), model.Part(b"own", 1110))
    return candidates.RequestProfile(
        fleets.SERVICE, parts, idempotent=idempotent
    )


def make_subset() -> subsets.RunnerSubset:
    subset = subsets.RunnerSubset(HOSTS[0])
    subset.update(fleets.SERVICE, HOSTS, RUNNERS, 0.0)
    return subset


def find_runner(subset: subsets.RunnerSubset, preferred: bool) -> model.Runner:
    return next(each for each in RUNNERS if subset.prefers(each) is preferred)


# Guards against long prompts that avoid the runner where they are cached, and
# short ones that open connections to all runners.
@pytest.mark.parametrize(
    ("shared", "preferred", "idle", "cost_s"),
    [
        (350, True, True, 0.0),
        (350, True, False, 0.02),
        (350, False, True, 0.02),
        (350, False, False, 0.04),
        (999, False, True, 0.02),
        (1000, False, True, 0.0),
        (13_300, False, False, 0.02),
    ],
)
def test_cost_by_subset_and_idle_connection(
    shared: int, preferred: bool, idle: bool, cost_s: float
) -> None:
    loop, subset = support.Loop(), make_subset()
    connections = pool.Pool(loop)
    runner = find_runner(subset, preferred)
    if idle:
        connections.release(runner, support.Connection(loop))
    costs = connect_costs.ConnectCosts(connections, subset)
    found_s = costs.find_cost(make_profile(shared), runner)
    assert found_s == pytest.approx(cost_s)


# Guards against a request that can't be resent and is sent to a runner for the
# sake of a connection that it may not use.
def test_a_request_that_runs_once_counts_only_recent_connections() -> None:
    loop, subset = support.Loop(), make_subset()
    connections = pool.Pool(loop)
    runner = find_runner(subset, True)
    connections.release(runner, support.Connection(loop))
    costs = connect_costs.ConnectCosts(connections, subset)
    once = make_profile(idempotent=False)
    assert costs.find_cost(once, runner) == 0.0
    loop.now += 0.7
    assert costs.find_cost(once, runner) == pytest.approx(0.02)
    assert costs.find_cost(make_profile(), runner) == 0.0


def test_unknown_connections_favour_no_runner() -> None:
    costs = connect_costs.ConnectCosts(view.UnknownConnections(), make_subset())
    profile = make_profile(13_300)
    assert {costs.find_cost(profile, each) for each in RUNNERS} == {0.0}
