"""Membership as a component of the application: start, leave, stop."""

from collections.abc import Callable
import random
from typing import Any

import pykka
import result

from pollenfork import clock
from pollenfork import config
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import actor
from pollenfork.membership import core
from pollenfork.membership import datagrams
from pollenfork.membership import errors
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import transport
from pollenfork.store import edges

_ASK_TIMEOUT_S = 1.0
_SHUTDOWN_GRACE_S = 0.5
_BIND_ATTEMPTS = 10


class Membership:
    """Runs the membership protocol of this instance.

    Args:
        settings: Identity of this instance. `peer_listen` must hold the IP
            address at which peers reach it; port 0 picks a free port.
        now: The clock.
        instance_list: The platform's list, read every 10 s in a thread.
        read_pressure: Returns the pressure to send; must not block.
        read_revision: Returns the settings revision in force.
        serve_settings: Returns the tree's bytes at a revision, 0 for the one
            in force; None if this instance doesn't hold it.
        publish: Called with each event in the actor's thread; must not block.
        seeds: Peer addresses to contact besides the list's.
        incarnation: Of this process; None derives it from the wall clock.
    """

    def __init__(
        self,
        settings: config.EntryConfig,
        now: clock.Clock,
        instance_list: edges.InstanceList,
        read_pressure: Callable[[], dispatch_messages.Pressure],
        read_revision: Callable[[], ids.Revision],
        serve_settings: Callable[[ids.Revision], bytes | None],
        publish: Callable[[messages.Event], None],
        seeds: tuple[str, ...] = (),
        incarnation: ids.Incarnation | None = None,
    ) -> None:
        self._incarnation = incarnation or ids.Incarnation(
            int(now.wall() * 1000)
        )
        self._core: core.Core | None = None
        self._settings = settings
        self._clock = now
        self._serve_settings = serve_settings
        self._seeds = seeds
        self._client = transport.Client()
        self._server = transport.Server(self)
        self._datagrams = datagrams.Datagrams(now)
        self._actor: pykka.ActorRef | None = None
        self.address = settings.peer_listen
        self._edges = actor.Edges(
            clock=now,
            datagrams=self._datagrams,
            client=self._client,
            instance_list=instance_list,
            read_pressure=read_pressure,
            read_revision=read_revision,
            publish=publish,
        )

    @property
    def incarnation(self) -> ids.Incarnation:
        """The incarnation announced to peers; safe from any thread."""
        return self._core.incarnation if self._core else self._incarnation

    def start(self) -> None:
        """Binds the peer address and starts sending heartbeats.

        Raises:
            OSError: The address is in use.
        """
        self.address = self._bind()
        identity = local_member.Identity(
            self._settings.instance, self._settings.data_centre, self.address
        )
        membership = core.Core(
            identity,
            self._incarnation,
            random.Random(f"{identity.instance}/{self._incarnation}"),
            self._clock.monotonic(),
            self._seeds,
        )
        self._core = membership
        ref = actor.MembershipActor.start(membership, self._edges)
        self._actor = ref
        self._server.start()
        self._datagrams.start(
            lambda body, address: ref.tell(actor.DatagramHeard(body, address)),
            lambda: ref.tell(actor.Time()),
        )

    def leave(self) -> None:
        """Announces to all peers that this instance leaves.

        Call it after a drain: peers stop counting its slots, so that no
        request may still be running.
        """
        self._ask(actor.Leave())
        self._client.wait_idle(_SHUTDOWN_GRACE_S)

    def stop(self) -> None:
        """Stops all threads and closes all sockets."""
        self._datagrams.stop()
        self._server.stop(_SHUTDOWN_GRACE_S)
        self._client.close()
        if self._actor:
            self._actor.stop()

    def list_members(self) -> tuple[messages.MemberView, ...]:
        """Returns all known instances, including this one."""
        return self._ask(actor.ListMembers()) or ()

    def count_failures(self) -> dict[str, int]:
        """Returns the number of failures by kind, for metrics."""
        return self._ask(actor.CountFailures()) or {}

    def read_traffic(self) -> datagrams.Traffic:
        """Returns the traffic of heartbeats, for metrics."""
        return self._datagrams.traffic

    def fetch_settings(
        self, address: str, revision: ids.Revision
    ) -> transport.Answer:
        """Fetches a peer's settings tree; blocks for up to five seconds."""
        return self._client.fetch_settings(address, revision)

    def serve_state(self) -> transport.Answer:
        """Returns this instance's state; called by the server."""
        return self._ask(actor.ServeState()) or _timed_out()

    def serve_exchange(self, body: bytes) -> transport.Answer:
        """Processes a summary and returns one; called by the server."""
        return self._ask(actor.ServeExchange(body)) or _timed_out()

    def serve_settings(self, revision: ids.Revision) -> transport.Answer:
        """Returns a settings tree; called by the server."""
        copy = self._serve_settings(revision)
        if copy is None:
            detail = f"revision {revision} isn't held here"
            return result.Err(errors.Refused(detail=detail))
        return result.Ok(copy)

    def _bind(self) -> str:
        host, port = datagrams.split_address(self._settings.peer_listen)
        for _ in range(_BIND_ATTEMPTS):
            try:
                bound = self._server.bind(f"{host}:{port}")
                self._datagrams.bind(f"{host}:{bound}")
            except (OSError, RuntimeError) as error:
                failure = error
                continue
            return f"{host}:{bound}"
        raise OSError(f"{self._settings.peer_listen}: {failure}")

    def _ask(self, message: Any) -> Any:
        """Returns the actor's answer; None on a timeout or if it stopped."""
        if self._actor is None:
            return None
        try:
            return self._actor.ask(message, timeout=_ASK_TIMEOUT_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            return None


def _timed_out() -> transport.Answer:
    return result.Err(errors.TimedOut(detail="the instance is busy or gone"))
