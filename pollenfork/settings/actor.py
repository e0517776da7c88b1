"""Runs the actor that keeps this instance's settings up to date."""

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
"""Fetches a peer's tree, in the encoding of `Settings.encode_copy`."""
Subscriber = Callable[[messages.TreeInForce], None]


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The settings in force at this instance.

    Attributes:
        revision: 0 if none is in force.
        age_s: Seconds since the tree was last confirmed to be the newest; None
            if none is in force.
        in_force_s: Seconds since the tree came into force.
        platform_answers: Whether the last read of the table succeeded.
    """

    revision: ids.Revision
    age_s: float | None
    in_force_s: float
    platform_answers: bool


class Settings:
    """Thread-safe access to the settings in force."""

    def __init__(
        self,
        table: edges.TableService,
        now: clock.Clock,
        rng: random.Random,
        timer: timers.Timers,
        counters: metrics.Metrics,
        fetch_copy: FetchCopy,
    ) -> None:
        """Creates the settings of one instance; `start` starts the actor.

        Args:
            table: The platform's table.
            now: The clock.
            rng: Jitters polling, so that instances do not read in step.
            timer: Schedules the ticks.
            counters: Metrics for revision, age and failures.
            fetch_copy: Fetches a peer's tree.
        """
        self._clock = now
        self._timers = timer
        self._core = core.Core(rng, now.monotonic())
        self._executor = ActionExecutor(
            self._core, table, now, counters, fetch_copy
        )
        self._actor: pykka.ActorRef | None = None

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a callback for every tree that comes into force.

        The callback runs on the actor's thread and must not block. Call this
        before `start`.
        """
        self._executor.subscribers.append(subscriber)

    def start(self) -> None:
        """Starts the actor; the first tick reads the table."""
        self._actor = _Actor.start(self._executor)
        self._timers.every(TICK_S, lambda: self.report(messages.Tick()))

    def stop(self) -> None:
        """Stops the actor; the tree in force stays readable."""
        if self._actor:
            self._actor.stop()

    def report(self, message: messages.Message) -> None:
        """Sends a message to the actor without waiting for it.

        Messages are ignored after `stop`.
        """
        if self._actor:
            with contextlib.suppress(pykka.ActorDeadError):
                self._actor.tell(message)

    @property
    def in_force(self) -> state.InForce | None:
        """The tree in force, or None if there is none yet."""
        return self._core.in_force

    @property
    def revision(self) -> ids.Revision:
        """The revision in force; 0 if there is none yet."""
        return self._core.revision

    def get_lookups(self) -> snapshot.Snapshot | None:
        """Returns the compiled tree in force, or None if there is none."""
        in_force = self._core.in_force
        return in_force.lookups if in_force else None

    def read_status(self) -> Status:
        """Returns revision and age of the settings in force."""
        return self._executor.read_status()

    def encode_copy(self) -> bytes | None:
        """Encodes the tree in force for a peer; None if there is none."""
        in_force = self._core.in_force
        return copies.encode(in_force) if in_force else None


class ActionExecutor:
    """Runs the actions that the core returns; not thread-safe."""

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
        """Passes one message to the core and runs the resulting actions."""
        now = self._clock.monotonic()
        match message:
            case messages.Tick():
                self._run_actions(self._core.tick(now))
                self._export()
            case messages.PeerRevision():
                self._core.record_peer_revision(
                    message.instance, message.revision, now
                )
            case messages.PeerGone():
                self._core.remove_peer(message.instance)
            case messages.TreeWritten():
                self._run_actions(self._core.handle_write(message.tree, now))

    def read_status(self) -> Status:
        """Returns revision and age."""
        now = self._clock.monotonic()
        return Status(
            revision=self._core.revision,
            age_s=self._core.age_s(now),
            in_force_s=now - self._core.in_force_since,
            platform_answers=self._core.platform_answers,
        )

    def _run_actions(self, actions: list[core.Action]) -> None:
        for action in actions:
            match action:
                case core.ReadTable():
                    self._run_actions(self._read_table())
                case core.FetchCopy():
                    self._run_actions(self._fetch(action.peer))
                case core.Publish():
                    self._publish(action)

    def _read_table(self) -> list[core.Action]:
        sent_at = self._clock.monotonic()
        previous = self._core.in_force or state.EMPTY
        read = store.read_tree(self._table, previous)
        if isinstance(read, result.Ok):
            return self._core.handle_read(read.ok_value, sent_at)
        failure = read.err_value
        self._record_failure("table", failure)
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
            self._record_failure(f"peer {peer}", decoded.err_value)
        now = self._clock.monotonic()
        return self._core.handle_copy(peer, decoded.ok(), now)

    def _publish(self, action: core.Publish) -> None:
        tree = action.in_force
        message = messages.TreeInForce(tree.tree, tree.lookups)
        for subscriber in self.subscribers:
            try:
                subscriber(message)
            except Exception:
                # One failing subscriber must not keep the tree from the rest.
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

    def _record_failure(self, source: str, failure: failures.Failure) -> None:
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
    def __init__(self, executor: ActionExecutor) -> None:
        super().__init__()
        self._executor = executor

    def on_receive(self, message: Any) -> None:
        try:
            self._executor.handle(message)
        except Exception:
            # An exception here would stop the actor and freeze the settings.
            _LOG.exception("event=settings_message_failed")
