"""The endpoints as one instance sees them, and who claims their slots."""

from collections.abc import Iterable, Mapping, Sequence

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import messages
from pollenfork.dispatch import peers
from pollenfork.dispatch import pools
from pollenfork.dispatch import sharing
from pollenfork.settings import model

Depths = Mapping[admission_messages.PoolKey, Sequence[int]]


class Supply:
    """Endpoints, pools of them, and the claims of this instance and peers.

    Every number is kept up to date by increments, so that a decision costs
    the same whatever the number of endpoints.
    """

    def __init__(self, depths: Depths) -> None:
        self.endpoints: dict[ids.EndpointId, endpoints.Endpoint] = {}
        self._depths = depths
        self._services: Mapping[ids.ServiceName, model.ServiceSettings] = {}
        self._pools: dict[admission_messages.PoolKey, pools.Pool] = {}
        self._pools_of: dict[ids.EndpointId, list[pools.Pool]] = {}
        self._counted: dict[ids.EndpointId, float] = {}
        self._unseen: dict[ids.EndpointId, int] = {}
        self._in_flight: dict[tuple[ids.EndpointId, ids.Tier], int] = {}
        self._peers = peers.Peers()

    def find_pool(self, key: admission_messages.PoolKey) -> pools.Pool | None:
        """Returns the pool, or None where the settings name no endpoint."""
        return self._pools.get(key)

    def apply_tree(self, tree: model.Tree, now: float) -> None:
        """Takes a settings tree that came into force."""
        kept = {}
        for name, settings in tree.root.endpoints.items():
            known = self.endpoints.get(name)
            if known is None:
                known = endpoints.Endpoint(name, settings)
            known.apply_settings(settings)
            kept[name] = known
        self.endpoints = kept
        self._services = tree.root.services
        self._rebuild(now)

    def note_state(self, notice: messages.EndpointNotice, now: float) -> None:
        """Takes an endpoint's state."""
        known = self.endpoints.get(notice.endpoint)
        if known is not None:
            known.note_state(notice.state, now)
            self.refresh(known, now)

    def note_report(self, report: messages.EndpointReport, now: float) -> None:
        """Takes an endpoint's own load report."""
        known = self.endpoints.get(report.endpoint)
        if known is None:
            return
        loaded = known.loaded
        known.note_report(report)
        if known.loaded != loaded:
            self._rebuild(now)
        self.refresh(known, now)

    def note_pressure(self, pressure: messages.Pressure, now: float) -> None:
        """Takes a peer's pressure in place of its earlier one."""
        earlier = self._peers.find(pressure.instance)
        if earlier is not None:
            self._count_peer(earlier, -1, now)
        count = self._peers.count()
        was_cut_off = self._peers.is_cut_off()
        heard = self._peers.note(pressure, now)
        if was_cut_off or self._peers.count() != count:
            self._rebuild(now)
        else:
            self._count_peer(heard, 1, now)

    def note_lost(self, instance: ids.InstanceId, now: float) -> None:
        """Takes a peer's loss: its queue is void, its slots stay a while."""
        self._peers.note_lost(instance, now)
        self._rebuild(now)

    def tick(self, now: float) -> None:
        """Lets time pass: silent peers, returning endpoints."""
        if self._peers.expire(now):
            self._rebuild(now)
        for known in self.endpoints.values():
            self.refresh(known, now)

    def read_claims(self, pool: pools.Pool) -> sharing.Claims:
        """Returns who wants and holds the slots behind a pool."""
        cluster = pool.cluster
        claims = cluster.claims
        if len(cluster.pools) == 1:
            claims.own_waiting = self._depths.get(pool.key, pools.NOTHING)
            return claims
        waiting = [0] * model.TIER_COUNT
        for linked in cluster.pools:
            for tier, count in enumerate(self._depths.get(linked.key, ())):
                waiting[tier] += count
        claims.own_waiting = waiting
        return claims

    def count_in(
        self, known: endpoints.Endpoint, tier: ids.Tier, now: float
    ) -> None:
        """Counts an attempt of this instance in."""
        known.note_sent()
        self._count_own(known, tier, 1)
        self.refresh(known, now)

    def count_out(
        self, known: endpoints.Endpoint, tier: ids.Tier, now: float
    ) -> None:
        """Counts an attempt of this instance out."""
        known.note_ended()
        self._count_own(known, tier, -1)
        self.refresh(known, now)

    def refresh(self, known: endpoints.Endpoint, now: float) -> None:
        """Brings what is derived from one endpoint's state up to date."""
        linked = self._pools_of.get(known.name)
        if not linked:
            return
        name = known.name
        found = known.assess(now)
        for pool in linked:
            pool.set_open(known, found.has_room)
        claims = linked[0].cluster.claims
        claims.capacity += found.capacity - self._counted[name]
        claims.unseen += found.unseen - self._unseen[name]
        self._counted[name] = found.capacity
        self._unseen[name] = found.unseen

    def read_pressure(
        self,
        instance: ids.InstanceId,
        waits: Mapping[tuple[admission_messages.PoolKey, ids.Tier], float],
    ) -> messages.Pressure:
        """Returns what peers should know of this instance.

        Args:
            instance: This instance.
            waits: Seconds that the next request waits, by pool and tier.
        """
        demands = tuple(
            messages.Demand(
                ids.ModelName(pool),
                ids.Tier(tier),
                count,
                round(waits.get((pool, ids.Tier(tier)), 0.0) * 1000),
            )
            for pool, depths in self._depths.items()
            for tier, count in enumerate(depths)
            if count
        )
        occupancies = tuple(
            messages.Occupancy(name, tier, count)
            for (name, tier), count in self._in_flight.items()
        )
        leaving = tuple(
            name
            for name, known in self.endpoints.items()
            if known.state is messages.EndpointState.LEAVING
        )
        return messages.Pressure(instance, demands, occupancies, leaving)

    def _count_own(
        self, known: endpoints.Endpoint, tier: ids.Tier, amount: int
    ) -> None:
        key = (known.name, tier)
        count = self._in_flight.get(key, 0) + amount
        if count:
            self._in_flight[key] = count
        else:
            del self._in_flight[key]
        linked = self._pools_of.get(known.name)
        if linked:
            claims = linked[0].cluster.claims
            claims.own_in_flight[tier] += amount
            claims.own_held += amount

    def _count_peer(self, peer: peers.Peer, sign: int, now: float) -> None:
        pressure = peer.pressure
        if peer.lost_at is None:
            self._count_demands(pressure.demands, sign)
        if not self._peers.is_cut_off():
            self._count_occupancies(pressure.occupancies, sign, now)
        for name in pressure.leaving:
            known = self.endpoints.get(name)
            if known is not None:
                known.left_by_peers += sign
                self.refresh(known, now)

    def _count_demands(
        self, demands: Iterable[messages.Demand], sign: int
    ) -> None:
        for demand in demands:
            pool = self._pools.get(admission_messages.PoolKey(demand.model))
            if pool is not None:
                waiting = pool.cluster.claims.peer_waiting
                waiting[demand.tier] += sign * demand.waiting

    def _count_occupancies(
        self, occupancies: Iterable[messages.Occupancy], sign: int, now: float
    ) -> None:
        for held in occupancies:
            known = self.endpoints.get(held.endpoint)
            if known is None:
                continue
            known.peers += sign * held.in_flight
            linked = self._pools_of.get(known.name)
            if linked:
                claims = linked[0].cluster.claims
                claims.peer_in_flight[held.tier] += sign * held.in_flight
                claims.peer_held += sign * held.in_flight
            self.refresh(known, now)

    def _rebuild(self, now: float) -> None:
        """Derives everything anew; for rare changes only."""
        self._rebuild_pools()
        for known in self.endpoints.values():
            known.peers = 0
            known.left_by_peers = 0
        for (name, tier), count in self._in_flight.items():
            linked = self._pools_of.get(name)
            if linked:
                claims = linked[0].cluster.claims
                claims.own_in_flight[tier] += count
                claims.own_held += count
        for peer in self._peers.list_all():
            self._count_peer(peer, 1, now)
        for known in self.endpoints.values():
            self.refresh(known, now)

    def _rebuild_pools(self) -> None:
        self._pools = {}
        self._pools_of = {}
        self._counted = dict.fromkeys(self.endpoints, 0.0)
        self._unseen = dict.fromkeys(self.endpoints, 0)
        for known in self.endpoints.values():
            for key in known.list_pools():
                self._join(key, known)
        for name, service in self._services.items():
            for member in service.endpoints:
                if member in self.endpoints:
                    key = admission_messages.service_key(name)
                    self._join(key, self.endpoints[member])
        pools.link(list(self._pools.values()))
        for pool in self._pools.values():
            claims = pool.cluster.claims
            claims.instances = 1 + self._peers.count()
            claims.is_cut_off = self._peers.is_cut_off()

    def _join(
        self, key: admission_messages.PoolKey, known: endpoints.Endpoint
    ) -> None:
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = pools.Pool(key)
        pool.add(known)
        self._pools_of.setdefault(known.name, []).append(pool)
