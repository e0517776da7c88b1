"""Schedules probes and reads of this instance."""

from collections.abc import Collection

import msgspec

from pollenfork import ids
from pollenfork.endpoints import calls
from pollenfork.endpoints import probe_assignment


class PollingRates(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals in seconds, and calls per second of one instance.

    Attributes:
        probe_interval_s: Between two probes of an endpoint that is assigned to
            this instance or suspect.
        load_reports_per_s: Reads of load reports, of all engines together.
        event_reads_per_s: Reads of cache events, of all engines together.
        suspect_probes_per_s: Probes of suspect endpoints that are not assigned
            to this instance.
        list_interval_s: Between two reads of the instance list.
        drains_interval_s: Between two reads of the drain requests.
    """

    probe_interval_s: float = 1.0
    load_reports_per_s: float = 5.0
    event_reads_per_s: float = 2.0
    suspect_probes_per_s: float = 12.0
    list_interval_s: float = 5.0
    drains_interval_s: float = 8.0


class Schedule:
    """Spreads calls evenly, with at most one of a kind to an endpoint."""

    def __init__(self, instance: ids.InstanceId, rates: PollingRates) -> None:
        self._instance = instance
        self._rates = rates
        self._endpoints: tuple[ids.EndpointId, ...] = ()
        self._engines: tuple[ids.EndpointId, ...] = ()
        self._live = frozenset((instance,))
        self._assigned: frozenset[ids.EndpointId] = frozenset()
        self._ranks: dict[ids.EndpointId, int | None] = {}
        # Created once, as they are looked up at every tick.
        self._probes: dict[ids.EndpointId, calls.Probe] = {}
        self._loads: dict[ids.EndpointId, calls.FetchLoad] = {}
        self._due_at: dict[calls.Call, float] = {}
        self._in_progress: set[calls.Call] = set()

    def set_endpoints(
        self,
        endpoints: Collection[ids.EndpointId],
        engines: Collection[ids.EndpointId],
    ) -> None:
        """Sets all endpoints, and those that run engines."""
        self._endpoints = tuple(endpoints)
        self._engines = tuple(engines)
        self._probes = {name: calls.Probe(name) for name in endpoints}
        self._loads = {name: calls.FetchLoad(name) for name in engines}
        self._due_at = {}
        self._assign()

    def set_live_instances(self, instances: Collection[ids.InstanceId]) -> None:
        """Sets the live instances; this one is always included."""
        live = frozenset((*instances, self._instance))
        if live != self._live:
            self._live = live
            self._assign()

    def get_rank(self, endpoint: ids.EndpointId) -> int | None:
        """Returns this instance's rank among the candidates for the lease."""
        return self._ranks.get(endpoint)

    def is_assigned(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether this instance regularly probes the endpoint."""
        return endpoint in self._assigned

    def list_due(
        self, now: float, suspects: Collection[ids.EndpointId]
    ) -> list[calls.Call]:
        """Returns the probes and reads of load reports that are due."""
        rates = self._rates
        due: list[calls.Call] = []
        for name in self._assigned:
            self._add_if_due(
                due, self._probes[name], rates.probe_interval_s, now
            )
        others = [name for name in suspects if name not in self._assigned]
        period = max(
            rates.probe_interval_s, len(others) / rates.suspect_probes_per_s
        )
        for name in others:
            self._add_if_due(due, self._probes[name], period, now)
        period = max(
            rates.probe_interval_s,
            len(self._engines) / rates.load_reports_per_s,
        )
        for load in self._loads.values():
            self._add_if_due(due, load, period, now)
        return due

    def list_due_events(
        self, now: float, after: dict[ids.EndpointId, int]
    ) -> list[calls.Call]:
        """Returns the reads of cache events that are due."""
        period = len(self._engines) / self._rates.event_reads_per_s
        due: list[calls.Call] = []
        for name in self._engines:
            self._add_if_due(due, calls.FetchEvents(name, 0), period, now)
        return [
            calls.FetchEvents(call.endpoint, after.get(call.endpoint, 0))
            for call in due
            if isinstance(call, calls.FetchEvents)
        ]

    def list_due_platform(self, now: float, prefix: str) -> list[calls.Call]:
        """Returns the reads from the platform that are due."""
        rates = self._rates
        due: list[calls.Call] = []
        self._add_if_due(due, calls.FetchList(), rates.list_interval_s, now)
        self._add_if_due(
            due, calls.ScanDrains(prefix), rates.drains_interval_s, now
        )
        return due

    def make_due(self, call: calls.Call) -> None:
        """Makes a call due immediately."""
        self._due_at[call] = float("-inf")

    def finish(self, call: calls.Call) -> None:
        """Marks a call as completed, so that it can become due again."""
        if isinstance(call, calls.FetchEvents):
            call = calls.FetchEvents(call.endpoint, 0)
        self._in_progress.discard(call)

    def _add_if_due(
        self,
        due: list[calls.Call],
        call: calls.Call,
        period: float,
        now: float,
    ) -> None:
        due_at = self._due_at.get(call)
        if due_at is None:
            # The hash of the call's text spreads first calls over the period.
            phase = probe_assignment.get_phase(f"{self._instance} {call}")
            due_at = self._due_at[call] = now + phase * period
        if now < due_at or call in self._in_progress:
            return
        due.append(call)
        self._in_progress.add(call)
        self._due_at[call] = max(due_at + period, now + period / 2)

    def _assign(self) -> None:
        probers = probe_assignment.count_probers(
            len(self._live), len(self._endpoints), self._rates.probe_interval_s
        )
        assigned = set()
        self._ranks = {}
        for name in self._endpoints:
            rank = probe_assignment.rank_instances(name, self._live).index(
                self._instance
            )
            self._ranks[name] = (
                rank if rank < probe_assignment.MAX_CANDIDATES else None
            )
            if rank < probers:
                assigned.add(name)
        self._assigned = frozenset(assigned)
