"""Orders runners while this instance acts for all."""

import collections
import logging

from pollenfork import ids
from pollenfork.duties import duty_lease
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.gateway import cluster_state
from pollenfork.routes import model as routes
from pollenfork.scaling import demand
from pollenfork.scaling import model
from pollenfork.scaling import planner

_LOG = logging.getLogger(__name__)

# How often the need is looked at, in seconds; news of loads is 0.1 s old.
_PERIOD_S = 0.25
# Runners that start together are known within this time, in seconds.
_SETTLED_S = 1.0


class Autoscaler:
    """Turns what is known of runners into orders."""

    def __init__(
        self,
        held: duty_lease.DutyLease,
        known: cluster_state.ClusterState,
        chooser: choice.Chooser,
    ) -> None:
        """Takes what it needs.

        Args:
            held: Takes the orders.
            known: What is known of the configuration and of the runners.
            chooser: Tells how busy runners are.
        """
        self._office = held
        self._known = known
        self._chooser = chooser
        self._planners: dict[ids.ServiceName, planner.Planner] = {}
        self._most_seen: collections.Counter[ids.ServiceName] = (
            collections.Counter()
        )
        self._grown_at: dict[ids.ServiceName, float] = {}
        self._fencing = ids.FencingNumber(0)
        self._next_at = 0.0

    def check(self, now: float) -> None:
        """Orders what is needed; for the one that acts for all."""
        if now < self._next_at:
            return
        self._next_at = now + _PERIOD_S
        self._note_growth(now)
        found = self._known.lookup
        if found is None or not self._known.has_runners:
            return
        if self._office.fencing != self._fencing:
            # Whoever held meanwhile may have ordered something else.
            self._fencing = self._office.fencing
            self._planners.clear()
        for service in found.configuration.services.values():
            if service.scaling is not None:
                self._plan(service.name, service.scaling, now)

    def note_reply(
        self, task: messages.PlatformCall, reply: messages.Reply, now: float
    ) -> None:
        """Takes what the platform answered to an order."""
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
        usual = self._office.find_baseline(service)
        unasked = usual is None
        if usual is None:
            usual = view.ready
            since = self._grown_at.get(service)
            if since is None or now - since < _SETTLED_S:
                return  # More of those started together may not be known yet.
            self._office.work_queue.set_baseline(service, usual)
        planned = self._planners.get(service)
        if planned is None or planned.terms != terms:
            need = demand.DemandEstimator(usual, view.ready, now)
            planned = planner.Planner(terms, need, unasked)
            self._planners[service] = planned
        use = self._measure(service)
        for target in planned.plan(view, use, now):
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
            self._office.work_queue.add_order(
                rows.ScalingOrder(subject, target.count)
            )

    def _note_growth(self, now: float) -> None:
        """Notes since when the runners of each service are as many."""
        counted = collections.Counter(
            runner.service for runner in self._known.runners.list_all()
        )
        for service, count in counted.items():
            if count > self._most_seen[service]:
                self._most_seen[service] = count
                self._grown_at[service] = now

    def _count(
        self, service: ids.ServiceName
    ) -> dict[ids.DataCentre, model.RunnerCounts]:
        counted: dict[ids.DataCentre, list[int]] = {}
        for runner in self._known.runners.list_accepting(service):
            counts = counted.setdefault(runner.data_centre, [0, 0])
            counts[runner.reclaimable] += 1
        return {
            each: model.RunnerCounts(*both) for each, both in counted.items()
        }

    def _measure(self, service: ids.ServiceName) -> model.Load:
        use = self._chooser.measure(service)
        if not use.runners:
            return model.Load()
        backlog_s = (
            use.pending_tokens / candidates.PREFILL_TOKENS_PER_S / use.runners
        )
        return model.Load(backlog_s, use.active / use.slots)

    def _list_ordered(
        self, service: ids.ServiceName
    ) -> dict[model.RunnerKind, int]:
        return {
            model.RunnerKind(
                each.subject.data_centre, each.subject.reclaimable
            ): each.count
            for each in self._office.work_queue.list_orders()
            if each.subject.service == service
        }
