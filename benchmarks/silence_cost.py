"""What it costs an instance to know when its runners were last heard.

Usage: python -m benchmarks.silence_cost

Times one instance alone: the messages of instances don't grow with it, as they
tell each other nothing of silences.
"""

import json
import pathlib
import random
import sys
import time

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import silence

# Instances, their runners, and events a second of all runners together.
_SIZES = ((6, 10, 25_000), (81, 135, 337_500), (360, 600, 1_500_000))
_PIECES = 200_000
_RESULT = pathlib.Path(__file__).parent / "results" / "silence_cost.json"


def main() -> None:
    """Prints and writes the costs."""
    rows = [_measure(*size) for size in _SIZES]
    _RESULT.write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        sys.stdout.write(f"{row}\n")


def _measure(instances: int, count: int, events_per_s: int) -> dict:
    runners = registry.Registry()
    chooser = choice.Chooser(runners, random.Random(1))
    names = [ids.EndpointId(f"i-{number}") for number in range(count)]
    for name in names:
        runners.put(
            model.Runner(
                id=name,
                service=ids.ServiceName("s"),
                host="127.0.0.1",
                port=1,
                data_centre=ids.DataCentre("a"),
                slots=32,
                leaving=False,
                cold_s=0.0,
                version=ids.SoftwareVersion("v1"),
            )
        )
        chooser.get_state(name)
    began = time.process_time()
    for number in range(_PIECES):
        chooser.record_heard(names[number % count], number * 1e-3)
    piece_s = (time.process_time() - began) / _PIECES
    state_bytes = sys.getsizeof(silence.Silence())
    return {
        "instances": instances,
        "runners": count,
        "piece_us": round(piece_s * 1e6, 2),
        "cores": round(piece_s * events_per_s / instances, 5),
        "state_kb": round(count * state_bytes / 1024, 1),
    }


if __name__ == "__main__":
    main()
