"""Which endpoints serve what, and which of them have room now."""

import random

import xxhash

from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import endpoint as endpoints
from pollenfork.dispatch import sharing
from pollenfork.settings import model

_SAMPLES = 3
_HOMES = 2
_CACHED_PREFIXES = 4096
_SEED_MASK = (1 << 64) - 1

NOTHING = (0,) * model.TIER_COUNT


class Cluster:
    """Endpoints linked by common models, whose slots are split as one.

    Attributes:
        claims: Who wants and holds its slots; kept up to date in place.
        pools: The pools whose endpoints it joins.
    """

    def __init__(self) -> None:
        self.pools: list[Pool] = []
        self.claims = sharing.Claims(
            capacity=0.0,
            own_waiting=NOTHING,
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
        self._homes: dict[int, list[endpoints.Endpoint]] = {}

    def add(self, member: endpoints.Endpoint) -> None:
        """Adds an endpoint, not open yet."""
        self.members.append(member)

    def set_open(self, member: endpoints.Endpoint, is_open: bool) -> None:
        """Notes whether the endpoint has room; constant time."""
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
        """Returns whether the endpoint has room."""
        return member.name in self._open_at

    def sample_open(
        self, rng: random.Random, avoid: tuple[ids.EndpointId, ...]
    ) -> list[endpoints.Endpoint]:
        """Returns a few endpoints with room, at random."""
        found = _sample(self.open, rng)
        if not avoid:
            return found
        allowed = [e for e in found if e.name not in avoid]
        return allowed or [e for e in self.open if e.name not in avoid]

    def find_homes(self, prefix: int) -> list[endpoints.Endpoint]:
        """Returns where prompts with this prefix go, by rendezvous hashing."""
        homes = self._homes.get(prefix)
        if homes is None:
            if len(self._homes) >= _CACHED_PREFIXES:
                self._homes.clear()
            homes = self._homes[prefix] = self._rank(prefix)
        return homes

    def _rank(self, prefix: int) -> list[endpoints.Endpoint]:
        seed = prefix & _SEED_MASK
        ranked = sorted(
            self.members,
            key=lambda e: xxhash.xxh3_64_intdigest(e.name.encode(), seed),
            reverse=True,
        )
        return ranked[:_HOMES]


def _sample(
    members: list[endpoints.Endpoint], rng: random.Random
) -> list[endpoints.Endpoint]:
    count = len(members)
    if count <= _SAMPLES:
        return list(members)
    # The distances stay apart, so the samples differ.
    start = int(rng.random() * count)
    return [
        members[(start + n * count // _SAMPLES) % count]
        for n in range(_SAMPLES)
    ]


def link(pools: list[Pool]) -> None:
    """Gives pools that share an endpoint the same cluster."""
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
