"""Plays runners that fall silent, or fail, while they send streams.

By hand: `python -m pollenfork.platform.tests.soak.silences FIRST LAST`.
"""

import asyncio
from collections.abc import Awaitable
import enum
import pathlib
import random
import signal
import sys
import tempfile
import time

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import site as sites

_KEY = "key-always"
_TIMEOUT_MS = 6000
_LIMIT_S = 5.0
# Ten events take 2.5 s.
_INTERVAL_S = 0.25
# Streams are given a longer time to their first event than between two.
_SETTLING_S = 0.8
_SPACING_S = 0.015
_HUNG_S = 9.0
# An answer that ends this long before its deadline, in seconds, was cut.
_LATE_S = 0.1


class Trouble(enum.Enum):
    """What happens to runners in the middle of the requests."""

    NONE = "none"
    SILENT = "silent"  # The busiest one, for a moment.
    ALL_SILENT = "all_silent"
    HUNG = "hung"  # The busiest one, until after the deadline.
    DEAD = "dead"  # Its open connections pass nothing; new ones work.
    CRASHED = "crashed"


class Step(enum.Enum):
    """What is planned at the same moment."""

    NONE = "none"
    SIGHUP = "sighup"
    CONFIGURATION = "configuration"
    SIGTERM = "sigterm"


