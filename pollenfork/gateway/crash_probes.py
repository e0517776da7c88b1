"""Checks whether a runner has crashed after a connection to it broke.

Requests that run there break at once, but the runner's registry entry expires
seconds later. A new connection shows a crash within milliseconds, because no
process listens any longer. All instances can then avoid the runner at once, and
the request that crashed it is known before it is retried.
"""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
import result

from pollenfork import ids
from pollenfork.fleet import evidence
from pollenfork.fleet import model as fleet
from pollenfork.fleet import runner_state
from pollenfork.gateway import pool
from pollenfork.gateway import reach_monitor
from pollenfork.loads import messages as loads
from pollenfork.poison import quarantine

# A new connection that is closed this soon, in seconds, has reached a listening
# socket without a process that accepts.
DROP_WINDOW_S = 0.1
# A probe takes this long at most, in seconds; 0.1 s are for a busy process.
_PROBE_TIMEOUT_S = pool.CONNECT_TIMEOUT_S + DROP_WINDOW_S + 0.1


class CrashProbe(msgspec.Struct, frozen=True):
    """A connection attempt that shows whether a runner has crashed.

    Attributes:
        begun_at: Monotonic seconds of its begin.
        connected: Resolves once the connection is established or refused.
        completed: Resolves once it is known whether the connection stays open,
            with that. It may be closed at once, where no process accepts it or
            where the process is exiting.
    """

    begun_at: float
    connected: asyncio.Future[None]
    completed: asyncio.Future[bool]


class CrashProbes:
    """Probes each runner at which a connection has broken."""

    def __init__(
        self,
        connections: pool.Pool,
        findings: evidence.Evidence,
        request_quarantine: quarantine.Quarantine,
        get_state: Callable[[ids.EndpointId], runner_state.RunnerState],
        reach: reach_monitor.ReachMonitor,
    ) -> None:
        """Creates an instance without probes.

        Args:
            connections: Opens connections and pools them.
            findings: Receives the addresses that refuse connections.
            request_quarantine: Receives the runners that drop a connection at
                once.
            get_state: Returns this instance's state of a runner.
            reach: Tells whether a runner is at fault, or the network path.
        """
        self._reach = reach
        self._get_state = get_state
        self._pool = connections
        self._evidence = findings
        self._quarantine = request_quarantine
        # Keyed by the hash of a runner's incarnation and address.
        self._probes: dict[int, CrashProbe] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether any probe is in progress."""
        return bool(self._probes)

    def probe(self, runner: fleet.Runner) -> CrashProbe:
        """Starts a probe, unless one is in progress; returns it."""
        runner_hash = evidence.hash_runner(runner)
        known = self._probes.get(runner_hash)
        if known is not None:
            return known
        loop = asyncio.get_running_loop()
        started = CrashProbe(
            loop.time(), loop.create_future(), loop.create_future()
        )
        self._probes[runner_hash] = started
        task = loop.create_task(self._run_probe(runner, started))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return started

    def when_known(
        self, runner: fleet.Runner, call: Callable[[bool], None]
    ) -> None:
        """Probes a runner; calls `call` with whether it is alive."""

        async def notify() -> None:
            call(await self.is_alive(runner))

        task = asyncio.get_running_loop().create_task(notify())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def is_alive(self, runner: fleet.Runner) -> bool:
        """Returns whether a runner accepts and keeps a connection from now on.

        A probe that is in progress may have connected before, so it is followed
        by another one.
        """
        since = asyncio.get_running_loop().time()
        while True:
            probe = self.probe(runner)
            is_alive = await asyncio.shield(probe.completed)
            if probe.begun_at >= since:
                return is_alive

    async def wait_completed(self, runner_hashes: Iterable[int]) -> None:
        """Waits until the probes in progress at some runners are completed.

        Args:
            runner_hashes: Hashes of the runners' incarnations and addresses.
        """
        waiting = [
            self._probes[runner_hash].completed
            for runner_hash in runner_hashes
            if runner_hash in self._probes
        ]
        if waiting:
            await asyncio.wait(waiting, timeout=_PROBE_TIMEOUT_S)

    def close(self) -> None:
        """Cancels all probes."""
        for task in list(self._tasks):
            task.cancel()

    async def _run_probe(
        self, runner: fleet.Runner, started: CrashProbe
    ) -> None:
        path = self._reach.check_path(runner)
        is_alive = False
        try:
            opened = await self._pool.open(runner, pool.CONNECT_TIMEOUT_S)
            if isinstance(opened, result.Err):
                refused = opened.err_value.connection_refused
                if refused and await path.established:
                    self._evidence.record(runner, loads.Symptom.REFUSED)
                return
            reached_at = asyncio.get_running_loop().time()
            started.connected.set_result(None)
            await asyncio.sleep(DROP_WINDOW_S)
            is_alive = opened.ok_value.usable
            if is_alive:
                self._get_state(runner.id).reached_at = reached_at
                self._pool.release(runner, opened.ok_value)
            else:
                # Later than all connections that broke there meanwhile.
                crashed_by = asyncio.get_running_loop().time()
                if not await path.held:
                    return
                self._quarantine.record_dropped_connection(runner, crashed_by)
        finally:
            del self._probes[evidence.hash_runner(runner)]
            if not started.connected.done():
                started.connected.set_result(None)
            if not started.completed.done():
                started.completed.set_result(is_alive)
