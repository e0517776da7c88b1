"""The actor that owns the core, and the threads that make its calls."""

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
from pollenfork.endpoints import caller
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
    """Owns the core; never waits for a call."""

    use_daemon_thread = True

    def __init__(
        self,
        owned: core.Core,
        clock: clocks.Clock,
        made_by: caller.Caller,
        connect: Connect,
        publish: Callable[[core.News], None],
        live_peers: Callable[[], tuple[ids.InstanceId, ...]],
        keep_leaving: Callable[[tuple[ids.EndpointId, ...]], None],
        submit: Callable[[calls.Call, Callable[[], None]], None],
    ) -> None:
        super().__init__()
        self._core = owned
        self._clock = clock
        self._caller = made_by
        self._connect = connect
        self._publish = publish
        self._live_peers = live_peers
        self._keep_leaving = keep_leaving
        self._submit = submit
        self._clients: dict[
            ids.EndpointId, tuple[model.EndpointSettings, edges.Endpoint]
        ] = {}

    def on_receive(self, message: Any) -> Any:
        """Takes one message; asks are answered by what they return.

        An actor ends with its first exception; this one must not, or nobody
        would see the endpoints any more.
        """
        try:
            return self._receive(message)
        except Exception:
            if isinstance(message, messages.MakeDrain | messages.ListEndpoints):
                raise  # The asker gets it, and the actor goes on.
            _LOG.exception("event=message_failed slice=endpoints")
            return None

    def _receive(self, message: Any) -> Any:
        answer = self._handle(message)
        now = self._clock.monotonic()
        for news in self._core.take_news(now):
            self._publish(news)
        self._keep_leaving(self._core.list_leaving(now))
        return answer

    def _handle(self, message: Any) -> Any:
        now = self._clock.monotonic()
        match message:
            case messages.Tick():
                self._core.hear_live(self._live_peers())
                self._start(self._core.tick(now))
            case calls.Done():
                self._core.take(message, now)
                self._start(self._core.list_steps(now))
            case settings_messages.TreeInForce(tree):
                self._core.apply_tree(tree)
                self._connect_all(tree)
            case messages.PeerLeaving(endpoints, peer):
                # One that is gone takes nothing back by its silence.
                known = peer if peer in self._live_peers() else None
                self._core.receive_peer_leaving(endpoints, known, now)
            case messages.MakeDrain(endpoint, wished):
                return self._make_drain(endpoint, wished)
            case messages.ListEndpoints():
                return self._core.list_endpoints(now)
            case messages.Stop():
                self._core.stop_orders()
                self._start(self._core.list_steps(now))
        return None

    def _start(self, due: list[calls.Call]) -> None:
        for call in due:
            endpoint = None
            if not isinstance(call, calls.ToPlatform):
                endpoint = self._clients[call.endpoint][1]
            self._submit(call, self._bind(call, endpoint))

    def _bind(
        self, call: calls.Call, endpoint: edges.Endpoint | None
    ) -> Callable[[], None]:
        def run() -> None:
            sent_at = self._clock.monotonic()
            answer = self._caller.make(call, endpoint)
            self.actor_ref.tell(calls.Done(call, sent_at, answer))

        return run

    def _connect_all(self, tree: model.Tree) -> None:
        clients = {}
        for name, settings in tree.root.endpoints.items():
            if not self._core.has(name):
                continue
            kept = self._clients.get(name)
            if kept is None or kept[0] != settings:
                kept = (settings, self._connect(settings))
            clients[name] = kept
        self._clients = clients

    def _make_drain(
        self, endpoint: ids.EndpointId, wished: bool
    ) -> result.Result[calls.StoreDrain | None, errors.UnknownEndpoint]:
        if not self._core.has(endpoint):
            detail = f"no endpoint {endpoint} in this data centre"
            return result.Err(errors.UnknownEndpoint(detail=detail))
        return result.Ok(self._core.make_drain(endpoint, wished))


