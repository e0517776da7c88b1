"""Probes runners to find out whether this instance has lost all of them.

What it finds of a runner is believed, and told others, only if another runner
can be connected to meanwhile.
"""

import asyncio
from collections.abc import Callable, Coroutine
import heapq
import logging
import random
from typing import Any

import msgspec
import result

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import connection
from pollenfork.gateway import pool
from pollenfork.reach import tracker

_LOG = logging.getLogger(__name__)

# The timeout of a probe's connection, in seconds. Connections are established
# within 1 to 3 ms, and a lost packet is sent again after a second.
_CONNECT_TIMEOUT_S = 0.25
# A new connection that is closed this soon, in seconds, doesn't hold: to tell a
# crashed runner from a sound one, and to send it requests again.
_HOLD_S = 0.1
_RETURN_HOLD_S = 0.25
# Other runners probed to check the path after a connection broke: several may
# have crashed at once.
_PATH_PROBES = 3
# Unreachable runners probed at once when a service is back.
_MAX_RETURNS = 32


class _Pending(msgspec.Struct, frozen=True):
    """A failure at a runner that awaits a connection to another one.

    Attributes:
        runner: The runner.
        failed_at: When it failed, in monotonic seconds.
        confirm: Called if another runner can be connected to.
    """

    runner: fleet.Runner
    failed_at: float
    confirm: Callable[[], None]


class PathCheck(msgspec.Struct, frozen=True):
    """Shows whether a runner is at fault, or the path to all of them.

    Attributes:
        established: Resolves with whether another runner accepts connections.
        held: Resolves with whether a connection to another one holds.
    """

    established: asyncio.Future[bool]
    held: asyncio.Future[bool]


