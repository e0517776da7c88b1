"""The actor that owns the core, and the thread pools that make its calls."""

from collections.abc import Callable
from concurrent import futures
import logging
from typing import Any
import uuid

import pykka
import result

from pollenfork import clock as clocks
from pollenfork import config as configs
from pollenfork import ids
from pollenfork import timers as timing
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import call_executor
from pollenfork.endpoints import calls
from pollenfork.endpoints import core
from pollenfork.endpoints import edges
from pollenfork.endpoints import errors
from pollenfork.endpoints import messages
from pollenfork.endpoints import schedule
from pollenfork.endpoints import steps
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.store import edges as platform_edges
from pollenfork.store import errors as platform_errors

_LOG = logging.getLogger(__name__)
_TICK_S = 0.25
_ENDPOINT_THREADS = 8
_PLATFORM_THREADS = 2
_ORDER_THREADS = 4
_ASK_TIMEOUT_S = 5.0

Connect = Callable[[model.EndpointSettings], edges.Endpoint]
Publish = Callable[
    [dispatch_messages.EndpointReport | dispatch_messages.EndpointNotice], None
]


class EndpointsActor(pykka.ThreadingActor):
    """Owns the core; its calls run in other threads."""

    use_daemon_thread = True

    def __init__(
        self,
        endpoints_core: core.Core,
        clock: clocks.Clock,
        executor: call_executor.CallExecutor,
        connect: Connect,
        publish: Callable[[core.Update], None],
        live_peers: Callable[[], tuple[ids.InstanceId, ...]],
        set_leaving: Callable[[tuple[ids.EndpointId, ...]], None],
        submit: Callable[[calls.Call, Callable[[], None]], None],
    ) -> None:
        super().__init__()
        self._core = endpoints_core
        self._clock = clock
        self._executor = executor
        self._connect = connect
        self._publish = publish
        self._live_peers = live_peers
        self._set_leaving = set_leaving
        self._submit = submit
        self._clients: dict[
            ids.EndpointId, tuple[model.EndpointSettings, edges.Endpoint]
        ] = {}

    def on_receive(self, message: Any) -> Any:
        """Handles one message, and returns the answer to a request.

        An exception would stop the actor, and with it all tracking of the
        endpoints, so exceptions are logged.
        """
        try:
            return self._receive(message)
        except Exception:
            if isinstance(message, messages.MakeDrain | messages.ListEndpoints):
                raise  # The exception is passed to the sender of the request.
            _LOG.exception("event=message_failed slice=endpoints")
            return None

    def _receive(self, message: Any) -> Any:
        answer = self._handle(message)
        now = self._clock.monotonic()
        for update in self._core.take_updates(now):
            self._publish(update)
        self._set_leaving(self._core.list_leaving(now))
        return answer

    def _handle(self, message: Any) -> Any:
        now = self._clock.monotonic()
        match message:
            case messages.Tick():
                self._core.set_live_instances(self._live_peers())
                self._submit_calls(self._core.tick(now))
            case calls.Done():
                self._core.handle_done(message, now)
                self._submit_calls(self._core.list_steps(now))
            case settings_messages.TreeInForce(tree):
                self._core.apply_tree(tree)
                self._update_clients(tree)
            case messages.PeerLeaving(endpoints, peer):
                # A peer that is gone must not withdraw its earlier reports.
                live_peer = peer if peer in self._live_peers() else None
                self._core.receive_peer_leaving(endpoints, live_peer, now)
            case messages.MakeDrain(endpoint, draining):
                return self._make_drain(endpoint, draining)
            case messages.ListEndpoints():
                return self._core.list_endpoints(now)
            case messages.Stop():
                self._core.stop_orders()
                self._submit_calls(self._core.list_steps(now))
        return None

    def _submit_calls(self, due: list[calls.Call]) -> None:
        for call in due:
            endpoint = None
            if not isinstance(call, calls.ToPlatform):
                endpoint = self._clients[call.endpoint][1]
            self._submit(call, self._make_job(call, endpoint))

    def _make_job(
        self, call: calls.Call, endpoint: edges.Endpoint | None
    ) -> Callable[[], None]:
        def run() -> None:
            sent_at = self._clock.monotonic()
            answer = self._executor.execute(call, endpoint)
            self.actor_ref.tell(calls.Done(call, sent_at, answer))

        return run

    def _update_clients(self, tree: model.Tree) -> None:
        clients = {}
        for name, settings in tree.root.endpoints.items():
            if not self._core.has(name):
                continue
            client = self._clients.get(name)
            if client is None or client[0] != settings:
                client = (settings, self._connect(settings))
            clients[name] = client
        self._clients = clients

    def _make_drain(
        self, endpoint: ids.EndpointId, draining: bool
    ) -> result.Result[calls.StoreDrain | None, errors.UnknownEndpoint]:
        if not self._core.has(endpoint):
            detail = f"no endpoint {endpoint} in this data centre"
            return result.Err(errors.UnknownEndpoint(detail=detail))
        return result.Ok(self._core.make_drain(endpoint, draining))


