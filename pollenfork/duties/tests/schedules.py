"""Schedules of faults drawn from a seed, and what came of them.

`python -m pollenfork.duties.tests.schedules FIRST LAST` plays seeds and prints
those that don't hold.
"""

import logging
import sys

import msgspec

from pollenfork.duties.tests import judge
from pollenfork.duties.tests import world as worlds

_FAULTS_S = 30.0
_CALM_S = 14.0


class Played(msgspec.Struct):
    """What came of a seed.

    Attributes:
        seed: The seed.
        broken: What of the promise doesn't hold.
        missing: Windows that no report came for by the end.
        calls: Calls that reached the platform.
    """

    seed: int
    broken: list[str]
    missing: list[int]
    calls: int


def play(seed: int) -> Played:
    """Plays a seed."""
    world = worlds.World(seed, machines=(3, 5, 8)[seed % 3])
    world.run(4.0)
    first = int(world.now // worlds.WINDOW_S)
    begun = world.now
    while world.now < begun + _FAULTS_S:
        _draw_fault(world)
        world.run(world.rng.uniform(0.1, 3.0))
    _heal(world)
    world.run(_CALM_S)
    last = int((world.now - 1.0) // worlds.WINDOW_S)
    return Played(
        seed,
        judge.find_broken(world.calls, worlds.ALTERNATION_S),
        [w for w in range(first, last) if w not in world.acknowledged],
        len(world.calls),
    )


def _draw_fault(world: worlds.World) -> None:
    rng = world.rng
    holders = world.list_holders()
    machine = rng.choice(world.machines)
    if holders and rng.random() < 0.6:
        machine = holders[0]
    seconds = rng.uniform(0.2, 8.0)
    if rng.random() < 0.4:
        _change_answers(world)
        return
    match rng.randrange(5):
        case 0:
            machine.alive = False
            world.call_in(rng.uniform(0.3, 3.0), machine.start)
        case 1:
            world.freeze(machine, seconds)
        case 2:
            machine.to_store = False
            world.call_in(seconds, lambda: _reach_store(machine))
        case 3:
            machine.to_others = False
            world.call_in(seconds, lambda: _reach_others(machine))
        case 4:
            machine.alive = False
            machine.host = f"10.9.0.{rng.randrange(200)}"  # Replaced.
            world.call_in(rng.uniform(0.3, 3.0), machine.start)


def _change_answers(world: worlds.World) -> None:
    """Changes how the store and the platform answer."""
    rng = world.rng
    world.lost = rng.choice((0.0, 0.3))
    world.late = rng.choice((0.0, 0.3))
    world.slow_s = rng.choice((0.0, 1.0))
    world.platform_up = rng.random() < 0.7


def _reach_store(machine: worlds.Machine) -> None:
    machine.to_store = True


def _reach_others(machine: worlds.Machine) -> None:
    machine.to_others = True


def _heal(world: worlds.World) -> None:
    world.lost = world.late = world.slow_s = 0.0
    world.platform_up = True
    for each in world.machines:
        each.to_store = each.to_others = True
        each.frozen_until = min(each.frozen_until, world.now)
        if not each.alive:
            each.start()


def main(first: int, last: int) -> int:
    """Plays seeds and prints what doesn't hold; returns the exit status."""
    logging.disable()
    bad = 0
    for seed in range(first, last + 1):
        played = play(seed)
        if played.broken or played.missing:
            bad += 1
            print(played, flush=True)
    print(f"{last - first + 1} played, {bad} broken")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
