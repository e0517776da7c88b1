"""Many callers are refused at once, and return to any instance."""

import pytest

from pollenfork.returns import edges
from pollenfork.returns.tests import fake_site

_Event = edges.ReturnEvent


def run_herd(site, count=1650, seconds=6.0, ignoring=0.0, group=0):
    """Lets callers arrive evenly; returns those who were refused."""
    for number in range(count):
        site.add_caller(
            site.now + number * seconds / count,
            obeys=site.rng.random() >= ignoring,
            group=group,
        )
    site.run()
    return [caller for caller in site.callers if caller.tells]


def measure_share(callers):
    """Returns the share of callers that were served in time."""
    return sum(each.served_in_time for each in callers) / len(callers)


@pytest.mark.parametrize(
    ("others", "seed"), [(0.45, 1), (0.45, 2), (0.45, 3), (0.55, 1), (0.6, 1)]
)
def test_a_herd_returns_in_an_order_that_the_runners_can_serve(
    others, seed
) -> None:
    """Guards against refused callers that return together and are late."""
    site = fake_site.Site(81, seed, backlog_s=4.0, others=others)
    refused = run_herd(site)
    assert len(refused) >= 1374
    returned = [each for each in refused if each.told]
    assert measure_share(returned) >= 0.9


def test_nearly_all_of_a_herd_is_promised_a_time() -> None:
    """Guards against callers that are told a time but admitted by luck."""
    site = fake_site.Site(81, 1, backlog_s=4.0)
    refused = run_herd(site)
    assert site.counters.counts[_Event.KEPT] >= 0.9 * len(refused)


def test_few_runners_before_many_instances_are_not_promised_twice() -> None:
    """Guards against a first free place at each of 360 instances.

    3 runners process half of their rate in returns; all places are due within
    the last third of the time limit.
    """
    site = fake_site.Site(360, 4, backlog_s=4.0, counted=360)
    rate = 3 * 56_600.0
    for number, plans in enumerate(site.planners):
        for copy in range(5):
            request = fake_site.planner.Caller(
                request="q",
                service=fake_site.SERVICE,
                digest=number * 10 + copy,
                tokens=fake_site.TOKENS,
                target_s=fake_site.TARGET_S,
                arrived=site.now,
                deadline=site.now + fake_site.TIME_LIMIT_S,
            )
            overload = fake_site.planner.Overload(1.0, 1.0, rate)
            plans.plan(request, overload, site.now)
    promised = site.counters.counts[_Event.PLANNED]
    seconds = fake_site.TIME_LIMIT_S / 3 - 1.0
    expected = 0.5 * rate * seconds / fake_site.TOKENS
    assert 0.7 * expected <= promised <= 1.3 * expected


def measure_delay(callers):
    """Returns the mean time from the first refusal to the admission."""
    delays = [
        each.admitted_at - each.tells[0][0]
        for each in callers
        if each.admitted_at is not None
    ]
    return sum(delays) / len(delays)


def test_callers_that_return_at_once_do_not_get_ahead() -> None:
    """Guards against rewarding callers that ignore Retry-After.

    They are promised several times before the first one is known everywhere,
    and are refused more often, which admits some after five refusals.
    """
    obeying = run_herd(fake_site.Site(81, 5, backlog_s=4.0))
    mixed = run_herd(fake_site.Site(81, 5, backlog_s=4.0), ignoring=0.1)
    ignoring = [each for each in mixed if not each.obeys]
    assert len(ignoring) >= 100
    assert measure_delay(ignoring) >= 0.8 * measure_delay(obeying)
    # They don't displace those who wait as told.
    assert measure_share([each for each in mixed if each.told]) >= 0.9


def test_lost_news_makes_a_return_a_new_request() -> None:
    """Guards against callers that are never served because news was lost."""
    site = fake_site.Site(81, 6, backlog_s=4.0, loss=0.3)
    refused = run_herd(site)
    kept = site.counters.counts[_Event.KEPT]
    assert 0.5 * len(refused) <= kept
    assert all(each.admitted_at is not None for each in refused)
    assert measure_share(refused) >= 0.8


def test_an_instance_that_has_just_started_treats_returns_as_new() -> None:
    """Guards against a start that waits for promises it doesn't know."""
    site = fake_site.Site(6, 7, backlog_s=3.3)
    caller = site.add_caller(site.now)
    site.run(until=site.now + 0.2)
    assert site.counters.counts[_Event.PLANNED] == 1
    for number in range(6):
        site.restart(number)
    site.run(until=caller.tells[0][0] + caller.tells[0][1] + 0.1)
    # It is overloaded still, so the new request is promised another time.
    assert len(caller.tells) == 2
    assert site.counters.counts[_Event.KEPT] == 0
    assert site.counters.counts[_Event.EARLY] == 0
    assert site.counters.counts[_Event.PLANNED] == 2
    site.run()
    assert caller.promised and caller.served_in_time


def test_promises_of_a_killed_instance_are_kept_by_the_others() -> None:
    """Guards against promises that are lost with the instance."""
    site = fake_site.Site(6, 8, backlog_s=3.3)
    site.killed = set(range(1, 6))
    caller = site.add_caller(site.now)
    site.run(until=site.now + 0.2)
    assert len(caller.tells) == 1
    assert site.counters.counts[_Event.PLANNED] == 1
    site.killed = {0}
    site.run()
    assert len(caller.tells) == 1
    assert caller.promised and caller.served_in_time


def test_a_data_centre_that_is_cut_off_keeps_its_own_promises() -> None:
    """Guards against returns that depend on the other data centres."""
    site = fake_site.Site(81, 9, backlog_s=4.0)
    site.groups = [1 if number < 27 else 0 for number in range(81)]
    for plans in site.planners[:27]:
        plans.set_instances(27, site.now)
    refused = run_herd(site, count=500, group=1)
    returned = [each for each in refused if each.told]
    assert measure_share(returned) >= 0.9
    assert site.counters.counts[_Event.KEPT] >= 0.9 * len(refused)


def test_no_caller_is_told_more_than_a_third_of_its_time() -> None:
    """Guards against a Retry-After that callers can't wait for."""
    site = fake_site.Site(81, 10, backlog_s=8.0)
    refused = run_herd(site, ignoring=0.1)
    for caller in refused:
        for at, told_s in caller.tells:
            assert told_s <= (caller.deadline - at) / 3
