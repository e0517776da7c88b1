"""CPU, gaps and first byte of the relay beside a bare socket relay.

Usage: python -m benchmarks.relay [--streams 50 200] [--relays bare plain]
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any

import msgspec
import psutil

RESULTS = pathlib.Path(__file__).parent / "results" / "relay.json"
_SETTLED_S = 1.5


class Row(msgspec.Struct, kw_only=True):
    """One relay at one number of streams; times in milliseconds.

    `load` is the machine's load average, since others share it.
    """

    relay: str
    streams: int
    cores: float
    us_per_event: float
    gap_p95: float
    gap_p99: float
    first_p95: float
    whole: int
    rss_mb: float
    threads: int
    load: float = 0.0


def _start(module: str, *arguments: Any) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", f"benchmarks.{module}"]
    command += [str(argument) for argument in arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def _read_line(process: subprocess.Popen[str]) -> str:
    assert process.stdout
    return process.stdout.readline()


def _find_quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] * 1e3


def measure(relay: str, streams: int, seconds: float) -> Row:
    """Returns the readings of `streams` answers through one relay."""
    engine = _start("relay_engine", seconds)
    server = _start("relay_servers", relay, int(_read_line(engine)))
    port = int(_read_line(server))
    client = _start("relay_client", port, streams)
    try:
        return _read(relay, streams, seconds, server.pid, client)
    finally:
        for process in (client, server, engine):
            process.kill()
            process.wait()


def _read(
    relay: str,
    streams: int,
    seconds: float,
    pid: int,
    client: subprocess.Popen[str],
) -> Row:
    process = psutil.Process(pid)
    # CPU is read in the middle: after the arrivals, before the endings.
    time.sleep(_SETTLED_S)
    before, began = sum(process.cpu_times()[:2]), time.monotonic()
    time.sleep(seconds - 2 * _SETTLED_S)
    cores = sum(process.cpu_times()[:2]) - before
    cores /= time.monotonic() - began
    rss, threads = process.memory_info().rss, process.num_threads()
    readings = json.loads(_read_line(client))
    return Row(
        relay=relay,
        streams=streams,
        cores=round(cores, 3),
        us_per_event=round(cores / (streams / 0.049) * 1e6, 1),
        gap_p95=round(_find_quantile(readings["gaps"], 0.95), 1),
        gap_p99=round(_find_quantile(readings["gaps"], 0.99), 1),
        first_p95=round(_find_quantile(readings["firsts"], 0.95), 1),
        whole=readings["whole"],
        rss_mb=round(rss / 1e6, 1),
        threads=threads,
        load=round(os.getloadavg()[0], 1),
    )


def _write_results(rows: list[Row]) -> None:
    """Replaces the rows measured now; those of other sizes stay."""
    RESULTS.parent.mkdir(exist_ok=True)
    kept: list[Row] = []
    if RESULTS.exists():
        kept = msgspec.json.decode(RESULTS.read_bytes(), type=list[Row])
    merged = {(row.streams, row.relay): row for row in [*kept, *rows]}
    ordered = [merged[key] for key in sorted(merged)]
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(ordered)))


def main() -> None:
    """Prints the table and writes the JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--streams", type=int, nargs="+", default=[50, 100, 200, 350]
    )
    parser.add_argument(
        "--relays", nargs="+", default=["bare", "plain", "relay", "entry"]
    )
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--trial", action="store_true", help="write no JSON")
    options = parser.parse_args()
    fields = Row.__struct_fields__
    print(" ".join(f"{field:>12}" for field in fields))
    rows = []
    for streams in options.streams:
        for relay in options.relays:
            row = measure(relay, streams, options.seconds)
            values = [str(getattr(row, field)) for field in fields]
            print(" ".join(f"{value:>12}" for value in values), flush=True)
            rows.append(row)
    if not options.trial:
        _write_results(rows)


if __name__ == "__main__":
    main()
