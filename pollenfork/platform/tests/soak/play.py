"""Plays one seed: load, faults, recovery, judgement."""

import asyncio
import pathlib
import random

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import checks
from pollenfork.platform.tests.soak import faults
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import stream_forms

_CALLERS = 9
_RECOVERY_S = 4.0
_CALM_S = 1.5
# From this seed on, runners spoil some of their streams. None is unframed: the
# proxies before killed runners go on, and hide that these are gone.
_FIRST_SEED_WITH_SPOILED = 7000
_SPOILED = 0.1


class Played(msgspec.Struct):
    """What came of a seed.

    Attributes:
        broken: Promises broken, a line each.
        asked: Requests sent.
        served: Requests answered with success.
        faults: What was played, in order.
    """

    broken: list[str]
    asked: int
    served: int
    faults: list[str]


async def play(seed: int, seconds: float, folder: pathlib.Path) -> Played:
    """Plays a seed; its logs lie in `folder`."""
    site = sites.Site(seed, folder)
    if seed >= _FIRST_SEED_WITH_SPOILED:
        rng = random.Random(seed)
        site.forms = stream_forms.Forms(rng, spoiled=_SPOILED)
    asked = site.asked
    tasks = []
    try:
        await site.start()
        tasks.append(asyncio.create_task(site.supervise()))
        for number in range(_CALLERS):
            address = site.gateways[number % sites.INSTANCES].address
            rng = random.Random(seed * 1000 + number)
            sender = caller.Caller(address, rng, asked)
            load = _load(site, sender, rng)
            tasks.append(asyncio.create_task(load))
        played = await faults.play(site, seconds)
        site.stop_spoiling()
        await asyncio.sleep(_RECOVERY_S)
        settled = len(asked)
        await asyncio.sleep(_CALM_S)
        late = [each for each in asked[settled:] if each.ended]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    broken = checks.find_broken(site, asked)
    broken += _judge_recovery(late)
    served = sum(each.status == 200 and each.whole for each in asked)
    return Played(broken, len(asked), served, played)


def _judge_recovery(late: list[caller.Asked]) -> list[str]:
    good = sum(each.status in (200, 401) for each in late)
    if not late or good < 0.9 * len(late):
        return [f"after the faults {good} of {len(late)} were served"]
    return []


async def _load(
    site: sites.Site,
    sender: caller.Caller,
    rng: random.Random,
) -> None:
    while True:
        kind = rng.choice(sites.KINDS)
        keys = sorted(site.keys)
        # Some callers go on with a key that was taken away lately.
        if site.revoked and rng.random() < 0.3:
            keys = list(site.revoked)[-2:]
        key = rng.choice(keys)
        answer = await sender.ask(kind, key)
        if answer.status != 200:
            await asyncio.sleep(rng.uniform(0.05, 0.2))
        else:
            await asyncio.sleep(rng.uniform(0.0, 0.05))
