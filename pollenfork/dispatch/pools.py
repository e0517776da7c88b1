"""Pools of endpoints by model or service, and which have free slots."""

import random

import xxhash

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import sharing
from pollenfork.settings import model

_SAMPLES = 3
_PREFERRED = 2
_CACHED_PREFIXES = 4096
_SEED_MASK = (1 << 64) - 1

NO_REQUESTS = (0,) * model.TIER_COUNT


class Cluster:
    """Pools linked by common endpoints, whose slots are split together.

    Attributes:
        usage: The slots that are wanted and held, updated in place.
        pools: The linked pools.
    """

    def __init__(self) -> None:
        self.pools: list[Pool] = []
        self.usage = sharing.SlotUsage(
            capacity=0.0,
            own_waiting=NO_REQUESTS,
            own_in_flight=[0] * model.TIER_COUNT,
            peer_waiting=[0] * model.TIER_COUNT,
            peer_in_flight=[0] * model.TIER_COUNT,
            instances=1,
        )


class Pool:
    """The endpoints that serve one model or service."""

    def __init__(self, key: admission_messages.PoolKey) -> None:
        self.key = key
        self.cluster = Cluster()
        self.members: list[endpoints.Endpoint] = []
        self.open: list[endpoints.Endpoint] = []
        self._open_at: dict[ids.EndpointId, int] = {}
        self._preferred: dict[int, list[endpoints.Endpoint]] = {}

    def add(self, member: endpoints.Endpoint) -> None:
        """Adds an endpoint without marking it as open."""
        self.members.append(member)

    def set_open(self, member: endpoints.Endpoint, is_open: bool) -> None:
        """Sets whether an endpoint has a free slot, in constant time."""
        at = self._open_at.get(member.name)
        if is_open and at is None:
            self._open_at[member.name] = len(self.open)
            self.open.append(member)
        elif not is_open and at is not None:
            last = self.open.pop()
            del self._open_at[member.name]
            if last is not member:
                self.open[at] = last
                self._open_at[last.name] = at

    def is_open(self, member: endpoints.Endpoint) -> bool:
        """Returns whether an endpoint has a free slot."""
        return member.name in self._open_at

    def sample_open(
        self, rng: random.Random, avoid: tuple[ids.EndpointId, ...]
    ) -> list[endpoints.Endpoint]:
        """Returns a random sample of the endpoints with free slots."""
        found = _sample(self.open, rng)
        if not avoid:
            return found
        allowed = [e for e in found if e.name not in avoid]
        return allowed or [e for e in self.open if e.name not in avoid]

    def find_preferred(self, prefix: int) -> list[endpoints.Endpoint]:
        """Returns a prefix's preferred endpoints, by rendezvous hashing."""
        preferred = self._preferred.get(prefix)
        if preferred is None:
            if len(self._preferred) >= _CACHED_PREFIXES:
                self._preferred.clear()
            preferred = self._preferred[prefix] = self._rank(prefix)
        return preferred

    def _rank(self, prefix: int) -> list[endpoints.Endpoint]:
        seed = prefix & _SEED_MASK
        ranked = sorted(
            self.members,
            key=lambda e: xxhash.xxh3_64_intdigest(e.name.encode(), seed),
            reverse=True,
        )
        return ranked[:_PREFERRED]


def _sample(
    members: list[endpoints.Endpoint], rng: random.Random
) -> list[endpoints.Endpoint]:
    count = len(members)
    if count <= _SAMPLES:
        return list(members)
    # Evenly spaced indices from a random start are distinct.
    start = int(rng.random() * count)
    return [
        members[(start + n * count // _SAMPLES) % count]
        for n in range(_SAMPLES)
    ]


def link(pools: list[Pool]) -> None:
    """Assigns pools that share an endpoint to the same cluster."""
    by_endpoint: dict[ids.EndpointId, Cluster] = {}
    for pool in pools:
        cluster = Cluster()
        cluster.pools.append(pool)
        pool.cluster = cluster
        for member in pool.members:
            other = by_endpoint.get(member.name)
            if other is not None and other is not cluster:
                cluster = _merge(other, cluster, by_endpoint)
            by_endpoint[member.name] = cluster


def _merge(
    kept: Cluster,
    merged: Cluster,
    by_endpoint: dict[ids.EndpointId, Cluster],
) -> Cluster:
    for pool in merged.pools:
        pool.cluster = kept
        kept.pools.append(pool)
    for name, cluster in by_endpoint.items():
        if cluster is merged:
            by_endpoint[name] = kept
    return kept
