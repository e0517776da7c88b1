"""What a gateway does about runners that say that they are brittle."""

import asyncio
import logging

import pytest

from pollenfork import ids
from pollenfork.gateway import brittle_runners
from pollenfork.gateway.tests import support
from pollenfork.routes import model

URGENT, OTHER = ids.Tier(0), ids.Tier(3)
SAFE = support.make_route(model.Kind.REPEATABLE, attempts=1)


def play(call) -> None:
    """Runs a test with a gateway, its parts for brittle runners, and one."""

    async def run() -> None:
        runner = support.Runner("a")
        async with support.run_gateway(SAFE, runner) as gateway:
            entry = gateway.runners.find(ids.EndpointId("a"))
            result = call(gateway, gateway.deps.brittle, entry)
            if asyncio.iscoroutine(result):
                await result

    asyncio.run(run())


def test_a_runner_that_says_nothing_always_has_a_place() -> None:
    def check(gateway, brittle, runner) -> None:
        gateway.deps.chooser.get_state(runner.id).active = 100
        assert brittle.has_place(runner, gateway.deps.loop.time())

    play(check)


def test_a_brittle_runner_gets_no_more_than_it_has_slots() -> None:
    def check(gateway, brittle, runner) -> None:
        now = gateway.deps.loop.time()
        brittle.record_statement(runner, (5.0,))
        gateway.deps.chooser.get_state(runner.id).active = runner.slots - 1
        assert brittle.has_place(runner, now)
        gateway.deps.chooser.get_state(runner.id).active = runner.slots
        assert not brittle.has_place(runner, now)

    play(check)


def test_a_refusal_of_a_brittle_runner_is_followed_by_a_pause() -> None:
    def check(gateway, brittle, runner) -> None:
        now = gateway.deps.loop.time()
        brittle.record_statement(runner, (5.0,))
        brittle.record_refusal(runner, now)
        assert not brittle.has_place(runner, now)
        assert brittle.refusals == 1

    play(check)


# Guards against serving less urgent callers while more urgent ones wait.
def test_more_urgent_requests_take_the_next_place() -> None:
    def check(gateway, brittle, runner) -> None:
        with brittle.wait(OTHER):
            assert brittle.has_turn(URGENT)
            assert brittle.has_turn(OTHER)
            with brittle.wait(URGENT):
                assert brittle.has_turn(URGENT)
                assert not brittle.has_turn(OTHER)
        assert brittle.has_turn(OTHER)

    play(check)


def test_callers_that_find_no_place_are_told_to_return_one_after_another():
    def check(gateway, brittle, runner) -> None:
        told = [brittle.find_retry_after(OTHER) for _ in range(5)]
        assert told == sorted(told)
        assert told[0] >= 0.3
        assert told[-1] <= 2.5
        assert brittle.find_retry_after(URGENT) == told[0]

    play(check)


@pytest.mark.parametrize("stated", [(-1.0,), (None,), (5.0, 5.0)])
def test_an_irregular_statement_is_logged_once(stated, caplog) -> None:
    def check(gateway, brittle, runner) -> None:
        caplog.set_level(logging.WARNING, brittle_runners.__name__)
        for _ in range(3):
            brittle.record_statement(runner, stated)

    play(check)
    assert sum("brittle_irregular" in line for line in caplog.messages) == 1


# Guards against losing callers for whom a place is free a moment later.
def test_a_request_waits_for_a_place() -> None:
    async def check(gateway, brittle, runner) -> None:
        brittle.record_statement(runner, (5.0,))
        state = gateway.deps.chooser.get_state(runner.id)
        state.active = runner.slots
        asking = asyncio.create_task(support.ask(gateway))
        await asyncio.sleep(0.05)
        assert not asking.done()
        state.active = 0
        answer = await asking
        assert b"runners_brittle" not in answer

    play(check)


def test_a_request_that_finds_no_place_is_refused_as_not_run() -> None:
    async def check(gateway, brittle, runner) -> None:
        brittle.record_statement(runner, (5.0,))
        gateway.deps.chooser.get_state(runner.id).active = runner.slots
        answer = await support.ask(gateway)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"runners_brittle" in answer
        assert b"retry-after" in answer

    play(check)
