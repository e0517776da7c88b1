"""One entry instance: owns every part, starts and stops them in order."""

import enum
import logging
import random
import threading
import time
import uuid

import result

from pollenfork import clock
from pollenfork import config
from pollenfork import failures
from pollenfork import housekeeping
from pollenfork import ids
from pollenfork import metrics
from pollenfork import scheduler
from pollenfork import timers
from pollenfork.answers import session
from pollenfork.entry import front
from pollenfork.entry import server
from pollenfork.entry import work
from pollenfork.ledger import claiming
from pollenfork.ledger import ledger
from pollenfork.platform import client
from pollenfork.platform import policy
from pollenfork.settings import actor as settings_actor
from pollenfork.settings import messages as settings_messages

_LOG = logging.getLogger(__name__)

_STOP_POLL_S = 0.1
_HOUSEKEEPING_S = 5.0
_SWEPT_AT_ONCE = 50


class NoPeer(failures.Failure, frozen=True, kw_only=True):
    """The peer isn't known."""


class _UnknownOwners:
    """Knows of no owner's end: records close by their age."""

    def is_gone(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns False."""
        del instance, incarnation
        return False


class Application:
    """The life of one entry instance."""

    def __init__(self, settings: config.EntryConfig, now: clock.Clock) -> None:
        self._config = settings
        self._clock = now
        self._incarnation = ids.Incarnation(int(now.wall() * 1000))
        self._stopping = threading.Event()
        self._rng = random.Random()
        self._timers = timers.Timers(now)
        self.metrics = metrics.Metrics()
        self.platform = self._connect_platform()
        self._scheduler = scheduler.Scheduler(
            settings.instance, now, self._rng, self._timers, settings.waiting
        )
        self.settings = settings_actor.Settings(
            self.platform.table,
            now,
            self._rng,
            self._timers,
            self.metrics,
            self._fetch_settings,
        )
        self.settings.subscribe(self._apply_tree)
        self._in_force = threading.Event()
        self._relay = session.Relay(self._scheduler, now)
        self._ledger = self._open_ledger()
        worker = work.Worker(
            self._scheduler,
            self._relay,
            now,
            settings.body_limit,
            self._ledger,
        )
        self._front = front.Front(
            worker,
            self.metrics,
            self.settings.read_lookups,
            self.is_ready,
            None,
            now,
        )
        self._housekeeping = housekeeping.Housekeeper(
            self._timers, _HOUSEKEEPING_S, self._keep_ledger
        )
        self._server: server.Server | None = None
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Where callers connect, as `host:port`; known once started."""
        assert self._server is not None
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts every part; returns once callers can connect."""
        self._scheduler.start()
        self._relay.start()
        self.settings.start()
        self._housekeeping.start()
        self._timers.start()
        self._server = server.create_server(
            self._front, self._config, self._front.write_refusal, self._clock
        )
        self._thread = threading.Thread(
            target=self._server.run, name="server", daemon=True
        )
        self._thread.start()
        _LOG.info(
            "event=started instance=%s listen=%s",
            self._config.instance,
            self.address,
        )

    def drain(self, insisted: threading.Event | None = None) -> bool:
        """Takes no new work and waits until none is in progress.

        Args:
            insisted: Ends the wait early when set.

        Returns:
            Whether every request in progress has ended, its last byte with
            the caller's connection.
        """
        self._stopping.set()
        self._scheduler.drain()
        _LOG.info(
            "event=draining instance=%s in_progress=%d",
            self._config.instance,
            self._front.in_progress.count,
        )
        end = time.monotonic() + self._config.stop_limit_s
        while time.monotonic() < end:
            if insisted and insisted.is_set():
                return False
            idle = self._front.in_progress.wait_until_idle(_STOP_POLL_S)
            if idle and self._server and not self._server.count_unsent():
                return True
        return False

    def stop(self) -> None:
        """Stops every part, the newest first."""
        self._stopping.set()
        if self._server:
            self._server.stop()
        self._housekeeping.stop()
        self._relay.stop()
        self._scheduler.stop()
        self.settings.stop()
        self._timers.stop()
        _LOG.info("event=stopped instance=%s", self._config.instance)

    def is_ready(self) -> bool:
        """Returns whether new work may come."""
        in_force = self.settings.read_lookups() is not None
        return in_force and not self._stopping.is_set()

    def wait_until_ready(self, timeout_s: float) -> bool:
        """Returns True once settings are in force, False at the timeout."""
        return self._in_force.wait(timeout_s)

    def _apply_tree(self, message: settings_messages.TreeInForce) -> None:
        self._scheduler.report(message)
        self._in_force.set()

    def _fetch_settings(
        self, peer: ids.InstanceId
    ) -> result.Result[bytes, failures.Failure]:
        return result.Err(NoPeer(detail=f"no peer {peer}"))

    def _open_ledger(self) -> ledger.Ledger:
        return ledger.Ledger(
            ledger.Parts(
                owner=claiming.Owner(self._config.instance, self._incarnation),
                table=self.platform.table,
                objects=self.platform.objects,
                owners=_UnknownOwners(),
                now=self._clock,
                new_id=lambda: uuid.uuid4().hex,
                count=self._count_ledger,
            )
        )

    def _keep_ledger(self) -> None:
        self._ledger.settle_deferred()
        self._ledger.sweep(_SWEPT_AT_ONCE)

    def _count_ledger(self, event: enum.Enum) -> None:
        name = "pollenfork_ledger_total"
        self.metrics.count(name, event=str(event.value))

    def _connect_platform(self) -> policy.Platform:
        channel = client.Channel(self._config.platform)
        tools = policy.Tools(
            now=self._clock,
            rng=self._rng,
            wait=time.sleep,
            count=self._count_call,
        )
        return policy.Platform(
            table=client.HttpTable(channel),
            objects=client.HttpObjects(channel),
            instances=client.HttpInstances(channel),
            weights=client.HttpWeights(channel),
            tools=tools,
        )

    def _count_call(self, event: enum.Enum) -> None:
        name = "pollenfork_platform_calls_total"
        self.metrics.count(name, event=str(event.value))
