"""Fleets drawn from a seed: runners end for a request's or own reasons.

Run with `python -m pollenfork.poison.tests.drawn FIRST LAST`, it plays the
seeds and prints those that don't hold.
"""

import logging
import random
import sys

import msgspec

from pollenfork.poison.tests import fleet as fleets

POISON, POPULAR = 11, 22
# An innocent that is asked for is served again within this, in seconds, from
# when it was first kept back.
LONGEST_S = 5.0
_WARM_S = 2.0
_FAULTS_S = 8.0
_AFTER_S = 8.0
# Between two requests for the popular text, in seconds, at most: with fewer
# there is nobody to be served.
_SLOWEST_S = 0.5


class Played(msgspec.Struct):
    """What came of a seed.

    Attributes:
        seed: The seed.
        kept_s: The longest time without an answer for the popular text, from
            its first keeping back on.
        late: Sends of the ending request later than the window after its third
            end.
        ended: Runners that it ended.
    """

    seed: int
    kept_s: float
    late: int
    ended: int

    @property
    def holds(self) -> bool:
        """Whether the promises were kept."""
        return self.kept_s <= LONGEST_S and self.late <= 3


def play(seed: int) -> Played:
    """Plays a seed."""
    rng = random.Random(seed)
    fleet = fleets.Fleet(
        instances=rng.choice((3, 3, 8, 20)),
        runners=rng.choice((2, 3, 4, 4, 9, 30, 60)),
        seed=seed,
    )
    fleet.loss = rng.choice((0.0, 0.0, 0.05, 0.2))
    fleet.stale_s = rng.choice((0.0, 0.1, 0.4))
    gap_s = rng.choice((0.005, 0.02, 0.1, _SLOWEST_S))
    run_s = rng.uniform(0.02, 0.5)
    fleet.repeat(POPULAR, gap_s, _WARM_S + _FAULTS_S + _AFTER_S, run_s)
    fleet.run(_WARM_S)
    _draw_faults(fleet, rng)
    fleet.run(_FAULTS_S + _AFTER_S)
    return Played(
        seed,
        _find_longest(fleet),
        fleet.count_late(POISON) if POISON in fleet.sent else 0,
        fleet.count_ends(POISON),
    )


def _draw_faults(fleet: fleets.Fleet, rng: random.Random) -> None:
    if rng.random() < 0.7:
        fleet.poison.add(POISON)
        gap_s = rng.choice((0.05, 0.25, 0.7))
        fleet.repeat(POISON, gap_s, _FAULTS_S, rng.uniform(0.01, 0.1))
    if rng.random() < 0.5:
        gap_s = rng.uniform(0.02, 1.0)
        for number in range(rng.randint(1, 12)):
            _crash_later(fleet, rng, number * gap_s)
    if rng.random() < 0.3:
        moment = rng.uniform(0.0, 3.0)
        for _ in range(len(fleet.runners) // rng.choice((1, 2, 4))):
            _crash_later(fleet, rng, moment)


def _crash_later(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    name = rng.choice(sorted(fleet.runners))
    down_s = rng.uniform(0.1, 1.0)
    fleet.call_in(seconds, lambda: fleet.crash(name, down_s))


def _find_longest(fleet: fleets.Fleet) -> float:
    """Returns how long the popular text was kept back at a time, at most."""
    answered = fleet.answered_at.get(POPULAR, [])
    longest = 0.0
    for kept_at in fleet.kept_at.get(POPULAR, []):
        until = next((at for at in answered if at > kept_at), fleet.now)
        longest = max(longest, until - kept_at)
    return longest


def main(first: int, last: int) -> int:
    """Plays seeds and prints what doesn't hold; returns the exit status."""
    logging.disable()
    broken = 0
    kept = 0
    for seed in range(first, last + 1):
        played = play(seed)
        kept += played.kept_s > 0.0
        if not played.holds:
            broken += 1
            print(played, flush=True)
    print(
        f"{last - first + 1} played, {kept} with a keeping back, "
        f"{broken} broken"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
