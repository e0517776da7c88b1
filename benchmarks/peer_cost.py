"""Bytes, CPU, memory and age of pressure at 2, 8, 24 and 60 members.

Every member is a real `Membership` in a process of its own on one machine, all
in one data centre. Bytes are of heartbeats, both directions, with IP and UDP
headers. The exchange between data centres is measured by
`benchmarks.peer_exchange`.

    python -m benchmarks.peer_cost [MEMBERS ...]
"""

import itertools
import json
import os
import pathlib
import statistics
import sys
import time

from benchmarks import peers
from pollenfork.membership import periods

RESULTS = pathlib.Path(__file__).parent / "results" / "peer_cost.json"
MEMBERS = (2, 8, 24, 60)
_WARM_S = 4.0
_MEASURED_S = 10.0
_JOIN_S = 30.0


def compute_age(ages: list[tuple[float, float]], part: float) -> float:
    """Returns the age that `part` of all moments stay below, in seconds.

    Args:
        ages: Stretches over which an age grew at the speed of time.
        part: 0 to 1.
    """
    total = sum(high - low for low, high in ages)
    low, high = 0.0, max(high for _, high in ages)
    for _ in range(40):
        middle = (low + high) / 2
        below = sum(max(0.0, min(middle, b) - a) for a, b in ages)
        if below < part * total:
            low = middle
        else:
            high = middle
    return high


def measure(members: int) -> dict[str, object]:
    """Returns the figures of one size."""
    names = [(f"amman-1-entry-{n:02d}", "amman-1") for n in range(members)]
    running = peers.start(names, members)
    try:
        joined_s = peers.wait_joined(running, _JOIN_S)
        time.sleep(_WARM_S)
        for peer in running.values():
            peer.pipe.send(("begin",))
        time.sleep(_MEASURED_S)
        found = [peer.ask("end") for peer in running.values()]
    finally:
        peers.stop(running.values())
    ages = list(itertools.chain.from_iterable(one["ages"] for one in found))
    cpus = [one["cpu"] * 100 for one in found]
    sizes = [one["bytes"] / 1000 for one in found]
    return {
        "members": members,
        "period_s": round(periods.compute_heartbeat_s(members), 3),
        "cpu_percent_mean": round(statistics.mean(cpus), 2),
        "cpu_percent_max": round(max(cpus), 2),
        "kb_per_s_mean": round(statistics.mean(sizes), 1),
        "kb_per_s_max": round(max(sizes), 1),
        "age_p50_ms": round(compute_age(ages, 0.50) * 1000),
        "age_p95_ms": round(compute_age(ages, 0.95) * 1000),
        "age_p99_ms": round(compute_age(ages, 0.99) * 1000),
        "rss_mb_mean": round(statistics.mean(o["rss"] for o in found) / 1e6, 1),
        "threads": max(one["threads"] for one in found),
        "joined_s": round(joined_s, 1),
        "missed": sum(one["missed"] for one in found),
        "events": sum(one["events"] for one in found),
        "load": round(os.getloadavg()[0], 1),
    }


def main(arguments: list[str]) -> None:
    """Prints one line for each size and adds it to the results."""
    counts = [int(one) for one in arguments] or MEMBERS
    known = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    for members in counts:
        found = measure(members)
        print(found, flush=True)
        known[str(members)] = found
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(known, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
