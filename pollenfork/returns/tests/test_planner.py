"""Promises to refused callers, and their returns, at one instance."""

import random

import pytest

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.returns import edges
from pollenfork.returns import planner
from pollenfork.returns import promises
from pollenfork.returns.tests import fake_site

NOW = 100.0
RATE = 70 * 56_600.0
DIGEST = ids.RequestDigest(0x0123456789ABCDEF)


class Peers:
    def __init__(self) -> None:
        self.announced: list[messages.PlannedReturn] = []
        self.callback = None

    def announce_return(self, planned) -> None:
        self.announced.append(planned)

    def when_returns(self, callback) -> None:
        self.callback = callback


def make_planner(peers=None, **given) -> planner.ReturnPlanner:
    return planner.ReturnPlanner(
        random.Random(1), fake_site.Counters(), peers, **given
    )


def make_caller(at: float = NOW, left_s: float = 12.0) -> planner.Caller:
    return planner.Caller(
        request="q",
        service=fake_site.SERVICE,
        digest=DIGEST,
        tokens=3720,
        target_s=2.0,
        arrived=at,
        deadline=at + left_s,
    )


def plan_return(plans, caller, wait_s=1.0, rate=RATE) -> planner.Plan:
    overload = planner.Overload(wait_s, wait_s, rate)
    return plans.plan(caller, overload, NOW)


def test_a_promise_is_logged_announced_and_kept(caplog) -> None:
    """Guards against a Retry-After that nobody can explain or keep."""
    caplog.set_level("INFO")
    peers = Peers()
    plans = make_planner(peers)
    plan = plan_return(plans, make_caller(), 1.6, RATE)
    assert plan.obstacle is None and 1.59 <= plan.wait_s <= 1.62
    due_ms = round(plan.wait_s * 1000)
    (announced,) = peers.announced
    assert announced.digest == 0x89ABCDEF
    assert announced.due_in_ms == pytest.approx(due_ms, abs=1)
    assert announced.tokens == 3720
    at = NOW + 0.5
    early = plans.claim(make_caller(at), at)
    assert isinstance(early, promises.Early)
    told_s = plans.refuse_early(make_caller(at), early, at)
    assert told_s == pytest.approx(plan.wait_s - 0.5, abs=0.011)
    at = NOW + plan.wait_s + 0.02
    kept = plans.claim(make_caller(at), at)
    assert isinstance(kept, promises.Kept)
    plans.confirm(make_caller(at), kept)
    name = "request=q digest=0123456789abcdef"
    assert f"event=return_planned {name} due_ms={due_ms} queue=0" in caplog.text
    assert f"event=return_early {name} left_ms=" in caplog.text
    assert f"event=return_kept {name} late_ms=" in caplog.text


@pytest.mark.parametrize("left_s", [0.02, 0.3, 2.2, 5.0, 12.38])
@pytest.mark.parametrize("wait_s", [0.01, 1.0, 30.0])
def test_nobody_is_told_more_than_a_third_of_the_time_left(
    left_s, wait_s
) -> None:
    """Guards against a Retry-After above what callers accept."""
    plans = make_planner()
    told_s = plan_return(plans, make_caller(NOW, left_s), wait_s, RATE).wait_s
    assert 0.0 <= told_s <= left_s / 3
    assert float(f"{told_s:.2f}") <= left_s / 3  # As written to the caller.
    early = promises.Early(wait_s)
    told_s = plans.refuse_early(make_caller(NOW, left_s), early, NOW)
    assert 0.0 <= told_s <= left_s / 3


@pytest.mark.parametrize(
    ("left_s", "rate", "obstacle"),
    [
        (2.0, RATE, "no_time"),
        (12.0, 0.0, "no_runners"),
        (12.0, 1.0, "no_place"),
    ],
)
def test_without_a_place_the_latest_time_is_told(
    left_s, rate, obstacle, caplog
) -> None:
    """Guards against places for callers that can't be answered in time."""
    caplog.set_level("INFO")
    peers = Peers()
    plans = make_planner(peers)
    caller = make_caller(NOW, left_s)
    plan = plan_return(plans, caller, 0.5, rate)
    assert plan.obstacle == obstacle
    assert plans.refuse_unplanned(caller, plan) == plan.wait_s
    assert plan.wait_s == pytest.approx((left_s - 0.03) / 3, abs=0.011)
    assert peers.announced == []
    at = NOW + 0.1
    assert plans.claim(make_caller(at), at) is None
    assert f"reason={obstacle}" in caplog.text


