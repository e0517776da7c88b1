"""Runs seeds one after the other, or several at a time."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from pollenfork.platform.tests.soak import play


def main() -> int:
    """Returns 1 where any seed broke a promise."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--jobs", type=int, default=3)
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = asyncio.run(_run(list(seeds), given.seconds, given.jobs))
    print(f"{len(seeds)} seeds, {broken} with a promise broken")
    return 1 if broken else 0


async def _run(seeds: list[int], seconds: float, jobs: int) -> int:
    free = asyncio.Semaphore(jobs)
    results = await asyncio.gather(
        *(_run_one(seed, seconds, free) for seed in seeds)
    )
    return sum(results)


async def _run_one(seed: int, seconds: float, free: asyncio.Semaphore) -> bool:
    async with free:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        played = await play.play(seed, seconds, folder)
    print(
        f"seed {seed}: {played.asked} asked, {played.served} served, "
        f"{len(played.faults)} faults, {len(played.broken)} broken"
    )
    for line in played.broken[:10]:
        print(f"  {line}")
    if played.broken:
        print(f"  logs in {folder}; faults: {', '.join(played.faults)}")
    return bool(played.broken)


if __name__ == "__main__":
    sys.exit(main())
