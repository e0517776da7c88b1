"""Which instance does what for which endpoint, without any agreement.

All instances rank alike by rendezvous hashing over the live ones; where
their views differ for a while, an endpoint is probed by more or fewer of
them, and the lease decides between two that would give orders.
"""

from collections.abc import Collection

import xxhash

from pollenfork import ids

CANDIDATES = 3  # Instances that may take an endpoint's lease.
PROBES_PER_S = 12.0  # Of one instance, when nothing is amiss.
FEWEST_PROBERS = 2


def rank_instances(
    endpoint: ids.EndpointId, instances: Collection[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Returns the instances, the endpoint's first candidate first."""
    return sorted(instances, key=lambda name: (_weigh(endpoint, name), name))


def count_probers(instances: int, endpoints: int, period_s: float) -> int:
    """Returns how many instances probe each endpoint in every period."""
    if not endpoints:
        return 0
    affordable = int(PROBES_PER_S * period_s * instances / endpoints)
    return min(instances, max(FEWEST_PROBERS, affordable))


def _weigh(endpoint: ids.EndpointId, instance: ids.InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(f"{endpoint}\0{instance}".encode())


def find_phase(name: str) -> float:
    """Returns where in a period a call falls, 0 to 1, spread by name."""
    return xxhash.xxh3_64_intdigest(name.encode()) / 2**64
