"""Plays a store that comes back from older copies, again and again.

By hand: `python -m pollenfork.platform.tests.soak.drills FIRST LAST`.
"""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import store

_GATEWAYS = 6
_INTERVAL_S = 1 / 60.0
_DRILLS = 3
_PERIOD_S = 7.0
# How long a request may be on its way, in seconds.
_SLACK_S = 0.3
_RECOVERY_S = 2.0
# Changes of other tables that each restoration loses.
_LOST_CHANGES = 60


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        revoked: Requests accepted over 2 s after their key was taken away.
        refused: Requests refused over 2 s after their key was given.
        left: Requests sent to a runner over 2 s after it said that it leaves.
        served: The part of requests with a lasting key served between drills.
        after: The same from two seconds after the last drill on.
        fencing: Numbers of the duties that were given out twice.
    """

    revoked: int
    refused: int
    left: int
    served: float
    after: float
    fencing: int


class _Period(msgspec.Struct):
    since: float
    until: float


async def play(seed: int, folder: pathlib.Path, drills: int) -> Played:
    """Sends requests to all gateways while the store is restored.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
        drills: How often the store is restored; 0 shows what else disturbs.
    """
    site = sites.Site(seed, folder, _GATEWAYS)
    away: list[_Period] = []
    try:
        await site.start(direct=True)
        for _ in range(4):
            await site.add_runner(direct=True)
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        tasks = [
            asyncio.create_task(each)
            for each in (_change(site, away, drills), site.supervise())
        ]
        await _load(site, begun)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    return _judge(site, away, begun)


async def _change(site: sites.Site, away: list[_Period], drills: int) -> None:
    """Changes keys and runners before and after each restoration."""
    rng = site.rng
    for number in range(_DRILLS):
        await asyncio.sleep(1.0)
        copy = site.store.save()
        for filler in range(_LOST_CHANGES):
            await site.store.put("other", str(filler), {})
        await site.revoke()
        await _leave(site)
        await asyncio.sleep(rng.uniform(0.6, 4.0))
        await site.revoke()
        if number < drills:
            since = time.monotonic()
            site.store.mood = store.Mood.SILENT
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            site.store.mood = store.Mood.WELL
            site.store.restore(copy)
            await site.store.rewrite()
            away.append(_Period(since, time.monotonic()))
        await site.revoke()
        await _leave(site)
        await asyncio.sleep(_PERIOD_S - 4.0)


async def _leave(site: sites.Site) -> None:
    """Lets a runner say that it leaves; it serves on until the end."""
    staying = sorted(set(site.runners) - set(site.gone))
    if len(staying) > 2:
        name = site.rng.choice(staying)
        site.gone[name] = await site.put_runner(name, "draining")


async def _load(site: sites.Site, begun: float) -> None:
    rng = random.Random(site.seed)
    sending: set[asyncio.Task[None]] = set()
    due = begun
    while due < begun + _DRILLS * _PERIOD_S + 4.0:
        gateway = rng.choice(site.gateways)
        sender = caller.Caller(gateway.address, rng, site.asked)
        keys = ["key-always", *sorted(site.keys), *list(site.revoked)[-3:]]
        key = rng.choice(keys) if rng.random() < 0.7 else "key-always"
        task = asyncio.create_task(_ask(sender, key))
        sending.add(task)
        task.add_done_callback(sending.discard)
        due += _INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*sending)


async def _ask(sender: caller.Caller, key: str) -> None:
    await sender.ask("safe", key)
    sender.close()


def _judge(site: sites.Site, away: list[_Period], begun: float) -> Played:
    asked = {each.attempt: each for each in site.asked}
    late_s = sites.APPLY_S + _SLACK_S
    revoked = [
        each
        for each in site.asked
        if each.status == 200
        and each.sent > site.revoked.get(each.key, float("inf")) + late_s
    ]
    refused = [
        each
        for each in site.asked
        if each.status == 401
        and each.key not in site.revoked
        and each.sent > site.added.get(each.key, begun) + late_s
    ]
    left = [
        each
        for each in site.record.arrivals
        if asked[each.attempt].sent
        > site.gone.get(each.runner, float("inf")) + late_s
    ]
    lasting = [each for each in site.asked if each.key == "key-always"]
    between = [
        each
        for each in lasting
        if not any(p.since < each.sent < p.until + _RECOVERY_S for p in away)
    ]
    last = max((period.until for period in away), default=begun)
    after = [each for each in lasting if each.sent > last + _RECOVERY_S]
    numbers: dict[int, set[str]] = {}
    for call in site.cloud.calls:
        numbers.setdefault(call.fencing, set()).add(call.machine)
    return Played(
        len(revoked),
        len(refused),
        len(left),
        _share(between),
        _share(after),
        sum(len(holders) > 1 for holders in numbers.values()),
    )


def _share(asked: list[caller.Asked]) -> float:
    served = sum(each.status == 200 and each.whole for each in asked)
    return served / len(asked) if asked else 0.0


def main() -> None:
    """Prints what came of each seed."""
    first, last = map(int, sys.argv[1:])
    for seed in range(first, last + 1):
        for drills in (0, _DRILLS):
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"drills-{seed}-"))
            played = asyncio.run(play(seed, folder, drills))
            print(f"seed {seed}, {drills} drills, logs in {folder}\n  {played}")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
