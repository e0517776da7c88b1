"""Pools persistent connections to runners, by incarnation."""

import asyncio
from collections.abc import Callable
import enum
import time

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import connection

# Connections that succeed are established within 1 to 3 ms. A SYN dropped
# from a full accept queue is retransmitted after a second at the earliest.
CONNECT_TIMEOUT_S = 0.3
# Closing idle connections before the peer does keeps a request from being sent
# while the peer closes.
_IDLE_MARGIN_S = 0.7
_MAX_IDLE_S = 8.0
# A request that must not run twice can't be resent when its connection turns
# out to be dead, so it uses only connections that were in use this recently.
_RECENT_IDLE_S = 0.6
_MAX_IDLE = 16
# Share of the connections accepted by a runner that the idle connections of all
# instances may take. If all instances lose power at once, their old connections
# stay open at the runner, and the new ones must fit beside them.
_IDLE_SHARE = 0.4


class Unreachable(failures.Failure, frozen=True, kw_only=True):
    """No connection could be established; nothing was sent.

    Attributes:
        connection_refused: Whether the host refused the connection, so that no
            process listens there.
    """

    connection_refused: bool = False


class Freshness(enum.Enum):
    """How recently an idle connection must have been in use."""

    ANY = "any"
    RECENT = "sure"


class PoolCounters(msgspec.Struct):
    """Counts of connections."""

    opened: int = 0
    reused: int = 0
    unreachable: int = 0


class Pool:
    """Hands out connections, the newest first, and closes surplus ones."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        """Creates an empty pool.

        Args:
            loop: Its clock measures how long a connection was idle.
            unix_time: Returns the Unix time; runners' starts are given in it.
        """
        self._loop = loop
        self._unix_time = unix_time
        self._idle: dict[fleet.Incarnation, list[connection.Connection]] = {}
        self._limits: dict[ids.ServiceName, int] = {}
        self._busy: dict[ids.EndpointId, set[connection.Connection]] = {}
        self.counters = PoolCounters()

    def watch_registry(self, runners: registry.Registry) -> None:
        """Closes connections to runners that are removed or restarted."""
        runners.when_gone(self.close_idle)
        runners.when_restarted(self.fail_stale)

    def set_accepted(
        self, service: ids.ServiceName, accepted: int, instances: int
    ) -> None:
        """Sets the idle limit from the connections that a runner accepts.

        Args:
            service: The service of the runners.
            accepted: Connections that each runner accepts in all; 0: unknown.
            instances: Number of instances that connect to it.
        """
        if accepted:
            part = int(accepted * _IDLE_SHARE / instances)
            self._limits[service] = max(1, min(_MAX_IDLE, part))

    def acquire(
        self, runner: fleet.Runner, freshness: Freshness
    ) -> connection.Connection | None:
        """Returns an idle connection that may be used, if there is one."""
        idle = self._idle.get(runner.incarnation)
        while idle:
            candidate = idle.pop()
            if self._is_usable(candidate, freshness):
                self.counters.reused += 1
                return candidate
            candidate.abort()
        return None

    async def open(
        self,
        runner: fleet.Runner,
        left_s: float,
        limit_s: float = CONNECT_TIMEOUT_S,
    ) -> result.Result[connection.Connection, Unreachable]:
        """Opens a connection.

        Args:
            runner: The runner to connect to.
            left_s: Seconds left to the request.
            limit_s: Seconds that connecting may take.
        """
        self.counters.opened += 1
        connecting = self._loop.create_connection(
            lambda: connection.Connection(self._loop), runner.host, runner.port
        )
        try:
            async with asyncio.timeout(min(limit_s, left_s)):
                _, opened = await connecting
        except (OSError, TimeoutError) as error:
            self.counters.unreachable += 1
            kind = type(error).__name__
            refused = isinstance(error, ConnectionRefusedError)
            detail = f"{runner.host}: {kind}"
            return result.Err(
                Unreachable(detail=detail, connection_refused=refused)
            )
        opened.idle_since = opened.connected_at = self._loop.time()
        opened.connected_at_unix = self._unix_time()
        return result.Ok(opened)

    def release(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        idle = self._idle.setdefault(runner.incarnation, [])
        limit = self._limits.get(runner.service, _MAX_IDLE)
        if not used.usable or len(idle) >= limit:
            used.abort()
            return
        idle.append(used)

    def close_idle(self, runner: ids.EndpointId) -> None:
        """Closes the idle connections to a runner."""
        for incarnation in [each for each in self._idle if each.id == runner]:
            for idle in self._idle.pop(incarnation):
                idle.abort()

    def mark_busy(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Registers the start of an exchange on a connection."""
        self._busy.setdefault(runner.id, set()).add(used)

    def mark_done(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Registers the end of the exchange on a connection."""
        busy = self._busy.get(runner.id, set())
        busy.discard(used)
        if not busy:
            self._busy.pop(runner.id, None)

    def fail_stale(self, runner: fleet.Runner) -> None:
        """Fails the exchanges on connections from before a runner's restart.

        Their receivers are notified at once. Connections opened since then are
        to the current process. The clocks of the two machines may differ by
        milliseconds, and a runner listens some hundred milliseconds after its
        start.
        """
        if runner.start is None:
            return
        started_at = runner.start / 1000.0
        for used in list(self._busy.get(runner.id, ())):
            if used.connected_at_unix < started_at:
                used.fail()

    def close_expired(self) -> None:
        """Closes connections that have been idle for too long."""
        for idle in self._idle.values():
            usable = [
                each for each in idle if self._is_usable(each, Freshness.ANY)
            ]
            for each in idle:
                if each not in usable:
                    each.abort()
            idle[:] = usable

    def close(self) -> None:
        """Closes all idle connections."""
        for runner in {each.id for each in self._idle}:
            self.close_idle(runner)

    def _is_usable(
        self, candidate: connection.Connection, freshness: Freshness
    ) -> bool:
        if not candidate.usable:
            return False
        limit_s = _MAX_IDLE_S
        if candidate.idle_limit_s is not None:
            limit_s = min(limit_s, candidate.idle_limit_s - _IDLE_MARGIN_S)
        if freshness is Freshness.RECENT:
            limit_s = min(limit_s, _RECENT_IDLE_S)
        return self._loop.time() - candidate.idle_since < limit_s
