"""Plays single faults in the streams of runners before real gateways."""

import asyncio
from collections.abc import Awaitable, Callable
import pathlib
import random

import msgspec

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites

_KEY = "key-always"
_EVENTS = 10
# Events that a runner sends before its fault.
BEFORE = 4
_REQUESTS = 6
# Sound requests before each stream, which earn the retry that it needs.
_SOUND = 6

# Writes a stream, from the position after the one asked; returns whether the
# connection can be used again.
Script = Callable[["ScriptedRunner", "Run"], Awaitable[bool]]


class Run(msgspec.Struct, frozen=True):
    """One run of a stream.

    Attributes:
        attempt: The caller's id.
        path: The request's path.
        after: The position asked, of the last event that the caller has.
        writer: Writes the answer.
    """

    attempt: str
    path: str
    after: int
    writer: asyncio.StreamWriter

    def make(self, first: int, end: int = _EVENTS) -> bytes:
        """Returns the events of some positions."""
        return b"".join(
            runner.make_event(self.path, self.attempt, position)
            for position in range(first, end)
        )

    def begin(self, framed: bool = True) -> None:
        """Writes the head."""
        framing = "Transfer-Encoding: chunked\r\n" if framed else ""
        self.writer.write(
            f"HTTP/1.1 200 OK\r\nX-Pollenfork-Attempt-Id: {self.attempt}\r\n"
            "X-Pollenfork-Response-Seal: s\r\n"
            "Content-Type: text/event-stream\r\n"
            f"{framing}\r\n".encode()
        )

    async def write(self, data: bytes, framed: bool = True) -> None:
        """Writes a piece of the body, as one chunk if it is framed."""
        if framed:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.writer.write(data)
        await self.writer.drain()
        await asyncio.sleep(0.02)


class ScriptedRunner(runner.Runner):
    """A runner that follows a script in its next stream.

    Attributes:
        site: The site, whose script the first run of a request takes.
    """

    site: "SpoiledSite"

    async def _stream(self, attempt, headers, path, writer) -> bool:
        script = self.site.take_script(attempt)
        if script is None:
            return await super()._stream(attempt, headers, path, writer)
        after = int(headers.get("last-event-id", -1))
        return await script(self, Run(attempt, path, after, writer))

    def end_as_killed(self) -> None:
        """Ends as a killed process does: each connection is closed in order."""
        self._ended = True
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()


class SpoiledSite(sites.Site):
    """A site whose runners follow a script once for each request.

    Attributes:
        script: What the first run of each request does; None: nothing special.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        super().__init__(seed, folder, instances=1)
        self.script: Script | None = None
        self._begun: set[str] = set()

    def take_script(self, attempt: str) -> Script | None:
        """Returns the script if it is the first run of a request."""
        if attempt in self._begun:
            return None
        self._begun.add(attempt)
        return self.script

    def _make_runner(self, name: str) -> runner.Runner:
        made = ScriptedRunner(name, "model", self.record, self.rng)
        made.site = self
        return made


async def play(
    seed: int,
    folder: pathlib.Path,
    script: Script,
    kind: str = "resume",
    after: int | None = None,
    requests: int = _REQUESTS,
) -> list[caller.Asked]:
    """Sends streams one after the other; returns what callers got.

    Args:
        seed: Draws ids.
        folder: Takes the logs.
        script: What the first run of each stream does.
        kind: The kind of the requests' route.
        after: The position after which callers take their streams up; None:
            they begin.
        requests: The number of requests.
    """
    site = SpoiledSite(seed, folder)
    answers = []
    try:
        await site.start(direct=True)
        sender = caller.Caller(
            site.gateways[0].address, random.Random(seed), site.asked
        )
        for number in range(requests):
            for _ in range(_SOUND):
                await sender.ask("safe", _KEY)
            headers = ""
            if after is not None:
                site.script = None
                begun = await sender.ask(kind, _KEY, f"text-{number}")
                headers = f"Last-Event-Id: {after}\r\n"
                headers += f"Resumes: {begun.attempt}\r\n"
            site.script = script
            manner = caller.Manner(headers=headers)
            answers.append(
                await sender.ask(kind, _KEY, f"text-{number}", manner)
            )
    finally:
        await site.stop()
    return answers


def find_disorder(
    asked: list[caller.Asked], after: int | None = None
) -> list[str]:
    """Returns the answers that aren't a prefix of their stream's events.

    An answer that ends as complete has all events.
    """
    found = []
    first = 0 if after is None else after + 1
    for each in asked:
        expected = b"".join(
            runner.make_event(each.path, each.attempt, position)
            for position in range(first, _EVENTS)
        )
        if each.status == 200 and (
            each.body != expected
            if each.whole
            else not expected.startswith(each.body)
        ):
            ended = "whole" if each.whole else "cut"
            found.append(f"{each.attempt} {ended}: {each.body!r}")
    return found
