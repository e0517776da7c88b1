"""Plays streams that callers leave and resume while runners spoil answers.

Runners also leave answers unframed, are killed, fall silent and are replaced;
gateways are killed, stopped and suspended, and the configuration changes. By
hand: `python -m pollenfork.platform.tests.soak.streams --help`.
"""

import argparse
import asyncio
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
from pollenfork.platform.tests.soak import partitions
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import stream_forms
from pollenfork.platform.tests.soak import stream_judge

_KEY = "key-always"
_LIMIT_S = 4.0
_TRIES = 6
_LEAVING = 0.3
_KINDS = (*("stream", "resume") * 3, "safe", "unsafe")
_RECOVERY_S = 3.0
# How long runners go on to spoil streams until enough are, in seconds.
_LONGEST_SPOILING_S = 20.0
_LEAST_SERVED = 0.9
_FEWEST_RUNNERS = 4
_VERSIONS = ("v1.1", "v1.2")
# A process takes this long to start, in seconds. One that listens again at
# once can't be told from one that has gone on.
_RESTART_S = (0.2, 1.0)
_NUMBER = re.compile(rb"^id: (\d+)\n", re.MULTILINE)


class Scale(msgspec.Struct, frozen=True):
    """How much is played.

    Attributes:
        instances: Gateway processes.
        runners: Runners.
        callers: Callers, each with one request at a time.
        spoiled: The share of streams that runners spoil.
        unframed: The share that they leave unframed.
        spoils: How they spoil them.
        least_spoiled: Runs that they spoil at least, however slowly gateways
            serve while faults are played.
    """

    instances: int = 3
    runners: int = 6
    callers: int = 32
    spoiled: float = 0.1
    unframed: float = 0.2
    spoils: tuple[stream_forms.Spoil, ...] = tuple(stream_forms.Spoil)[1:]
    least_spoiled: int = 0


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        broken: Promises broken, a line each.
        streams: Streams asked for.
        complete: Those that their callers got to the end.
        resumed: Those that were asked for again behind an event.
        spoiled: Runs that were spoiled.
        asked: Requests sent.
        late: Requests after the faults whose callers stayed, and those of
            them that succeeded.
        faults: What was played, in order.
    """

    broken: list[str]
    streams: int
    complete: int
    resumed: int
    spoiled: int
    asked: int
    late: tuple[int, int]
    faults: list[str]


async def kill_runners(site: sites.Site) -> None:
    """Some runners are killed one after the other, and start again."""
    staying = sorted(set(site.runners) - set(site.gone))
    count = site.rng.randint(1, max(1, len(staying) // 2))
    restarts = []
    for name in site.rng.sample(staying, count):
        away_s = site.rng.uniform(*_RESTART_S)
        restart = site.restart_runner(name, False, away_s=away_s)
        restarts.append(asyncio.create_task(restart))
        await asyncio.sleep(site.rng.uniform(0.0, 0.7))
    await asyncio.gather(*restarts)


async def reset_runner(site: sites.Site) -> None:
    """A runner's connections are reset, and it serves on."""
    site.runners[site.rng.choice(sorted(site.runners))].reset_connections()


async def replace_runner(site: sites.Site) -> None:
    """A runner comes, and another one leaves as planned or is killed."""
    site.version = site.rng.choice(_VERSIONS)
    await site.add_runner(direct=True)
    staying = sorted(set(site.runners) - set(site.gone) - site.restarting)
    if len(staying) <= _FEWEST_RUNNERS:
        return
    name = site.rng.choice(staying)
    if site.rng.random() < 0.5:
        await site.drain_runner(name)
    else:
        await site.crash_runner(name)


async def cut_from_runners(site: sites.Site) -> None:
    """A gateway reaches no runner; others may forward its requests."""
    gateway = site.rng.choice(site.gateways)
    cut = site.rng.choice((partitions.Cut.RESET, partitions.Cut.LIVE))
    gateway.cut_off(cut)
    if cut is partitions.Cut.RESET:
        for each in site.runners.values():
            each.reset_connections(gateway.host)
    await asyncio.sleep(site.rng.uniform(0.5, 3.0))
    gateway.reconnect()


async def change_configuration(site: sites.Site) -> None:
    """A route's time limit changes, in some gateways a signal beside it."""
    timeout_ms = site.rng.choice((2500, 3000, 3500))
    site.changes["resume"] = {"timeout-ms": timeout_ms}
    await site.publish()
    await faults.reload(site)


FAULTS: tuple[faults.Fault, ...] = (
    kill_runners,
    kill_runners,
    kill_runners,
    reset_runner,
    replace_runner,
    change_configuration,
    cut_from_runners,
    faults.harm_runner,
    faults.kill,
    faults.pause,
    faults.reload,
    faults.silence_runners,
    faults.stop,
)


async def play(
    seed: int, seconds: float, folder: pathlib.Path, scale: Scale
) -> Played:
    """Plays a seed; its logs lie in `folder`."""
    site = sites.Site(seed, folder, scale.instances)
    site.version = _VERSIONS[0]
    site.forms = stream_forms.Forms(
        random.Random(seed), scale.spoiled, scale.unframed, scale.spoils
    )
    streams: list[list[caller.Asked]] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await site.start(direct=True)
        while len(site.runners) < scale.runners:
            await site.add_runner(direct=True)
        tasks = [
            asyncio.create_task(_load(site, seed * 10_000 + number, streams))
            for number in range(scale.callers)
        ]
        tasks.append(asyncio.create_task(site.supervise()))
        played = await faults.play(site, seconds, FAULTS)
        await _wait_until_spoiled(site, scale.least_spoiled)
        site.stop_spoiling()
        await site.wait_until_ready()
        await asyncio.sleep(_RECOVERY_S)
        settled = len(site.asked)
        await asyncio.sleep(1.0)
        late = [
            each
            for each in site.asked[settled:]
            if each.ended and not each.manner.leaves_after
        ]
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    return _sum_up(site, streams, late, played)


