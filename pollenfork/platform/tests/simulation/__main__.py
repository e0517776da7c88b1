"""Plays many schedules: `python -m pollenfork.platform.tests.simulation`."""

import argparse
from collections.abc import Iterable
import functools
import logging
import multiprocessing
import sys

import msgspec

from pollenfork.platform.tests.simulation import judge
from pollenfork.platform.tests.simulation import play
from pollenfork.platform.tests.simulation import schedules

_PARTS = (0.5, 0.99, 0.999, 1.0)


def main() -> int:
    """Prints what doesn't hold, with the shortest schedule that shows it."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-100", help="first-last")
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--sizes", default="", help="such as 25,25,25")
    told = parser.parse_args()
    first, last = map(int, told.seeds.split("-"))
    sizes = tuple(map(int, filter(None, told.sizes.split(","))))
    logging.disable(logging.CRITICAL)
    outcomes: list[judge.Outcome] = []
    with multiprocessing.Pool(told.processes) as workers:
        seeds = range(first, last + 1)
        play_seed = functools.partial(_play, sizes=sizes)
        chunk = 1 if sizes else 4
        played = workers.imap(play_seed, seeds, chunksize=chunk)
        for seed, outcome in zip(seeds, played, strict=True):
            outcomes.append(outcome)
            if outcome.broken:
                _show(seed, sizes, outcome)
    _show_ages([age for each in outcomes for age in each.ages])
    broken = sum(bool(each.broken) for each in outcomes)
    stale_s = sum(each.stale_s for each in outcomes)
    calls = sum(each.calls for each in outcomes)
    print(
        f"schedules={len(outcomes)} broken={broken} stale_s={stale_s:.1f} "
        f"calls={calls}"
    )
    return 1 if broken else 0


def _play(seed: int, sizes: tuple[int, ...]) -> judge.Outcome:
    return play.run(schedules.draw(seed, sizes=sizes), seed)


def _show(seed: int, sizes: tuple[int, ...], outcome: judge.Outcome) -> None:
    for each in outcome.broken[:3]:
        print(
            f"seed={seed} {each.rule} {each.host} {each.at:.2f} {each.detail}"
        )
    if sizes:
        return  # A large site takes too long to be played for each step.
    short = play.shrink(schedules.draw(seed), seed, outcome.broken[0].rule)
    print(f"  {short.sizes} {_write(short.steps)}", flush=True)


def _write(steps: Iterable[schedules.Step]) -> str:
    return msgspec.json.encode(tuple(steps)).decode()


def _show_ages(ages: list[float]) -> None:
    ages.sort()
    shown = [
        f"p{part * 100:g}={ages[min(len(ages) - 1, int(len(ages) * part))]:.2f}"
        for part in _PARTS
        if ages
    ]
    print(f"ages={len(ages)} {' '.join(shown)} s")


if __name__ == "__main__":
    sys.exit(main())
