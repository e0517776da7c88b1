"""Runners are reached though packets wait on this instance's link."""

import asyncio
import random

from pollenfork.fleet import registry
from pollenfork.fleet import runner_state
from pollenfork.gateway import pool
from pollenfork.gateway import probing
from pollenfork.platform.tests.simulation import clock
from pollenfork.platform.tests.simulation import network
from pollenfork.poison.tests import fleet as fleets

_HERE = "10.1.0.1"
_QUEUED_S = 0.25


# Guards against a link on which packets wait longer than a request waits for
# its connection: each attempt failed, and so did each try beside the requests.
def test_a_runner_behind_a_full_link_is_reached_beside_requests() -> None:
    loop = clock.Loop()
    ways = network.Network(loop, random.Random(1))
    ways.queues[_HERE] = _QUEUED_S
    network.HERE.set(_HERE)
    reached, kept = loop.run_until_complete(_reach(ways))
    loop.close()
    assert reached
    assert kept


async def _reach(ways: network.Network) -> tuple[bool, bool]:
    """Returns whether a runner is reached, and a connection to it kept."""
    runner = fleets.make_runner("r", "10.9.0.1", 1)
    await ways.loop.create_server(asyncio.Protocol, runner.host, runner.port)
    runners = registry.Registry()
    runners.put(runner)
    connections = pool.Pool(ways.loop)
    seen = runner_state.RunnerState(1, unsent=2)
    assert (await connections.open(runner, 5.0)).is_err()
    prober = probing.Prober(connections, runners, random.Random(1))
    prober.watch(runner, seen)
    await asyncio.sleep(3.0)
    prober.close()
    return seen.reachable, connections.acquire(
        runner, pool.Freshness.ANY
    ) is not None
