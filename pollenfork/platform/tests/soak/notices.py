"""Plays runners that say of themselves that they leave, or want a pause.

By hand: `python -m pollenfork.platform.tests.soak.notices FIRST LAST`.
"""

import asyncio
import pathlib
import random
import sys
import tempfile
import time
from typing import NamedTuple

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import store

_GATEWAYS = 6
_INTERVAL_S = 1 / 60.0
_PAUSE_S = 3.0
# From the start, in seconds: when a runner begins to say that it leaves, when
# the store is silent, when one runner asks for pauses, and when all do so.
_LEAVING = (1.0, 7.0)
_SILENT = (1.0, 3.0)
_ONE_PAUSES = (8.0, 16.0)
_ALL_PAUSE = (20.0, 26.0)
_END_S = 32.0
# A request that left before its runner's word was known arrives so much later.
_IN_FLIGHT_S = 0.1
# The word of an answer is known to a whole data centre after this long.
_KNOWN_S = 0.8
# What the rule on pauses excludes after a refusal, and allows until their end.
_RULE_SLACK_S = 0.5
_RULE_ALLOWED = 2
# A returned runner is used again within this time.
_RETURN_S = 1.0


class Notices(NamedTuple):
    """What runners said in answers, and what reached them nevertheless.

    Attributes:
        late: Requests that reached a leaving runner from a gateway that had
            passed its word on, two seconds later and more.
        heard_late: The same from any gateway, after the time in which a data
            centre knows.
        refusals: Refusals that asked for a pause.
        overrun: Those of them after which the rule was broken.
        in_pause: Requests in a pause, 0.1 s after its refusal and later.
    """

    late: int
    heard_late: int
    refusals: int
    overrun: int
    in_pause: int


