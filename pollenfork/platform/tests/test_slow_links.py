"""Runners stay reachable though packets queue on this instance's link."""

import asyncio
import random

from pollenfork.fleet import registry
from pollenfork.fleet import runner_state
from pollenfork.gateway import pool
from pollenfork.gateway import probing
from pollenfork.gateway.connections import view
from pollenfork.platform.tests.simulation import clock
from pollenfork.platform.tests.simulation import network
from pollenfork.poison.tests import fleet as fleets

_HERE = "10.1.0.1"
_QUEUED_S = 0.25


# Guards against packets that queue on a link for longer than a request waits
# for its connection: each attempt failed, and so did each connection probe.
def test_probes_reach_a_runner_behind_a_congested_link() -> None:
    loop = clock.Loop()
    links = network.Network(loop, random.Random(1))
    links.queues[_HERE] = _QUEUED_S
    network.HERE.set(_HERE)
    reached, pooled = loop.run_until_complete(_reach(links))
    loop.close()
    assert reached
    assert pooled


async def _reach(links: network.Network) -> tuple[bool, bool]:
    """Returns whether a probe reaches a runner and pools its connection."""
    runner = fleets.make_runner("r", "10.9.0.1", 1)
    await links.loop.create_server(asyncio.Protocol, runner.host, runner.port)
    runners = registry.Registry()
    runners.put(runner)
    connections = pool.Pool(links.loop)
    state = runner_state.RunnerState(1, unsent=2)
    assert (await connections.open(runner, 5.0)).is_err()
    prober = probing.Prober(connections, runners, random.Random(1))
    prober.watch(runner, state)
    await asyncio.sleep(3.0)
    prober.close()
    return state.reachable, connections.acquire(
        runner, view.Freshness.ANY
    ) is not None
