"""What runners announce about themselves in their answers."""

import asyncio
import logging
import re

import pytest

from pollenfork import ids
from pollenfork.gateway.tests import support
from pollenfork.routes import model

REPEATABLE = model.Kind.REPEATABLE
GOOD = support.write_answer(b"good")
LEAVING = support.write_answer(b"good", extra="x-leaving: 1\r\n")
PAUSE = support.REFUSED.replace(b"x-unrun", b"x-pause: 3\r\nx-unrun")


def run(route, first, second, requests):
    """Returns the answers and the requests sent to each of two runners."""

    async def play():
        runners = support.Runner("r0", *first), support.Runner("r1", *second)
        async with support.run_gateway(route, *runners) as gateway:
            answers = [await support.ask(gateway) for _ in range(requests)]
        return answers, [len(runner.got) for runner in runners]

    return asyncio.run(play())


@pytest.fixture(autouse=True)
def _log_all(caplog):
    caplog.set_level(logging.INFO, "pollenfork.gateway.runner_notices")


def test_a_leaving_that_an_answer_announces_is_logged_once(caplog) -> None:
    run(support.make_route(REPEATABLE), [LEAVING] * 3, [LEAVING] * 3, 3)
    announced = caplog.text.count(
        "event=leaving_announced runner=r0 status=200"
    )
    assert announced == 1


def test_a_requested_pause_is_logged(caplog) -> None:
    run(support.make_route(REPEATABLE), [PAUSE], [GOOD], 1)
    assert "event=pause_requested runner=r0 for_ms=3000" in caplog.text


def test_a_malformed_pause_is_logged_with_its_figures(caplog) -> None:
    malformed = PAUSE.replace(b"x-pause: 3", b"x-pause: -1\r\nx-pause: nan")
    run(support.make_route(REPEATABLE), [malformed], [GOOD], 1)
    assert "event=pause_irregular runner=r0 stated=-1,nan" in caplog.text
    assert "pause_requested" not in caplog.text


# Guards against requests to a runner whose answers say that it leaves while the
# store can't say so: it got them until the store was back, 11 s later.
def test_a_runner_gets_no_request_after_an_answer_that_says_it_leaves() -> None:
    route = support.make_route(REPEATABLE)
    answers, asked = run(route, [LEAVING] * 3, [GOOD] * 3, 3)
    assert all(answer.endswith(b"good") for answer in answers)
    assert asked == [1, 2]


# Guards against requests to a runner that has asked for a pause: one instance
# sent it three in three seconds, and their callers got 503 for each.
def test_a_runner_gets_no_request_during_the_pause_that_it_requested() -> None:
    async def play():
        runners = support.Runner("r0", *[PAUSE] * 4), support.Runner("r1")
        route = support.make_route(REPEATABLE, attempts=1)
        async with support.run_gateway(route, *runners) as gateway:
            for number in range(4):
                # The other runner has always just failed more often.
                state = gateway.deps.chooser.get_state(ids.EndpointId("r1"))
                state.failure_rate = 1.0 + number
                runners[1].script.append(GOOD)
                await support.ask(gateway)
        return [len(runner.got) for runner in runners]

    assert asyncio.run(play()) == [1, 3]


# Guards against sending what was chosen before the announcement: a request that
# waits for its connection goes elsewhere, at no cost to the runner's standing.
def test_a_request_waiting_for_its_connection_goes_elsewhere() -> None:
    async def play():
        runners = support.Runner("r0"), support.Runner("r1", GOOD)
        route = support.make_route(model.Kind.AT_MOST_ONCE, attempts=1)
        async with support.run_gateway(route, *runners) as gateway:
            pool = gateway.deps.pool
            open_connection = pool.open

            async def open_late(runner, left_s):
                gateway.runners.announce_leaving(
                    gateway.runners.find(ids.EndpointId("r0"))
                )
                return await open_connection(runner, left_s)

            pool.open = open_late
            answer = await support.ask(gateway)
        return answer, [len(runner.got) for runner in runners]

    answer, asked = asyncio.run(play())
    assert answer.endswith(b"good")
    assert asked == [0, 1]


def test_an_answer_to_an_earlier_request_announces_too() -> None:
    late = support.write_answer(b"late", request="p", extra="x-leaving: 1\r\n")
    route = support.make_route(REPEATABLE)
    answers, asked = run(route, [late + GOOD, GOOD], [GOOD] * 2, 2)
    assert all(answer.endswith(b"good") for answer in answers)
    assert asked == [1, 1]


def test_another_runner_at_the_address_announces_nothing() -> None:
    moved = support.DISPLACED.replace(
        b"x-displaced", b"x-leaving: 1\r\nx-displaced"
    )

    async def play():
        runners = support.Runner("r0", moved), support.Runner("r1", GOOD)
        route = support.make_route(REPEATABLE)
        async with support.run_gateway(route, *runners) as gateway:
            await support.ask(gateway)
            return gateway.runners.find(ids.EndpointId("r0")).leaving

    assert not asyncio.run(play())


def test_a_caller_of_pausing_runners_is_told_their_pause() -> None:
    route = support.make_route(REPEATABLE)
    answers, asked = run(route, [PAUSE] * 3, [PAUSE] * 3, 3)
    waits = [
        float(re.search(rb"retry-after: ([0-9.]+)", answer)[1])
        for answer in answers
    ]
    assert asked == [1, 1]
    assert all(2.5 < wait_s <= 3.5 for wait_s in waits)
    assert all(b"runners_paused" in answer for answer in answers)


# Guards against treating a full runner as an ill one.
def test_a_pause_does_not_count_as_a_failure() -> None:
    async def play():
        runners = support.Runner("r0", PAUSE), support.Runner("r1", GOOD)
        route = support.make_route(REPEATABLE)
        async with support.run_gateway(route, *runners) as gateway:
            await support.ask(gateway)
            return gateway.deps.chooser.get_state(ids.EndpointId("r0"))

    state = asyncio.run(play())
    assert (state.failures, state.unsent, state.failure_rate) == (0, 0, 0.0)
    assert state.avoid_until == 0.0