class Scene(msgspec.Struct, frozen=True):
    """What is played.

    Attributes:
        trouble: What happens to runners.
        step: What is planned at the same moment.
        kind: The kind of the requests' route.
        requests: Their number.
        runners: The number of runners.
        versions: Whether each runner is of its own software version.
        earlier: Requests served before; they earn retries.
        silent_s: How long a silence lasts, in seconds.
        slowness: The factor by which runners take longer than usual.
    """

    trouble: Trouble = Trouble.SILENT
    step: Step = Step.NONE
    kind: str = "resume"
    requests: int = 60
    runners: int = 4
    versions: bool = False
    earlier: int = 0
    silent_s: float = 1.2
    slowness: float = 1.0


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        sent: Requests sent.
        whole: Those answered whole and with success.
        cut: Those that ended otherwise before their deadline.
        again: Further arrivals of them at runners.
        mixed: Answers with an event missing, repeated or of two versions.
    """

    sent: int
    whole: int
    cut: int
    again: int
    mixed: int


async def play(seed: int, folder: pathlib.Path, scene: Scene) -> Played:
    """Sends requests to all gateways while a runner is in trouble.

    Args:
        seed: Draws what is random.
        folder: For settings and logs.
        scene: What is played.
    """
    site = sites.Site(seed, folder)
    site.changes[scene.kind] = {"timeout-ms": _TIMEOUT_MS}
    try:
        await site.start()
        await _set_runners(site, scene)
        await _send_earlier(site, scene)
        callers = [
            caller.Caller(
                site.gateways[number % sites.INSTANCES].address,
                random.Random(seed * 1000 + number),
                [],
            )
            for number in range(scene.requests)
        ]
        await asyncio.gather(*(_greet(each) for each in callers))
        site.record.arrivals.clear()
        asked = await _ask_in_trouble(site, scene, callers)
    finally:
        await site.stop()
    return _sum_up(site, asked)


async def _set_runners(site: sites.Site, scene: Scene) -> None:
    for name in sorted(site.runners)[scene.runners :]:
        await site.crash_runner(name)
    for number, each in enumerate(site.runners.values()):
        each.interval_s = _INTERVAL_S
        each.slowness = scene.slowness
        each.version = f"v{number}" if scene.versions else "v1"
        await site.put_runner(each.name, "ready")
    # The gateways know of it a moment later.
    await asyncio.sleep(1.5)


async def _send_earlier(site: sites.Site, scene: Scene) -> None:
    senders = [
        caller.Caller(gateway.address, site.rng, [])
        for gateway in site.gateways
        for _ in range(4)
    ]

    async def send(sender: caller.Caller) -> None:
        for _ in range(scene.earlier // len(senders)):
            await sender.ask("safe", _KEY)

    await asyncio.gather(*(send(each) for each in senders))


def _greet(sender: caller.Caller) -> Awaitable[caller.Asked]:
    """Opens a connection that is kept."""
    return sender.ask("safe", _KEY)


async def _ask_in_trouble(
    site: sites.Site, scene: Scene, callers: list[caller.Caller]
) -> list[caller.Asked]:
    manner = caller.Manner(_LIMIT_S)
    asking = []
    for each in callers:
        call = each.ask(scene.kind, _KEY, "", manner)
        asking.append(asyncio.create_task(call))
        await asyncio.sleep(_SPACING_S)
    if scene.kind == "resume":
        await asyncio.sleep(_SETTLING_S)
    await _trouble(site, scene)
    await _take_step(site, scene.step)
    return await asyncio.gather(*asking)


async def _trouble(site: sites.Site, scene: Scene) -> None:
    busiest = max(site.runners.values(), key=lambda each: each.active)
    now = time.monotonic()
    match scene.trouble:
        case Trouble.SILENT:
            busiest.silent_until = now + scene.silent_s
        case Trouble.ALL_SILENT:
            for each in site.runners.values():
                each.silent_until = now + scene.silent_s
        case Trouble.HUNG:
            busiest.silent_until = now + _HUNG_S
        case Trouble.DEAD:
            site.to_runners[busiest.name].mute()
        case Trouble.CRASHED:
            await site.restart_runner(busiest.name, False, away_s=2.0)


async def _take_step(site: sites.Site, step: Step) -> None:
    match step:
        case Step.SIGHUP:
            for gateway in site.gateways:
                gateway.send(signal.SIGHUP)
        case Step.CONFIGURATION:
            await site.publish()
        case Step.SIGTERM:
            site.gateways[0].held = True
            site.gateways[0].send(signal.SIGTERM)


def _sum_up(site: sites.Site, asked: list[caller.Asked]) -> Played:
    whole = [each for each in asked if each.whole and each.status == 200]
    cut = [
        each
        for each in asked
        if each not in whole and each.ended - each.sent < _LIMIT_S - _LATE_S
    ]
    attempts = {each.attempt for each in asked}
    arrived = [e for e in site.record.arrivals if e.attempt in attempts]
    return Played(
        sent=len(asked),
        whole=len(whole),
        cut=len(cut),
        again=len(arrived) - len(asked),
        mixed=sum(each.kind == "resume" and _is_mixed(each) for each in whole),
    )


def _is_mixed(asked: caller.Asked) -> bool:
    lines = asked.body.decode().split("\n")
    positions = [line[4:] for line in lines if line.startswith("id: ")]
    authors = {line.split()[-1] for line in lines if line.startswith("data: ")}
    return positions != [str(n) for n in range(10)] or len(authors) > 1


SCENES = {
    "signal": Scene(step=Step.SIGHUP, requests=24, runners=1),
    "many": Scene(requests=90, runners=2, silent_s=1.5),
    "shorter": Scene(silent_s=0.9),
    "all silent": Scene(Trouble.ALL_SILENT),
    "budget suffices": Scene(runners=2, earlier=1200),
    "one runner": Scene(requests=24, runners=1, earlier=600),
    "versions": Scene(requests=24, versions=True, earlier=600),
    "plain": Scene(kind="safe", runners=2, slowness=10.0),
    "hung": Scene(Trouble.HUNG, requests=8, earlier=600),
    "dead": Scene(Trouble.DEAD, requests=8, earlier=600),
    "crashed": Scene(Trouble.CRASHED, requests=8, earlier=600),
    "hung, many": Scene(Trouble.HUNG, runners=2, earlier=1200),
    "one runner, configuration": Scene(
        step=Step.CONFIGURATION, requests=24, runners=1
    ),
    "one runner, stop": Scene(step=Step.SIGTERM, requests=24, runners=1),
}


def main() -> None:
    """Prints what came of each scene with each seed."""
    first, last = map(int, sys.argv[1:3])
    named = sys.argv[3:] or list(SCENES)
    for seed in range(first, last + 1):
        for name in named:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"silences-{seed}-"))
            played = asyncio.run(play(seed, folder, SCENES[name]))
            print(f"seed {seed}, {name}: {played}, {folder}", flush=True)


if __name__ == "__main__":
    main()
