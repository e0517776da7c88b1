"""Membership as the application wires it: start, leave, stop."""

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

_ASK_S = 1.0
_GRACE_S = 0.5
_BIND_TRIES = 10


class Membership:
    """This instance among its peers.

    Args:
        settings: Who this instance is. `peer_listen` must name the IP number
            at which peers reach it; with port 0 a free one is taken.
        now: The clock.
        instance_list: The platform's list; asked each 10 s in a thread.
        read_pressure: Returns the pressure to send; must be quick.
        read_revision: Returns the settings revision in force.
        serve_settings: Returns the tree's bytes at a revision, 0 for that in
            force; None where it isn't held.
        publish: Takes each event, in the actor's thread; must be quick.
        seeds: Peer addresses to try besides the list's.
        incarnation: Of this process start; None takes the wall clock's.
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
        """The one that peers hear of now; safe from any thread."""
        return self._core.incarnation if self._core else self._incarnation

    def start(self) -> None:
        """Takes the peer address and begins to send heartbeats.

        Raises:
            OSError: The address is taken.
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
        """Tells all peers that this instance leaves; call it after a drain.

        Its slots stop counting at the peers, so nothing may run any more.
        """
        self._ask(actor.Leave())
        self._client.wait_idle(_GRACE_S)

    def stop(self) -> None:
        """Ends every thread and closes every socket."""
        self._datagrams.stop()
        self._server.stop(_GRACE_S)
        self._client.close()
        if self._actor:
            self._actor.stop()

    def list_members(self) -> tuple[messages.MemberView, ...]:
        """Returns all instances known, this one included."""
        return self._ask(actor.ListMembers()) or ()

    def count_failures(self) -> dict[str, int]:
        """Returns how often each kind of failure was met, for metrics."""
        return self._ask(actor.CountFailures()) or {}

    def read_traffic(self) -> datagrams.Traffic:
        """Returns the heartbeats' traffic so far, for metrics."""
        return self._datagrams.traffic

    def fetch_settings(
        self, address: str, revision: ids.Revision
    ) -> transport.Answer:
        """Returns a peer's settings tree; blocks for up to five seconds."""
        return self._client.fetch_settings(address, revision)

    def serve_state(self) -> transport.Answer:
        """Returns this instance's state; called by the server."""
        return self._ask(actor.ServeState()) or _late()

    def serve_exchange(self, body: bytes) -> transport.Answer:
        """Swaps summaries; called by the server."""
        return self._ask(actor.ServeExchange(body)) or _late()

    def serve_settings(self, revision: ids.Revision) -> transport.Answer:
        """Returns a settings tree; called by the server."""
        copy = self._serve_settings(revision)
        if copy is None:
            detail = f"revision {revision} isn't held here"
            return result.Err(errors.Refused(detail=detail))
        return result.Ok(copy)

    def _bind(self) -> str:
        host, port = datagrams.split_address(self._settings.peer_listen)
        for _ in range(_BIND_TRIES):
            try:
                bound = self._server.bind(f"{host}:{port}")
                self._datagrams.bind(f"{host}:{bound}")
            except (OSError, RuntimeError) as error:
                taken = error
                continue
            return f"{host}:{bound}"
        raise OSError(f"{self._settings.peer_listen}: {taken}")

    def _ask(self, message: Any) -> Any:
        """Returns the actor's answer; None where it gives none in time."""
        if self._actor is None:
            return None
        try:
            return self._actor.ask(message, timeout=_ASK_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            return None


def _late() -> transport.Answer:
    return result.Err(errors.TimedOut(detail="the instance is busy or gone"))
