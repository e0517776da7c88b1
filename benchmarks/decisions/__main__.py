"""Runs the fault table and writes the results page and its JSON.

    python -m benchmarks.decisions [--quick] [--only TEXT]

Virtual time: the figures don't depend on the machine or on what else it does.
"""

import argparse
import concurrent.futures
import pathlib
import random
import sys

import msgspec

from benchmarks.decisions import driver
from benchmarks.decisions import faults
from benchmarks.decisions import page
from benchmarks.decisions import results
from benchmarks.decisions import workload

INSTANCES = 6
SEEDS = (1, 2, 3)
BASELINES = ("fifo-round-robin", "fifo-least-in-flight", "tiers-alone")
POLICIES = (*BASELINES, "pollenfork")
JOINT = (
    "tiers-alone",
    "fixed-share",
    "subset",
    "split-only",
    "headroom-only",
    "pollenfork",
)
JOINT_INSTANCES = (1, 2, 6, 8)
PROCESSES = 4

_JSON = pathlib.Path("benchmarks/results/decisions.json")
_PAGE = pathlib.Path("docs/results/decisions.md")
_ROWS = {row.name: row for row in faults.ROWS}


class Case(msgspec.Struct, frozen=True):
    """One run to do."""

    row: str
    policy: str
    instances: int
    seed: int
    engines: int = workload.ENGINES
    seconds: float = page.SECONDS


class Figure(msgspec.Struct):
    """One run and what it came to."""

    case: Case
    result: results.Result


def run(case: Case) -> Figure:
    """Plays one run."""
    row = _ROWS[case.row]
    world = driver.World(case.policy, case.instances, case.seed, case.engines)
    rng = random.Random(case.seed + 100)
    arrivals = workload.list_arrivals(row.load, case.seconds, rng, case.engines)
    if row.fault is not None:
        row.fault(world)
    world.run(arrivals, 2 * case.seconds)
    return Figure(case, results.measure(world, case.seconds))


def list_cases(seeds: tuple[int, ...], only: str) -> list[Case]:
    """Returns the fault table's runs and those of the joint action."""
    table = [
        Case(row.name, policy, INSTANCES, seed)
        for row in faults.ROWS
        for policy in POLICIES
        for seed in seeds
        if only in row.name
    ]
    joint = [
        Case(row, policy, instances, seed)
        for row in page.JOINT_ROWS
        for policy in JOINT
        for instances in JOINT_INSTANCES
        for seed in seeds
        if not only
    ]
    slope = [
        Case(
            page.SLOPE_ROW,
            "pollenfork",
            instances,
            1,
            engines,
            page.SLOPE_SECONDS,
        )
        for instances, engines in page.SLOPE
        if not only
    ]
    # The longest first, so that no process ends alone with it.
    return list(dict.fromkeys([*reversed(slope), *table, *joint]))


def main() -> int:
    """Runs every case, prints the tables and writes them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="one seed")
    parser.add_argument("--only", default="", help="rows with this text")
    arguments = parser.parse_args()
    seeds = SEEDS[:1] if arguments.quick else SEEDS
    cases = list_cases(seeds, arguments.only)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        figures = list(pool.map(run, cases, chunksize=1))
    text = page.write(figures, POLICIES, JOINT, INSTANCES)
    print(text)
    if not arguments.only and not arguments.quick:
        _JSON.parent.mkdir(parents=True, exist_ok=True)
        _PAGE.parent.mkdir(parents=True, exist_ok=True)
        _JSON.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
        _PAGE.write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
