"""Load on eight entry instances while some die, stop, or lose the platform.

Usage: python -m benchmarks.recovery [killed] [stopped] [outage]

Six engine stand-ins, the platform stand-in, a plain service and the eight
instances are processes of their own; the load and a balancer, which asks each
instance for its readiness twice a second and leaves out those that aren't
ready, run in this one. One load class per phase shows attainment before,
during and after.
"""

from collections.abc import Callable
import concurrent.futures
import json
import pathlib
import sys
import tempfile
import threading
import time

import msgspec
import urllib3

from pollenfork import clock
from pollenfork.load import report
from pollenfork.load import runner
from pollenfork.load import scenario as scenarios
from tests import processes
from tests import sites
from tests import streams

RESULTS = pathlib.Path(__file__).parent / "results" / "recovery.json"
ENTRIES = 8
ENGINES = 6
_RATES = {"morning": 8.0, "logs": 4.0}
_PHASES = ("before", "during", "after")
_BALANCER_S = 0.5
_POLL_S = 0.05
_WATCH_S = 20.0
_RECORDS = 6
_UNKNOWN = "outcome_unknown"
_HARMLESS = ("refused:", "not_sent:")


class Row(msgspec.Struct, kw_only=True):
    """One scenario; times in seconds from the fault.

    Attributes:
        attainment: By class and phase.
        sent: By class and phase.
        lost: Requests without a whole answer that weren't refused as not
            run, by class, phase and reason.
        refused: Requests refused as not run, in the same way.
        seen_lost_s: When the survivors saw all of the killed as lost, the
            first and the last of them.
        open_records: Postings that ran or were claimed when their instance
            was killed.
        unknown_s: When a repeat of each was first told that its outcome is
            unknown, no longer that it runs.
        most_runs: Of any posting.
        exits: Exit statuses of the stopped instances.
    """

    name: str
    attainment: dict[str, float]
    sent: dict[str, int]
    lost: dict[str, int]
    refused: dict[str, int]
    broken: int
    seen_lost_s: tuple[float, float] | None = None
    open_records: int = 0
    unknown_s: list[float] = []
    most_runs: int = 0
    exits: list[int] = []


class Balancer:
    """Keeps a list of the instances that say they are ready."""

    def __init__(self, site: processes.Site) -> None:
        self._entries = [entry.address for entry in site.entries]
        self.addresses = list(self._entries)
        self._pool = urllib3.PoolManager(retries=False, timeout=1.0)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Ends the checks."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.wait(_BALANCER_S):
            ready = [name for name in self._entries if self._is_ready(name)]
            self.addresses[:] = ready or self._entries

    def _is_ready(self, address: str) -> bool:
        url = f"http://{address}/readyz"
        try:
            return self._pool.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def make_scenario(lengths: tuple[float, float, float]) -> scenarios.Scenario:
    """Returns the load, with a class for each kind and phase."""
    classes = {
        f"{kind}-{phase}": scenarios.LoadClass(
            key=sites.KEY, service_class=kind, model="lines"
        )
        for kind in _RATES
        for phase in _PHASES
    }
    phases = tuple(
        scenarios.Phase(
            duration_s=length_s,
            rates={f"{kind}-{phase}": rate for kind, rate in _RATES.items()},
        )
        for phase, length_s in zip(_PHASES, lengths, strict=True)
    )
    return scenarios.Scenario(classes=classes, phases=phases, timeout_s=30.0)


def run_load(
    site: processes.Site,
    lengths: tuple[float, float, float],
    cause: Callable[[], dict[str, object]],
    name: str,
) -> Row:
    """Runs the load, causes the fault when the first phase is over."""
    balancer = Balancer(site)
    engines = tuple(engine.address for engine in site.engines)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            runner.run,
            make_scenario(lengths),
            balancer.addresses,
            engines,
            clock.SystemClock(),
        )
        time.sleep(lengths[0])
        seen = cause()
        measured = running.result()
    balancer.stop()
    return make_row(name, measured, seen)


def make_row(
    name: str, measured: report.Report, seen: dict[str, object]
) -> Row:
    """Returns the figures of one scenario."""
    classes = measured.classes
    ends = {
        f"{kind} {reason}": count
        for kind, figures in classes.items()
        for reason, count in figures.reasons.items()
    }
    refused = {
        key: count
        for key, count in ends.items()
        if key.split(" ", 1)[1].startswith(_HARMLESS)
    }
    return Row(
        name=name,
        attainment={k: round(v.attainment, 3) for k, v in classes.items()},
        sent={k: v.sent for k, v in classes.items()},
        lost={k: n for k, n in ends.items() if k not in refused},
        refused=refused,
        broken=measured.broken,
        **seen,  # type: ignore[arg-type]
    )