def test_a_promise_holds_though_the_time_left_has_become_short() -> None:
    """Guards against refusing a caller that was promised an answer."""
    plans = make_planner()
    told_s = plan_return(plans, make_caller(), 1.0, RATE).wait_s
    at = NOW + told_s
    caller = make_caller(at, left_s=0.1)
    assert isinstance(plans.claim(caller, at), promises.Kept)


def test_promises_of_other_instances_are_kept() -> None:
    """Guards against refusing callers that return to another instance."""
    peers = Peers()
    plans = make_planner(peers)
    planned = messages.PlannedReturn(0x89ABCDEF, 300, 3720)
    peers.callback((planned,), NOW)
    assert plans.measure_backlog(RATE, NOW) == pytest.approx(3720 / RATE)
    at = NOW + 0.3
    assert isinstance(plans.claim(make_caller(at), at), promises.Kept)
    assert plans.measure_backlog(RATE, at) == 0.0


def test_an_instance_that_has_just_started_promises_nothing() -> None:
    """Guards against promising all of the runners' rate at each start."""
    plans = make_planner(Peers(), alone=False)
    assert plan_return(plans, make_caller(), 1.0, RATE).obstacle
    plans.set_instances(1, NOW + 0.5)
    assert plan_return(plans, make_caller(), 1.0, RATE).obstacle
    plans.set_instances(81, NOW + 1.0)
    assert plan_return(plans, make_caller(), 1.0, RATE).obstacle is None


def test_an_instance_that_stays_alone_promises_the_whole_rate() -> None:
    """Guards against a sole instance that never promises anything."""
    plans = make_planner(Peers(), alone=False)
    plans.set_instances(1, NOW)
    plans.set_instances(1, NOW + 3.1)
    assert plan_return(plans, make_caller(), 1.0, RATE).obstacle is None


def count_promises(plans) -> int:
    found = [plan_return(plans, make_caller(), 1.0, RATE) for _ in range(3000)]
    return sum(plan.obstacle is None for plan in found)


@pytest.mark.parametrize(("instances", "later"), [(81, 27), (2, 1)])
def test_a_partition_does_not_raise_the_rate_of_promises(
    instances, later
) -> None:
    """Guards against sides of a partition that promise the same runners."""
    plans = make_planner()
    plans.set_instances(instances, NOW)
    plans.set_instances(later, NOW + 30.0)
    still = make_planner()
    still.set_instances(instances, NOW)
    assert count_promises(plans) == count_promises(still)
    plans = make_planner()
    plans.set_instances(instances, NOW)
    plans.set_instances(later, NOW + 61.0)
    assert count_promises(plans) > count_promises(still)


def test_all_instances_together_promise_600_per_second_at_most() -> None:
    """Guards against promises that fill the datagrams between instances."""
    plans = make_planner()
    found = [
        plan_return(plans, make_caller(), 1.0, 600 * 56_600.0)
        for _ in range(5000)
    ]
    promised = sum(plan.obstacle is None for plan in found)
    assert 1700 <= promised <= 600 * 3.0


def test_each_event_is_counted() -> None:
    """Guards against a share of kept promises that can't be measured."""
    counted = fake_site.Counters()
    plans = planner.ReturnPlanner(random.Random(1), counted)
    told_s = plan_return(plans, make_caller(), 1.0, RATE).wait_s
    at = NOW + 0.5
    plans.refuse_early(make_caller(at), plans.claim(make_caller(at), at), at)
    at = NOW + told_s
    plans.confirm(make_caller(at), plans.claim(make_caller(at), at))
    plans.refuse_unplanned(make_caller(), planner.Plan(1.0, "no_place"))
    assert counted.counts == dict.fromkeys(edges.ReturnEvent, 1)


def test_a_promise_waits_until_the_backlog_has_fallen() -> None:
    """Guards against promised returns that are late all the same."""
    plans = make_planner()
    # The backlog falls by 0.8 s in a second, and 0.9 of the target is 1.8 s.
    for number in range(11):
        overload = planner.Overload(
            4.0 - number * 0.08, 4.0 - number * 0.08, RATE
        )
        plan = plans.plan(make_caller(), overload, NOW + number * 0.1)
    assert plan.obstacle is None
    plans = make_planner()
    for number in range(11):
        overload = planner.Overload(4.0, 4.0 - number * 0.02, RATE)
        plan = plans.plan(make_caller(), overload, NOW + number * 0.1)
    # It falls by 0.2 s in a second: 11 s until the wait is short enough.
    assert plan.obstacle == "overload_lasts"
