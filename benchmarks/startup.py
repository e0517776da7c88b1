"""Start-up time and memory of one entry instance, alone, by accounts held.

Usage: python -m benchmarks.startup [--accounts 0 42000] [--runs 3]

The platform stand-in runs in this process; the entry instance is a process
of its own, started cold each time, and measured when it has become ready.
"""

import argparse
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import msgspec
import psutil
import urllib3

from pollenfork import clock
from pollenfork.settings import first
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.standin.platform import config as platform_config
from pollenfork.standin.platform import front
from pollenfork.store import client

RESULTS = pathlib.Path(__file__).parent / "results" / "startup.json"
_TEAM_SIZE = 100
_POLL_S = 0.01
_IDLE_S = 3.0
_LISTENING = "listening on "


class Row(msgspec.Struct, kw_only=True):
    """One number of accounts; medians over the runs, with the spread.

    Attributes:
        listen_s: From the process's start until callers can connect.
        ready_s: From the process's start until it is ready.
        ready_spread_s: The slowest start minus the quickest.
        rss_mb: Resident memory at rest, once ready.
        idle_cores: Processor time at rest over the time, without peers.
        threads: Of the process.
    """

    accounts: int
    runs: int
    listen_s: float
    ready_s: float
    ready_spread_s: float
    rss_mb: float
    idle_cores: float
    threads: int


class _Start(msgspec.Struct):
    listen_s: float
    ready_s: float
    rss_mb: float
    idle_cores: float
    threads: int


def make_tree(accounts: int) -> model.Tree:
    """Returns a tree of so many accounts, a hundred in a team."""
    classes = {
        "morning": model.ServiceClass(tier=0),
        "logs": model.ServiceClass(tier=6),
    }
    teams = {}
    for begin in range(0, accounts, _TEAM_SIZE):
        held = {
            f"account-{number}": model.Account(
                key_sha256=snapshot.hash_key(f"key-{number}"),
                classes=("morning", "logs"),
                default_class="morning",
            )
            for number in range(begin, min(begin + _TEAM_SIZE, accounts))
        }
        teams[f"team-{begin}"] = model.TeamSettings(
            classes=classes, accounts=held
        )
    ceilings = {team: model.Ceiling() for team in teams}
    return model.Tree(root=model.RootSettings(ceilings=ceilings), teams=teams)


def measure(accounts: int, runs: int) -> Row:
    """Returns the readings of so many cold starts."""
    standin = front.PlatformStandin(
        platform_config.PlatformConfig(reads_per_s=1e6), clock.SystemClock()
    )
    address = standin.start()
    try:
        table = client.HttpTable(client.Channel(address))
        first.write_tree(
            table, make_tree(accounts), clock.SystemClock()
        ).unwrap()
        starts = [_start_once(address) for _ in range(runs)]
    finally:
        standin.stop()
    readies = [start.ready_s for start in starts]
    return Row(
        accounts=accounts,
        runs=runs,
        listen_s=_find_median([start.listen_s for start in starts]),
        ready_s=_find_median(readies),
        ready_spread_s=round(max(readies) - min(readies), 3),
        rss_mb=_find_median([start.rss_mb for start in starts]),
        idle_cores=_find_median([start.idle_cores for start in starts]),
        threads=starts[0].threads,
    )


def _start_once(platform: str) -> _Start:
    settings = {
        "instance": "entry-1",
        "data_centre": "a",
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": platform,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "entry.json"
        path.write_text(json.dumps(settings))
        return _start_with(path)


def _start_with(path: pathlib.Path) -> _Start:
    began = time.monotonic()
    started = subprocess.Popen(
        [sys.executable, "-m", "pollenfork", "entry", "--settings", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        assert started.stdout
        line = started.stdout.readline()
        listen_s = time.monotonic() - began
        _wait_until_ready(line.removeprefix(_LISTENING).strip())
        ready_s = time.monotonic() - began
        return _read(psutil.Process(started.pid), listen_s, ready_s)
    finally:
        started.kill()
        started.wait()


def _wait_until_ready(address: str) -> None:
    while urllib3.request("GET", f"http://{address}/readyz").status != 200:
        time.sleep(_POLL_S)


def _read(process: psutil.Process, listen_s: float, ready_s: float) -> _Start:
    time.sleep(_IDLE_S)
    before = sum(process.cpu_times()[:2])
    time.sleep(_IDLE_S)
    cores = (sum(process.cpu_times()[:2]) - before) / _IDLE_S
    return _Start(
        listen_s,
        ready_s,
        process.memory_info().rss / 1e6,
        cores,
        process.num_threads(),
    )


def _find_median(values: list[float]) -> float:
    return round(statistics.median(values), 4)


def main() -> None:
    """Prints the table and writes the JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--accounts", type=int, nargs="+", default=[0, 1000, 10_000, 42_000]
    )
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    fields = Row.__struct_fields__
    print(" ".join(f"{field:>14}" for field in fields))
    rows = []
    for accounts in options.accounts:
        rows.append(measure(accounts, options.runs))
        values = [str(getattr(rows[-1], field)) for field in fields]
        print(" ".join(f"{value:>14}" for value in values), flush=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


if __name__ == "__main__":
    main()
