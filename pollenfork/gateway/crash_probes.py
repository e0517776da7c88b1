"""Finds out whether a runner has ended after a connection to it broke.

What runs there shows as a broken answer at once, but the entry lapses seconds
later. A new connection tells within milliseconds: nobody listens where a
process has ended. So all instances pass it over at once, and the request that
ended it is known before it comes again.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
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
DROP_WINDOW_S = 0.1
# A try takes this long at most, in seconds, and a busy process a little more.
_PROBE_TIMEOUT_S = pool.CONNECT_TIMEOUT_S + DROP_WINDOW_S + 0.1


class CrashProbe(msgspec.Struct, frozen=True):
    """A connection that is tried to a runner.

    Attributes:
        connected: Resolves once the connection is made or refused.
        completed: Resolves once it is known whether the connection stays open.
            It may be closed at once, where no process accepts it or where
            the process is exiting.
    """

    connected: asyncio.Future[None]
    completed: asyncio.Future[None]


class CrashProbes:
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
        # By the mark of the runner's start at its address.
        self._tries: dict[int, CrashProbe] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def probe(self, runner: fleet.Runner) -> CrashProbe:
        """Begins to find out, unless that is under way."""
        place = evidence.mark(runner)
        known = self._tries.get(place)
        if known is not None:
            return known
        loop = asyncio.get_running_loop()
        begun = CrashProbe(loop.create_future(), loop.create_future())
        self._tries[place] = begun
        task = loop.create_task(self._try(runner, begun))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return begun

    async def wait_completed(self, places: Iterable[int]) -> None:
        """Waits until the tries under way at some runners are completed.

        Args:
            places: The marks of their starts at their addresses.
        """
        waiting = [
            self._tries[place].completed
            for place in places
            if place in self._tries
        ]
        if waiting:
            await asyncio.wait(waiting, timeout=_PROBE_TIMEOUT_S)

    def close(self) -> None:
        """Ends all tries."""
        for task in list(self._tasks):
            task.cancel()

    async def _try(self, runner: fleet.Runner, begun: CrashProbe) -> None:
        try:
            opened = await self._pool.open(runner, pool.CONNECT_TIMEOUT_S)
            if isinstance(opened, result.Err):
                if opened.err_value.connection_refused:
                    self._evidence.note(runner, loads.Sign.REFUSED)
                return
            reached_at = asyncio.get_running_loop().time()
            begun.connected.set_result(None)
            await asyncio.sleep(DROP_WINDOW_S)
            if opened.ok_value.usable:
                self._find_standing(runner.id).reached_at = reached_at
                self._pool.release(runner, opened.ok_value)
            else:
                # Later than all that broke there meanwhile.
                ended_by = asyncio.get_running_loop().time()
                self._suspected.note_dropped(runner, ended_by)
        finally:
            del self._tries[evidence.mark(runner)]
            for known in (begun.connected, begun.completed):
                if not known.done():
                    known.set_result(None)