def kill_three(site: processes.Site) -> dict[str, object]:
    """Kills three of the eight with postings under way; watches the rest."""
    killed, others = site.entries[:3], site.entries[3:]
    site.set_faults(site.meters, delay_s=1.0)
    keys = [f"record-{number}" for number in range(_RECORDS)]
    pool = concurrent.futures.ThreadPoolExecutor(_RECORDS + len(others))
    for number, key in enumerate(keys):
        entry = killed[number % len(killed)]
        pool.submit(site.post, entry, streams.POSTINGS, streams.POSTING, key)
    sites.wait_until(lambda: count_claims(site) == _RECORDS)
    names = [str(site.get_name(entry)) for entry in killed]
    began = time.monotonic()
    for entry in killed:
        entry.kill()
    watching = [
        pool.submit(watch_lost, site, entry, names, began) for entry in others
    ]
    unknown = watch_unknown(site, others[0], keys, began)
    seen = sorted(watch.result() for watch in watching)
    pool.shutdown()
    runs = [posting["key"] for posting in site.read_json(site.meters, "/runs")]
    return {
        "seen_lost_s": (round(seen[0], 2), round(seen[-1], 2)),
        "open_records": _RECORDS,
        "unknown_s": [round(at, 2) for at in unknown],
        "most_runs": max((runs.count(key) for key in set(runs)), default=0),
    }


def count_claims(site: processes.Site) -> int:
    """Returns how many postings have a record."""
    rows = site.read_json(site.platform, "/table/rows?prefix=ledger/")
    return len(rows["rows"])  # type: ignore[call-overload,no-any-return]


def watch_lost(
    site: processes.Site,
    entry: processes.Program,
    names: list[str],
    began: float,
) -> float:
    """Returns when an instance held all of them for lost."""
    while time.monotonic() < began + _WATCH_S:
        states = site.read_states(entry)
        if all(states.get(name) == "lost" for name in names):
            return time.monotonic() - began
        time.sleep(_POLL_S)
    return float("inf")


def watch_unknown(
    site: processes.Site,
    entry: processes.Program,
    keys: list[str],
    began: float,
) -> list[float]:
    """Returns when a repeat of each first had an unknown outcome."""
    found: dict[str, float] = {}
    while len(found) < len(keys) and time.monotonic() < began + _WATCH_S:
        for key in set(keys) - found.keys():
            again = site.post(entry, streams.POSTINGS, streams.POSTING, key)
            if again.json()["error"]["code"] == _UNKNOWN:
                found[key] = time.monotonic() - began
        time.sleep(_POLL_S)
    return sorted(found.values())


def stop_four(site: processes.Site) -> dict[str, object]:
    """Tells four of the eight to stop at once."""
    stopped = site.entries[:4]
    for entry in stopped:
        entry.terminate()
    return {"exits": [entry.wait() for entry in stopped]}


def cut_platform(site: processes.Site, length_s: float) -> dict[str, object]:
    """Takes the platform down for some seconds."""
    site.set_faults(site.platform, down=True)
    time.sleep(length_s)
    site.set_faults(site.platform, down=False)
    return {}


def measure(name: str) -> Row:
    """Returns one scenario's row, from a site of its own."""
    with tempfile.TemporaryDirectory() as folder:
        site = streams.start_site(
            pathlib.Path(folder), entries=0, engines=ENGINES
        )
        try:
            for _ in range(ENTRIES):
                site.start_entry(ready=False)
            site.wait_until_joined()
            if name == "killed":
                return run_load(
                    site, (10, 10, 10), lambda: kill_three(site), name
                )
            if name == "stopped":
                return run_load(
                    site, (10, 10, 10), lambda: stop_four(site), name
                )
            return run_load(
                site, (4, 60, 3), lambda: cut_platform(site, 60), name
            )
        finally:
            site.close()


def main() -> None:
    """Measures the scenarios named, all by default."""
    names = sys.argv[1:] or ["killed", "stopped", "outage"]
    kept: dict[str, object] = {}
    if RESULTS.exists():
        kept = json.loads(RESULTS.read_bytes())
    for name in names:
        row = msgspec.to_builtins(measure(name))
        kept[name] = row
        print(json.dumps(row, indent=2))
        RESULTS.write_text(json.dumps(kept, indent=2) + "\n")


if __name__ == "__main__":
    main()
