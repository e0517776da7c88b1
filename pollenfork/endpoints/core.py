"""Everything this instance knows of its data centre's endpoints.

The core says which calls to make and takes in their answers; it makes none
itself. It joins health, load reports, hints and orders.
"""

from collections.abc import Callable, Collection
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.endpoints import calls
from pollenfork.endpoints import drains
from pollenfork.endpoints import edges
from pollenfork.endpoints import health
from pollenfork.endpoints import hints
from pollenfork.endpoints import holder
from pollenfork.endpoints import messages
from pollenfork.endpoints import orders
from pollenfork.endpoints import schedule
from pollenfork.endpoints import steps
from pollenfork.settings import model
from pollenfork.store import errors

_LOG = logging.getLogger(__name__)
_ORDERS_S = 1.0  # Between two looks at what every endpoint needs.

News = (
    dispatch_messages.EndpointReport
    | dispatch_messages.EndpointNotice
    | messages.CacheHint
)


class Known(msgspec.Struct):
    """One endpoint: its settings and the cores that follow it."""

    settings: model.EndpointSettings
    holder: holder.Holder
    hints: hints.Hints


class Core:
    """The endpoints of one data centre as one instance sees them."""

    def __init__(
        self,
        instance: ids.InstanceId,
        data_centre: ids.DataCentre,
        new_id: Callable[[], ids.WriteId],
        rates: schedule.Rates | None = None,
        wants_hints: bool = False,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._new_id = new_id
        self._schedule = schedule.Schedule(instance, rates or schedule.Rates())
        self._wants_hints = wants_hints
        self._health = health.Health()
        self._known: dict[ids.EndpointId, Known] = {}
        self._drains = drains.Drains(instance, data_centre, new_id)
        self._news: list[News] = []
        self._orders_at = float("-inf")
        self._stepped: set[ids.EndpointId] = set()  # A step has just ended.

    def apply_tree(self, tree: model.Tree) -> None:
        """Takes the endpoints that the settings in force name."""
        planned = {
            name: settings
            for name, settings in tree.root.endpoints.items()
            if settings.data_centre == self._data_centre
        }
        self._known = {
            name: self._make_known(name, settings)
            for name, settings in planned.items()
        }
        self._health.plan({n: s.address for n, s in planned.items()})
        runner = model.EndpointKind.RUNNER
        engines = [n for n, s in planned.items() if s.kind is runner]
        self._schedule.plan(planned, engines)
        self._plan_orders()

    def hear_live(self, instances: Collection[ids.InstanceId]) -> None:
        """Takes which entry instances of the data centre are live."""
        self._schedule.hear_live(instances)
        self._health.forget_peers(instances)

    def receive_peer_leaving(
        self,
        leaving: Collection[ids.EndpointId],
        peer: ids.InstanceId | None,
        now: float,
    ) -> None:
        """Takes the endpoints that a peer says are leaving."""
        self._health.hear_peer(leaving, peer, now)

    def tick(self, now: float) -> list[calls.Call]:
        """Returns the calls whose time has come; run it every 250 ms."""
        self._health.touch_all()
        suspects = [
            name for name in self._known if self._find(name).is_suspect()
        ]
        found = self._schedule.list_due(now, suspects)
        found += self._schedule.list_due_platform(now, self._drains.prefix)
        if self._wants_hints:
            after = {
                name: k.hints.ask_after() for name, k in self._known.items()
            }
            found += self._schedule.list_due_events(now, after)
        if now >= self._orders_at:
            self._orders_at = now + _ORDERS_S
            self._stepped.update(self._known)
        return found + self.list_steps(now)

    def list_steps(self, now: float) -> list[calls.Call]:
        """Returns the next steps of orders, where there may be one."""
        found: list[calls.Call] = []
        stepped, self._stepped = self._stepped, set()
        for name in stepped & self._known.keys():
            rank = self._schedule.find_rank(name)
            step = self._known[name].holder.next_step(now, rank)
            if step:
                found.append(calls.TakeStep(name, step))
        return found

    def take(self, done: calls.Done, now: float) -> None:
        """Takes in what a call brought."""
        self._schedule.finish(done.call)
        if isinstance(done.call, calls.ToPlatform):
            self._take_platform(done, now)
        elif done.call.endpoint in self._known:
            self._take_endpoint(done, now)

    def take_news(self, now: float) -> list[News]:
        """Returns what has changed since the last call."""
        news, self._news = self._news, []
        for notice in self._health.judge(now):
            _LOG.info(
                "event=endpoint_state endpoint=%s state=%s signs=%s",
                notice.endpoint,
                notice.state.value,
                ",".join(s.value for s in self._find(notice.endpoint).signs),
            )
            news.append(notice)
        return news

    def make_drain(
        self, endpoint: ids.EndpointId, wished: bool
    ) -> calls.StoreDrain | None:
        """Returns the write of a wish, None where it stands already."""
        return self._drains.make_write(endpoint, wished)

    def has(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether the settings name the endpoint here."""
        return endpoint in self._known

    def list_leaving(self, now: float) -> tuple[ids.EndpointId, ...]:
        """Returns what this instance itself knows to be leaving."""
        return self._health.list_leaving(now)

    def list_endpoints(self, now: float) -> tuple[messages.EndpointView, ...]:
        """Returns every endpoint for the operators' page."""
        return tuple(
            self._make_view(name, known, now)
            for name, known in sorted(self._known.items())
        )

    def stop_orders(self) -> None:
        """Starts no further order and gives idle leases back."""
        for known in self._known.values():
            known.holder.stop()
        self._stepped.update(self._known)

    def _find(self, endpoint: ids.EndpointId) -> health.Record:
        record = self._health.find(endpoint)
        assert record is not None
        return record

    def _make_known(
        self, name: ids.EndpointId, settings: model.EndpointSettings
    ) -> Known:
        known = self._known.get(name)
        if known and known.settings.address == settings.address:
            known.settings = settings
            return known
        # The lease goes on: its row is by the endpoint's name.
        kept = known.holder if known else None
        giver = kept or holder.Holder(
            name, self._data_centre, self._instance, self._new_id
        )
        return Known(settings, giver, hints.Hints(name))

    def _plan_orders(self) -> None:
        carriers: dict[str, set[ids.EndpointId]] = {}
        for name, known in self._known.items():
            for planned in known.settings.models + known.settings.adapters:
                bare, _ = orders.split_version(planned)
                carriers.setdefault(bare, set()).add(name)
        frozen = {bare: frozenset(names) for bare, names in carriers.items()}
        for name, known in self._known.items():
            drain_id = self._drains.find_id(name)
            desired = orders.make_desired(known.settings, drain_id)
            known.holder.wish(desired, frozen)
        self._stepped.update(self._known)

    def _take_platform(self, done: calls.Done, now: float) -> None:
        call, answer = done.call, done.answer
        if isinstance(answer, result.Err):
            # A wish that is there already must only be read.
            if isinstance(answer.err_value, errors.Conflicted):
                self._schedule.hasten(calls.ScanDrains(self._drains.prefix))
            return
        match call:
            case calls.FetchList():
                self._health.hear_list(answer.ok_value, now)
                return
            case calls.ScanDrains():
                self._drains.take_scan(answer.ok_value, done.sent_at)
            case calls.StoreDrain():
                self._drains.take_write(call, now)
        self._health.hear_drains(self._drains.list_wished())
        self._plan_orders()

    def _take_endpoint(self, done: calls.Done, now: float) -> None:
        answer = done.answer
        match done.call:
            case calls.Probe(name):
                self._take_ready(name, answer, done.sent_at, now)
            case calls.FetchLoad(name):
                self._take_load(name, answer, done.sent_at, now)
            case calls.FetchEvents(name):
                if isinstance(answer, result.Ok):
                    hint = self._known[name].hints.take(answer.ok_value)
                    self._publish_hint(hint)
            case calls.TakeStep() as call:
                self._take_step(call, answer, now)

    def _take_ready(
        self,
        endpoint: ids.EndpointId,
        answer: result.Result[bool, edges.EndpointFailure],
        sent_at: float,
        now: float,
    ) -> None:
        record = self._health.change(endpoint)
        if isinstance(answer, result.Ok):
            record.hear_ready(answer.ok_value, sent_at, now)
            return
        failure = answer.err_value
        refused = isinstance(failure, edges.Unreachable) and failure.refused
        record.hear_failure(refused, sent_at, now)

    def _take_load(
        self,
        endpoint: ids.EndpointId,
        answer: result.Result[edges.LoadReport, edges.EndpointFailure],
        sent_at: float,
        now: float,
    ) -> None:
        if isinstance(answer, result.Err):
            if not isinstance(answer.err_value, edges.Rejected):
                self._take_ready(endpoint, answer, sent_at, now)
            return
        report = answer.ok_value
        # Counted from the sending: at least as old as stated.
        measured_at = sent_at - report.age_ms / 1000
        record = self._health.change(endpoint)
        record.hear_ready(report.ready, measured_at, now)
        known = self._known[endpoint]
        known.holder.hear_models(report.models, measured_at)
        self._news.append(
            dispatch_messages.EndpointReport(
                endpoint=endpoint,
                running=report.running,
                waiting=report.waiting,
                kv_free=report.kv_free,
                models=report.models,
                measured_at=measured_at,
            )
        )

    def _publish_hint(self, hint: messages.CacheHint) -> None:
        if hint.forget or hint.stored or hint.evicted:
            self._news.append(hint)

    def _take_step(
        self,
        call: calls.TakeStep,
        answer: result.Result,
        now: float,
    ) -> None:
        self._stepped.add(call.endpoint)
        giver = self._known[call.endpoint].holder
        match call.step:
            case steps.Read():
                giver.take_row(answer, now)
            case steps.Write():
                giver.take_commit(answer, now)
            case steps.AskPermit():
                giver.take_permit(answer, now)
            case steps.Send(order, _):
                _LOG.info(
                    "event=order endpoint=%s id=%s kind=%s argument=%s "
                    "fencing=%d answer=%s",
                    call.endpoint,
                    order.order_id,
                    order.kind.value,
                    order.argument,
                    order.fencing,
                    _name_answer(answer),
                )
                giver.take_order(answer, now)

    def _make_view(
        self, name: ids.EndpointId, known: Known, now: float
    ) -> messages.EndpointView:
        record = self._find(name)
        pending = known.holder.read_pending()
        heard = record.heard_at
        return messages.EndpointView(
            endpoint=name,
            address=known.settings.address,
            state=record.state,
            signs=tuple(sorted(record.signs, key=lambda sign: sign.value)),
            holder=known.holder.holds(now),
            fencing=known.holder.read_fencing(),
            order=f"{pending.kind.value} {pending.argument}" if pending else "",
            heard_s=now - heard if heard > float("-inf") else None,
        )


def _name_answer(answer: result.Result) -> str:
    if isinstance(answer, result.Ok):
        return "ok"
    return type(answer.err_value).__name__.lower()
