"""Plays outages of all gateways at once, beside two versions of the runners.

Callers take their broken streams up at once, or late. By hand:
`python -m pollenfork.platform.tests.soak.outages FIRST LAST [SCENE...]`.
"""

import asyncio
from collections.abc import Awaitable, Callable
import pathlib
import random
import signal
import sys
import tempfile
import time

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import rollout
from pollenfork.platform.tests.soak import site as sites

_OLD, _NEW = "v1.1", "v1.2"
_RUNNERS = 6
_CALLERS = 40
_KEY = "key-always"
_INTERVAL_S = 0.15
# How long all gateways are down, and the time between two outages.
_DOWN_S = 0.6
_AGAIN_S = 2.2
# For how long callers try, and how late some of them return. An earlier design
# took the only version listed for 20 s and three time limits for that of all
# streams.
_TRIES_S = 34.0
_LATE_S = (22.0, 24.0)
_LATE_PART = 0.25
_RETRY_S = 0.25


class Outage(msgspec.Struct):
    """What a caller's stream went through.

    Attributes:
        stream: The stream, over all attempts.
        broke_at: When it broke, in monotonic seconds; 0: it didn't.
        could_go_on: Whether it was taken up while two runners of its version
            served, and it went on or its gateway was in touch.
    """

    stream: rollout.Stream
    broke_at: float = 0.0
    could_go_on: bool = False


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        streams: Streams that began.
        mixed: Those written by several versions.
        disordered: Streams with an event missing or repeated.
        taken_up: Streams that could have gone on: taken up while two runners
            of their version served, at gateways in touch if they were refused.
        went_on: The part of them that brought further events.
        late: Streams taken up late, and those of them that went on.
        began: The part of streams that began at the first attempt, at gateways
            in touch.
    """

    streams: int
    mixed: int
    disordered: int
    taken_up: int
    went_on: float
    late: tuple[int, int]
    began: float


class Play:
    """One play: a site, its callers, and what came of their streams."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.site = sites.Site(seed, folder)
        self.site.version = _OLD
        self.asked: list[Outage] = []
        self.is_over = False
        self._seed = seed

    async def run(
        self,
        scene: str,
        late_s: tuple[float, float] = _LATE_S,
        tries_s: float = _TRIES_S,
    ) -> Played:
        """Plays a scene and waits for the callers that return late.

        Args:
            scene: What happens.
            late_s: How late some callers return, in seconds, at least and at
                most.
            tries_s: For how long callers try to get a stream, in seconds.
        """
        site = self.site
        tasks: list[asyncio.Task[None]] = []
        try:
            await site.start(direct=True)
            for _ in range(_RUNNERS - len(site.runners)):
                await site.add_runner(direct=True)
            rollout.set_pace(site, _INTERVAL_S)
            await asyncio.sleep(1.0)
            tasks.append(asyncio.create_task(site.supervise()))
            callers = [
                asyncio.create_task(self._load(number, late_s, tries_s))
                for number in range(_CALLERS)
            ]
            tasks += callers
            await asyncio.sleep(2.0)
            await SCENES[scene](self)
            await asyncio.sleep(4.0)
            self.is_over = True
            await asyncio.wait(callers)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await site.stop()
        return self._sum_up()

    async def release(self, count: int, notice_s: float | None) -> None:
        """Adds runners of the new version; as many old ones leave.

        Args:
            count: How many.
            notice_s: Seconds from when an old one says that it leaves until it
                is gone; None: they stay.
        """
        self.site.version = _NEW
        old = sorted(self.site.runners)[:count]
        for _ in range(count):
            await self.site.add_runner(direct=True)
        rollout.set_pace(self.site, _INTERVAL_S)
        if notice_s is not None:
            leave = [self.site.drain_runner(name, notice_s) for name in old]
            await asyncio.gather(*leave)

    async def kill_all(self, down_s: float = _DOWN_S) -> None:
        """Kills all gateways at once and lets them start after a while."""
        for gateway in self.site.gateways:
            gateway.held = True
            gateway.send(signal.SIGKILL)
        await asyncio.sleep(down_s)
        for gateway in self.site.gateways:
            gateway.held = False

    async def _load(
        self, number: int, late_s: tuple[float, float], tries_s: float
    ) -> None:
        rng = random.Random(self._seed * 1000 + number)
        is_late = rng.random() < _LATE_PART
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        while not self.is_over:
            outage = Outage(rollout.Stream())
            self.asked.append(outage)
            wait_s = rng.uniform(*late_s) if is_late else 0.0
            due = time.monotonic() + tries_s
            await self._ask(rng, outage, wait_s, due)
            await asyncio.sleep(rng.uniform(0.02, 0.3))

    async def _ask(
        self, rng: random.Random, outage: Outage, late_s: float, due: float
    ) -> None:
        """Asks for a stream, and takes it up elsewhere once it has broken."""
        stream = outage.stream
        text = f"{rng.getrandbits(64):016x}"
        places = rng.sample(self.site.gateways, len(self.site.gateways))
        number = 0
        while time.monotonic() < due:
            headers = ""
            if stream.first:
                headers = (
                    f"Resumes: {stream.first}\r\n"
                    f"Last-Event-Id: {max(stream.positions)}\r\n"
                )
            gateway = places[number % len(places)]
            number += 1
            sender = caller.Caller(gateway.address, rng, [])
            manner = caller.Manner(rollout.LIMIT_S, headers)
            alike = rollout.count_alike(self.site, stream)
            asked = await sender.ask("resume", _KEY, text, manner)
            sender.close()
            stream.record(asked)
            if headers and alike >= 2:
                outage.could_go_on |= stream.went_on > 0 or (
                    rollout.is_in_touch(self.site, asked)
                )
            if asked.whole and asked.status == 200:
                return
            if stream.first and not outage.broke_at:
                outage.broke_at = time.monotonic()
                await asyncio.sleep(late_s)
            elif not stream.first and self.is_over:
                return
            await asyncio.sleep(_RETRY_S)

    def _sum_up(self) -> Played:
        begun = [each for each in self.asked if each.stream.first]
        could = [
            each
            for each in begun
            if each.could_go_on and not each.stream.was_whole
        ]
        late = [
            each
            for each in begun
            if len(each.stream.attempts) > 1
            and each.stream.returns
            and each.broke_at
            and each.stream.attempts[-1].sent - each.broke_at > _LATE_S[0]
        ]
        first = [
            each.stream
            for each in self.asked
            if each.stream.attempts
            and rollout.is_in_touch(self.site, each.stream.attempts[0])
        ]
        at_once = [e for e in first if e.attempts[0].attempt == e.first]
        return Played(
            streams=len(begun),
            mixed=sum(each.stream.is_mixed for each in begun),
            disordered=sum(
                each.stream.positions != list(range(len(each.stream.positions)))
                for each in begun
            ),
            taken_up=len(could),
            went_on=sum(each.stream.went_on > 0 for each in could)
            / max(1, len(could)),
            late=(len(late), sum(e.stream.went_on > 0 for e in late)),
            began=len(at_once) / max(1, len(first)),
        )


