"""When this instance asks which endpoint for what."""

from collections.abc import Collection

import msgspec

from pollenfork import ids
from pollenfork.endpoints import calls
from pollenfork.endpoints import probe_assignment


class Rates(msgspec.Struct, frozen=True, kw_only=True):
    """Periods in seconds, and calls a second of one instance.

    Attributes:
        probe_s: Between two probes of an endpoint in this instance's share,
            or of one that is amiss.
        loads_per_s: Load reports fetched, all engines together.
        events_per_s: Cache events fetched, all engines together.
        amiss_per_s: Probes of endpoints that are not in the share.
        list_s: Between two readings of the instance list.
        drains_s: Between two readings of the wishes to drain.
    """

    probe_s: float = 1.0
    loads_per_s: float = 5.0
    events_per_s: float = 2.0
    amiss_per_s: float = 12.0
    list_s: float = 5.0
    drains_s: float = 8.0


class Schedule:
    """Spreads the calls evenly; at most one of a kind to an endpoint."""

    def __init__(self, instance: ids.InstanceId, rates: Rates) -> None:
        self._instance = instance
        self._rates = rates
        self._endpoints: tuple[ids.EndpointId, ...] = ()
        self._engines: tuple[ids.EndpointId, ...] = ()
        self._live = frozenset((instance,))
        self._share: frozenset[ids.EndpointId] = frozenset()
        self._ranks: dict[ids.EndpointId, int | None] = {}
        # Made once, as they are looked up at every tick.
        self._probes: dict[ids.EndpointId, calls.Probe] = {}
        self._loads: dict[ids.EndpointId, calls.FetchLoad] = {}
        self._due: dict[calls.Call, float] = {}
        self._under_way: set[calls.Call] = set()

    def plan(
        self,
        endpoints: Collection[ids.EndpointId],
        engines: Collection[ids.EndpointId],
    ) -> None:
        """Sets which endpoints there are, and which run engines."""
        self._endpoints = tuple(endpoints)
        self._engines = tuple(engines)
        self._probes = {name: calls.Probe(name) for name in endpoints}
        self._loads = {name: calls.FetchLoad(name) for name in engines}
        self._due = {}
        self._divide()

    def hear_live(self, instances: Collection[ids.InstanceId]) -> None:
        """Sets which instances are live; this one always counts."""
        live = frozenset((*instances, self._instance))
        if live != self._live:
            self._live = live
            self._divide()

    def find_rank(self, endpoint: ids.EndpointId) -> int | None:
        """Returns this instance's place among the lease's candidates."""
        return self._ranks.get(endpoint)

    def is_mine(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether the endpoint is in this instance's share."""
        return endpoint in self._share

    def list_due(
        self, now: float, suspects: Collection[ids.EndpointId]
    ) -> list[calls.Call]:
        """Returns the probes and load reports whose time has come."""
        rates = self._rates
        found: list[calls.Call] = []
        for name in self._share:
            self._add(found, self._probes[name], rates.probe_s, now)
        others = [name for name in suspects if name not in self._share]
        period = max(rates.probe_s, len(others) / rates.amiss_per_s)
        for name in others:
            self._add(found, self._probes[name], period, now)
        period = max(rates.probe_s, len(self._engines) / rates.loads_per_s)
        for load in self._loads.values():
            self._add(found, load, period, now)
        return found

    def list_due_events(
        self, now: float, after: dict[ids.EndpointId, int]
    ) -> list[calls.Call]:
        """Returns the readings of cache events whose time has come."""
        period = len(self._engines) / self._rates.events_per_s
        found: list[calls.Call] = []
        for name in self._engines:
            self._add(found, calls.FetchEvents(name, 0), period, now)
        return [
            calls.FetchEvents(call.endpoint, after.get(call.endpoint, 0))
            for call in found
            if isinstance(call, calls.FetchEvents)
        ]

    def list_due_platform(self, now: float, prefix: str) -> list[calls.Call]:
        """Returns the platform's readings whose time has come."""
        rates = self._rates
        found: list[calls.Call] = []
        self._add(found, calls.FetchList(), rates.list_s, now)
        self._add(found, calls.ScanDrains(prefix), rates.drains_s, now)
        return found

    def hasten(self, call: calls.Call) -> None:
        """Makes a call due at once."""
        self._due[call] = float("-inf")

    def finish(self, call: calls.Call) -> None:
        """Lets a call be made again when its time comes."""
        if isinstance(call, calls.FetchEvents):
            call = calls.FetchEvents(call.endpoint, 0)
        self._under_way.discard(call)

    def _add(
        self,
        found: list[calls.Call],
        call: calls.Call,
        period: float,
        now: float,
    ) -> None:
        due = self._due.get(call)
        if due is None:
            # Each starts at its own moment of the first period.
            part = probe_assignment.get_phase(f"{self._instance} {call}")
            due = self._due[call] = now + part * period
        if now < due or call in self._under_way:
            return
        found.append(call)
        self._under_way.add(call)
        self._due[call] = max(due + period, now + period / 2)

    def _divide(self) -> None:
        probers = probe_assignment.count_probers(
            len(self._live), len(self._endpoints), self._rates.probe_s
        )
        share = set()
        self._ranks = {}
        for name in self._endpoints:
            rank = probe_assignment.rank_instances(name, self._live).index(
                self._instance
            )
            self._ranks[name] = (
                rank if rank < probe_assignment.MAX_CANDIDATES else None
            )
            if rank < probers:
                share.add(name)
        self._share = frozenset(share)
