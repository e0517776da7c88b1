"""Finds out when runners that were out of reach can be reached again.

A request that waits for a connection which can't be made is lost for nothing,
and its caller could be served by an instance elsewhere. So requests pass such
runners over, and connections are tried beside them.
"""

import asyncio
import logging
import random

import result

from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.fleet import standing
from pollenfork.gateway import crash_probes
from pollenfork.gateway import pool

_LOG = logging.getLogger(__name__)

# How often a connection is tried, in seconds; it doubles up to the longest.
# Cuts last for seconds, and each try is a new connection for the runner.
_FIRST_S = 0.4
_LONGEST_S = 1.0
# Nobody waits for this connection: it may take as long as packets wait on a
# busy link, in seconds, where a request's own attempts fail.
_CONNECT_S = 1.5


class Prober:
    """Tries connections to runners that are out of reach."""

    def __init__(
        self,
        connections: pool.Pool,
        runners: registry.Registry,
        rng: random.Random,
    ) -> None:
        """Takes what it needs.

        Args:
            connections: Makes connections and keeps them.
            runners: Tells which runners there still are.
            rng: Spreads the tries of many instances.
        """
        self._pool = connections
        self._runners = runners
        self._rng = rng
        self._tasks: dict[fleet.Incarnation, asyncio.Task[None]] = {}

    def watch(self, runner: fleet.Runner, seen: standing.Standing) -> None:
        """Tries a runner until it is reached or gone."""
        tried = runner.incarnation
        if tried in self._tasks:
            return
        # What is kept may be as dead, and tell nobody.
        self._pool.close_idle(runner.id)
        task = asyncio.get_running_loop().create_task(self._try(runner, seen))
        self._tasks[tried] = task
        task.add_done_callback(lambda done: self._tasks.pop(tried, None))

    def close(self) -> None:
        """Ends all tries."""
        for task in list(self._tasks.values()):
            task.cancel()

    async def _try(self, runner: fleet.Runner, seen: standing.Standing) -> None:
        pause_s = _FIRST_S
        tries = 0
        while not seen.reachable and self._is_known(runner):
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))
            pause_s = min(pause_s * 2, _LONGEST_S)
            tries += 1
            opened = await self._pool.open(runner, _CONNECT_S, _CONNECT_S)
            if isinstance(opened, result.Err):
                continue
            await asyncio.sleep(crash_probes.DROP_WINDOW_S)
            if opened.ok_value.usable:
                self._pool.release(runner, opened.ok_value)
                seen.note_reached()
        _LOG.info(
            "event=runner_tried runner=%s reachable=%s tries=%d",
            runner.id,
            seen.reachable,
            tries,
        )

    def _is_known(self, runner: fleet.Runner) -> bool:
        """Returns whether the runner is there and hasn't started anew."""
        known = self._runners.find(runner.id)
        return known is not None and known.incarnation == runner.incarnation
