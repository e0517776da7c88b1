"""The state of the endpoints of this instance's data centre.

The core combines health, load reports, cache hints and orders. It plans calls
and handles their results, but makes no calls itself.
"""

from collections.abc import Callable, Collection
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import cache_hints
from pollenfork.endpoints import calls
from pollenfork.endpoints import drains
from pollenfork.endpoints import edges
from pollenfork.endpoints import health
from pollenfork.endpoints import messages
from pollenfork.endpoints import order_sender
from pollenfork.endpoints import orders
from pollenfork.endpoints import schedule
from pollenfork.endpoints import steps
from pollenfork.settings import model
from pollenfork.store import errors

_LOG = logging.getLogger(__name__)
_ORDERS_INTERVAL_S = 1.0  # Between two checks of the orders that are needed.

Update = (
    dispatch_messages.EndpointReport
    | dispatch_messages.EndpointNotice
    | messages.CacheHint
)


class TrackedEndpoint(msgspec.Struct):
    """The settings of one endpoint, and the state kept for it."""

    settings: model.EndpointSettings
    sender: order_sender.OrderSender
    hints: cache_hints.CacheHints


class Core:
    """Tracks the endpoints of one data centre."""

    def __init__(
        self,
        instance: ids.InstanceId,
        data_centre: ids.DataCentre,
        new_id: Callable[[], ids.WriteId],
        rates: schedule.PollingRates | None = None,
        wants_hints: bool = False,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._new_id = new_id
        self._schedule = schedule.Schedule(
            instance, rates or schedule.PollingRates()
        )
        self._wants_hints = wants_hints
        self._health = health.Health()
        self._tracked: dict[ids.EndpointId, TrackedEndpoint] = {}
        self._drains = drains.DrainRequests(instance, data_centre, new_id)
        self._updates: list[Update] = []
        self._orders_due_at = float("-inf")
        # Endpoints whose orders may have a next step.
        self._step_candidates: set[ids.EndpointId] = set()

    def apply_tree(self, tree: model.Tree) -> None:
        """Applies the endpoints of the current settings."""
        local = {
            name: settings
            for name, settings in tree.root.endpoints.items()
            if settings.data_centre == self._data_centre
        }
        self._tracked = {
            name: self._make_tracked(name, settings)
            for name, settings in local.items()
        }
        self._health.set_endpoints({n: s.address for n, s in local.items()})
        runner = model.EndpointKind.RUNNER
        engines = [n for n, s in local.items() if s.kind is runner]
        self._schedule.set_endpoints(local, engines)
        self._update_desired()

    def set_live_instances(self, instances: Collection[ids.InstanceId]) -> None:
        """Sets the live entry instances of the data centre."""
        self._schedule.set_live_instances(instances)
        self._health.drop_lost_peers(instances)

    def receive_peer_leaving(
        self,
        leaving: Collection[ids.EndpointId],
        peer: ids.InstanceId | None,
        now: float,
    ) -> None:
        """Handles a peer's list of leaving endpoints."""
        self._health.record_peer(leaving, peer, now)

    def tick(self, now: float) -> list[calls.Call]:
        """Returns the calls that are due; to be called every 250 ms."""
        self._health.mark_all_changed()
        suspects = [
            name
            for name in self._tracked
            if self._get_health(name).is_suspect()
        ]
        due = self._schedule.list_due(now, suspects)
        due += self._schedule.list_due_platform(now, self._drains.prefix)
        if self._wants_hints:
            after = {
                name: tracked.hints.fetch_after()
                for name, tracked in self._tracked.items()
            }
            due += self._schedule.list_due_events(now, after)
        if now >= self._orders_due_at:
            self._orders_due_at = now + _ORDERS_INTERVAL_S
            self._step_candidates.update(self._tracked)
        return due + self.list_steps(now)

    def list_steps(self, now: float) -> list[calls.Call]:
        """Returns the next step of each endpoint that may have one."""
        due: list[calls.Call] = []
        candidates, self._step_candidates = self._step_candidates, set()
        for name in candidates & self._tracked.keys():
            rank = self._schedule.get_rank(name)
            step = self._tracked[name].sender.next_step(now, rank)
            if step:
                due.append(calls.RunStep(name, step))
        return due

    def handle_done(self, done: calls.Done, now: float) -> None:
        """Handles the result of a call."""
        self._schedule.finish(done.call)
        if isinstance(done.call, calls.ToPlatform):
            self._handle_platform(done, now)
        elif done.call.endpoint in self._tracked:
            self._handle_endpoint(done, now)

    def take_updates(self, now: float) -> list[Update]:
        """Returns and clears the updates since the last call."""
        updates, self._updates = self._updates, []
        for notice in self._health.evaluate(now):
            _LOG.info(
                "event=endpoint_state endpoint=%s state=%s signs=%s",
                notice.endpoint,
                notice.state.value,
                ",".join(
                    s.value
                    for s in self._get_health(notice.endpoint).leaving_sources
                ),
            )
            updates.append(notice)
        return updates

    def make_drain(
        self, endpoint: ids.EndpointId, draining: bool
    ) -> calls.StoreDrain | None:
        """Returns the write that stores or withdraws a drain request.

        Returns None if there is nothing to change.
        """
        return self._drains.make_write(endpoint, draining)

    def has(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether the endpoint is configured in this data centre."""
        return endpoint in self._tracked

    def list_leaving(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns the leaving endpoints to announce to peers."""
        return self._health.list_leaving(now)

    def list_endpoints(self, now: float) -> tuple[messages.EndpointView, ...]:
        """Returns the status of all endpoints for the operators' page."""
        return tuple(
            self._make_view(name, tracked, now)
            for name, tracked in sorted(self._tracked.items())
        )

    def stop_orders(self) -> None:
        """Stops the start of further orders and releases idle leases."""
        for tracked in self._tracked.values():
            tracked.sender.stop()
        self._step_candidates.update(self._tracked)

    def _get_health(self, endpoint: ids.EndpointId) -> health.EndpointHealth:
        endpoint_health = self._health.get(endpoint)
        assert endpoint_health is not None
        return endpoint_health

    def _make_tracked(
        self, name: ids.EndpointId, settings: model.EndpointSettings
    ) -> TrackedEndpoint:
        tracked = self._tracked.get(name)
        if tracked and tracked.settings.address == settings.address:
            tracked.settings = settings
            return tracked
        # The lease is kept, as its row is keyed by the endpoint's name.
        existing = tracked.sender if tracked else None
        sender = existing or order_sender.OrderSender(
            name, self._data_centre, self._instance, self._new_id
        )
        return TrackedEndpoint(settings, sender, cache_hints.CacheHints(name))

    def _update_desired(self) -> None:
        endpoints_by_model: dict[str, set[ids.EndpointId]] = {}
        for name, tracked in self._tracked.items():
            for versioned in (
                tracked.settings.models + tracked.settings.adapters
            ):
                bare, _ = orders.split_version(versioned)
                endpoints_by_model.setdefault(bare, set()).add(name)
        frozen = {
            bare: frozenset(names) for bare, names in endpoints_by_model.items()
        }
        for name, tracked in self._tracked.items():
            drain_id = self._drains.get_id(name)
            desired = orders.make_desired(tracked.settings, drain_id)
            tracked.sender.set_desired(desired, frozen)
        self._step_candidates.update(self._tracked)

    def _handle_platform(self, done: calls.Done, now: float) -> None:
        call, answer = done.call, done.answer
        if isinstance(answer, result.Err):
            # The request was stored by another instance: read it.
            if isinstance(answer.err_value, errors.Conflicted):
                self._schedule.make_due(calls.ScanDrains(self._drains.prefix))
            return
        match call:
            case calls.FetchList():
                self._health.record_list(answer.ok_value, now)
                return
            case calls.ScanDrains():
                self._drains.handle_scan(answer.ok_value, done.sent_at)
            case calls.StoreDrain():
                self._drains.handle_write(call, now)
        self._health.record_drains(self._drains.list_requested())
        self._update_desired()

    def _handle_endpoint(self, done: calls.Done, now: float) -> None:
        answer = done.answer
        match done.call:
            case calls.Probe(name):
                self._handle_ready(name, answer, done.sent_at, now)
            case calls.FetchLoad(name):
                self._handle_load(name, answer, done.sent_at, now)
            case calls.FetchEvents(name):
                if isinstance(answer, result.Ok):
                    hint = self._tracked[name].hints.process(answer.ok_value)
                    self._add_hint(hint)
            case calls.RunStep() as call:
                self._handle_step(call, answer, now)

    def _handle_ready(
        self,
        endpoint: ids.EndpointId,
        answer: result.Result[bool, edges.EndpointFailure],
        sent_at: float,
        now: float,
    ) -> None:
        endpoint_health = self._health.get_for_update(endpoint)
        if isinstance(answer, result.Ok):
            endpoint_health.record_ready(answer.ok_value, sent_at, now)
            return
        failure = answer.err_value
        refused = isinstance(failure, edges.Unreachable) and failure.refused
        endpoint_health.record_failure(refused, sent_at, now)

    def _handle_load(
        self,
        endpoint: ids.EndpointId,
        answer: result.Result[edges.LoadReport, edges.EndpointFailure],
        sent_at: float,
        now: float,
    ) -> None:
        if isinstance(answer, result.Err):
            if not isinstance(answer.err_value, edges.Rejected):
                self._handle_ready(endpoint, answer, sent_at, now)
            return
        report = answer.ok_value
        # Counted from when the call was sent, so that the report is never
        # taken as newer than it is.
        measured_at = sent_at - report.age_ms / 1000
        endpoint_health = self._health.get_for_update(endpoint)
        endpoint_health.record_ready(report.ready, measured_at, now)
        tracked = self._tracked[endpoint]
        tracked.sender.record_models(report.models, measured_at)
        self._updates.append(
            dispatch_messages.EndpointReport(
                endpoint=endpoint,
                running=report.running,
                waiting=report.waiting,
                kv_free=report.kv_free,
                models=report.models,
                measured_at=measured_at,
            )
        )

    def _add_hint(self, hint: messages.CacheHint) -> None:
        if hint.invalidates_all or hint.stored or hint.evicted:
            self._updates.append(hint)

    def _handle_step(
        self,
        call: calls.RunStep,
        answer: result.Result,
        now: float,
    ) -> None:
        self._step_candidates.add(call.endpoint)
        sender = self._tracked[call.endpoint].sender
        match call.step:
            case steps.Read():
                sender.handle_row(answer, now)
            case steps.Write():
                sender.handle_commit(answer, now)
            case steps.RequestPermit():
                sender.handle_permit(answer, now)
            case steps.SendOrder(order, _):
                _LOG.info(
                    "event=order endpoint=%s id=%s kind=%s argument=%s "
                    "fencing=%d answer=%s",
                    call.endpoint,
                    order.order_id,
                    order.kind.value,
                    order.argument,
                    order.fencing,
                    _describe_result(answer),
                )
                sender.handle_order(answer, now)

    def _make_view(
        self, name: ids.EndpointId, tracked: TrackedEndpoint, now: float
    ) -> messages.EndpointView:
        endpoint_health = self._get_health(name)
        pending = tracked.sender.get_pending()
        last_answer_at = endpoint_health.last_answer_at
        return messages.EndpointView(
            endpoint=name,
            address=tracked.settings.address,
            state=endpoint_health.state,
            leaving_sources=tuple(
                sorted(
                    endpoint_health.leaving_sources,
                    key=lambda source: source.value,
                )
            ),
            holder=tracked.sender.holds(now),
            fencing=tracked.sender.get_fencing(),
            order=f"{pending.kind.value} {pending.argument}" if pending else "",
            last_answer_age_s=now - last_answer_at
            if last_answer_at > float("-inf")
            else None,
        )


def _describe_result(answer: result.Result) -> str:
    if isinstance(answer, result.Ok):
        return "ok"
    return type(answer.err_value).__name__.lower()
