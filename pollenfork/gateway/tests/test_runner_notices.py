"""What runners announce about themselves in their answers."""

import asyncio
import logging

import pytest

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