class ReachMonitor:
    """Observes the connections to runners, and probes them when in doubt.

    Attributes:
        withheld: The number of failures that weren't believed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: pool.Pool,
        runners: registry.Registry,
        chooser: choice.Chooser,
        rng: random.Random,
    ) -> None:
        """Creates a monitor that has observed nothing.

        Args:
            loop: Provides the clock.
            connections: Opens connections and pools them.
            runners: The registered runners.
            chooser: Holds this instance's state of each runner.
            rng: Chooses the runners to probe.
        """
        self._loop = loop
        self._pool = connections
        self._runners = runners
        self._chooser = chooser
        self._rng = rng
        self._tracker = tracker.Tracker()
        self._pending: dict[ids.ServiceName, list[_Pending]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._on_suspected: list[Callable[[], None]] = []
        self.withheld = 0
        connections.watch_data(self._on_data)

    def is_lost(self, service: ids.ServiceName) -> bool:
        """Returns whether no runner of a service can be connected to."""
        return self._tracker.is_lost(service)

    def list_lost(self) -> list[ids.ServiceName]:
        """Returns the services whose runners can't be connected to."""
        return self._tracker.list_lost()

    def when_suspected(self, call: Callable[[], None]) -> None:
        """Registers a callback for services that may be lost."""
        self._on_suspected.append(call)

    def record_sent(self, runner: fleet.Runner) -> None:
        """Records that a request is sent to a runner."""
        self._tracker.record_sent(runner.service, self._loop.time())

    def record_broken(self, runner: fleet.Runner) -> None:
        """Records a connection that broke before anything was received."""
        now = self._loop.time()
        self._tracker.record_unconnected(runner.service, runner.id, now)
        self._check(runner.service)

    def confirm(
        self, runner: fleet.Runner, confirmed: Callable[[], None]
    ) -> None:
        """Handles a connection that couldn't be made.

        Args:
            runner: The runner.
            confirmed: Called if the runner is at fault: another one can be
                connected to from now on, or there is none to ask.
        """
        service, now = runner.service, self._loop.time()
        self._tracker.record_unconnected(service, runner.id, now)
        pending = _Pending(runner, now, confirmed)
        if not self._list_others(runner):
            confirmed()
        elif self._tracker.is_lost(service):
            self._withhold([pending])
        else:
            self._pending.setdefault(service, []).append(pending)
            self._check(service)

    def check_path(self, runner: fleet.Runner) -> PathCheck:
        """Connects to other runners than one at which a connection broke."""
        check = PathCheck(
            self._loop.create_future(), self._loop.create_future()
        )
        others = self._list_others(runner)
        if not others:
            check.established.set_result(True)
            check.held.set_result(True)
            return check
        asked = self._choose(others, _PATH_PROBES)
        self._start(self._check_path(runner, asked, check))
        return check

    async def _check_path(
        self, runner: fleet.Runner, asked: list[fleet.Runner], check: PathCheck
    ) -> None:
        def establish() -> None:
            if not check.established.done():
                check.established.set_result(True)

        held = await asyncio.gather(
            *(self._probe(each, _HOLD_S, establish) for each in asked)
        )
        if not check.established.done():
            check.established.set_result(False)
        check.held.set_result(any(held))
        if not any(held):
            self.record_broken(runner)

    def tick(self) -> None:
        """Probes the services of which nothing was heard; called often."""
        for service in self._runners.list_services():
            self._check(service)

    def close(self) -> None:
        """Cancels all probes."""
        for task in list(self._tasks):
            task.cancel()

    def _on_data(
        self, runner: fleet.Runner, received_on: connection.Connection
    ) -> None:
        service, now = runner.service, self._loop.time()
        self._tracker.record_heard(service, now)
        if self._chooser.record_heard(runner.id, now):
            _LOG.info("event=runner_heard_again runner=%s", runner.id)
        if not received_on.has_received:
            # A connection that has carried data has held since it was made.
            self._tracker.record_connected(
                service, runner.id, received_on.connected_at
            )

    def _check(self, service: ids.ServiceName) -> None:
        """Probes a service's runners if that is due."""
        now = self._loop.time()
        if not self._tracker.is_due(service, now):
            return
        accepting = self._runners.list_accepting(service)
        if not accepting:
            return
        count = self._tracker.start_probes(service, now)
        probed = self._choose(accepting, count)
        for call in self._on_suspected:
            call()
        self._start(self._probe_all(service, probed))

    def _start(self, probes: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(probes)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_all(
        self, service: ids.ServiceName, probed: list[fleet.Runner]
    ) -> None:
        hold_s = _RETURN_HOLD_S if self.is_lost(service) else _HOLD_S
        held = await asyncio.gather(
            *(self._probe(each, hold_s) for each in probed)
        )
        failed = {
            each.id for each, ok in zip(probed, held, strict=True) if not ok
        }
        lost = self._tracker.finish_probes(
            service,
            failed,
            len(self._runners.list_accepting(service)),
            self._loop.time(),
        )
        if lost:
            self._withhold(self._pending.pop(service, []))
            for runner in self._runners.list_accepting(service):
                self._pool.close_idle(runner.id)
            return
        if self._pending.get(service):
            self._tracker.suspect(service, self._loop.time())
        self._check(service)
        if any(held):
            await self._probe_unreachable(service)

    async def _probe_unreachable(self, service: ids.ServiceName) -> None:
        """Probes runners that were unreachable before the service was back."""
        unreachable = [
            runner
            for runner in self._runners.list_accepting(service)
            if not self._chooser.get_state(runner.id).reachable
        ]
        await asyncio.gather(
            *(self._probe(each, _HOLD_S) for each in unreachable[:_MAX_RETURNS])
        )

    async def _probe(
        self,
        runner: fleet.Runner,
        hold_s: float,
        on_established: Callable[[], None] | None = None,
    ) -> bool:
        """Returns whether a new connection to a runner holds so long."""
        opened = await self._pool.open(
            runner, _CONNECT_TIMEOUT_S, _CONNECT_TIMEOUT_S
        )
        if isinstance(opened, result.Err):
            return False
        made_at = self._loop.time()
        if on_established is not None:
            on_established()
        self._confirm_pending(runner, made_at)
        await asyncio.sleep(hold_s)
        if not opened.ok_value.usable:
            return False
        self._pool.release(runner, opened.ok_value)
        state = self._chooser.get_state(runner.id)
        if not state.reachable:
            state.record_connected()
        self._tracker.record_connected(runner.service, runner.id, made_at)
        return True

    def _confirm_pending(self, connected: fleet.Runner, made_at: float) -> None:
        """Believes earlier failures at other runners than one that is sound."""
        service = connected.service
        waiting = []
        for each in self._pending.pop(service, []):
            if each.runner.id == connected.id:
                continue
            if each.failed_at <= made_at:
                each.confirm()
            else:
                waiting.append(each)
        if waiting:
            self._pending[service] = waiting

    def _withhold(self, pending: list[_Pending]) -> None:
        for each in pending:
            self.withheld += 1
            _LOG.info("event=finding_withheld runner=%s", each.runner.id)

    def _choose(
        self, runners: list[fleet.Runner], count: int
    ) -> list[fleet.Runner]:
        """Returns some runners, first those that aren't known to fail."""
        now = self._loop.time()

        def rank(runner: fleet.Runner) -> tuple[bool, float]:
            state = self._chooser.get_state(runner.id)
            sound = state.reachable and state.avoid_until <= now
            return not sound, self._rng.random()

        return heapq.nsmallest(count, runners, key=rank)

    def _list_others(self, runner: fleet.Runner) -> list[fleet.Runner]:
        return [
            each
            for each in self._runners.list_accepting(runner.service)
            if each.id != runner.id
        ]