class Endpoints:
    """The interface of this package for the application.

    Args:
        config: The configuration of this instance.
        clock: The clock for schedules and leases.
        table: Stores leases, orders and drain requests.
        instance_list: The platform's list of instances.
        weight_store: Issues permits to load models.
        connect: Returns a client of one endpoint.
        publish: Called by the actor with each report and notice.
        live_peers: Returns the live entry instances of this data centre.
        publish_hint: Called with cache hints; if None, no cache events are
            fetched.
        rates: The rates and intervals of probes and reads.
    """

    def __init__(
        self,
        config: configs.EntryConfig,
        clock: clocks.Clock,
        table: platform_edges.TableService,
        instance_list: platform_edges.InstanceList,
        weight_store: platform_edges.WeightStore,
        connect: Connect,
        publish: Publish,
        live_peers: Callable[[], tuple[ids.InstanceId, ...]],
        publish_hint: Callable[[messages.CacheHint], None] | None = None,
        rates: schedule.PollingRates | None = None,
    ) -> None:
        self._clock = clock
        self._table = table
        self._publish_update = publish
        self._publish_hint = publish_hint
        self._leaving: tuple[ids.EndpointId, ...] = ()
        self._core = core.Core(
            config.instance,
            config.data_centre,
            lambda: ids.WriteId(uuid.uuid4().hex),
            rates,
            wants_hints=publish_hint is not None,
        )
        self._executor = call_executor.CallExecutor(
            clock, table, instance_list, weight_store
        )
        self._connect = connect
        self._live_peers = live_peers
        self._pools = _make_pools()
        self._actor: pykka.ActorRef[EndpointsActor] | None = None

    def start(self, timers: timing.Timers) -> None:
        """Starts the actor, which `timers` calls periodically."""
        self._actor = EndpointsActor.start(
            self._core,
            self._clock,
            self._executor,
            self._connect,
            self._publish,
            self._live_peers,
            self._set_leaving,
            self._submit,
        )
        timers.every(_TICK_S, lambda: self._tell(messages.Tick()))

    def stop(self) -> None:
        """Releases idle leases, then stops all threads."""
        if self._actor is None:
            return
        self._actor.ask(messages.Stop(), timeout=_ASK_TIMEOUT_S)
        for pool in self._pools.values():
            pool.shutdown(wait=True, cancel_futures=False)
        self._actor.stop(timeout=_ASK_TIMEOUT_S)
        self._actor = None

    def apply(self, tree: settings_messages.TreeInForce) -> None:
        """Applies a new version of the settings."""
        self._tell(tree)

    def receive_peer_leaving(
        self,
        endpoints: tuple[ids.EndpointId, ...],
        peer: ids.InstanceId | None = None,
    ) -> None:
        """Handles a peer's report of leaving endpoints.

        With `peer`, the list replaces the earlier one of that peer; without,
        it is added to what was reported before.
        """
        self._tell(messages.PeerLeaving(endpoints, peer))

    def drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, errors.UnknownEndpoint | errors.DrainNotStored]:
        """Stores a request that the endpoint take no new work.

        It is durable when this returns. Every instance reads it within seconds,
        and the lease holder orders the endpoint to drain.
        """
        return self._store_drain(endpoint, draining=True)

    def withdraw_drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, errors.UnknownEndpoint | errors.DrainNotStored]:
        """Withdraws the request; a drained endpoint must be restarted."""
        return self._store_drain(endpoint, draining=False)

    def list_leaving(self) -> tuple[ids.EndpointId, ...]:
        """Returns the leaving endpoints for `Pressure.leaving`.

        Endpoints that only peers report as leaving are left out.
        """
        return self._leaving

    def list_endpoints(self) -> tuple[messages.EndpointView, ...]:
        """Returns the status of all endpoints of the data centre."""
        if self._actor is None:
            return ()
        views: Any = self._actor.ask(
            messages.ListEndpoints(), timeout=_ASK_TIMEOUT_S
        )
        return views

    def _store_drain(
        self, endpoint: ids.EndpointId, draining: bool
    ) -> result.Result[None, errors.UnknownEndpoint | errors.DrainNotStored]:
        assert self._actor is not None
        message = messages.MakeDrain(endpoint, draining)
        made: Any = self._actor.ask(message, timeout=_ASK_TIMEOUT_S)
        if isinstance(made, result.Err):
            return made
        call = made.ok_value
        if call is None:
            return result.Ok(None)
        sent_at = self._clock.monotonic()
        answer = self._table.commit(call.transaction)
        # This instance applies the request before the operator is answered.
        done = calls.Done(call, sent_at, answer)
        self._actor.ask(done, timeout=_ASK_TIMEOUT_S)
        if isinstance(answer, result.Ok):
            return result.Ok(None)
        failure = answer.err_value
        if isinstance(failure, platform_errors.Conflicted):
            return result.Ok(None)  # Another instance stored it first.
        return result.Err(errors.DrainNotStored(detail=failure.detail))

    def _publish(self, update: core.Update) -> None:
        if not isinstance(update, messages.CacheHint):
            self._publish_update(update)
        elif self._publish_hint:
            self._publish_hint(update)

    def _set_leaving(self, leaving: tuple[ids.EndpointId, ...]) -> None:
        self._leaving = leaving

    def _submit(self, call: calls.Call, run: Callable[[], None]) -> None:
        try:
            self._pools[_select_pool(call)].submit(run)
        except RuntimeError:
            _LOG.info("event=call_dropped reason=stopping")

    def _tell(self, message: Any) -> None:
        if self._actor is not None and self._actor.is_alive():
            self._actor.tell(message)


def _make_pools() -> dict[str, futures.ThreadPoolExecutor]:
    sizes = {
        "endpoints": _ENDPOINT_THREADS,
        "platform": _PLATFORM_THREADS,
        "orders": _ORDER_THREADS,
    }
    return {
        name: futures.ThreadPoolExecutor(size, thread_name_prefix=name)
        for name, size in sizes.items()
    }


def _select_pool(call: calls.Call) -> str:
    """Returns the pool for a call, so that slow calls delay no other kind."""
    if isinstance(call, calls.RunStep) and isinstance(
        call.step, steps.SendOrder
    ):
        return "orders"
    if isinstance(call, calls.ToEndpoint):
        return "endpoints"
    return "platform"