class Endpoints:
    """The slice as the application wires it.

    Args:
        config: Who this instance is.
        clock: Also times the leases.
        table: For leases, orders and wishes to drain.
        instance_list: The platform's list.
        weight_store: Permits for loads.
        connect: Returns the client of one endpoint.
        publish: Called by the actor with each report and notice.
        live_peers: The live entry instances of this data centre.
        publish_hint: Called with cache hints; None fetches no cache events.
        rates: How often to ask whom.
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
        rates: schedule.Rates | None = None,
    ) -> None:
        self._clock = clock
        self._table = table
        self._publish_news = publish
        self._publish_hint = publish_hint
        self._leaving: tuple[ids.EndpointId, ...] = ()
        self._core = core.Core(
            config.instance,
            config.data_centre,
            lambda: ids.WriteId(uuid.uuid4().hex),
            rates,
            wants_hints=publish_hint is not None,
        )
        self._caller = caller.Caller(clock, table, instance_list, weight_store)
        self._connect = connect
        self._live_peers = live_peers
        self._pools = _make_pools()
        self._actor: pykka.ActorRef[EndpointsActor] | None = None

    def start(self, timers: timing.Timers) -> None:
        """Starts the actor; `timers` drives it."""
        self._actor = EndpointsActor.start(
            self._core,
            self._clock,
            self._caller,
            self._connect,
            self._publish,
            self._live_peers,
            self._keep_leaving,
            self._submit,
        )
        timers.every(_TICK_S, lambda: self._tell(messages.Tick()))

    def stop(self) -> None:
        """Gives idle leases back, then ends the threads."""
        if self._actor is None:
            return
        self._actor.ask(messages.Stop(), timeout=_ASK_TIMEOUT_S)
        for pool in self._pools.values():
            pool.shutdown(wait=True, cancel_futures=False)
        self._actor.stop(timeout=_ASK_TIMEOUT_S)
        self._actor = None

    def apply(self, tree: settings_messages.TreeInForce) -> None:
        """Takes a tree that has come into force."""
        self._tell(tree)

    def receive_peer_leaving(
        self,
        endpoints: tuple[ids.EndpointId, ...],
        peer: ids.InstanceId | None = None,
    ) -> None:
        """Takes endpoints that a peer says are leaving.

        With `peer`, they are all that it says now, and what it said earlier
        is taken back; without, they are further news.
        """
        self._tell(messages.PeerLeaving(endpoints, peer))

    def drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, errors.UnknownEndpoint | errors.DrainNotStored]:
        """Stores the wish that the endpoint take no new work.

        It is durable when this returns; every instance learns it within
        seconds, and the lease's holder orders the endpoint to drain.
        """
        return self._store_drain(endpoint, wished=True)

    def withdraw_drain(
        self, endpoint: ids.EndpointId
    ) -> result.Result[None, errors.UnknownEndpoint | errors.DrainNotStored]:
        """Withdraws the wish; an endpoint that obeyed has to start anew."""
        return self._store_drain(endpoint, wished=False)

    def list_leaving(self) -> tuple[ids.EndpointId, ...]:
        """Returns what this instance itself knows to be leaving.

        For `Pressure.leaving`; what only peers said is left out.
        """
        return self._leaving

    def list_endpoints(self) -> tuple[messages.EndpointView, ...]:
        """Returns every endpoint of the data centre for operators."""
        if self._actor is None:
            return ()
        found: Any = self._actor.ask(
            messages.ListEndpoints(), timeout=_ASK_TIMEOUT_S
        )
        return found

    def _store_drain(
        self, endpoint: ids.EndpointId, wished: bool
    ) -> result.Result[None, errors.UnknownEndpoint | errors.DrainNotStored]:
        assert self._actor is not None
        message = messages.MakeDrain(endpoint, wished)
        made: Any = self._actor.ask(message, timeout=_ASK_TIMEOUT_S)
        if isinstance(made, result.Err):
            return made
        call = made.ok_value
        if call is None:
            return result.Ok(None)
        sent_at = self._clock.monotonic()
        answer = self._table.commit(call.transaction)
        # The wish is in force here when the operator is told so.
        done = calls.Done(call, sent_at, answer)
        self._actor.ask(done, timeout=_ASK_TIMEOUT_S)
        if isinstance(answer, result.Ok):
            return result.Ok(None)
        failure = answer.err_value
        if isinstance(failure, platform_errors.Conflicted):
            return result.Ok(None)  # Another instance stored it first.
        return result.Err(errors.DrainNotStored(detail=failure.detail))

    def _publish(self, news: core.News) -> None:
        if not isinstance(news, messages.CacheHint):
            self._publish_news(news)
        elif self._publish_hint:
            self._publish_hint(news)

    def _keep_leaving(self, leaving: tuple[ids.EndpointId, ...]) -> None:
        self._leaving = leaving

    def _submit(self, call: calls.Call, run: Callable[[], None]) -> None:
        try:
            self._pools[_find_pool(call)].submit(run)
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


def _find_pool(call: calls.Call) -> str:
    """Returns whose threads make the call; a slow kind holds up no other."""
    if isinstance(call, calls.TakeStep) and isinstance(call.step, steps.Send):
        return "orders"
    if isinstance(call, calls.ToEndpoint):
        return "endpoints"
    return "platform"
