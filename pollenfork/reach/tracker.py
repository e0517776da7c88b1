"""Decides whether this instance has lost its connections to all runners.

A runner that can't be connected to has crashed, or this instance is partitioned
from it. Only connections to other runners tell these apart, and only those made
since: open ones may live on while new ones are refused. So a failure leads to
probes of other runners.
"""

import enum
import logging

import msgspec

from pollenfork import ids

_LOG = logging.getLogger(__name__)

# If no runner of a service has sent anything for this long after a request was
# sent, in seconds, the path is checked. Half of the answers begin sooner.
_SILENCE_S = 0.2
# While requests are sent, a service of which nothing was heard for this long is
# checked even if none of them waits, in seconds.
_IDLE_S = 0.5
# A service counts as in use for this long after a request, in seconds.
_USE_S = 2.0
# Runners probed at once: to check a path that is probably sound, or after a
# failure; then as many as must fail before the service counts as lost; and to
# find its return.
_CHECK_PROBES = 1
_WITNESS_PROBES = 2
_LOST_PROBES = 6
_RETURN_PROBES = 2
# The pause between probes of a lost service, in seconds.
_RETRY_S = 0.2


class State(enum.Enum):
    """Whether an instance can connect to the runners of a service."""

    CONNECTED = "connected"
    SUSPECTED = "suspected"  # Probes decide.
    LOST = "lost"


class _Service(msgspec.Struct):
    """What is known of the connections to one service.

    Attributes:
        state: Whether its runners can be connected to.
        connected_at: When a connection that holds was last made.
        heard_at: When any of its runners last sent anything.
        waiting_since: When the first request was sent after that; None: none.
        used_at: When a request was last sent.
        used_since: When the first request was sent after a time without any.
        failed: Runners to which connections failed since one was made.
        probing: Whether probes are in progress.
        rounds: Rounds of probes that failed since the service was suspected.
        probe_at: From when on the next ones are due.
        since: When the state changed.
        provisional: Whether nothing was heard since the service was lost.
    """

    state: State = State.CONNECTED
    connected_at: float = 0.0
    heard_at: float = 0.0
    waiting_since: float | None = None
    used_at: float = float("-inf")
    used_since: float = 0.0
    failed: set[ids.EndpointId] = msgspec.field(default_factory=set)
    probing: bool = False
    rounds: int = 0
    probe_at: float = 0.0
    since: float = 0.0
    provisional: bool = False

    def change(self, state: State, now: float) -> None:
        """Changes the state."""
        self.state = state
        self.since = now
        self.rounds = 0


class Tracker:
    """Tracks the connections to the runners of each service."""

    def __init__(self) -> None:
        self._services: dict[ids.ServiceName, _Service] = {}

    def get_state(self, service: ids.ServiceName) -> State:
        """Returns whether the runners of a service can be connected to."""
        known = self._services.get(service)
        return State.CONNECTED if known is None else known.state

    def is_lost(self, service: ids.ServiceName) -> bool:
        """Returns whether no runner of a service can be connected to."""
        return self.get_state(service) is State.LOST

    def list_lost(self) -> list[ids.ServiceName]:
        """Returns the services whose runners can't be connected to."""
        return [
            name
            for name, each in self._services.items()
            if each.state is State.LOST
        ]

    def record_sent(self, service: ids.ServiceName, now: float) -> None:
        """Records that a request is sent to a runner."""
        known = self._get(service)
        if now - known.used_at > _USE_S:
            known.used_since = now
        known.used_at = now
        if known.waiting_since is None:
            known.waiting_since = now

    def record_heard(self, service: ids.ServiceName, now: float) -> None:
        """Records that any runner of a service has sent anything."""
        known = self._get(service)
        known.heard_at = now
        known.waiting_since = None
        if known.state is State.CONNECTED:
            known.provisional = False

    def record_connected(
        self, service: ids.ServiceName, runner: ids.EndpointId, at: float
    ) -> None:
        """Records a new connection that was established and holds.

        Args:
            service: The runner's service.
            runner: The runner.
            at: When it was established, in monotonic seconds.
        """
        known = self._get(service)
        known.connected_at = max(known.connected_at, at)
        known.waiting_since = None
        # A connection of before that lives on shows nothing of new ones.
        if known.state is State.CONNECTED or at < known.since:
            return
        if known.state is State.LOST:
            _LOG.info(
                "event=runners_back service=%s runner=%s lost_ms=%d",
                service,
                runner,
                (at - known.since) * 1000,
            )
        known.provisional = known.state is State.LOST
        known.change(State.CONNECTED, at)
        known.failed.clear()

    def record_unconnected(
        self, service: ids.ServiceName, runner: ids.EndpointId, now: float
    ) -> None:
        """Records that a connection to a runner couldn't be made or broke."""
        known = self._get(service)
        known.failed.add(runner)
        if known.provisional:
            # Connections that hold for a moment may still pass nothing.
            known.provisional = False
            known.change(State.LOST, now)
            known.probe_at = now + _RETRY_S
        self._suspect(known, now)

    def suspect(self, service: ids.ServiceName, now: float) -> None:
        """Lets a service be probed, unless that is so already."""
        self._suspect(self._get(service), now)

    def is_due(self, service: ids.ServiceName, now: float) -> bool:
        """Returns whether runners of a service are to be probed now."""
        known = self._services.get(service)
        if known is None or known.probing or now < known.probe_at:
            return False
        return known.state is not State.CONNECTED or _is_silent(known, now)

    def start_probes(self, service: ids.ServiceName, now: float) -> int:
        """Returns the number of runners to probe; the probes then begin."""
        known = self._get(service)
        self._suspect(known, now)
        known.probing = True
        if known.state is State.LOST:
            return _RETURN_PROBES
        if known.rounds:
            return _LOST_PROBES
        return _WITNESS_PROBES if known.failed else _CHECK_PROBES

    def finish_probes(
        self,
        service: ids.ServiceName,
        failed: set[ids.EndpointId],
        runners: int,
        now: float,
    ) -> bool:
        """Handles the end of probes; returns whether the service is now lost.

        Args:
            service: The service.
            failed: The runners that couldn't be connected to.
            runners: How many of its runners accept work.
            now: Monotonic seconds.
        """
        known = self._get(service)
        known.probing = False
        known.probe_at = now
        if known.state is State.SUSPECTED:
            known.rounds += 1
            known.failed |= failed
            if len(known.failed) < min(runners, _LOST_PROBES):
                return False
        known.probe_at += _RETRY_S
        if known.state is not State.SUSPECTED or not runners:
            return False
        known.change(State.LOST, now)
        _LOG.warning(
            "event=runners_lost service=%s tried=%d runners=%d silent_ms=%d",
            service,
            len(known.failed),
            runners,
            (now - max(known.heard_at, known.used_since)) * 1000,
        )
        return True

    def _suspect(self, known: _Service, now: float) -> None:
        if known.state is State.CONNECTED:
            known.change(State.SUSPECTED, now)
            known.probe_at = now

    def _get(self, service: ids.ServiceName) -> _Service:
        return self._services.setdefault(service, _Service())


def _is_silent(known: _Service, now: float) -> bool:
    """Returns whether nothing was heard of a service for too long."""
    waiting = known.waiting_since
    if waiting is not None and now - waiting > _SILENCE_S:
        return True
    latest = max(known.heard_at, known.connected_at, known.used_since)
    return now - known.used_at < _USE_S and now - latest > _IDLE_S
