"""An entry instance: creates, starts and stops its components."""

from collections.abc import Callable
import enum
import logging
import random
import threading
import time
import uuid

import result

from pollenfork import clock
from pollenfork import config
from pollenfork import exposition
from pollenfork import housekeeping
from pollenfork import ids
from pollenfork import metrics
from pollenfork import peers
from pollenfork import scheduler
from pollenfork import timers
from pollenfork import views
from pollenfork.answers import session
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import actor as endpoints_actor
from pollenfork.endpoints import client as endpoints_client
from pollenfork.entry import front
from pollenfork.entry import request_handler
from pollenfork.entry import server
from pollenfork.ledger import claiming
from pollenfork.ledger import ledger
from pollenfork.ledger import sweeping
from pollenfork.membership import lifecycle
from pollenfork.operator import app as operator_app
from pollenfork.settings import actor as settings_actor
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import service as settings_service
from pollenfork.store import connection
from pollenfork.store import edges as platform_edges

_LOG = logging.getLogger(__name__)

_STOP_POLL_S = 0.1
_HOUSEKEEPING_S = 10.0


class Application:
    """Manages the lifecycle of one entry instance."""

    def __init__(self, settings: config.EntryConfig, now: clock.Clock) -> None:
        self._config = settings
        self._clock = now
        self._stopping = threading.Event()
        self._settings_in_force = threading.Event()
        self._rng = random.Random()
        self._listed_count: int | None = None
        self._timers = timers.Timers(now)
        self.metrics = metrics.Metrics()
        self.platform = connection.connect(
            settings.platform, now, self._rng, self._count_call
        )
        self._presence = peers.Presence(settings.instance, settings.data_centre)
        self._scheduler = scheduler.Scheduler(
            settings.instance, now, self._rng, self._timers, settings.waiting
        )
        self.settings = self._make_settings()
        self.endpoints = self._make_endpoints()
        self._endpoint_views = views.Endpoints(
            self.endpoints, self._scheduler.read_pressure, now
        )
        self.membership = self._make_membership()
        self._peer_settings = peers.PeerSettings(
            self._presence, self.membership
        )
        self._relay = session.Relay(self._scheduler, now)
        self._ledger = self._open_ledger()
        self._housekeeping = housekeeping.Housekeeper(
            self._timers, _HOUSEKEEPING_S, self._run_housekeeping
        )
        self._front = self._make_front()
        self._server: server.Server | None = None
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """The callers' address as `host:port`; available once started."""
        assert self._server is not None
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts all components; returns once callers can connect.

        Raises:
            OSError: An address is in use; no component is left running.
        """
        # Created first, so that peers don't learn of an instance that fails
        # to listen.
        self._server = server.create_server(
            self._front, self._config, self._front.record_refusal, self._clock
        )
        try:
            self._start_parts()
        except Exception:
            # Remaining threads would keep the process running, and peers
            # would still consider it live.
            self.stop()
            raise
        exposition.register_entry(
            self.metrics, self._front.in_progress, self._server.counters
        )
        self._thread = threading.Thread(
            target=self._server.run, name="server", daemon=True
        )
        self._thread.start()
        _LOG.info(
            "event=started instance=%s incarnation=%d listen=%s peers=%s",
            self._config.instance,
            self.membership.incarnation,
            self.address,
            self.membership.address,
        )

    def _start_parts(self) -> None:
        self._scheduler.start()
        self._relay.start()
        self.endpoints.start(self._timers)
        self.settings.start()
        self.membership.start()
        self._housekeeping.start()
        self._timers.start()

    def drain(self, force: threading.Event | None = None) -> bool:
        """Refuses new requests and waits for those in progress to end.

        Args:
            force: Ends the wait early once set.

        Returns:
            Whether all requests in progress have ended and their last bytes
            have been written to the callers' connections.
        """
        self._stopping.set()
        self._scheduler.drain()
        _LOG.info(
            "event=draining instance=%s in_progress=%d",
            self._config.instance,
            self._front.in_progress.count,
        )
        deadline = time.monotonic() + self._config.stop_limit_s
        while time.monotonic() < deadline:
            if force and force.is_set():
                return False
            idle = self._front.in_progress.wait_until_idle(_STOP_POLL_S)
            if idle and self._server and not self._server.count_unsent():
                return True
        return False

    def stop(self) -> None:
        """Leaves the membership, then stops all components.

        They stop roughly in reverse order of their start.
        """
        self._stopping.set()
        stop_calls: tuple[Callable[[], None], ...] = (
            self.membership.leave,
            self._stop_server,
            self._housekeeping.stop,
            self._timers.stop,
            self.membership.stop,
            self.endpoints.stop,
            self._relay.stop,
            self._scheduler.stop,
            self.settings.stop,
        )
        for stop_call in stop_calls:
            try:
                stop_call()
            except Exception:
                # Stop the other components too, or the process won't exit.
                _LOG.exception(
                    "event=stop_failed part=%s", stop_call.__qualname__
                )
        _LOG.info("event=stopped instance=%s", self._config.instance)

    def _stop_server(self) -> None:
        if self._server:
            self._server.stop()

    def is_ready(self) -> bool:
        """Returns whether the instance accepts new requests."""
        return self._settings_in_force.is_set() and not self._stopping.is_set()

    def wait_until_ready(self, timeout_s: float) -> bool:
        """Waits for settings to be in force; returns False on timeout."""
        return self._settings_in_force.wait(timeout_s)

    def _apply_tree(self, message: settings_messages.TreeInForce) -> None:
        self._scheduler.report(message)
        self.endpoints.apply(message)
        self._settings_in_force.set()

    def _run_housekeeping(self) -> None:
        now = self._clock.monotonic()
        self.platform.budget.set_instances(self._count_instances(), now)
        self._ledger.retry_deferred()
        writes_per_s = self.platform.budget.keyed.share.writes
        self._ledger.sweep(
            sweeping.compute_removals(writes_per_s, _HOUSEKEEPING_S)
        )

    def _count_instances(self) -> int:
        """Returns how many entry instances share the platform's rate limits.

        The platform's list also includes instances that a partition hides
        from membership. Until it has been read, the number is unknown and 0
        is returned.
        """
        listed = self.platform.instances.fetch()
        if isinstance(listed, result.Ok):
            entry = platform_edges.InstanceRole.ENTRY
            self._listed_count = sum(i.role is entry for i in listed.ok_value)
        if self._listed_count is None:
            return 0
        return max(self._listed_count, self._presence.count())

    def _on_endpoint_event(
        self,
        event: dispatch_messages.EndpointReport
        | dispatch_messages.EndpointNotice,
    ) -> None:
        self._scheduler.report(event)
        self._endpoint_views.record(event)

    def _read_pressure(self) -> dispatch_messages.Pressure:
        pressure = self._scheduler.read_pressure()
        return peers.add_leaving(pressure, self.endpoints.list_leaving())

    # Creation of the components.

    def _make_settings(self) -> settings_actor.Settings:
        settings = settings_actor.Settings(
            self.platform.polled_table,
            self._clock,
            self._rng,
            self._timers,
            self.metrics,
            lambda peer: self._peer_settings.fetch(peer),
        )
        settings.subscribe(self._apply_tree)
        return settings

    def _make_endpoints(self) -> endpoints_actor.Endpoints:
        pool = endpoints_client.make_pool()
        return endpoints_actor.Endpoints(
            self._config,
            self._clock,
            self.platform.table,
            self.platform.instances,
            self.platform.weights,
            lambda endpoint: endpoints_client.HttpEndpoint(
                endpoint.address, pool
            ),
            self._on_endpoint_event,
            self._presence.list_local,
        )

    def _make_membership(self) -> lifecycle.Membership:
        router = peers.Router(
            self._presence, self._scheduler, self.settings, self.endpoints
        )
        return lifecycle.Membership(
            self._config,
            self._clock,
            self.platform.instances,
            self._read_pressure,
            lambda: self.settings.revision,
            lambda revision: self.settings.encode_copy(),
            router.publish,
            self._config.peers,
        )

    def _open_ledger(self) -> ledger.Ledger:
        return ledger.Ledger(
            ledger.Dependencies(
                get_owner=self._get_owner,
                table=self.platform.keyed_table,
                objects=self.platform.keyed_objects,
                owners=self._presence,
                now=self._clock,
                new_id=lambda: uuid.uuid4().hex,
                count=self._count_ledger,
            )
        )

    def _get_owner(self) -> claiming.Owner:
        # Peers use the incarnation from membership to tell whether the owner
        # is still running.
        return claiming.Owner(
            self._config.instance, self.membership.incarnation
        )

    def _make_front(self) -> front.Front:
        exposition.register_relay(self.metrics, self._relay.counters)
        exposition.register_scheduler(self.metrics, self._scheduler)
        exposition.register_peers(self.metrics, self.membership.count_failures)
        worker = request_handler.RequestHandler(
            self._scheduler,
            self._relay,
            self._clock,
            self._config.body_limit,
            self._ledger,
        )
        return front.Front(
            worker,
            self.metrics,
            self.settings.get_lookups,
            self.is_ready,
            self._make_operator_app(),
            self._clock,
        )

    def _make_operator_app(self) -> operator_app.Operator:
        tree = settings_service.Service(
            self.platform.table,
            self._clock,
            self._rng,
            time.sleep,
            lambda: self.settings.in_force,
            self.settings.report,
            self._config.operator_sha256,
        )
        return operator_app.Operator(
            self._config.instance,
            tree,
            views.Instances(
                self._config.instance, self.membership, self.settings
            ),
            self._endpoint_views,
            self.metrics,
            lambda: ids.WriteId(uuid.uuid4().hex),
        )

    def _count_call(self, event: enum.Enum) -> None:
        name = "pollenfork_platform_calls_total"
        self.metrics.count(name, event=str(event.value))

    def _count_ledger(self, event: enum.Enum) -> None:
        name = "pollenfork_ledger_total"
        self.metrics.count(name, event=str(event.value))
