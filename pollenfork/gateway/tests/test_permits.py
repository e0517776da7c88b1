import asyncio
import functools

import pytest

from pollenfork.gateway.tests import support
from pollenfork.routes import model as routes

LIMITED = support.write_answer(b"yes", extra="x-rate: 0.5\r\n")
UNLIMITED = support.write_answer(b"yes")
REFUSED = support.REFUSED.replace(b"x-unrun: 1", b"x-unrun: 1\r\nx-rate: 0.5")


def run(test):
    """Runs a coroutine function as a test."""

    @functools.wraps(test)
    def run_test() -> None:
        asyncio.run(test())

    return run_test


def find_rate(gateway, name: str) -> float | None:
    seen = gateway.deps.chooser.get_state(name)
    return gateway.deps.permits.find_rate(seen.incarnation_hash)


@run
async def test_requests_over_a_runners_limit_go_to_another_runner() -> None:
    first = support.Runner("a", *[LIMITED] * 9)
    second = support.Runner("b", *[UNLIMITED] * 9)
    route = support.make_route(routes.Kind.REPEATABLE)
    async with support.run_gateway(route, first, second) as gateway:
        for _ in range(5):
            assert b"yes" in await support.ask(gateway)
    assert len(first.got) == 1
    assert len(second.got) == 4


@run
async def test_if_all_runners_are_limited_a_request_is_refused_as_not_run() -> (
    None
):
    only = support.Runner("a", *[LIMITED] * 9)
    route = support.make_route(routes.Kind.REPEATABLE)
    async with support.run_gateway(route, only) as gateway:
        await support.ask(gateway)
        answer = await support.ask(gateway)
        again = await support.ask(gateway)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"runners_limited" in answer
    assert read_retry_after(answer) >= 1.0
    # Both requests may be retried only at the runner's rate.
    assert read_retry_after(again) >= read_retry_after(answer) + 1.0
    assert len(only.got) == 1


def read_retry_after(answer: bytes) -> float:
    line = next(
        line
        for line in answer.split(b"\r\n")
        if line.startswith(b"retry-after")
    )
    return float(line.partition(b": ")[2])


@run
async def test_the_limit_applies_to_unsafe_requests() -> None:
    only = support.Runner("a", *[LIMITED] * 9)
    route = support.make_route(routes.Kind.AT_MOST_ONCE, attempts=1)
    async with support.run_gateway(route, only) as gateway:
        await support.ask(gateway)
        answer = await support.ask(gateway)
    assert answer.startswith(b"HTTP/1.1 503")
    assert len(only.got) == 1


@run
async def test_a_retry_at_a_limited_runner_needs_a_permit() -> None:
    first = support.Runner("a", support.REFUSED, UNLIMITED)
    second = support.Runner("b", LIMITED, UNLIMITED)
    route = support.make_route(routes.Kind.REPEATABLE)
    async with support.run_gateway(route, first, second) as gateway:
        gateway.deps.chooser.get_state("a").failure_rate = 0.0
        await support.ask(gateway)
        assert find_rate(gateway, "b") == 0.5
        first.script.insert(0, support.REFUSED)
        answer = await support.ask(gateway)
    assert answer.startswith(b"HTTP/1.1 503")
    assert len(second.got) == 1


@run
async def test_a_streams_head_declares_its_runners_limit() -> None:
    body = support.write_events(0, 1)
    stream = support.write_stream(body, whole=False)
    stream = stream.replace(b"x-seal: z", b"x-seal: z\r\nx-rate: 2.0")
    only = support.Runner("a", stream)
    only.keeps = True
    route = support.make_route(routes.Kind.STREAM)
    async with support.run_gateway(route, only) as gateway:
        asking = asyncio.create_task(support.ask(gateway))
        while find_rate(gateway, "a") is None:
            await asyncio.sleep(0.001)
        assert not asking.done()
        asking.cancel()


@run
async def test_a_refusal_may_declare_a_limit_but_does_not_end_one() -> None:
    only = support.Runner("a", REFUSED, support.REFUSED)
    route = support.make_route(routes.Kind.REPEATABLE, attempts=1)
    async with support.run_gateway(route, only) as gateway:
        await support.ask(gateway)
        assert find_rate(gateway, "a") == 0.5
        grant = gateway.deps.chooser.choose(gateway.demand, set(), 0.0)
        gateway.deps.chooser.settle(grant)
        seen = grant.state
        gateway.deps.permits._limiter._blocks.forget(seen.incarnation_hash)
        await support.ask(gateway)
        assert find_rate(gateway, "a") == 0.5


@run
async def test_a_limit_of_another_runner_at_its_address_is_ignored() -> None:
    displaced = support.DISPLACED.replace(
        b"x-displaced: 1", b"x-displaced: 1\r\nx-rate: 0.5"
    )
    only = support.Runner("a", displaced)
    route = support.make_route(routes.Kind.REPEATABLE, attempts=1)
    async with support.run_gateway(route, only) as gateway:
        await support.ask(gateway)
        assert find_rate(gateway, "a") is None


@run
async def test_a_limited_runner_does_not_count_as_failing() -> None:
    only = support.Runner("a", *[LIMITED] * 9)
    route = support.make_route(routes.Kind.REPEATABLE)
    async with support.run_gateway(route, only) as gateway:
        for _ in range(4):
            await support.ask(gateway)
        seen = gateway.deps.chooser.get_state("a")
    assert seen.failures == 0
    assert seen.failure_rate == pytest.approx(0.0)
    assert seen.active == 0
