"""What requests that end runners cost each instance, by their number.

Usage: python -m benchmarks.poison_cost

Instances in simulated time exchange what they know of a thousand such requests,
all kept back; another one then comes at each instance within a second.
"""

import json
import pathlib
import time
import tracemalloc

from pollenfork import ids
from pollenfork.fleet import registry
from pollenfork.poison import crashes
from pollenfork.poison import quarantine
from pollenfork.poison.tests import fleet as fleets

_SIZES = ((8, 9), (75, 30), (195, 59), (360, 600))
_REQUESTS = 1000
_SECONDS = 5.0
_POISON = 7


def measure() -> list[dict[str, float]]:
    """Returns a row for each size."""
    return [_measure(*size) for size in _SIZES]


def _measure(instances: int, runners: int) -> dict[str, float]:
    fleet = fleets.Fleet(instances, runners)
    idle_b, idle_s = _run(fleet, instances)
    for each in fleet.instances:
        _fill(each.quarantine, fleet.now)
    known_b, known_s = _run(fleet, instances)
    fleet.poison.add(_POISON)
    fleet.send_to_all(_POISON, over_s=1.0)
    fleet.run(1.5)
    return {
        "instances": instances,
        "runners": runners,
        "bytes_s_idle": round(idle_b),
        "bytes_s_known": round(known_b),
        "cores_idle": round(idle_s, 5),
        "cores_known": round(known_s, 5),
        "memory_kb": round(_weigh() / 1024),
        "ended_by_one_at_once": fleet.count_crashes(_POISON),
    }


def _run(fleet: fleets.Fleet, instances: int) -> tuple[float, float]:
    """Returns bytes and processor seconds a second, for each instance."""
    sent, begun = fleet.bytes, time.process_time()
    fleet.run(_SECONDS)
    spent = time.process_time() - begun
    each = _SECONDS * instances
    return (fleet.bytes - sent) / each, spent / each


def _fill(suspected: quarantine.Quarantine, now: float) -> None:
    for number in range(_REQUESTS):
        digest = ids.RequestDigest((1 << 60) + number)
        ends = [
            crashes.Crash(
                place, now - 8.1 + 2.0 * place, now - 8.0 + 2.0 * place, 1
            )
            for place in range(3)
        ]
        suspected.tracker.restore(crashes.CrashHistory(digest, ends), now)


def _weigh() -> int:
    """Returns the bytes that one instance keeps of them."""
    tracemalloc.start()
    suspected = quarantine.Quarantine(
        registry.Registry(), "10.0.0.1", lambda runner, at: False, lambda: 100.0
    )
    before = tracemalloc.get_traced_memory()[0]
    _fill(suspected, 100.0)
    kept = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return kept


if __name__ == "__main__":
    result = json.dumps(measure(), indent=1)
    path = pathlib.Path(__file__).parent / "results" / "poison_cost.json"
    path.write_text(result + "\n")
    print(result)
