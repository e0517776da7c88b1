"""What the order of tiers costs an instance while a service is overloaded.

Usage: python -m benchmarks.tier_order_cost

All instances find two of seven tiers of a service pressed all the time and tell
each other through the exchange of loads. Bytes are what pressed tiers add to
those of an exchange without them; processor time is that of the decisions.
"""

import json
import pathlib
import random
import sys
import time

from pollenfork import ids
from pollenfork.loads import core
from pollenfork.loads import messages
from pollenfork.loads.tests import test_exchange
from pollenfork.shedding import order

# Instances, and requests a second of all callers together.
_SIZES = ((6, 60), (81, 810), (360, 3600))
_SERVICE = ids.ServiceName("lm-fleet")
_TIERS = tuple(ids.Tier(tier) for tier in range(7))
_PRESSED = _TIERS[1:3]
_WARM_UP_S = 2.0
_MEASURED_S = 1.0
_DECISIONS = 100_000
_RESULT = pathlib.Path(__file__).parent / "results" / "tier_order_cost.json"


def main() -> None:
    """Prints and writes the costs."""
    rows = [_measure(*size) for size in _SIZES]
    _RESULT.write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        sys.stdout.write(f"{row}\n")


def _measure(instances: int, per_s: int) -> dict:
    idle, _, _ = _exchange(instances, pressed=())
    used, announced, news = _exchange(instances, pressed=_PRESSED)
    decision_s = _time_decisions()
    return {
        "instances": instances,
        "bytes_per_s": round(used - idle),
        "announced_per_s": round(announced, 1),
        "received_per_s": round(news, 1),
        "decision_us": round(decision_s * 1e6, 2),
        "cores": round(decision_s * per_s / instances, 6),
    }


def _exchange(
    instances: int, pressed: tuple[ids.Tier, ...]
) -> tuple[float, float, float]:
    """Returns bytes sent, announcements and news, per instance and second."""
    network = test_exchange.Network(instances)
    network.run(_WARM_UP_S)
    rng = random.Random(1)
    orders = {host: order.TierOrder() for host in network.instances}
    announced = news = 0
    network.bytes = 0
    steps = int(_MEASURED_S / core.PERIOD_S)
    for _ in range(steps):
        for host, instance in network.instances.items():
            known = orders[host]
            for updates, at in instance.received_updates:
                known.receive(updates.pressures, at)
                news += len(updates.pressures)
            instance.received_updates.clear()
            for tier in pressed:
                at = network.now + rng.random() * core.PERIOD_S
                if known.record_pressure(_SERVICE, tier, at):
                    announced += 1
            instance.updates = messages.Updates(
                pressures=known.take_news(network.now + core.PERIOD_S)
            )
        network.run(core.PERIOD_S * 0.99)
    total = instances * _MEASURED_S
    return network.bytes / total, announced / total, news / total


def _time_decisions() -> float:
    """Returns the seconds that one request's decisions take."""
    known = order.TierOrder()
    for tier in _PRESSED:
        known.record_pressure(_SERVICE, tier, 100.0)
    began = time.process_time()
    for number in range(_DECISIONS):
        tier = _TIERS[number % len(_TIERS)]
        known.measure_opening(_SERVICE, tier, _TIERS, 100.2)
        known.may_refuse(_SERVICE, tier, _TIERS, 100.2)
    return (time.process_time() - began) / _DECISIONS


if __name__ == "__main__":
    main()
