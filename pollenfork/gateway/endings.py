"""Finds out whether a runner has ended after a connection to it broke.

What runs there shows as a broken answer at once, but the entry lapses seconds
later. A new connection tells within milliseconds: nobody listens where a
process has ended. So all instances pass it over at once, and the request that
ended it is known before it comes again.
"""

import asyncio
from collections.abc import Callable

import result

from pollenfork import ids
from pollenfork.fleet import evidence
from pollenfork.fleet import model as fleet
from pollenfork.fleet import standing
from pollenfork.gateway import pool
from pollenfork.loads import messages as loads
from pollenfork.poison import quarantine

# A new connection that is closed this soon, in seconds, found nobody behind
# what listens there.
_DROPPED_S = 0.1


class Endings:
    """Tries a connection to each runner at which one has broken."""

    def __init__(
        self,
        connections: pool.Pool,
        found: evidence.Evidence,
        suspected: quarantine.Quarantine,
        find_standing: Callable[[ids.EndpointId], standing.Standing],
    ) -> None:
        """Takes what it needs.

        Args:
            connections: Makes connections and keeps them.
            found: Is told where nobody listens.
            suspected: Is told where a connection was dropped at once.
            find_standing: Returns what is known of a runner.
        """
        self._find_standing = find_standing
        self._pool = connections
        self._evidence = found
        self._suspected = suspected
        self._tries: dict[fleet.Incarnation, asyncio.Future[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def try_runner(self, runner: fleet.Runner) -> asyncio.Future[None]:
        """Begins to find out, unless that is under way.

        Returns:
            Resolves once a connection is made or refused.
        """
        tried = self._tries.get(runner.incarnation)
        if tried is not None:
            return tried
        loop = asyncio.get_running_loop()
        known: asyncio.Future[None] = loop.create_future()
        self._tries[runner.incarnation] = known
        task = loop.create_task(self._try(runner, known))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return known

    def close(self) -> None:
        """Ends all tries."""
        for task in list(self._tasks):
            task.cancel()

    async def _try(
        self, runner: fleet.Runner, known: asyncio.Future[None]
    ) -> None:
        try:
            opened = await self._pool.open(runner, pool.CONNECT_S)
            if isinstance(opened, result.Err):
                if opened.err_value.nobody:
                    self._evidence.note(runner, loads.Sign.REFUSED)
                return
            reached_at = asyncio.get_running_loop().time()
            known.set_result(None)
            await asyncio.sleep(_DROPPED_S)
            if opened.ok_value.usable:
                self._find_standing(runner.id).reached_at = reached_at
                self._pool.give_back(runner, opened.ok_value)
            else:
                # Later than all that broke there meanwhile.
                ended_by = asyncio.get_running_loop().time()
                self._suspected.note_dropped(runner, ended_by)
        finally:
            del self._tries[runner.incarnation]
            if not known.done():
                known.set_result(None)