class Served(NamedTuple):
    """The parts of requests served.

    Attributes:
        leaving: Beside a leaving runner.
        one_pauses: Beside a runner that wants a pause.
        after: From a second after the last pause on.
    """

    leaving: float
    one_pauses: float
    after: float


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        notices: What reached the runners.
        served: What callers got.
        back_s: Seconds from a single runner's pause until it is used again.
        all_back_s: The same where all runners paused.
        slowest_s: The longest time to a refusal while all paused.
        without_hint: Those of them that weren't told when to come back.
    """

    notices: Notices
    served: Served
    back_s: float
    all_back_s: float
    slowest_s: float
    without_hint: int


async def play(seed: int, folder: pathlib.Path) -> Played:
    """Sends requests to all gateways at random while runners say things.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
    """
    site = sites.Site(seed, folder, _GATEWAYS)
    try:
        await site.start(direct=True)
        await site.add_runner(direct=True)
        await asyncio.sleep(1.0)
        begun = time.monotonic()
        tasks = [
            asyncio.create_task(each)
            for each in (_speak(site, begun), site.supervise())
        ]
        await _load(site, begun)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    return _judge(site, begun)


async def _load(site: sites.Site, begun: float) -> None:
    """Sends requests at fixed moments, each on a connection of its own."""
    rng = random.Random(site.seed)
    sending: set[asyncio.Task[None]] = set()
    due = begun
    while due < begun + _END_S:
        gateway = rng.choice(site.gateways)
        sender = caller.Caller(gateway.address, rng, site.asked)
        kind = rng.choice(sites.KINDS)
        task = asyncio.create_task(_ask(sender, kind))
        sending.add(task)
        task.add_done_callback(sending.discard)
        due += _INTERVAL_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*sending)


async def _ask(sender: caller.Caller, kind: str) -> None:
    await sender.ask(kind, "key-always")
    sender.close()


async def _speak(site: sites.Site, begun: float) -> None:
    """Lets runners say what they say, in order."""
    leaver, pauser, *_ = runners = _list_runners(site)

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, begun + at_s - time.monotonic()))

    await wait_until(_LEAVING[0])
    site.store.mood = store.Mood.SILENT
    leaver.leaving = True
    await wait_until(_SILENT[1])
    site.store.mood = store.Mood.WELL
    await wait_until(_LEAVING[1])
    await site.crash_runner(leaver.name)
    await wait_until(_ONE_PAUSES[0])
    pauser.pause_s = _PAUSE_S
    await wait_until(_ONE_PAUSES[1])
    pauser.pause_s = 0.0
    await wait_until(_ALL_PAUSE[0])
    for each in runners:
        each.pause_s = _PAUSE_S
    await wait_until(_ALL_PAUSE[1])
    for each in runners:
        each.pause_s = 0.0


def _list_runners(site: sites.Site) -> list[runner.Runner]:
    return [site.runners[name] for name in sorted(site.runners)]


def _judge(site: sites.Site, begun: float) -> Played:
    by_attempt = {each.attempt: each for each in site.asked}
    names = sorted({each.runner for each in site.record.arrivals})
    leaver, pauser = names[0], names[1]
    refused = [
        each
        for each in _between(site.asked, begun, _ALL_PAUSE)
        if each.status == 503 and each.sent > begun + _ALL_PAUSE[0] + 0.5
    ]
    last_refusal = max(
        each.at
        for each in site.record.arrivals
        if each.pause_s and each.at < begun + _ALL_PAUSE[0]
    )
    return Played(
        notices=_judge_notices(site, by_attempt, leaver),
        served=Served(
            _share(_between(site.asked, begun, _LEAVING)),
            _share(_between(site.asked, begun, _ONE_PAUSES)),
            _share(_between(site.asked, begun, (_ALL_PAUSE[1] + 4.0, _END_S))),
        ),
        back_s=_find_return(
            site, pauser, max(last_refusal + _PAUSE_S, begun + _ONE_PAUSES[1])
        ),
        all_back_s=min(
            _find_return(site, name, begun + _ALL_PAUSE[1])
            for name in names[1:]
        ),
        slowest_s=max((each.ended - each.sent for each in refused), default=0),
        without_hint=sum("retry-after" not in e.headers for e in refused),
    )


def _judge_notices(
    site: sites.Site, asked: dict[str, caller.Asked], leaver: str
) -> Notices:
    arrivals = site.record.arrivals
    told: dict[str, float] = {}
    for each in sorted(asked.values(), key=lambda each: each.ended):
        if "server-leaving" in each.headers:
            told.setdefault(each.instance, each.ended)
    first = min(told.values(), default=float("inf"))
    at_leaver = [asked[e.attempt] for e in arrivals if e.runner == leaver]
    late = [
        each
        for each in at_leaver
        if each.sent > told.get(each.instance, float("inf")) + sites.DRAIN_S
    ]
    heard_late = [each for each in at_leaver if each.sent > first + _KNOWN_S]
    refusals = [each for each in arrivals if each.pause_s]
    in_pauses = [
        [
            later
            for later in arrivals
            if later.runner == each.runner
            and each.at + _IN_FLIGHT_S < later.at < each.at + each.pause_s
            and asked[later.attempt].instance == asked[each.attempt].instance
        ]
        for each in refusals
    ]
    overrun = [
        each
        for each, later in zip(refusals, in_pauses, strict=True)
        if sum(e.at > each.at + _RULE_SLACK_S for e in later) > _RULE_ALLOWED
    ]
    return Notices(
        len(late),
        len(heard_late),
        len(refusals),
        len(overrun),
        sum(map(len, in_pauses)),
    )


def _find_return(site: sites.Site, name: str, since: float) -> float:
    """Returns the seconds from a moment to a runner's next request."""
    times = [
        each.at
        for each in site.record.arrivals
        if each.runner == name and each.at > since
    ]
    return min(times, default=float("inf")) - since


def _between(
    asked: list[caller.Asked], begun: float, span: tuple[float, float]
) -> list[caller.Asked]:
    return [
        each
        for each in asked
        if begun + span[0] <= each.sent < begun + span[1] and each.ended
    ]


def _share(asked: list[caller.Asked]) -> float:
    served = sum(each.status == 200 and each.whole for each in asked)
    return served / len(asked) if asked else 0.0


def main() -> None:
    """Prints what came of each seed."""
    first, last = map(int, sys.argv[1:])
    for seed in range(first, last + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"notices-{seed}-"))
        played = asyncio.run(play(seed, folder))
        print(f"seed {seed}, logs in {folder}\n  {played}", flush=True)


if __name__ == "__main__":
    main()
