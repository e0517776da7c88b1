"""Assigns endpoints to instances by rendezvous hashing, without coordination.

Instances that know the same live instances compute the same ranking. While
their views differ, an endpoint is probed by more or fewer instances, and the
lease decides between two instances that would both send it orders.
"""

from collections.abc import Collection

import xxhash

from pollenfork import ids

MAX_CANDIDATES = 3  # Instances that may claim an endpoint's lease.
PROBES_PER_S = 12.0  # Sent by one instance while all endpoints are healthy.
MIN_PROBERS = 2


def rank_instances(
    endpoint: ids.EndpointId, instances: Collection[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Returns the instances in the order of their rank for the endpoint."""
    return sorted(instances, key=lambda name: (_score(endpoint, name), name))


def count_probers(instances: int, endpoints: int, period_s: float) -> int:
    """Returns how many instances probe each endpoint in a period."""
    if not endpoints:
        return 0
    max_probers = int(PROBES_PER_S * period_s * instances / endpoints)
    return min(instances, max(MIN_PROBERS, max_probers))


def _score(endpoint: ids.EndpointId, instance: ids.InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{instance}".encode())


def get_phase(name: str) -> float:
    """Returns a fraction of a period, from 0 to 1, by a hash of the name."""
    return xxhash.xxh3_64_intdigest(name.encode()) / 2**64
