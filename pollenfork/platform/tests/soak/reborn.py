"""Plays runners that start again under their ids at another software version.

Several do within a second or two, or two that can't write to the store do so
twice. Gateways are killed and start again meanwhile. By hand:
`python -m pollenfork.platform.tests.soak.reborn FIRST LAST [SCENE...]`.
"""

import asyncio
from collections.abc import Awaitable, Callable
import pathlib
import signal
import sys
import tempfile

from pollenfork.platform.tests.soak import rollout
from pollenfork.platform.tests.soak import site as sites

_OLD, _NEW = "v1.1", "v1.2"
_RUNNERS = 8
_INTERVAL_S = 0.15
CALLERS = 30
# Runners that start again in place, and the seconds between two of them.
_RESTARTED = 4
_SPACING_S = (0.3, 0.7)
_AWAY_S = (0.25, 0.6)
# How late their entries are written in one scene.
_LATE_S = (0.3, 0.9)
# A gateway is killed so long after the first restart, or several are.
_KILLED_AFTER_S = {"starts": (0.1, 0.5)}
_KILLED_ONCE_AFTER_S = (1.5,)
# Runners that can't write to the store, and for how long they can't.
_CUT = 2
_CUT_AWAY_S = 0.5
_CUT_BACK_S = 1.2


async def play(
    seed: int,
    folder: pathlib.Path,
    scene: str = "restarts",
    callers: int = CALLERS,
) -> rollout.Played:
    """Sends streams to all gateways while runners start again.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
        scene: What happens to the runners.
        callers: How many callers ask for one stream after the other.
    """
    site = sites.Site(seed, folder)
    site.version = _OLD
    streams: list[rollout.Stream] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start(direct=True)
        for _ in range(_RUNNERS - len(site.runners)):
            await site.add_runner(direct=True)
        rollout.set_pace(site, _INTERVAL_S)
        await asyncio.sleep(1.0)
        tasks.append(asyncio.create_task(site.supervise()))
        for number in range(callers):
            load = rollout.load(site, seed * 1000 + number, streams)
            tasks.append(asyncio.create_task(load))
        await asyncio.sleep(1.0)
        loop = asyncio.get_running_loop()
        times = _KILLED_AFTER_S.get(scene, _KILLED_ONCE_AFTER_S)
        chosen = site.rng.sample(site.gateways, len(times))
        kills = [
            loop.call_later(after_s, gateway.send, signal.SIGKILL)
            for after_s, gateway in zip(times, chosen, strict=True)
        ]
        await SCENES[scene](site)
        for kill in kills:
            kill.cancel()
        await asyncio.sleep(2.0)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    return rollout.sum_up(site, streams)


async def _restart_some(
    site: sites.Site, unwritten_s: tuple[float, float] = (0.0, 0.0)
) -> None:
    """Lets some runners start again, one soon after the other."""
    restarts = []
    for name in sorted(site.runners)[:_RESTARTED]:
        restart = site.restart_runner(
            name,
            vanishes=False,
            away_s=site.rng.uniform(*_AWAY_S),
            version=_NEW,
            unwritten_s=site.rng.uniform(*unwritten_s),
        )
        restarts.append(asyncio.create_task(restart))
        await asyncio.sleep(site.rng.uniform(*_SPACING_S))
    await asyncio.gather(*restarts)


async def _restart_unwritten(site: sites.Site) -> None:
    """Lets some runners start again whose entries are written late."""
    await _restart_some(site, _LATE_S)


async def _restart_behind_cut(site: sites.Site) -> None:
    """Lets runners that can't write to the store start again, twice."""
    names = sorted(site.runners)[:_CUT]
    back_s = _CUT_BACK_S + site.rng.uniform(0.0, 0.6)
    for unwritten_s in (2 * back_s, 0.01):
        restarts = [
            asyncio.create_task(
                site.restart_runner(
                    name,
                    vanishes=False,
                    away_s=_CUT_AWAY_S,
                    version=_NEW,
                    unwritten_s=unwritten_s,
                )
            )
            for name in names
        ]
        await asyncio.sleep(_CUT_AWAY_S + back_s)
    await asyncio.gather(*restarts)


SCENES: dict[str, Callable[[sites.Site], Awaitable[None]]] = {
    "restarts": _restart_some,
    "late": _restart_unwritten,
    "cut": _restart_behind_cut,
    # The same, and most gateways start again between the two restarts.
    "starts": _restart_behind_cut,
}


def main() -> None:
    """Prints what came of each seed."""
    first, last = map(int, sys.argv[1:3])
    for seed in range(first, last + 1):
        for scene in sys.argv[3:] or SCENES:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"reborn-{seed}-"))
            played = asyncio.run(play(seed, folder, scene))
            print(f"seed {seed}, {scene}, logs in {folder}\n  {played}")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
