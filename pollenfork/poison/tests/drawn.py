"""Random fleets whose runners crash by a poison request or for other reasons.

`python -m pollenfork.poison.tests.drawn FIRST LAST` runs a range of seeds and
prints those that break a guarantee.
"""

import logging
import random
import sys

import msgspec

from pollenfork.poison.tests import fleet as fleets

POISON, POPULAR = 11, 22
# A harmless request that keeps coming is answered again within this many
# seconds from when it was first held back.
MAX_HELD_S = 5.0
_WARM_UP_S = 2.0
_FAULTS_S = 8.0
_RECOVERY_S = 8.0
# The longest interval between two popular requests, in seconds. With a longer
# one there would be too few requests to measure by.
_LONGEST_GAP_S = 0.5


class Result(msgspec.Struct):
    """The result of a seed.

    Attributes:
        seed: The seed.
        held_s: The longest time from when the popular request was held back
            until it was next answered.
        late: Sends of the poison request after the window of its third crash.
        crashed: Runners that it crashed.
    """

    seed: int
    held_s: float
    late: int
    crashed: int

    @property
    def passed(self) -> bool:
        """Whether the guarantees were kept."""
        return self.held_s <= MAX_HELD_S and self.late <= 3


def run_seed(seed: int) -> Result:
    """Runs a seed."""
    rng = random.Random(seed)
    fleet = fleets.Fleet(
        instances=rng.choice((3, 3, 8, 20)),
        runners=rng.choice((2, 3, 4, 4, 9, 30, 60)),
        seed=seed,
    )
    fleet.loss = rng.choice((0.0, 0.0, 0.05, 0.2))
    fleet.stale_s = rng.choice((0.0, 0.1, 0.4))
    gap_s = rng.choice((0.005, 0.02, 0.1, _LONGEST_GAP_S))
    run_s = rng.uniform(0.02, 0.5)
    fleet.repeat(POPULAR, gap_s, _WARM_UP_S + _FAULTS_S + _RECOVERY_S, run_s)
    fleet.run(_WARM_UP_S)
    _schedule_faults(fleet, rng)
    fleet.run(_FAULTS_S + _RECOVERY_S)
    return Result(
        seed,
        _find_longest_hold(fleet),
        fleet.count_late(POISON) if POISON in fleet.sent else 0,
        fleet.count_crashes(POISON),
    )


def _schedule_faults(fleet: fleets.Fleet, rng: random.Random) -> None:
    if rng.random() < 0.7:
        fleet.poison.add(POISON)
        gap_s = rng.choice((0.05, 0.25, 0.7))
        fleet.repeat(POISON, gap_s, _FAULTS_S, rng.uniform(0.01, 0.1))
    if rng.random() < 0.5:
        gap_s = rng.uniform(0.02, 1.0)
        for number in range(rng.randint(1, 12)):
            _schedule_crash(fleet, rng, number * gap_s)
    if rng.random() < 0.3:
        moment = rng.uniform(0.0, 3.0)
        for _ in range(len(fleet.runners) // rng.choice((1, 2, 4))):
            _schedule_crash(fleet, rng, moment)


def _schedule_crash(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    name = rng.choice(sorted(fleet.runners))
    down_s = rng.uniform(0.1, 1.0)
    fleet.call_in(seconds, lambda: fleet.crash(name, down_s))


def _find_longest_hold(fleet: fleets.Fleet) -> float:
    """Returns the longest time for which the popular request was held back."""
    answered = fleet.answered_at.get(POPULAR, [])
    longest = 0.0
    for held_at in fleet.held_at.get(POPULAR, []):
        until = next((at for at in answered if at > held_at), fleet.now)
        longest = max(longest, until - held_at)
    return longest


def main(first: int, last: int) -> int:
    """Runs seeds and prints those that fail; returns the exit status."""
    logging.disable()
    failed = 0
    held = 0
    for seed in range(first, last + 1):
        outcome = run_seed(seed)
        held += outcome.held_s > 0.0
        if not outcome.passed:
            failed += 1
            print(outcome, flush=True)
    print(
        f"{last - first + 1} seeds, {held} with a request held back, "
        f"{failed} failed"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
