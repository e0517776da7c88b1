"""Runners name their start themselves after a loss of all gateways."""

import asyncio
import os
import random
import time

import pytest

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import registry
from pollenfork.fleet.tests import test_registry
from pollenfork.gateway.version_records import start_proof
from pollenfork.platform import caches
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner

HOST = f"127.8.{os.getpid() // 200 % 250}.{os.getpid() % 200 + 1}"
PORT = 21978
RUNNER = ids.EndpointId("i-1")


def prove(started_ms: int, named_ms: int | None, *, listens: bool = True):
    """Asks a runner for its start.

    Args:
        started_ms: The start in its entry.
        named_ms: The start that it names; None: none.
        listens: Whether it can be reached.

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
