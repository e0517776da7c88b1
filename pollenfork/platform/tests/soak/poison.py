"""Plays one request that comes again and ends each runner that begins it."""

import asyncio
import pathlib
import random
import time
from typing import NamedTuple

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites

_PERIOD_S = 0.25
_ORDINARY = 6
_POPULAR = 2
_POPULAR_TEXT = "popular"
_KEY = "key-0"
# What the promise counts: sends later than this after the third end.
WINDOW_S = 3.0
_ENDS = 3
_RECOVERY_S = 2.0
# A request may cross a runner's end by this much, in seconds: it is sent on a
# connection whose close hasn't been read, or ends unread with the runner.
_CROSSING_S = 0.1


class Pause(NamedTuple):
    """The shortest and longest pause of a caller between requests, in seconds.

    With the long ones six ordinary callers send some 30 requests a second.
    """

    least_s: float
    most_s: float


LONG = Pause(0.02, 0.08)
SHORT = Pause(0.0, 0.01)


class Poisoned(msgspec.Struct):
    """What came of it.

    Attributes:
        asked: How often the request came.
        ended: Runners that it ended.
        late: Its sends to runners later than the window after the third end.
        others: The part of all other requests that was served meanwhile.
        popular: The same for one whose text is always the same.
        after: The part of other requests served afterwards.
        slowest_s: How long its caller waited for an answer, at most.
        others_asked: How many other requests came meanwhile.
        unexplained: Those not served that an end needn't have cost: not under
            way at a runner as it ended, or at one only and fit to run again.
    """

    asked: int
    ended: int
    late: int
    others: float
    popular: float
    after: float
    slowest_s: float
    others_asked: int
    unexplained: list[str]


async def play(
    kind: str,
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    pause: Pause = LONG,
    lingers_s: float = 0.0,
) -> Poisoned:
    """Sends it to each gateway in turn, beside other callers.

    Args:
        kind: The kind of its route.
        seed: Draws what is random.
        seconds: How long it comes.
        folder: For settings and logs.
        pause: Between two requests of each other caller.
        lingers_s: For how long a runner that it ends accepts connections.
    """
    site = sites.Site(seed, folder)
    site.lingers_s = lingers_s
    asked: list[caller.Asked] = []
    tasks = []
    try:
        await site.start(direct=True)
        tasks = _start_others(site, asked, seed, pause)
        await asyncio.sleep(_RECOVERY_S / 2)
        begun = time.monotonic()
        sent = await _send(site, kind, seed, seconds)
        ended = time.monotonic()
        await asyncio.sleep(_RECOVERY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    whole = [each for each in asked if each.ended]
    meanwhile = [each for each in whole if begun <= each.sent < ended]
    ends = [each.at for each in site.ended_by_requests]
    return Poisoned(
        asked=len(sent),
        ended=len(ends),
        late=_count_late(site, ends),
        others=_share([e for e in meanwhile if not _is_popular(e)]),
        popular=_share([e for e in meanwhile if _is_popular(e)]),
        after=_share([e for e in whole if e.sent > ended + _RECOVERY_S / 2]),
        slowest_s=max(each.ended - each.sent for each in sent),
        others_asked=len(meanwhile),
        unexplained=_list_unexplained(site, meanwhile),
    )


def _start_others(
    site: sites.Site, asked: list[caller.Asked], seed: int, pause: Pause
) -> list[asyncio.Task[None]]:
    tasks = []
    for number in range(_ORDINARY + _POPULAR):
        address = site.gateways[number % sites.INSTANCES].address
        rng = random.Random(seed * 1000 + number)
        sender = caller.Caller(address, rng, asked)
        text = _POPULAR_TEXT if number >= _ORDINARY else ""
        tasks.append(asyncio.create_task(_load(sender, rng, text, pause)))
    return tasks


async def _load(
    sender: caller.Caller, rng: random.Random, text: str, pause: Pause
) -> None:
    while True:
        kind = "safe" if text else rng.choice(sites.KINDS)
        await sender.ask(kind, _KEY, text)
        await asyncio.sleep(rng.uniform(*pause))


async def _send(
    site: sites.Site, kind: str, seed: int, seconds: float
) -> list[caller.Asked]:
    """Sends the request again and again; returns once all are answered."""
    sent: list[caller.Asked] = []
    rng = random.Random(seed)
    begun = time.monotonic()
    tasks = []
    while time.monotonic() < begun + seconds:
        gateway = site.gateways[len(tasks) % sites.INSTANCES]
        sender = caller.Caller(gateway.address, rng, sent)
        asking = sender.ask(kind, _KEY, runner.ENDING)
        tasks.append(asyncio.create_task(asking))
        await asyncio.sleep(_PERIOD_S)
    await asyncio.gather(*tasks)
    return sent


def _count_late(site: sites.Site, ends: list[float]) -> int:
    if len(ends) < _ENDS:
        return 0
    since = ends[_ENDS - 1] + WINDOW_S
    return sum(
        runner.ENDING in run.path and run.began > since
        for run in site.record.runs
    )


def _list_unexplained(site: sites.Site, asked: list[caller.Asked]) -> list[str]:
    """Returns the requests that no runner's end needed to cost."""
    found = []
    for each in asked:
        if each.status == 200 and each.whole:
            continue
        allowed = 1 if each.kind in ("unsafe", "stream") else 2
        if _count_lost(site, each, allowed) < allowed:
            found.append(f"{each.attempt} {each.kind} {each.status}")
    return found


def _count_lost(site: sites.Site, asked: caller.Asked, attempts: int) -> int:
    """Returns the ends of runners that a request was under way at.

    Args:
        site: The site.
        asked: The request.
        attempts: How often it may be sent; one that left no run may have
            crossed the end of a runner.
    """
    runs = {run.runner for run in site.record.list_runs(asked.attempt)}
    return sum(
        asked.sent <= ended.at + _CROSSING_S
        and asked.ended >= ended.at
        and (
            not runs
            or ended.runner in runs
            or (
                len(runs) < attempts
                and abs(asked.sent - ended.at) <= _CROSSING_S
            )
        )
        for ended in site.ended_by_requests
    )


def _is_popular(asked: caller.Asked) -> bool:
    return asked.path.endswith(_POPULAR_TEXT)


def _share(asked: list[caller.Asked]) -> float:
    served = sum(each.status == 200 and each.whole for each in asked)
    return served / len(asked) if asked else 0.0
