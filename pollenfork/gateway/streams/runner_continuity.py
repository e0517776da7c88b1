"""Observes connections for signs that runners have ended or live on."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import time

import result

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import evidence
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.gateway import connection
from pollenfork.gateway import pool

_LOG = logging.getLogger(__name__)

# A runner that doesn't say for how long it keeps idle connections may close
# them after this long, in seconds, and a little before the time that it says.
_IDLE_LIMIT_S = 5.0
_IDLE_MARGIN_S = 0.3
# A new connection that is closed this soon, in seconds, has reached a process
# that ends.
_HOLD_S = 0.1
# Probes at a time. If more runners close connections at once, the network path
# is more likely at fault.
_MAX_PROBES = 32
# Without a tick for so long, in seconds, this process stood still, and runners
# may have ended long before that is observed.
_TICK_S = 0.5
_STOOD_STILL_S = 0.8


class RunnerContinuity:
    """Feeds what connections show into the judgement of who answers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        judged: continuity.Continuity,
        connections: pool.Pool,
        runners: registry.Registry,
        findings: evidence.Evidence,
        unix_time: Callable[[], float] = time.time,
        prove_start: Callable[[fleet.Runner], Awaitable[None]] | None = None,
    ) -> None:
        """Creates an observer of all connections to runners.

        Args:
            loop: Provides the clock.
            judged: Receives what is observed.
            connections: Opens all connections.
            runners: The registered runners.
            findings: Tells what other instances have observed.
            unix_time: Returns the Unix time.
            prove_start: Asks a runner that stays in doubt for its start; None:
                nobody does.
        """
        self._loop = loop
        self._judged = judged
        self._runners = runners
        self._unix_time = unix_time
        self._prove_start = prove_start
        self._pool = connections
        self._doubted: set[ids.EndpointId] = set()
        self._probes: dict[ids.EndpointId, asyncio.Task[None]] = {}
        connections.watch_data(self._on_data)
        connections.watch_ends(self._on_closed, self._on_unreachable)
        findings.when_ended(self._on_reported)
        runners.when_start_named(self._on_start_named)
        judged.when_doubted(self._log_doubted)
        judged.when_confirmed(self._log_confirmed)
        self._tick()

    def close(self) -> None:
        """Cancels all probes."""
        self._timer.cancel()
        for task in list(self._probes.values()):
            task.cancel()

    def _tick(self) -> None:
        self._ticked_at = self._loop.time()
        self._timer = self._loop.call_later(_TICK_S, self._tick)

    def _on_data(
        self, runner: fleet.Runner, received_on: connection.Connection
    ) -> None:
        if self._judged.has_signs(runner.id):
            self._judged.record_data(
                runner.id, get_times(received_on), self._loop.time()
            )

    def _on_closed(
        self,
        runner: fleet.Runner,
        closed: connection.Connection,
        is_idle: bool,
        is_reset: bool,
    ) -> None:
        now = self._loop.time()
        limit_s = closed.idle_limit_s or _IDLE_LIMIT_S
        if is_idle and now - closed.idle_since > limit_s - _IDLE_MARGIN_S:
            return
        # A reset may answer what was sent, long after the process has ended.
        is_reply = is_reset and not is_idle
        is_late = now - self._ticked_at > _STOOD_STILL_S or (
            is_reply and now - closed.received_at > signs.RESTART_S
        )
        self._judged.record_closed(
            runner.id, get_times(closed), now, is_late=is_late
        )
        self._start_probe(runner, is_late=is_late)

    def _start_probe(self, runner: fleet.Runner, *, is_late: bool) -> None:
        if runner.id in self._probes or len(self._probes) >= _MAX_PROBES:
            return
        task = self._loop.create_task(self._check(runner, is_late=is_late))
        self._probes[runner.id] = task
        task.add_done_callback(lambda _: self._probes.pop(runner.id))

    async def _check(self, runner: fleet.Runner, *, is_late: bool) -> None:
        """Finds out whether a runner in doubt is the process of its entry."""
        if not is_late:
            await self._probe(runner)
        if self._prove_start is None:
            return
        await asyncio.sleep(continuity.IN_FLIGHT_S)
        known = self._runners.find(runner.id)
        if known is not None and not self._judged.is_certain(known):
            await self._prove_start(known)

    async def _probe(self, runner: fleet.Runner) -> None:
        """Finds out whether a runner that closed a connection lives on."""
        opened = await self._pool.open(runner, signs.RESTART_S)
        if isinstance(opened, result.Err):
            return
        await asyncio.sleep(_HOLD_S)
        if opened.ok_value.usable:
            self._pool.release(runner, opened.ok_value)
            self._judged.record_reached(runner.id, opened.ok_value.connected_at)

    def _on_unreachable(self, runner: fleet.Runner) -> None:
        self._judged.record_refused(
            runner.id, self._loop.time(), self._unix_time(), reported=False
        )

    def _on_reported(self, runner_hash: int, local: bool) -> None:
        for runner in self._runners.list_all():
            if evidence.hash_runner(runner) == runner_hash:
                self._judged.record_refused(
                    runner.id,
                    self._loop.time(),
                    self._unix_time(),
                    reported=not local,
                )
                return

    def _on_start_named(self, runner: fleet.Runner) -> None:
        if runner.start is not None and self._judged.has_signs(runner.id):
            self._judged.record_start(
                runner.id, runner.start, self._loop.time()
            )

    def _log_doubted(self, runner: ids.EndpointId) -> None:
        if runner not in self._doubted:
            self._doubted.add(runner)
            _LOG.info("event=runner_doubted runner=%s", runner)

    def _log_confirmed(self, runner: ids.EndpointId) -> None:
        if runner in self._doubted:
            self._doubted.discard(runner)
            _LOG.info("event=runner_confirmed runner=%s", runner)


def get_times(made: connection.Connection) -> signs.ConnectionTimes:
    """Returns when a connection was made."""
    return signs.ConnectionTimes(made.connected_at, made.connected_at_unix)