async def _wait_until_spoiled(site: sites.Site, least: int) -> None:
    until = time.monotonic() + _LONGEST_SPOILING_S
    while _count_spoiled(site) < least and time.monotonic() < until:
        await asyncio.sleep(0.1)


def _count_spoiled(site: sites.Site) -> int:
    none = stream_forms.Spoil.NONE
    return sum(run.form.spoil is not none for run in site.record.runs)


async def _load(
    site: sites.Site, seed: int, streams: list[list[caller.Asked]]
) -> None:
    rng = random.Random(seed)
    senders = [
        caller.Caller(gateway.address, rng, site.asked)
        for gateway in rng.sample(site.gateways, min(3, len(site.gateways)))
    ]
    while True:
        kind = rng.choice(_KINDS)
        if kind in ("safe", "unsafe"):
            await rng.choice(senders).ask(kind, _KEY)
        else:
            stream: list[caller.Asked] = []
            streams.append(stream)
            await _ask(senders, rng, kind, stream)
        await asyncio.sleep(rng.uniform(0.0, 0.1))


async def _ask(
    senders: list[caller.Caller],
    rng: random.Random,
    kind: str,
    stream: list[caller.Asked],
) -> None:
    """Asks for a stream, and for what is missing where that is allowed."""
    due = time.monotonic() + _LIMIT_S
    text = f"{rng.getrandbits(64):016x}"
    first, after = "", -1
    for _ in range(_TRIES):
        left_s = due - time.monotonic()
        if left_s <= 0:
            return
        headers = ""
        if first:
            headers = f"Resumes: {first}\r\nLast-Event-Id: {after}\r\n"
        leaves = rng.randint(1, runner.EVENTS - 2)
        leaves *= rng.random() < _LEAVING
        manner = caller.Manner(left_s, headers, leaves_after=leaves)
        sender = rng.choice(senders)
        asked = await sender.ask(kind, _KEY, text, manner)
        stream.append(asked)
        whole_events = asked.body[: asked.body.rfind(b"\n\n") + 2]
        if numbers := _NUMBER.findall(whole_events):
            after = int(numbers[-1])
            first = first or asked.attempt
        if kind != "resume" or (asked.whole and asked.status == 200):
            return
        wait_s = float(asked.headers.get("retry-after", 0.05))
        await asyncio.sleep(min(wait_s, max(0.0, left_s / 3)))


def _sum_up(
    site: sites.Site,
    streams: list[list[caller.Asked]],
    late: list[caller.Asked],
    played: list[str],
) -> Played:
    broken = checks.find_broken(site, site.asked)
    runs: dict[str, list[records.Run]] = {}
    for run in site.record.runs:
        runs.setdefault(run.attempt, []).append(run)
    # Each try has been judged by itself.
    known = "\n".join(broken)
    for stream in streams:
        tries = [
            stream_judge.make_try(each, runs.get(each.attempt, []))
            for each in stream
        ]
        broken += [
            f"over {len(tries)} tries: {fault}"
            for fault in stream_judge.find_faults(tries)
            if fault not in known
        ]
    served = sum(each.status == 200 and each.whole for each in late)
    if not late or served < _LEAST_SERVED * len(late):
        broken.append(f"after the faults {served} of {len(late)} were served")
    return Played(
        broken=broken,
        streams=len(streams),
        complete=sum(_is_complete(each) for each in streams),
        resumed=sum(any(e.after >= 0 for e in each) for each in streams),
        spoiled=_count_spoiled(site),
        asked=len(site.asked),
        late=(len(late), served),
        faults=played,
    )


def _is_complete(stream: list[caller.Asked]) -> bool:
    return bool(stream) and stream[-1].status == 200 and stream[-1].whole


def main() -> int:
    """Returns 1 where any seed broke a promise."""
    parser = argparse.ArgumentParser(prog="streams")
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--runners", type=int, default=6)
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--spoiled", type=float, default=0.1)
    parser.add_argument("--unframed", type=float, default=0.2)
    parser.add_argument(
        "--spoils",
        default=",".join(each.value for each in Scale().spoils),
        help="kinds, separated by commas",
    )
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    scale = Scale(
        given.instances,
        given.runners,
        given.callers,
        given.spoiled,
        given.unframed,
        tuple(map(stream_forms.Spoil, given.spoils.split(","))),
    )
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"streams-{seed}-"))
        played = asyncio.run(play(seed, given.seconds, folder, scale))
        failed += bool(played.broken)
        _print(seed, played, folder)
    print(f"{failed} seeds with a promise broken")
    return 1 if failed else 0


def _print(seed: int, played: Played, folder: pathlib.Path) -> None:
    print(
        f"seed {seed}: {played.streams} streams, {played.complete} complete, "
        f"{played.resumed} resumed, {played.spoiled} runs spoiled, "
        f"{played.asked} requests, {len(played.faults)} faults, "
        f"{played.late[1]} of {played.late[0]} served afterwards, "
        f"{len(played.broken)} broken",
        flush=True,
    )
    for line in played.broken:
        print(f"  {line}")
    if played.broken:
        print(f"  logs in {folder}; {', '.join(played.faults)}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
