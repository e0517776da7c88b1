"""Pools persistent connections to runners, by incarnation."""

import asyncio
from collections.abc import Callable
import functools
import time

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import connection
from pollenfork.gateway.connections import view

# Connections that succeed are established within 1 to 3 ms. A SYN dropped
# from a full accept queue is retransmitted after a second at the earliest.
CONNECT_TIMEOUT_S = 0.3
# Closing idle connections before the peer does keeps a request from being sent
# while the peer closes.
_IDLE_MARGIN_S = 0.7
_MAX_IDLE_S = 8.0
# The same for forecast services if the runner states that it keeps connections
# open for longer. A longer time would keep connections that one burst opened.
_MAX_STATED_IDLE_S = 30.0
# A request that must not run twice can't be resent when its connection turns
# out to be dead, so it uses only connections that were in use this recently.
_RECENT_IDLE_S = 0.6
_MAX_IDLE = 16
# Share of the connections accepted by a runner that the idle connections of all
# instances may take. If all instances lose power at once, their old connections
# stay open at the runner, and the new ones must fit beside them.
_IDLE_SHARE = 0.4


OnData = Callable[[fleet.Runner, connection.Connection], None]
OnClosed = Callable[[fleet.Runner, connection.Connection, bool, bool], None]
OnUnreachable = Callable[[fleet.Runner], None]


class Unreachable(failures.Failure, frozen=True, kw_only=True):
    """No connection could be established; nothing was sent.

    Attributes:
        connection_refused: Whether the host refused the connection, so that no
            process listens there.
    """

    connection_refused: bool = False


class PoolCounters(msgspec.Struct):
    """Counts of connections."""

    opened: int = 0
    reused: int = 0
    unreachable: int = 0


class ServiceCounters(msgspec.Struct):
    """Counts of connections to the runners of one service."""

    opened: int = 0
    reused: int = 0


