"""Plays gateways that are cut off from all runners for a while.

By hand: `python -m pollenfork.platform.tests.soak.isolation FIRST LAST`.
"""

import asyncio
from collections.abc import Callable
import pathlib
import random
import statistics
import sys
import tempfile
import time

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import checks
from pollenfork.platform.tests.soak import partitions
from pollenfork.platform.tests.soak import site as sites

_GATEWAYS = 6
_INTERVAL_S = 1 / 60.0
# From the start, in seconds: the cut, and the end of the requests.
_CUT_S = (2.0, 7.0)
_END_S = 10.0
# How long a cut, and the return from one, may take to be known, in seconds.
_KNOWN_S = 1.0
_BACK_S = 1.0

Victims = Callable[[list[sites.Gateway]], list[sites.Gateway]]


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        broken: Promises broken, a line each.
        counted: Requests at cut-off gateways that `there` is about.
        there: The part of them that was served at its first attempt.
        elsewhere: The same of requests at the other gateways.
        later_s: By how much the median of the former took longer.
        after: The part of all requests served after the cut.
        shunned: Lines of the other gateways that shun a runner for what they
            were told of it.
    """

    broken: list[str]
    counted: int
    there: float
    elsewhere: float
    later_s: float
    after: float
    shunned: int


async def play(
    seed: int, folder: pathlib.Path, cut: partitions.Cut, choose: Victims
) -> Played:
    """Sends requests to all gateways at random while some are cut off.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
        cut: What happens to the connections.
        choose: Returns the gateways to cut off.
    """
    site = sites.Site(seed, folder, _GATEWAYS)
    victims = choose(site.gateways)
    try:
        await site.start()
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        cutting = asyncio.create_task(_cut(victims, cut))
        await _load(site, begun)
        await cutting
    finally:
        await site.stop()
    return _judge(site, victims, begun)


async def _cut(victims: list[sites.Gateway], cut: partitions.Cut) -> None:
    first, last = _CUT_S
    await asyncio.sleep(first)
    for gateway in victims:
        gateway.cut_off(cut)
    await asyncio.sleep(last - first)
    for gateway in victims:
        gateway.reconnect()


async def _load(site: sites.Site, begun: float) -> None:
    """Sends requests at fixed moments, on connections that are kept."""
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
        due += _INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*sending)


async def _ask(
    sender: caller.Caller, kind: str, idle: list[caller.Caller]
) -> None:
    await sender.ask(kind, "key-always")
    idle.append(sender)


def _judge(
    site: sites.Site, victims: list[sites.Gateway], begun: float
) -> Played:
    first, last = _CUT_S
    during = _between(site.asked, begun + first + _KNOWN_S, begun + last)
    hosts = {each.host for each in victims}
    there = [each for each in during if each.instance in hosts]
    elsewhere = [each for each in during if each.instance not in hosts]
    after = _between(site.asked, begun + last + _BACK_S, begun + _END_S)
    shunned = sum(
        (site.folder / f"gateway-{number}.log")
        .read_text()
        .count("event=runner_found")
        for number, each in enumerate(site.gateways)
        if each.host not in hosts
    )
    return Played(
        broken=checks.find_broken(site, site.asked),
        counted=len(there),
        there=_share(there),
        elsewhere=_share(elsewhere),
        later_s=_find_median(there) - _find_median(elsewhere),
        after=_share(after),
        shunned=shunned,
    )


def _between(
    asked: list[caller.Asked], since: float, until: float
) -> list[caller.Asked]:
    return [each for each in asked if since <= each.sent < until]


def _share(asked: list[caller.Asked]) -> float:
    served = sum(each.status == 200 and each.whole for each in asked)
    return served / len(asked) if asked else 0.0


def _find_median(asked: list[caller.Asked]) -> float:
    """Returns the median of the seconds that plain answers took."""
    took = [
        each.ended - each.sent
        for each in asked
        if each.kind in ("safe", "unsafe")
    ]
    return statistics.median(took) if took else 0.0


def choose_two(gateways: list[sites.Gateway]) -> list[sites.Gateway]:
    """Returns two gateways of different data centres."""
    return gateways[:2]


def choose_all_but_one(gateways: list[sites.Gateway]) -> list[sites.Gateway]:
    """Returns all gateways but the last."""
    return gateways[:-1]


def choose_data_centre(gateways: list[sites.Gateway]) -> list[sites.Gateway]:
    """Returns all gateways of one data centre."""
    return [each for each in gateways if each.zone == gateways[0].zone]


def main() -> None:
    """Prints what came of each seed, for each cut and choice."""
    first, last = map(int, sys.argv[1:])
    for seed in range(first, last + 1):
        for cut in partitions.Cut:
            for choose in (choose_two, choose_data_centre, choose_all_but_one):
                folder = pathlib.Path(
                    tempfile.mkdtemp(prefix=f"isolation-{seed}-")
                )
                played = asyncio.run(play(seed, folder, cut, choose))
                print(f"{seed} {cut.value} {choose.__name__} {folder}")
                print(f"  {played}", flush=True)


if __name__ == "__main__":
    main()
