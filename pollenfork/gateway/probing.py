"""Finds out when unreachable runners can be reached again.

A request that waits for a connection that can't be made fails in vain, although
an instance elsewhere could serve its caller. So requests skip such runners, and
test connections are made independently of requests.
"""

import asyncio
import logging
import random

import result

from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.fleet import runner_state
from pollenfork.gateway import crash_probes
from pollenfork.gateway import pool

_LOG = logging.getLogger(__name__)

# The pause between test connections, in seconds; it doubles up to the longest.
# Outages last for seconds, and each test is a new connection for the runner.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 1.0
# The timeout of a test connection, in seconds. No request waits for it, so it
# may take as long as packets queue on a busy link, where a request's own
# attempts would time out.
_CONNECT_TIMEOUT_S = 1.5


class Prober:
    """Makes test connections to unreachable runners."""

    def __init__(
        self,
        connections: pool.Pool,
        runners: registry.Registry,
        rng: random.Random,
    ) -> None:
        """Creates a prober that watches no runner yet.

        Args:
            connections: Makes connections and keeps them open.
            runners: The registered runners.
            rng: Spreads the test connections of many instances over time.
        """
        self._pool = connections
        self._runners = runners
        self._rng = rng
        self._tasks: dict[fleet.Incarnation, asyncio.Task[None]] = {}

    def watch(
        self, runner: fleet.Runner, state: runner_state.RunnerState
    ) -> None:
        """Probes a runner until it is reachable or gone."""
        probed = runner.incarnation
        if probed in self._tasks:
            return
        # Idle connections may be broken too, without having been noticed.
        self._pool.close_idle(runner.id)
        task = asyncio.get_running_loop().create_task(
            self._probe(runner, state)
        )
        self._tasks[probed] = task
        task.add_done_callback(lambda done: self._tasks.pop(probed, None))

    def close(self) -> None:
        """Cancels all probes."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _probe(
        self, runner: fleet.Runner, state: runner_state.RunnerState
    ) -> None:
        pause_s = _FIRST_PAUSE_S
        tries = 0
        while not state.reachable and self._is_known(runner):
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
            pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
            tries += 1
            opened = await self._pool.open(
                runner, _CONNECT_TIMEOUT_S, _CONNECT_TIMEOUT_S
            )
            if isinstance(opened, result.Err):
                continue
            await asyncio.sleep(crash_probes.DROP_WINDOW_S)
            if opened.ok_value.usable:
                self._pool.release(runner, opened.ok_value)
                state.record_connected()
        _LOG.info(
            "event=runner_tried runner=%s reachable=%s tries=%d",
            runner.id,
            state.reachable,
            tries,
        )

    def _is_known(self, runner: fleet.Runner) -> bool:
        """Returns whether the runner is registered and hasn't restarted."""
        known = self._runners.find(runner.id)
        return known is not None and known.incarnation == runner.incarnation
