"""The capacity of all endpoints and the use of their slots."""

from collections.abc import Iterable, Mapping, Sequence

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import messages
from pollenfork.dispatch import peers
from pollenfork.dispatch import pools
from pollenfork.dispatch import sharing
from pollenfork.settings import model

QueueDepths = Mapping[admission_messages.PoolKey, Sequence[int]]


class Capacity:
    """Endpoints, their pools, and the slots used by this instance and peers.

    All numbers are updated incrementally, so that the cost of a decision
    doesn't depend on the number of endpoints.
    """

    def __init__(self, depths: QueueDepths) -> None:
        self.endpoints: dict[ids.EndpointId, endpoints.Endpoint] = {}
        self._queue_depths = depths
        self._services: Mapping[ids.ServiceName, model.ServiceSettings] = {}
        self._pools: dict[admission_messages.PoolKey, pools.Pool] = {}
        self._pools_of: dict[ids.EndpointId, list[pools.Pool]] = {}
        self._capacities: dict[ids.EndpointId, float] = {}
        self._unattributed: dict[ids.EndpointId, int] = {}
        self._in_flight: dict[tuple[ids.EndpointId, ids.Tier], int] = {}
        self._peers = peers.Peers()

    def find_pool(self, key: admission_messages.PoolKey) -> pools.Pool | None:
        """Returns the pool; None if the settings list no endpoint for it."""
        return self._pools.get(key)

    def apply_tree(self, tree: model.Tree, now: float) -> None:
        """Applies a settings tree."""
        kept = {}
        for name, settings in tree.root.endpoints.items():
            endpoint = self.endpoints.get(name)
            if endpoint is None:
                endpoint = endpoints.Endpoint(name, settings)
            endpoint.apply_settings(settings)
            kept[name] = endpoint
        self.endpoints = kept
        self._services = tree.root.services
        self._rebuild(now)

    def record_state(self, notice: messages.EndpointNotice, now: float) -> None:
        """Updates an endpoint's state."""
        endpoint = self.endpoints.get(notice.endpoint)
        if endpoint is not None:
            endpoint.record_state(notice.state, now)
            self.refresh(endpoint, now)

    def record_report(
        self, report: messages.EndpointReport, now: float
    ) -> None:
        """Applies an endpoint's own load report."""
        endpoint = self.endpoints.get(report.endpoint)
        if endpoint is None:
            return
        loaded = endpoint.loaded
        endpoint.record_report(report)
        if endpoint.loaded != loaded:
            self._rebuild(now)
        self.refresh(endpoint, now)

    def record_pressure(self, pressure: messages.Pressure, now: float) -> None:
        """Replaces a peer's pressure with a newer one."""
        earlier = self._peers.find(pressure.instance)
        if earlier is not None:
            self._count_peer(earlier, -1, now)
        count = self._peers.count()
        was_cut_off = self._peers.is_cut_off()
        peer = self._peers.record(pressure, now)
        if was_cut_off or self._peers.count() != count:
            self._rebuild(now)
        else:
            self._count_peer(peer, 1, now)

    def record_lost(self, instance: ids.InstanceId, now: float) -> None:
        """Marks a peer as lost: drops its queue, keeps its slots a while."""
        self._peers.record_lost(instance, now)
        self._rebuild(now)

    def tick(self, now: float) -> None:
        """Expires silent peers and readmits returning endpoints."""
        if self._peers.expire(now):
            self._rebuild(now)
        for endpoint in self.endpoints.values():
            self.refresh(endpoint, now)

    def get_slot_usage(self, pool: pools.Pool) -> sharing.SlotUsage:
        """Returns the use of the slots behind a pool."""
        cluster = pool.cluster
        usage = cluster.usage
        if len(cluster.pools) == 1:
            usage.own_waiting = self._queue_depths.get(
                pool.key, pools.NO_REQUESTS
            )
            return usage
        waiting = [0] * model.TIER_COUNT
        for linked in cluster.pools:
            for tier, count in enumerate(
                self._queue_depths.get(linked.key, ())
            ):
                waiting[tier] += count
        usage.own_waiting = waiting
        return usage

    def add_attempt(
        self, endpoint: endpoints.Endpoint, tier: ids.Tier, now: float
    ) -> None:
        """Adds an attempt of this instance."""
        endpoint.record_sent()
        self._count_own(endpoint, tier, 1)
        self.refresh(endpoint, now)

    def remove_attempt(
        self, endpoint: endpoints.Endpoint, tier: ids.Tier, now: float
    ) -> None:
        """Removes an attempt of this instance."""
        endpoint.record_ended()
        self._count_own(endpoint, tier, -1)
        self.refresh(endpoint, now)

    def refresh(self, endpoint: endpoints.Endpoint, now: float) -> None:
        """Updates everything derived from an endpoint's state."""
        linked_pools = self._pools_of.get(endpoint.name)
        if not linked_pools:
            return
        name = endpoint.name
        assessment = endpoint.assess(now)
        for pool in linked_pools:
            pool.set_open(endpoint, assessment.has_room)
        usage = linked_pools[0].cluster.usage
        usage.capacity += assessment.capacity - self._capacities[name]
        usage.unattributed += assessment.unattributed - self._unattributed[name]
        self._capacities[name] = assessment.capacity
        self._unattributed[name] = assessment.unattributed

    def make_pressure(
        self,
        instance: ids.InstanceId,
        waits: Mapping[tuple[admission_messages.PoolKey, ids.Tier], float],
    ) -> messages.Pressure:
        """Returns the pressure to report to peers.

        Args:
            instance: This instance.
            waits: Seconds that the next request has waited, by pool and tier.
        """
        demands = tuple(
            messages.Demand(
                ids.ModelName(pool),
                ids.Tier(tier),
                count,
                round(waits.get((pool, ids.Tier(tier)), 0.0) * 1000),
            )
            for pool, depths in self._queue_depths.items()
            for tier, count in enumerate(depths)
            if count
        )
        occupancies = tuple(
            messages.Occupancy(name, tier, count)
            for (name, tier), count in self._in_flight.items()
        )
        leaving = tuple(
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.state is messages.EndpointState.LEAVING
        )
        return messages.Pressure(instance, demands, occupancies, leaving)

    def _count_own(
        self, endpoint: endpoints.Endpoint, tier: ids.Tier, amount: int
    ) -> None:
        key = (endpoint.name, tier)
        count = self._in_flight.get(key, 0) + amount
        if count:
            self._in_flight[key] = count
        else:
            del self._in_flight[key]
        linked_pools = self._pools_of.get(endpoint.name)
        if linked_pools:
            usage = linked_pools[0].cluster.usage
            usage.own_in_flight[tier] += amount
            usage.own_held += amount

    def _count_peer(self, peer: peers.Peer, sign: int, now: float) -> None:
        pressure = peer.pressure
        if peer.lost_at is None:
            self._count_demands(pressure.demands, sign)
        if not self._peers.is_cut_off():
            self._count_occupancies(pressure.occupancies, sign, now)
        for name in pressure.leaving:
            endpoint = self.endpoints.get(name)
            if endpoint is not None:
                endpoint.leaving_peers += sign
                self.refresh(endpoint, now)

    def _count_demands(
        self, demands: Iterable[messages.Demand], sign: int
    ) -> None:
        for demand in demands:
            pool = self._pools.get(admission_messages.PoolKey(demand.model))
            if pool is not None:
                waiting = pool.cluster.usage.peer_waiting
                waiting[demand.tier] += sign * demand.waiting

    def _count_occupancies(
        self, occupancies: Iterable[messages.Occupancy], sign: int, now: float
    ) -> None:
        for occupancy in occupancies:
            endpoint = self.endpoints.get(occupancy.endpoint)
            if endpoint is None:
                continue
            endpoint.peer_attempts += sign * occupancy.in_flight
            linked_pools = self._pools_of.get(endpoint.name)
            if linked_pools:
                usage = linked_pools[0].cluster.usage
                usage.peer_in_flight[occupancy.tier] += (
                    sign * occupancy.in_flight
                )
                usage.peer_held += sign * occupancy.in_flight
            self.refresh(endpoint, now)

    def _rebuild(self, now: float) -> None:
        """Recomputes everything; only for rare changes."""
        self._rebuild_pools()
        for endpoint in self.endpoints.values():
            endpoint.peer_attempts = 0
            endpoint.leaving_peers = 0
        for (name, tier), count in self._in_flight.items():
            linked_pools = self._pools_of.get(name)
            if linked_pools:
                usage = linked_pools[0].cluster.usage
                usage.own_in_flight[tier] += count
                usage.own_held += count
        for peer in self._peers.list_all():
            self._count_peer(peer, 1, now)
        for endpoint in self.endpoints.values():
            self.refresh(endpoint, now)

    def _rebuild_pools(self) -> None:
        self._pools = {}
        self._pools_of = {}
        self._capacities = dict.fromkeys(self.endpoints, 0.0)
        self._unattributed = dict.fromkeys(self.endpoints, 0)
        for endpoint in self.endpoints.values():
            for key in endpoint.list_pools():
                self._add_to_pool(key, endpoint)
        for name, service in self._services.items():
            for member in service.endpoints:
                if member in self.endpoints:
                    key = admission_messages.service_key(name)
                    self._add_to_pool(key, self.endpoints[member])
        pools.link(list(self._pools.values()))
        for pool in self._pools.values():
            usage = pool.cluster.usage
            usage.instances = 1 + self._peers.count()
            usage.is_cut_off = self._peers.is_cut_off()

    def _add_to_pool(
        self, key: admission_messages.PoolKey, endpoint: endpoints.Endpoint
    ) -> None:
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = pools.Pool(key)
        pool.add(endpoint)
        self._pools_of.setdefault(endpoint.name, []).append(pool)