class _IdleConnections(msgspec.Struct):
    """The idle connections to one incarnation of a runner.

    Attributes:
        service: The runner's service.
        connections: The connections, the newest last.
    """

    service: ids.ServiceName
    connections: list[connection.Connection] = msgspec.field(
        default_factory=list
    )


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
        self._idle: dict[fleet.Incarnation, _IdleConnections] = {}
        self._limits: dict[ids.ServiceName, int] = {}
        # Services whose connections are kept for as long as runners state.
        self._stated: set[ids.ServiceName] = set()
        self._busy: dict[ids.EndpointId, set[connection.Connection]] = {}
        self.counters = PoolCounters()
        self.service_counters: dict[ids.ServiceName, ServiceCounters] = {}
        self._on_data: list[OnData] = []
        self._on_closed: OnClosed | None = None
        self._on_unreachable: OnUnreachable | None = None

    def watch_registry(self, runners: registry.Registry) -> None:
        """Closes connections to runners that are removed or restarted."""
        runners.when_gone(self.close_idle)
        runners.when_restarted(self.fail_stale)

    def watch_data(self, callback: OnData) -> None:
        """Registers a callback for bytes that runners send."""
        self._on_data.append(callback)

    def watch_ends(
        self, on_closed: OnClosed, on_unreachable: OnUnreachable
    ) -> None:
        """Sets the callbacks for connections that end or can't be made.

        Args:
            on_closed: Called with a connection that a runner has closed, and
                whether it was idle and was reset.
            on_unreachable: Called with a runner that couldn't be connected to.
        """
        self._on_closed = on_closed
        self._on_unreachable = on_unreachable

    def set_accepted(
        self,
        service: ids.ServiceName,
        accepted: int,
        instances: int,
        forecast: bool = False,
    ) -> None:
        """Sets the idle limits from the connections that a runner accepts.

        Connections to runners of a forecast service are kept for as long as
        the runners state, unless one connection of each instance would take
        more than the share of idle connections.

        Args:
            service: The service of the runners.
            accepted: Connections that each runner accepts in all; 0: unknown.
            instances: Number of instances that connect to it.
            forecast: Whether it is a forecast service.
        """
        part = int(accepted * _IDLE_SHARE / instances)
        if accepted:
            self._limits[service] = max(1, min(_MAX_IDLE, part))
        if forecast and (part or not accepted):
            self._stated.add(service)
        else:
            self._stated.discard(service)

    def acquire(
        self, runner: fleet.Runner, freshness: view.Freshness
    ) -> connection.Connection | None:
        """Returns an idle connection that may be used, if there is one."""
        idle = self._idle.get(runner.incarnation)
        if idle is None:
            return None
        found = None
        kept: list[connection.Connection] = []
        while idle.connections and found is None:
            candidate = idle.connections.pop()
            if self._is_usable(candidate, idle.service, freshness):
                found = candidate
            elif self._is_kept(candidate, idle.service):
                kept.append(candidate)
            else:
                candidate.abort()
        idle.connections.extend(reversed(kept))
        if found is not None:
            self.counters.reused += 1
            self._count(idle.service).reused += 1
        return found

    def has_idle(self, runner: fleet.Runner, freshness: view.Freshness) -> bool:
        """Returns whether a runner has an idle connection that may be used."""
        idle = self._idle.get(runner.incarnation)
        if idle is None:
            return False
        for candidate in reversed(idle.connections):
            if self._is_usable(candidate, idle.service, freshness):
                return True
        return False

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
        self._count(runner.service).opened += 1
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
            if self._on_unreachable is not None:
                self._on_unreachable(runner)
            return result.Err(
                Unreachable(detail=detail, connection_refused=refused)
            )
        opened.idle_since = opened.connected_at = self._loop.time()
        opened.connected_at_unix = self._unix_time()
        opened.on_data = functools.partial(self._notify_data, runner)
        if self._on_closed is not None:
            opened.on_closed = functools.partial(self._on_closed, runner)
        return result.Ok(opened)

    def release(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Returns a connection to the pool, or closes it."""
        idle = self._idle.setdefault(
            runner.incarnation, _IdleConnections(runner.service)
        )
        limit = self._limits.get(runner.service, _MAX_IDLE)
        is_full = len(idle.connections) >= limit
        if not used.usable or (is_full and runner.service not in self._stated):
            used.abort()
            return
        idle.connections.append(used)
        if is_full:
            # Requests that can't be resent need a recent connection; they would
            # otherwise open one each until the oldest expires.
            idle.connections.pop(0).abort()

    def close_idle(self, runner: ids.EndpointId) -> None:
        """Closes the idle connections to a runner."""
        for incarnation in [each for each in self._idle if each.id == runner]:
            for idle in self._idle.pop(incarnation).connections:
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
        for incarnation, idle in list(self._idle.items()):
            usable = [
                each
                for each in idle.connections
                if self._is_usable(each, idle.service, view.Freshness.ANY)
            ]
            for each in idle.connections:
                if each not in usable:
                    each.abort()
            idle.connections = usable
            if not usable:
                del self._idle[incarnation]

    def close(self) -> None:
        """Closes all idle connections."""
        for runner in {each.id for each in self._idle}:
            self.close_idle(runner)

    def _notify_data(
        self, runner: fleet.Runner, received_on: connection.Connection
    ) -> None:
        for call in self._on_data:
            call(runner, received_on)

    def _is_kept(
        self, candidate: connection.Connection, service: ids.ServiceName
    ) -> bool:
        """Returns whether it is kept though it is too old for one request.

        Another request, one that may be resent, can still use it.
        """
        return service in self._stated and self._is_usable(
            candidate, service, view.Freshness.ANY
        )

    def _count(self, service: ids.ServiceName) -> ServiceCounters:
        return self.service_counters.setdefault(service, ServiceCounters())

    def _is_usable(
        self,
        candidate: connection.Connection,
        service: ids.ServiceName,
        freshness: view.Freshness,
    ) -> bool:
        if not candidate.usable:
            return False
        limit_s = _MAX_IDLE_S
        stated_s = candidate.idle_limit_s
        if stated_s is not None:
            longest_s = limit_s
            if service in self._stated:
                longest_s = _MAX_STATED_IDLE_S
            limit_s = min(longest_s, stated_s - _IDLE_MARGIN_S)
        if freshness is view.Freshness.RECENT:
            limit_s = min(limit_s, _RECENT_IDLE_S)
        return self._loop.time() - candidate.idle_since < limit_s