async def _beside_both(play: Play) -> None:
    """All gateways are killed while runners of two versions serve."""
    await play.release(3, None)
    await asyncio.sleep(1.0)
    await play.kill_all()


async def _just_gone(play: Play) -> None:
    """The same, as the last runner of the old version has just left."""
    await play.release(_RUNNERS, 0.6)
    await play.kill_all()


async def _in_place(play: Play) -> None:
    """Runners start again in place, at the new version, in the outage.

    They can't write to the store yet, and crash once more soon after.
    """
    names = sorted(play.site.runners)[:3]
    kill = asyncio.create_task(play.kill_all(1.2))
    for away_s, unwritten_s in ((0.3, 6.0), (0.3, 0.01)):
        restarts = [
            asyncio.create_task(
                play.site.restart_runner(
                    name,
                    vanishes=False,
                    away_s=away_s,
                    version=_NEW,
                    unwritten_s=unwritten_s,
                )
            )
            for name in names
        ]
        await asyncio.sleep(2.9)
    await asyncio.gather(kill, *restarts)


async def _in_series(play: Play) -> None:
    """All gateways are killed twice beside two versions."""
    await play.release(3, None)
    await asyncio.sleep(0.6)
    await play.kill_all()
    await asyncio.sleep(_AGAIN_S)
    await play.kill_all()


async def _beside_one(play: Play) -> None:
    """All gateways are killed; there has only ever been one version."""
    await play.kill_all()


SCENES: dict[str, Callable[[Play], Awaitable[None]]] = {
    "both": _beside_both,
    "gone": _just_gone,
    "in_place": _in_place,
    "series": _in_series,
    "same": _beside_one,
}


def main() -> None:
    """Prints what came of each seed."""
    first, last = map(int, sys.argv[1:3])
    for seed in range(first, last + 1):
        for scene in sys.argv[3:] or SCENES:
            folder = pathlib.Path(tempfile.mkdtemp(prefix=f"outage-{seed}-"))
            played = asyncio.run(Play(seed, folder).run(scene))
            print(f"seed {seed}, {scene}, logs in {folder}\n  {played}")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
