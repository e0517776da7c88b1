"""What samples of runners' paces cost: the table, and the exchange of them.

Run as `python -m benchmarks.pace_cost`.
"""

from collections.abc import Callable
import json
import pathlib
import random
import time

from benchmarks import loads_cost
from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.loads import updates
from pollenfork.pace import estimator

_RATE_PER_S = 200
_TICK_S = 0.05
_RUNNERS = 600
# Instances, data centres, runners that an instance uses at a time, and seconds.
_SIZES = ((6, 3, 10, 4.0), (81, 3, 70, 4.0), (360, 6, 100, 1.0))


def _make_sample(rng: random.Random, runners: int) -> messages.PaceSample:
    interval_ms = rng.uniform(18, 50)
    return messages.PaceSample(rng.randrange(runners), interval_ms)


def measure_table() -> dict[str, float]:
    """Returns what a table costs at the highest rate."""
    rng = random.Random(1)
    service = ids.ServiceName("s")
    known = {
        number: estimator.KnownRunner(ids.EndpointId(f"r{number}"), service)
        for number in range(_RUNNERS)
    }
    table = estimator.PaceTable(known.get)
    now = 100.0
    begun = 0.0
    for tick in range(1000):
        if tick == 600:  # As many samples are known as can be.
            begun = time.process_time()
        now += _TICK_S
        count = int(_RATE_PER_S * _TICK_S)
        samples = [_make_sample(rng, _RUNNERS) for _ in range(count)]
        table.record_shared(samples, now)
        table.refresh(now)
    cores = (time.process_time() - begun) / (400 * _TICK_S)
    begun = time.process_time()
    for _ in range(1000):
        for runner in range(70):
            table.get_pace(runner)
    calls_us = (time.process_time() - begun) * 1000
    return {"cores": round(cores, 4), "calls_70_us": round(calls_us, 1)}


def _make_source(
    rng: random.Random, share: float
) -> Callable[[float], messages.Updates]:
    def take(now: float) -> messages.Updates:
        count = int(share) + (rng.random() < share % 1)
        samples = (_make_sample(rng, 2**32) for _ in range(count))
        return messages.Updates(
            tuple(updates.shorten(each) for each in samples)
        )

    return take


def measure_exchange(
    count: int, centres: int, runners: int, seconds: float, rate: int
) -> dict[str, float]:
    """Returns what all instances send and need at a rate of samples."""
    rng = random.Random(5)
    fleet = loads_cost._Fleet(count, centres, runners)
    for instance in fleet.instances.values():
        source = _make_source(rng, rate / count * _TICK_S)
        vars(instance)["take_updates"] = source
    fleet.run(3.0)
    fleet.run(seconds)
    cores = sorted(each / seconds for each in fleet.seconds.values())
    sent = [each / seconds / 1000 for each in fleet.sent.values()]
    return {
        "instances": count,
        "samples_s": rate,
        "cores_median": round(cores[count // 2], 4),
        "cores_most": round(cores[-1], 4),
        "sent_kb_s_mean": round(sum(sent) / count, 2),
        "sent_kb_s_most": round(max(sent), 2),
    }


if __name__ == "__main__":
    rows: list[dict[str, float]] = [measure_table()]
    for size in _SIZES:
        rows += [measure_exchange(*size, rate) for rate in (0, _RATE_PER_S)]
    result = json.dumps(rows, indent=1)
    path = pathlib.Path(__file__).parent / "results" / "pace_cost.json"
    path.write_text(result + "\n")
    print(result)
