"""What a request is told when its runner has too much to read."""

import asyncio
import random

import msgspec

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.fleet import offers
from pollenfork.gateway import load_shedding
from pollenfork.gateway.tests import support
from pollenfork.loads import messages
from pollenfork.routes import model

GOOD = support.write_answer(b"good")
STREAM = model.Kind.STREAM


def play_loaded(loads, longest_s, streaks=None):
    """Returns the answer, and what a runner got that has these loads.

    Args:
        loads: Tokens that it has to read, by look.
        longest_s: Seconds in which the prompt must be read.
        streaks: What was refused before.
    """
    looks = iter(loads)

    def read_others(mark):
        return messages.Load(1, next(looks))

    async def run():
        runner = support.Runner("r0", GOOD, GOOD)
        route = support.make_route(STREAM)
        async with support.run_gateway(route, runner) as gateway:
            gateway.tools = msgspec.structs.replace(
                gateway.tools,
                shed_streaks=streaks or load_shedding.ShedStreaks(),
                chooser=choice.Chooser(
                    gateway.runners, random.Random(1), read_others
                ),
            )
            gateway.demand = offers.Demand(
                support.SERVICE, (fleet.Part(b"a", 9), fleet.Part(b"b", 566))
            )
            gateway.longest_s = longest_s
            return await support.ask(gateway), runner.got

    return asyncio.run(run())


def test_a_request_that_would_be_late_is_told_at_once_when_to_return() -> None:
    answer, got = play_loaded([56_600] * 9, 0.5)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"overloaded" in answer
    # A second for what is there, and 575 tokens of its own.
    assert b"retry-after: 1.01" in answer
    assert got == []


def test_a_request_is_taken_on_after_several_refusals_in_a_row() -> None:
    streaks = load_shedding.ShedStreaks()
    for _ in range(5):
        streaks.admit_after_refusals(support.SERVICE, ids.Tier(0))
    answer, got = play_loaded([56_600] * 9, 0.5, streaks)
    assert answer.endswith(b"good") and len(got) == 1


def test_a_request_that_was_tried_is_not_turned_away_later() -> None:
    async def run():
        loads = iter([0, 56_600, 56_600, 56_600])

        def read_others(mark):
            return messages.Load(1, next(loads))

        # The first runner refuses it; what the second has to read came later.
        runners = (
            support.Runner("r0", support.REFUSED),
            support.Runner("r1", GOOD),
        )
        route = support.make_route(STREAM)
        async with support.run_gateway(route, *runners) as gateway:
            gateway.tools = msgspec.structs.replace(
                gateway.tools,
                chooser=choice.Chooser(
                    gateway.runners, random.Random(1), read_others
                ),
            )
            gateway.demand = offers.Demand(
                support.SERVICE, (fleet.Part(b"a", 9), fleet.Part(b"b", 566))
            )
            gateway.longest_s = 0.5
            return await support.ask(gateway)

    assert asyncio.run(run()).endswith(b"good")
