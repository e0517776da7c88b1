"""Plays runners of uneven speed that are taken away, before impatient callers.

The answers of the service are forecast, as all of its routes name prompt parts
and have a target of a second. By hand:
`python -m pollenfork.platform.tests.soak.uneven FIRST LAST`.
"""

import asyncio
import itertools
import pathlib
import random
import re
import sys
import tempfile
import time

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import checks
from pollenfork.platform.tests.soak import faults
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites

_GATEWAYS = 4
_SLOWNESS = 2.2
_SPELL_SLOWNESS = 2.5
_SPELL_S = 0.6
_INTERVAL_S = 0.08
_FEWEST_RUNNERS = 5
_LIMIT_S = 3.0
# How much later than its time limit an answer may end, in seconds.
_SLACK_S = 0.6
# Returns of a caller that doesn't wait as told, 20 ms apart, before it does.
_HASTY_RETURNS = 4
_HASTY_S = 0.02
# Own prompt tokens and tiers. The runners process about 380,000 tokens per
# second, so that 75 requests per second of all kinds take all of their time.
_OWN_TOKENS = {"stream": 2000, "unsafe": 2000, "safe": 8000, "resume": 8000}
_TIERS = {"stream": 1, "unsafe": 1, "safe": 2, "resume": 3}
# Requests per second between the waves and in them, and for how long, in
# seconds, the load is low, high, low, high and low.
_LOW_RATE = 25.0
_HIGH_RATES = (60.0, 110.0)
_WAVES_S = (3.0, 3.0, 4.0, 2.0, 4.0)
_FORECAST = re.compile(r" forecast_ms=\d")
_NOT_RUN = frozenset({408, 421, 429, 503})


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        broken: Promises broken, a line each.
        asked: Requests sent, returns included.
        refused: Those refused as not run.
        callers: Callers.
        served: The part of callers that were served in the end.
        told: Callers that returned when told after a refusal.
        told_served: The part of them that were served in the end.
        cut: Answers that broke off.
        slow_readers: Callers that read slowly and got their whole answer.
        planned: Returns that the gateways planned.
        forecasts: Choices of a runner by a forecast.
        faults: What was played, in order.
    """

    broken: list[str]
    asked: int
    refused: int
    callers: int
    served: float
    told: int
    told_served: float
    cut: int
    slow_readers: int
    planned: int
    forecasts: int
    faults: list[str]


async def play(seed: int, folder: pathlib.Path) -> Played:
    """Sends requests to all gateways while runners and gateways change.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
    """
    site = sites.Site(seed, folder, _GATEWAYS)
    site.changes = {
        kind: {
            "target-latency-ms": 1000,
            "session-affinity": True,
            "priority": tier,
        }
        for kind, tier in _TIERS.items()
    }
    site.engine = {"kv-capacity-tokens": 120_000, "stride": 4}
    callers: list[list[caller.Asked]] = []
    played: list[str] = []
    try:
        await site.start(direct=True)
        for _ in range(4):
            await site.add_runner(direct=True)
        made = sorted(site.runners)
        slow = site.rng.sample(made, len(made) // 4)
        for name in made:
            _shape(site.runners[name], name in slow)
        await asyncio.sleep(1.0)
        tasks = [
            asyncio.create_task(each)
            for each in (
                _disturb(site, played),
                _slow_down(site),
                site.supervise(),
            )
        ]
        await _load(site, callers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    return _judge(site, callers, played)


def _shape(made: runner.Runner, is_slow: bool) -> None:
    made.interval_s = _INTERVAL_S
    made.slowness = _SLOWNESS if is_slow else 1.0


async def _slow_down(site: sites.Site) -> None:
    """Lets one runner after the other have a slow spell."""
    while True:
        made = site.runners[site.rng.choice(sorted(site.runners))]
        made.slowness *= _SPELL_SLOWNESS
        await asyncio.sleep(_SPELL_S)
        made.slowness /= _SPELL_SLOWNESS
        await asyncio.sleep(site.rng.uniform(0.0, 0.2))


async def _take_away(site: sites.Site) -> None:
    """Takes a runner away with notice; often another one comes first."""
    if site.rng.random() < 0.7:
        name = await site.add_runner(direct=True)
        _shape(site.runners[name], site.rng.random() < 0.25)
    staying = sorted(set(site.runners) - set(site.gone))
    if len(staying) > _FEWEST_RUNNERS:
        notice_s = site.rng.uniform(2.0, 2.8)
        await site.drain_runner(site.rng.choice(staying), notice_s)


_FAULTS = (_take_away, _take_away, _take_away, faults.kill, faults.stop)


async def _disturb(site: sites.Site, played: list[str]) -> None:
    """Takes runners away, and ends gateways, one after the other."""
    begun = time.monotonic()
    while True:
        await asyncio.sleep(site.rng.uniform(0.2, 1.0))
        fault = site.rng.choice(_FAULTS)
        played.append(f"{time.monotonic() - begun:.2f} {fault.__name__}")
        await fault(site)


async def _load(site: sites.Site, callers: list[list[caller.Asked]]) -> None:
    """Sends requests in waves; returns once all have ended."""
    rng = random.Random(site.seed)
    sending: set[asyncio.Task[None]] = set()
    due = time.monotonic()
    for number, seconds in enumerate(_WAVES_S):
        rate = rng.uniform(*_HIGH_RATES) if number % 2 else _LOW_RATE
        until = due + seconds
        while due < until:
            asked: list[caller.Asked] = []
            callers.append(asked)
            task = asyncio.create_task(_ask(site, asked, rng.getrandbits(64)))
            sending.add(task)
            task.add_done_callback(sending.discard)
            due += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.gather(*sending)


async def _ask(site: sites.Site, asked: list[caller.Asked], seed: int) -> None:
    """Sends a request, and again if refused, until its time is over."""
    rng = random.Random(seed)
    kind = rng.choice(sites.KINDS)
    hasty = _HASTY_RETURNS if rng.random() < 0.2 else 0
    pause_s = rng.uniform(0.05, 0.2) if rng.random() < 0.1 else 0.0
    text = f"{runner.PADDED if pause_s else 'plain'}-{seed:016x}"
    own = _OWN_TOKENS[kind]
    headers = (
        f"X-Pollenfork-Prompt-Prefix: part-{rng.randrange(6)}:6000,{seed}:{own}"
        f"\r\nX-Pollenfork-Token-Usage: {6000 + own},60\r\n"
        "X-Pollenfork-Length-Hint: 40\r\n"
    )
    deadline = time.monotonic() + _LIMIT_S
    while (left_s := deadline - time.monotonic()) > 0.05:
        gateway = rng.choice(site.gateways)
        sender = caller.Caller(gateway.address, rng, site.asked)
        manner = caller.Manner(left_s, headers, pause_s)
        asked.append(await sender.ask(kind, "key-always", text, manner))
        sender.close()
        if asked[-1].status != 503:
            return
        told_s = float(asked[-1].headers.get("retry-after", 0.5))
        await asyncio.sleep(_HASTY_S if len(asked) <= hasty else told_s)


def _judge(
    site: sites.Site, callers: list[list[caller.Asked]], played: list[str]
) -> Played:
    ran = {run.attempt for run in site.record.runs}
    broken = checks.find_broken(site, site.asked)
    for each in site.asked:
        held_s = each.ended - each.sent - each.paused_s
        if held_s > each.manner.limit_s + _SLACK_S:
            broken.append(
                f"{each.attempt} {each.kind} by {each.instance}: held for "
                f"{held_s:.2f} s at a limit of {each.manner.limit_s:.2f} s"
            )
        told_s = float(each.headers.get("retry-after", 0.0))
        if told_s > each.manner.limit_s / 3:
            broken.append(
                f"{each.attempt} {each.kind} by {each.instance}: told to wait "
                f"{told_s:.2f} s of {each.manner.limit_s:.2f} s"
            )
        if each.status in _NOT_RUN and each.attempt in ran:
            broken.append(f"{each.attempt} {each.kind}: {each.status}, but ran")
    told = [each for each in callers if len(each) > 1 and _has_waited(each)]
    logs = [path.read_text() for path in site.folder.glob("*.log")]
    return Played(
        broken=broken,
        asked=len(site.asked),
        refused=sum(each.status in _NOT_RUN for each in site.asked),
        callers=len(callers),
        served=_share(callers),
        told=len(told),
        told_served=_share(told),
        cut=sum(each.status == 200 and not each.whole for each in site.asked),
        slow_readers=sum(
            each.whole and each.paused_s > 0 for each in site.asked
        ),
        planned=sum(text.count("event=return_planned") for text in logs),
        forecasts=sum(len(_FORECAST.findall(text)) for text in logs),
        faults=played,
    )


def _has_waited(asked: list[caller.Asked]) -> bool:
    """Returns whether a caller waited as told after each refusal."""
    return all(
        later.sent - before.ended >= float(before.headers["retry-after"])
        for before, later in itertools.pairwise(asked)
        if "retry-after" in before.headers
    )


def _share(callers: list[list[caller.Asked]]) -> float:
    served = sum(
        each[-1].status == 200 and each[-1].whole for each in callers if each
    )
    return served / len(callers) if callers else 0.0


def main() -> None:
    """Prints what came of each seed."""
    first, last = map(int, sys.argv[1:])
    for seed in range(first, last + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"uneven-{seed}-"))
        played = asyncio.run(play(seed, folder))
        print(f"seed {seed}, logs in {folder}\n  {played}", flush=True)


if __name__ == "__main__":
    main()
