"""Kept connections to runners, by incarnation."""

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

# A connection that will be established takes 1 to 3 ms here; one that was
# dropped from a full queue comes again after a second at the soonest.
CONNECT_TIMEOUT_S = 0.3
# Closing before the peer does keeps requests from crossing its close.
_PEER_MARGIN_S = 0.7
_LONGEST_IDLE_S = 8.0
# A request that must not run twice can't be sent again when its connection
# turns out to be dead, so it goes on one that was in use just now.
_SURE_IDLE_S = 0.6
_IDLE_LIMIT = 16
# Idle connections of all instances to a runner take this part of those that it
# accepts: where all lose power at once theirs stay open there, and new ones
# must fit in beside them.
_IDLE_PART = 0.4


class Unreachable(failures.Failure, frozen=True, kw_only=True):
    """No connection could be made; nothing was sent.

    Attributes:
        nobody: Whether the host said that nobody listens there.
    """

    connection_refused: bool = False


class Freshness(enum.Enum):
    """How sure a kept connection must be to be used."""

    ANY = "any"
    RECENT = "sure"


class PoolCounters(msgspec.Struct):
    """What the pool counts."""

    opened: int = 0
    reused: int = 0
    unreachable: int = 0


class Pool:
    """Hands out connections, newest first, and closes those left over."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Starts with none.

        Args:
            loop: Its clock tells how long a connection was idle.
            wall: Returns the time of day, which runners' starts are told in.
        """
        self._loop = loop
        self._wall = wall
        self._idle: dict[fleet.Incarnation, list[connection.Connection]] = {}
        self._limits: dict[ids.ServiceName, int] = {}
        self._busy: dict[ids.EndpointId, set[connection.Connection]] = {}
        self.counters = PoolCounters()

    def watch_registry(self, runners: registry.Registry) -> None:
        """Lets go of what is kept or under way at runners that end."""
        runners.when_gone(self.close_idle)
        runners.when_restarted(self.fail_stale)

    def set_accepted(
        self, service: ids.ServiceName, accepted: int, instances: int
    ) -> None:
        """Takes how many connections a runner accepts, and from how many.

        Args:
            service: The runner's.
            accepted: Connections that it accepts in all; 0: unknown.
            instances: Instances that connect to it.
        """
        if accepted:
            part = int(accepted * _IDLE_PART / instances)
            self._limits[service] = max(1, min(_IDLE_LIMIT, part))

    def acquire(
        self, runner: fleet.Runner, care: Freshness
    ) -> connection.Connection | None:
        """Returns a kept connection that is fit for use."""
        kept = self._idle.get(runner.incarnation)
        while kept:
            found = kept.pop()
            if self._is_fit(found, care):
                self.counters.reused += 1
                return found
            found.abort()
        return None

    async def open(
        self,
        runner: fleet.Runner,
        left_s: float,
        limit_s: float = CONNECT_TIMEOUT_S,
    ) -> result.Result[connection.Connection, Unreachable]:
        """Returns a new connection.

        Args:
            runner: Where to.
            left_s: Seconds that the request has left.
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
        opened.connected_at_unix = self._wall()
        return result.Ok(opened)

    def release(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Keeps a connection for the next request, if it may have one."""
        kept = self._idle.setdefault(runner.incarnation, [])
        limit = self._limits.get(runner.service, _IDLE_LIMIT)
        if not used.usable or len(kept) >= limit:
            used.abort()
            return
        kept.append(used)

    def close_idle(self, runner: ids.EndpointId) -> None:
        """Closes what is kept for a runner."""
        for incarnation in [each for each in self._idle if each.id == runner]:
            for kept in self._idle.pop(incarnation):
                kept.abort()

    def mark_busy(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Notes that an exchange begins on a connection."""
        self._busy.setdefault(runner.id, set()).add(used)

    def mark_done(
        self, runner: fleet.Runner, used: connection.Connection
    ) -> None:
        """Notes that the exchange on a connection has ended."""
        busy = self._busy.get(runner.id, set())
        busy.discard(used)
        if not busy:
            self._busy.pop(runner.id, None)

    def fail_stale(self, runner: fleet.Runner) -> None:
        """Ends the exchanges with what a runner was before its last start.

        Whoever waits there is told at once. A connection opened since then is
        to the one that runs now. The two clocks may differ by milliseconds,
        and a runner listens some hundred after its start.
        """
        if runner.start is None:
            return
        started_at = runner.start / 1000.0
        for used in list(self._busy.get(runner.id, ())):
            if used.connected_at_unix < started_at:
                used.fail()

    def close_expired(self) -> None:
        """Closes what has been idle for too long."""
        for kept in self._idle.values():
            fit = [each for each in kept if self._is_fit(each, Freshness.ANY)]
            for each in kept:
                if each not in fit:
                    each.abort()
            kept[:] = fit

    def close(self) -> None:
        """Closes everything."""
        for runner in {each.id for each in self._idle}:
            self.close_idle(runner)

    def _is_fit(self, found: connection.Connection, care: Freshness) -> bool:
        if not found.usable:
            return False
        limit_s = _LONGEST_IDLE_S
        if found.idle_limit_s is not None:
            limit_s = min(limit_s, found.idle_limit_s - _PEER_MARGIN_S)
        if care is Freshness.RECENT:
            limit_s = min(limit_s, _SURE_IDLE_S)
        return self._loop.time() - found.idle_since < limit_s
