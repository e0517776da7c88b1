"""Plays runners that say that they are brittle, and then have less room.

By hand: `python -m pollenfork.platform.tests.soak.brittle FIRST LAST`.
"""

import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import checks
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites

_GATEWAYS = 6
_LIMIT = 5
_PLACES = 3
# The mean time that a stand-in takes for a request of each kind, in seconds.
_TIMES_S = {"safe": 0.035, "unsafe": 0.035, "stream": 0.235, "resume": 0.235}
# Requests a second that four runners with three places each can run, and what
# callers ask for of that.
_CAPACITY = 4 * _PLACES / (sum(_TIMES_S.values()) / len(_TIMES_S))
_DEMAND = 1.3
_AWAY_S = 3.0
# From the start, in seconds: when the runners begin to say it, when they have
# less room, when both are over, and the end.
_SAID_S = 2.0
_SMALL_S = 5.0
_OVER_S = 12.0
_END_S = 15.0
# How long the gateways may take to use the room that is left, and after it.
_SETTLED_S = 1.5


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        broken: Promises broken, a line each.
        falls: How often runners fell over.
        told: The part of requests served once runners say it.
        small: The part of what the runners could run that was served while
            they have less room.
        after: The part of requests served afterwards.
        without_hint: Refused callers that weren't told when to come back.
    """

    broken: list[str]
    falls: int
    told: float
    small: float
    after: float
    without_hint: int


async def play(seed: int, folder: pathlib.Path, kills: bool = False) -> Played:
    """Sends requests to all gateways at random while runners are brittle.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
        kills: Whether a gateway is killed meanwhile.
    """
    site = sites.Site(seed, folder, _GATEWAYS)
    falls: list[float] = []
    try:
        await site.start(direct=True)
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        tasks = [
            asyncio.create_task(each)
            for each in (_change(site, falls, kills), site.supervise())
        ]
        await _load(site, begun)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    return _judge(site, begun, len(falls))


async def _change(site: sites.Site, falls: list[float], kills: bool) -> None:
    """Lets all runners say it, have less room, and be as before."""
    returning: set[asyncio.Task[None]] = set()

    def fall(fallen: runner.Runner) -> None:
        if fallen.name in site.restarting:
            return
        falls.append(time.monotonic())
        task = asyncio.create_task(
            site.restart_runner(fallen.name, False, away_s=_AWAY_S)
        )
        returning.add(task)
        task.add_done_callback(returning.discard)

    await asyncio.sleep(_SAID_S)
    for each in site.runners.values():
        each.brittle = _LIMIT
        each.on_fall = fall
    await asyncio.sleep(_SMALL_S - _SAID_S)
    for each in site.runners.values():
        each.places = _PLACES
    if kills:
        await asyncio.sleep(1.0)
        site.gateways[0].send(signal.SIGKILL)
        await asyncio.sleep(_OVER_S - _SMALL_S - 1.0)
    else:
        await asyncio.sleep(_OVER_S - _SMALL_S)
    for each in site.runners.values():
        each.brittle = each.places = None
    await asyncio.sleep(_END_S)


async def _load(site: sites.Site, begun: float) -> None:
    """Sends requests at random moments, on connections that are kept."""
    rng = random.Random(site.seed)
    idle: dict[str, list[caller.Caller]] = {}
    sending: set[asyncio.Task[None]] = set()
    due = begun
    while due < begun + _END_S:
        gateway = rng.choice(site.gateways)
        senders = idle.setdefault(gateway.host, [])
        sender = (
            senders.pop()
            if senders
            else caller.Caller(gateway.address, rng, site.asked)
        )
        kind = rng.choice(sites.KINDS)
        task = asyncio.create_task(_ask(sender, kind, senders))
        sending.add(task)
        task.add_done_callback(sending.discard)
        due += rng.expovariate(_CAPACITY * _DEMAND)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*sending)


async def _ask(
    sender: caller.Caller, kind: str, idle: list[caller.Caller]
) -> None:
    await sender.ask(kind, "key-always")
    idle.append(sender)


def _judge(site: sites.Site, begun: float, falls: int) -> Played:
    small = _between(site.asked, begun + _SMALL_S + _SETTLED_S, begun + _OVER_S)
    served = [each for each in small if each.status == 200 and each.whole]
    busy_s = sum(_TIMES_S[each.kind] for each in served)
    refused = [each for each in site.asked if each.status == 503]
    told = _between(site.asked, begun + _SAID_S, begun + _SMALL_S)
    after = _between(site.asked, begun + _OVER_S + _SETTLED_S, begun + _END_S)
    seconds = _OVER_S - _SMALL_S - _SETTLED_S
    return Played(
        broken=checks.find_broken(site, site.asked),
        falls=falls,
        told=_share(told),
        small=busy_s / (seconds * _PLACES * len(site.runners)),
        after=_share(after),
        without_hint=sum("retry-after" not in e.headers for e in refused),
    )


def _between(
    asked: list[caller.Asked], since: float, until: float
) -> list[caller.Asked]:
    return [each for each in asked if since <= each.sent < until]


def _share(asked: list[caller.Asked]) -> float:
    served = sum(each.status == 200 and each.whole for each in asked)
    return served / len(asked) if asked else 0.0


def main() -> None:
    """Prints what came of each seed."""
    first, last = map(int, sys.argv[1:])
    for seed in range(first, last + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"brittle-{seed}-"))
        played = asyncio.run(play(seed, folder, kills=seed % 2 == 0))
        print(f"seed {seed}, logs in {folder}\n  {played}", flush=True)


if __name__ == "__main__":
    main()
