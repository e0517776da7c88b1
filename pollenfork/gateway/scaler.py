"""Orders runners from the platform while this instance is the duty holder."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

from pollenfork import ids
from pollenfork.duties import duty_lease
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.gateway import cluster_state
from pollenfork.routes import model as routes
from pollenfork.scaling import calm_release
from pollenfork.scaling import demand
from pollenfork.scaling import edges
from pollenfork.scaling import model
from pollenfork.scaling import planner

if TYPE_CHECKING:
    from pollenfork import metrics

_LOG = logging.getLogger(__name__)

# How often the demand is evaluated, in seconds; load reports are 0.1 s old.
_PERIOD_S = 0.25
# Seconds within which runners that start together all become known.
_SETTLE_S = 1.0


class Scaler:
    """Turns the load of runners into orders for more or fewer of them."""

    def __init__(
        self,
        lease: duty_lease.DutyLease,
        state: cluster_state.ClusterState,
        chooser: choice.Chooser,
    ) -> None:
        """Creates a scaler without planners.

        Args:
            lease: Receives the orders.
            state: The configuration and the runners.
            chooser: Measures how busy runners are.
        """
        self._lease = lease
        self._state = state
        self._chooser = chooser
        self._planners: dict[ids.ServiceName, planner.Planner] = {}
        self._forecast: set[ids.ServiceName] = set()
        self._raised = 0
        self._released = 0
        self._most_seen: collections.Counter[ids.ServiceName] = (
            collections.Counter()
        )
        self._grown_at: dict[ids.ServiceName, float] = {}
        self._fencing = ids.FencingNumber(0)
        self._next_at = 0.0

    def check(self, now: float) -> None:
        """Orders the runners that are needed; called on the duty holder."""
        if now < self._next_at:
            return
        self._next_at = now + _PERIOD_S
        self._record_growth(now)
        lookup = self._state.lookup
        if lookup is None or not self._state.has_runners:
            return
        if self._lease.fencing != self._fencing:
            # Another holder may have placed other orders in the meantime.
            self._fencing = self._lease.fencing
            self._planners.clear()
        for service in lookup.configuration.services.values():
            if service.scaling is not None:
                self._note_forecast(
                    service.name, lookup.is_forecast(service.name)
                )
                self._plan(service.name, service.scaling, now)

    def show(self, output: metrics.Metrics) -> None:
        """Exports how often the totals of services changed."""
        name = "pollenfork_runner_total_changes_total"
        output.set_count(name, self._raised, reason="raised")
        output.set_count(name, self._released, reason="released")

    def record_reply(
        self, task: messages.PlatformCall, reply: messages.Reply, now: float
    ) -> None:
        """Records the platform's answer to an order."""
        if not isinstance(task.work, rows.ScalingOrder):
            return
        subject = task.work.subject
        planned = self._planners.get(subject.service)
        if planned is not None and reply is messages.Reply.UNAVAILABLE:
            planned.record_unavailable(subject.data_centre, now)

    def _plan(
        self, service: ids.ServiceName, terms: routes.Scaling, now: float
    ) -> None:
        view = model.View(self._count(service), self._list_ordered(service))
        baseline = self._lease.find_baseline(service)
        unasked = baseline is None
        if baseline is None:
            baseline = view.ready
            since = self._grown_at.get(service)
            if since is None or now - since < _SETTLE_S:
                return  # Runners started together may not all be known yet.
            self._lease.work_queue.set_baseline(service, baseline)
        planned = self._planners.get(service)
        if planned is None or planned.terms != terms:
            need = self._make_estimator(service, baseline, view, now)
            planned = planner.Planner(terms, need, unasked)
            self._planners[service] = planned
        use = self._measure(service, view)
        before = planned.total
        targets = planned.plan(view, use, now)
        if before is not None and planned.total is not None:
            self._raised += planned.total > before
            self._released += planned.total < before
        for target in targets:
            _LOG.info(
                "event=runners_wanted service=%s data_centre=%s reclaimable=%s "
                "count=%d before=%s ready=%d backlog_ms=%d taken=%.2f usual=%d",
                service,
                target.kind.data_centre,
                target.kind.reclaimable,
                target.count,
                view.ordered.get(target.kind, "-"),
                view.ready,
                use.backlog_s * 1000,
                use.slot_utilization,
                planned.baseline,
            )
            subject = rows.RunnerPool(
                service, target.kind.data_centre, target.kind.reclaimable
            )
            self._lease.work_queue.add_order(
                rows.ScalingOrder(subject, target.count)
            )

    def _note_forecast(
        self, service: ids.ServiceName, is_forecast: bool
    ) -> None:
        """Discards a service's planner once it should use the other kind."""
        if is_forecast == (service in self._forecast):
            return
        self._planners.pop(service, None)
        if is_forecast:
            self._forecast.add(service)
        else:
            self._forecast.discard(service)

    def _make_estimator(
        self,
        service: ids.ServiceName,
        baseline: int,
        view: model.View,
        now: float,
    ) -> edges.Estimator:
        if service not in self._forecast:
            return demand.DemandEstimator(baseline, view.ready, now)
        # Runners ordered by an earlier holder may still be starting. More than
        # the baseline are ordered while on-demand runners are replaced.
        present = max(view.ready, min(view.ordered_total, baseline))
        return calm_release.CalmReleaseEstimator(
            service, baseline, present, now
        )

    def _record_growth(self, now: float) -> None:
        """Records when the number of each service's runners last grew."""
        counted = collections.Counter(
            runner.service for runner in self._state.runners.list_all()
        )
        for service, count in counted.items():
            if count > self._most_seen[service]:
                self._most_seen[service] = count
                self._grown_at[service] = now

    def _count(
        self, service: ids.ServiceName
    ) -> dict[ids.DataCentre, model.RunnerCounts]:
        counted: dict[ids.DataCentre, list[int]] = {}
        for runner in self._state.runners.list_accepting(service):
            counts = counted.setdefault(runner.data_centre, [0, 0])
            counts[runner.reclaimable] += 1
        return {
            each: model.RunnerCounts(*both) for each, both in counted.items()
        }

    def _measure(
        self, service: ids.ServiceName, view: model.View
    ) -> model.Load:
        use = self._chooser.measure(service)
        if not use.runners:
            return model.Load()
        backlog_s = (
            use.pending_tokens / candidates.PREFILL_TOKENS_PER_S / use.runners
        )
        return model.Load(
            backlog_s,
            use.active / use.slots,
            use.prefilling / use.runners,
            use.runners,
            view.exposed,
        )

    def _list_ordered(
        self, service: ids.ServiceName
    ) -> dict[model.RunnerKind, int]:
        return {
            model.RunnerKind(
                each.subject.data_centre, each.subject.reclaimable
            ): each.count
            for each in self._lease.work_queue.list_orders()
            if each.subject.service == service
        }
