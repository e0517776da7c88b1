"""Runners name their start themselves after a loss of all gateways."""

import asyncio
import os
import random
import time

import pytest

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.fleet.tests import test_registry
from pollenfork.gateway.version_records import start_proof
from pollenfork.platform import caches
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner

HOST = f"127.8.{os.getpid() // 200 % 250}.{os.getpid() % 200 + 1}"
PORT = 21978
RUNNER = ids.EndpointId("i-1")


def prove(
    started_ms: int,
    named_ms: int | None,
    *,
    listens: bool = True,
    told: bool = False,
):
    """Asks a runner for its start.

    Args:
        started_ms: The start in its entry.
        named_ms: The start that it names; None: none.
        listens: Whether it can be reached.
        told: Whether another instance has told that it is in doubt; otherwise
            nobody has told anything.

    Returns:
        Whether it is certain then, and the start that is known of it.
    """

    async def run():
        loop = asyncio.get_running_loop()
        made = runner.Runner(
            RUNNER, "model", records.Record(), random.Random(1)
        )
        made.born = named_ms
        if listens:
            await made.start(HOST, PORT)
        runners = registry.Registry()
        runners.put(
            test_registry.make_runner(
                RUNNER,
                host=HOST,
                port=PORT,
                start=ids.RunnerStart(started_ms),
                version=ids.SoftwareVersion("v1"),
            )
        )
        judged = continuity.Continuity(runners, 5.0)
        proof = start_proof.StartProof(loop, caches, runners, judged)
        try:
            if told:
                doubt = signs.Doubt(started_ms / 1000.0 + 1.0)
                judged.record_told(RUNNER, doubt, loop.time())
                await proof.check_doubted()
            else:
                await proof.run()
        finally:
            made.crash()
            await asyncio.sleep(0)
        known = runners.find(RUNNER)
        return judged.is_certain(known), known.start

    return asyncio.run(run())


def test_a_runner_that_names_the_start_of_its_entry_is_certain() -> None:
    assert prove(1000, 1000) == (True, 1000)


# Guards against believing the entry of a runner that started again, at another
# version, during a loss of all gateways.
def test_a_runner_that_names_a_later_start_is_not_its_entrys() -> None:
    later = int(time.time() * 1000)
    assert prove(1000, later) == (False, later)


@pytest.mark.parametrize("listens", [True, False])
def test_a_runner_that_names_no_start_stays_in_doubt(listens) -> None:
    assert prove(1000, None, listens=listens) == (False, 1000)


# Guards against living runners in doubt for seconds, whose streams are refused,
# at an instance that starts as another one has signs that mean nothing.
def test_a_doubt_that_is_told_ends_once_the_runner_names_its_start() -> None:
    assert prove(1000, 1000, told=True) == (True, 1000)
    assert prove(1000, None, told=True) == (False, 1000)
    later = int(time.time() * 1000)
    assert prove(1000, later, told=True) == (False, later)
