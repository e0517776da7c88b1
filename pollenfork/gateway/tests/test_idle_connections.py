"""How long idle connections to runners are kept, and for which requests."""

import msgspec
import pytest

from pollenfork.fleet import registry
from pollenfork.gateway import pool
from pollenfork.gateway.connections import view
from pollenfork.gateway.connections.tests import support
from pollenfork.poison.tests import fleet as fleets

ANY, RECENT = view.Freshness.ANY, view.Freshness.RECENT
RUNNER = fleets.make_runner("r", "10.0.0.1", 1)
ACCEPTED = 780


def make_pool(forecast: bool, accepted: int = ACCEPTED, instances: int = 81):
    loop = support.Loop()
    made = pool.Pool(loop)
    made.set_accepted(RUNNER.service, accepted, instances, forecast)
    return loop, made


def is_kept_for(forecast: bool, stated_s: float | None, idle_s: float) -> bool:
    """Returns whether a connection is still used after a time."""
    loop, made = make_pool(forecast)
    used = support.Connection(loop, stated_s)
    made.release(RUNNER, used)
    loop.now += idle_s
    shown = made.has_idle(RUNNER, ANY)
    made.close_expired()
    assert used.ended is not shown
    assert (made.acquire(RUNNER, ANY) is used) is shown
    return shown


# Guards against connections that a runner has kept open and that are opened
# again, and against requests sent while a runner closes the connection.
@pytest.mark.parametrize(
    ("stated_s", "limit_s"),
    [(None, 8.0), (5.0, 4.3), (15.0, 14.3), (30.0, 29.3), (120.0, 30.0)],
)
def test_forecast_services_keep_connections_as_stated(
    stated_s: float | None, limit_s: float
) -> None:
    assert is_kept_for(True, stated_s, limit_s - 0.1)
    assert not is_kept_for(True, stated_s, limit_s + 0.1)


# Guards against a change for the earlier deployments.
@pytest.mark.parametrize(
    ("stated_s", "limit_s"),
    [(None, 8.0), (5.0, 4.3), (8.0, 7.3), (15.0, 8.0), (120.0, 8.0)],
)
def test_other_services_keep_connections_for_8_s(
    stated_s: float | None, limit_s: float
) -> None:
    assert is_kept_for(False, stated_s, limit_s - 0.1)
    assert not is_kept_for(False, stated_s, limit_s + 0.1)


# Guards against a change for the earlier deployments: a request that can't be
# resent closes the connections that are too old for it, and a surplus
# connection is closed instead of an older one.
def test_other_services_close_connections_as_before() -> None:
    loop, made = make_pool(False, accepted=96, instances=81)
    first = support.Connection(loop)
    made.release(RUNNER, first)
    loop.now += 0.7
    surplus = support.Connection(loop)
    made.release(RUNNER, surplus)
    assert surplus.ended and not first.ended
    assert made.acquire(RUNNER, RECENT) is None
    assert first.ended


# Guards against requests that can't be resent and close the connections that
# others would use for up to 30 s.
def test_a_request_that_runs_once_leaves_older_connections_to_others() -> None:
    loop, made = make_pool(True)
    first, second = (support.Connection(loop, 15.0) for _ in range(2))
    made.release(RUNNER, first)
    made.release(RUNNER, second)
    loop.now += 0.7
    assert not made.has_idle(RUNNER, RECENT)
    assert made.acquire(RUNNER, RECENT) is None
    assert made.has_idle(RUNNER, ANY)
    assert made.acquire(RUNNER, ANY) is second
    assert made.acquire(RUNNER, ANY) is first


# Guards against old connections that fill the pool, so that each request that
# can't be resent opens a connection that is closed after its answer.
def test_a_surplus_connection_replaces_the_oldest() -> None:
    loop, made = make_pool(True, accepted=203)  # One for each instance.
    old = support.Connection(loop, 15.0)
    made.release(RUNNER, old)
    loop.now += 5.0
    new = support.Connection(loop, 15.0)
    made.release(RUNNER, new)
    assert old.ended
    assert made.acquire(RUNNER, RECENT) is new


# Guards against a choice for the sake of a connection that is already closed.
@pytest.mark.parametrize("forecast", [True, False])
def test_a_connection_that_the_runner_closed_early_is_not_shown(
    forecast: bool,
) -> None:
    loop, made = make_pool(forecast)
    closed, open_one = (support.Connection(loop, 15.0) for _ in range(2))
    made.release(RUNNER, open_one)
    made.release(RUNNER, closed)
    closed.connection_lost(None)
    assert made.has_idle(RUNNER, ANY)
    assert made.acquire(RUNNER, ANY) is open_one
    made.release(RUNNER, open_one)
    open_one.connection_lost(None)
    assert not made.has_idle(RUNNER, ANY)
    assert made.acquire(RUNNER, ANY) is None


# Guards against requests on connections to a process that has ended, also if
# the runner's entry doesn't state when it started.
@pytest.mark.parametrize("start", [1000, None])
def test_a_restart_closes_idle_connections(start: int | None) -> None:
    loop, made = make_pool(True)
    runners = registry.Registry()
    made.watch_registry(runners)
    before = fleets.make_runner("r", "10.0.0.1", start)
    after = fleets.make_runner("r", "10.0.0.1", start and start + 500)
    if start is None:
        before = msgspec.structs.replace(before, sequence=7)
    runners.put(before)
    used = support.Connection(loop, 15.0)
    made.release(before, used)
    runners.put(after)
    assert used.ended
    assert not made.has_idle(before, ANY)
    assert not made.has_idle(after, ANY)


# Guards against runners that accept no new connection, as the idle ones of all
# instances, now kept for longer, take too many places: at most 0.4 of them are
# idle, so that they fit twice when all instances lose power at once.
@pytest.mark.parametrize(
    ("accepted", "instances"), [(780, 81), (203, 81), (520, 70), (900, 360)]
)
def test_idle_connections_of_all_instances_fit(
    accepted: int, instances: int
) -> None:
    kept = 0
    for _ in range(instances):
        loop, made = make_pool(True, accepted, instances)
        used = [support.Connection(loop, 30.0) for _ in range(20)]
        for each in used:
            made.release(RUNNER, each)
        kept += sum(not each.ended for each in used)
        loop.now += 20.0
        assert made.has_idle(RUNNER, ANY)
    assert instances <= kept <= 0.4 * accepted


# Guards against the same where the share isn't enough for one connection of
# each instance: these are kept no longer than before.
def test_connections_above_the_share_are_kept_for_8_s() -> None:
    loop, made = make_pool(True, accepted=202, instances=81)
    made.release(RUNNER, support.Connection(loop, 30.0))
    loop.now += 7.9
    assert made.has_idle(RUNNER, ANY)
    loop.now += 0.2
    assert not made.has_idle(RUNNER, ANY)


def test_reused_connections_are_counted_by_service() -> None:
    loop, made = make_pool(True)
    made.release(RUNNER, support.Connection(loop))
    made.acquire(RUNNER, ANY)
    made.acquire(RUNNER, ANY)
    assert made.service_counters == {
        RUNNER.service: pool.ServiceCounters(opened=0, reused=1)
    }
    assert made.counters.reused == 1
