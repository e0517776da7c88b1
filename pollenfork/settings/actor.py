"""Keeps the settings in force at this instance up to date."""

from collections.abc import Callable
import contextlib
import logging
import random
from typing import Any

import msgspec
import pykka
import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork import metrics
from pollenfork import timers
from pollenfork.settings import copies
from pollenfork.settings import core
from pollenfork.settings import errors
from pollenfork.settings import messages
from pollenfork.settings import snapshot
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.store import edges

_LOG = logging.getLogger(__name__)

TICK_S = 0.25

FetchCopy = Callable[[ids.InstanceId], result.Result[bytes, failures.Failure]]
"""Asks a peer for its tree, as `Settings.encode_copy` returns it there."""
Subscriber = Callable[[messages.TreeInForce], None]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The settings in force at this instance.

    Attributes:
        revision: 0 while none is in force.
        age_s: Seconds since it was last known to be the newest; None while
            none is in force.
        in_force_s: Seconds since it came into force.
        platform_answers: Whether the last read of the table succeeded.
    """

    revision: ids.Revision
    age_s: float | None
    in_force_s: float
    platform_answers: bool


class Settings:
    """The thread-safe front of the settings in force."""

    def __init__(
        self,
        table: edges.TableService,
        now: clock.Clock,
        rng: random.Random,
        timer: timers.Timers,
        counters: metrics.Metrics,
        fetch_copy: FetchCopy,
    ) -> None:
        """Wires the settings of one instance.

        Args:
            table: The platform's table.
            now: The clock.
            rng: Spreads the reads of many instances.
            timer: Drives the polling.
            counters: Where revision, age and failures are kept.
            fetch_copy: Asks a peer for its tree.
        """
        self._clock = now
        self._timers = timer
        self._core = core.Core(rng, now.monotonic())
        self._keeper = ActionExecutor(
            self._core, table, now, counters, fetch_copy
        )
        self._actor: pykka.ActorRef | None = None

    def subscribe(self, subscriber: Subscriber) -> None:
        """Calls `subscriber` with every tree that comes into force.

        It is called by the actor's thread and must return at once. Call this
        before `start`.
        """
        self._keeper.subscribers.append(subscriber)

    def start(self) -> None:
        """Starts the actor; the first read of the table follows at once."""
        self._actor = _Actor.start(self._keeper)
        self._timers.every(TICK_S, lambda: self.report(messages.Tick()))

    def stop(self) -> None:
        """Ends the actor; the tree in force stays readable."""
        if self._actor:
            self._actor.stop()

    def report(self, message: messages.Message) -> None:
        """Tells of a peer, a write or the time; returns at once.

        After `stop` nothing follows from it.
        """
        if self._actor:
            with contextlib.suppress(pykka.ActorDeadError):
                self._actor.tell(message)

    @property
    def in_force(self) -> state.InForce | None:
        """The tree in force, or None before the first."""
        return self._core.in_force

    @property
    def revision(self) -> ids.Revision:
        """The revision in force; 0 before there is one."""
        return self._core.revision

    def get_lookups(self) -> snapshot.Snapshot | None:
        """Returns the compiled tree in force, or None before the first."""
        in_force = self._core.in_force
        return in_force.lookups if in_force else None

    def read_status(self) -> Status:
        """Returns revision and age, for metrics and operators."""
        return self._keeper.read_status()

    def encode_copy(self) -> bytes | None:
        """Returns the tree in force for a peer, or None before the first."""
        in_force = self._core.in_force
        return copies.encode(in_force) if in_force else None


class ActionExecutor:
    """Carries out what the core decides; used by one thread at a time."""

    def __init__(
        self,
        decisions: core.Core,
        table: edges.TableService,
        now: clock.Clock,
        counters: metrics.Metrics,
        fetch_copy: FetchCopy,
    ) -> None:
        self.subscribers: list[Subscriber] = []
        self._core = decisions
        self._table = table
        self._clock = now
        self._metrics = counters
        self._fetch_copy = fetch_copy

    def handle(self, message: messages.Message) -> None:
        """Takes one message and does what follows from it."""
        now = self._clock.monotonic()
        match message:
            case messages.Tick():
                self._act(self._core.tick(now))
                self._export()
            case messages.PeerRevision():
                self._core.record_peer_revision(
                    message.instance, message.revision, now
                )
            case messages.PeerGone():
                self._core.remove_peer(message.instance)
            case messages.TreeWritten():
                self._act(self._core.handle_write(message.tree, now))

    def read_status(self) -> Status:
        """Returns revision and age."""
        now = self._clock.monotonic()
        return Status(
            revision=self._core.revision,
            age_s=self._core.age_s(now),
            in_force_s=now - self._core.in_force_since,
            platform_answers=self._core.platform_answers,
        )

    def _act(self, actions: list[core.Action]) -> None:
        for action in actions:
            match action:
                case core.ReadTable():
                    self._act(self._read_table())
                case core.FetchCopy():
                    self._act(self._fetch(action.peer))
                case core.Publish():
                    self._publish(action)

    def _read_table(self) -> list[core.Action]:
        sent_at = self._clock.monotonic()
        previous = self._core.in_force or state.EMPTY
        read = store.read_tree(self._table, previous)
        if isinstance(read, result.Ok):
            return self._core.handle_read(read.ok_value, sent_at)
        failure = read.err_value
        self._note_failure("table", failure)
        if isinstance(failure, errors.TableBehind):
            return self._core.handle_read(None, sent_at)
        self._core.handle_read_failure(sent_at)
        return []

    def _fetch(self, peer: ids.InstanceId) -> list[core.Action]:
        previous = self._core.in_force or state.EMPTY
        fetched = self._fetch_copy(peer)
        decoded: result.Result[state.InForce, failures.Failure]
        if isinstance(fetched, result.Ok):
            decoded = copies.decode(fetched.ok_value, previous)
        else:
            decoded = fetched
        if isinstance(decoded, result.Err):
            self._note_failure(f"peer {peer}", decoded.err_value)
        now = self._clock.monotonic()
        return self._core.handle_copy(peer, decoded.ok(), now)

    def _publish(self, action: core.Publish) -> None:
        tree = action.in_force
        message = messages.TreeInForce(tree.tree, tree.lookups)
        for subscriber in self.subscribers:
            try:
                subscriber(message)
            except Exception:
                # The other subscribers need the tree all the same.
                _LOG.exception("event=settings_subscriber_failed")
        self._metrics.count(
            "pollenfork_settings_adopted_total", source=action.source.value
        )
        self._export()
        _LOG.info(
            "event=settings_in_force revision=%d source=%s accounts=%d",
            tree.revision,
            action.source.value,
            tree.lookups.account_count,
        )

    def _note_failure(self, source: str, failure: failures.Failure) -> None:
        reason = type(failure).__name__
        self._metrics.count(
            "pollenfork_settings_read_failures_total", reason=reason
        )
        _LOG.warning(
            "event=settings_read_failed source=%s reason=%s detail=%r",
            source,
            reason,
            failure.detail,
        )

    def _export(self) -> None:
        status = self.read_status()
        self._metrics.set_gauge("pollenfork_settings_revision", status.revision)
        if status.age_s is not None:
            self._metrics.set_gauge(
                "pollenfork_settings_age_seconds", status.age_s
            )


class _Actor(pykka.ThreadingActor):
    def __init__(self, keeper: ActionExecutor) -> None:
        super().__init__()
        self._keeper = keeper

    def on_receive(self, message: Any) -> None:
        try:
            self._keeper.handle(message)
        except Exception:
            # One bad message must not end the actor that all settings need.
            _LOG.exception("event=settings_message_failed")
