"""A stand-in for a runner."""

import asyncio
from collections.abc import Callable
import json
import random
import time

from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import stream_forms

# A request with this in its path ends each runner that begins to run it.
ENDING = "ends-its-runner"
# The events of a stream.
EVENTS = 10
# For how long a runner that breaks off a stream without a close is silent.
_SILENT_S = 2.0
# How often a silent runner looks whether it goes on, in seconds.
_LOOK_S = 0.01
# How long a runner that ends holds a connection that it has accepted since.
_DROP_S = 0.02
# Events of a path with this in it are padded to this many bytes and more.
PADDED = "padded"
_PADDING = 131_072
# Prompt tokens that a runner of slowness 1 processes, one prompt at a time.
_PREFILL_PER_S = 54_600.0


def make_event(
    path: str, attempt: str, position: int, version: str = "", run: str = ""
) -> bytes:
    """Returns one event of a stream.

    Args:
        path: The request's path.
        attempt: The caller's id.
        position: The event's position.
        version: The version of the software that makes it; empty: not named.
        run: The id of the run that makes it; empty: not named.
    """
    padding = "." * _PADDING if PADDED in path else ""
    author = f" {version}" if version else ""
    maker = f"{attempt}/{run}" if run else attempt
    return (
        f"id: {position}\ndata: {maker} {position}{padding}{author}\n\n"
    ).encode()


class Runner:
    """Serves plain requests and streams of ten events.

    Attributes:
        on_ending: Called with this runner and the path of a request that ends
            it.
        named: The rate limit that its answers name, as written there; empty:
            none.
        leaving: Whether its answers say that it leaves.
        pause_s: It refuses everything and asks for a pause of so many seconds;
            0: it doesn't.
        slowness: The factor by which it takes longer than others.
        interval_s: The time between events, of a runner of slowness 1.
        brittle: Its answers say that it falls over if it has to refuse more
            requests in a second for want of room; None: they don't.
        places: Requests that it runs at once, others it refuses; None: any
            number.
        on_fall: Called when it falls over.
        version: The version of its software, named in each of its events;
            empty: not named.
        ending_part: A part of a prompt that ends it; empty: none.
        silent_until: Monotonic seconds until which it sends nothing.
        forms: Draws how it sends streams; None: it sends all whole.
        names_runs: Whether its events name the run that made them.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: records.Record,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.faults = records.Faults()
        self.named = ""
        self.leaving = False
        self.pause_s = 0.0
        self.slowness = 1.0
        self.interval_s = 0.02
        self.brittle: int | None = None
        self.places: int | None = None
        self.on_fall: Callable[[Runner], None] = lambda me: me.crash()
        self.version = ""
        self.ending_part = ""
        self.silent_until = 0.0
        self.forms: stream_forms.Forms | None = None
        self.names_runs = False
        self.born = int(time.time() * 1000)
        self._active = 0
        self._refused: list[float] = []
        # Tokens of the prompt parts that it caches; it evicts nothing.
        self._cached: dict[str, int] = {}
        self._prefill = asyncio.Lock()
        self.on_ending: Callable[[Runner, str], None] = lambda me, _: me.crash()
        self._record = record
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._started = time.monotonic()
        self._ended = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def crash(self, lingers_s: float = 0.0) -> None:
        """Ends as a killed process does.

        It listens no more, and the kernel closes its connections in order,
        but for those on which it has left something unread.

        Args:
            lingers_s: For how long new connections are still accepted, and
                dropped.
        """
        self._ended = True
        if self._server is not None and lingers_s:
            loop = asyncio.get_running_loop()
            loop.call_later(lingers_s, self._server.close)
        elif self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_connections(self, host: str = "") -> None:
        """Resets every connection, or those of a host, and serves on."""
        for writer in list(self._writers):
            if host in ("", writer.get_extra_info("peername")[0]):
                stream_forms.reset(writer)

    async def _serve(self, reader, writer) -> None:
        if self._ended:
            await asyncio.sleep(_DROP_S)
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        pairs = [line.partition(": ") for line in lines]
        headers = {name.lower(): value for name, _, value in pairs}
        if length := int(headers.get("content-length", 0)):
            await reader.readexactly(length)
        await self._wait_while_silent()
        if first.split()[1].startswith("/api/"):
            writer.write(await self._list_cached(first.split()[1], headers))
            return True
        attempt = headers.get("x-pollenfork-attempt-id", "")
        arrival = records.Arrival(
            self.name,
            time.monotonic(),
            attempt,
            self.pause_s,
            self.leaving,
            self._started,
            writer.get_extra_info("peername")[0],
        )
        self._record.arrivals.append(arrival)
        if headers.get("x-pollenfork-expect-instance") != self.name:
            writer.write(
                self._write(421, attempt, b"", "X-Pollenfork-Not-Executed: 1")
            )
            return True
        if self.pause_s:
            pause = f"Retry-After: {self.pause_s:g}"
            writer.write(
                self._write(
                    503,
                    attempt,
                    b"",
                    f"X-Pollenfork-Not-Executed: 1\r\n{pause}",
                )
            )
            return True
        if self._rng.random() < self.faults.refused:
            writer.write(
                self._write(503, attempt, b"", "X-Pollenfork-Not-Executed: 1")
            )
            return True
        if self.places is not None and self._active >= self.places:
            return self._refuse_for_room(attempt, writer)
        self._note(attempt, headers, first.split()[1])
        path = first.split()[1]
        self._active += 1
        try:
            return await self._run(attempt, headers, path, reader, writer)
        finally:
            self._active -= 1

    @property
    def active(self) -> int:
        """The number of requests that it runs."""
        return self._active

    async def _wait_while_silent(self) -> None:
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(_LOOK_S)

    def _refuse_for_room(self, attempt: str, writer) -> bool:
        now = time.monotonic()
        self._refused = [at for at in self._refused if now - at < 1.0] + [now]
        if self.brittle is not None and len(self._refused) > self.brittle:
            self.on_fall(self)
            return False
        writer.write(
            self._write(503, attempt, b"", "X-Pollenfork-Not-Executed: 1")
        )
        return True

    def _note(self, attempt: str, headers: dict, path: str) -> None:
        account = headers.get("x-pollenfork-tenant", "")
        run = records.Run(attempt, self.name, time.monotonic(), account, path)
        run.id = f"r{len(self._record.runs)}"
        run.after = int(headers.get("last-event-id", -1))
        run.version = self.version
        if self.forms is not None:
            run.form = self.forms.draw()
        self._record.runs.append(run)
        if "authorization" in headers:
            self._record.wrong.append(f"key passed on: {attempt}")

    async def _list_cached(self, target: str, headers: dict) -> bytes:
        """Returns the response to a feed or list request of an instance."""
        since = int(target.partition("since=")[2] or 0)
        if since >= len(self._cached):
            await asyncio.sleep(int(headers.get("wait-ms", 0)) / 1000.0)
        events = [
            (number, "+", "", part, tokens)
            for number, (part, tokens) in enumerate(self._cached.items(), 1)
        ]
        body = {
            "born": self.born,
            "next": len(events),
            "events": events[since:],
            "held": [each[2:] for each in events],
        }
        return self._write(200, "", json.dumps(body).encode())

    async def _process_prompt(self, headers: dict, reader) -> None:
        prompt = headers.get("x-pollenfork-prompt-prefix")
        if prompt is None:
            return
        async with self._prefill:
            if reader.at_eof():
                return
            pairs = [each.split(":") for each in prompt.split(",")]
            *shared, own = [(part, int(tokens)) for part, tokens in pairs]
            new = {p: n for p, n in shared if p not in self._cached}
            tokens = sum(new.values()) + own[1]
            await asyncio.sleep(tokens / _PREFILL_PER_S * self.slowness)
            self._cached.update(new)

    def _has_ending_part(self, headers: dict) -> bool:
        prompt = headers.get("x-pollenfork-prompt-prefix", "")
        names = [each.partition(":")[0] for each in prompt.split(",")]
        return bool(self.ending_part) and self.ending_part in names[:-1]

    async def _run(self, attempt, headers, path, reader, writer) -> bool:
        await asyncio.sleep(self._rng.uniform(0.01, 0.06) * self.slowness)
        await self._process_prompt(headers, reader)
        await self._wait_while_silent()
        if ENDING in path or self._has_ending_part(headers):
            self.on_ending(self, path)
            return False
        if self._rng.random() < self.faults.lost:
            return False
        if self._rng.random() < self.faults.error:
            writer.write(self._write(500, attempt, b"failed"))
            return True
        if path.startswith(("/stream/", "/resume/")):
            return await self._stream(attempt, headers, path, writer)
        body = f"{attempt} {self.service} answer".encode()
        if self._record.find_run(attempt, self.name).form.unframed:
            return await self._write_unframed(attempt, body, writer)
        if self._rng.random() < self.faults.cut:
            writer.write(self._write(200, attempt, body)[:-3])
            return False
        writer.write(self._write(200, attempt, body))
        if self._rng.random() < self.faults.extra:
            writer.write(self._write(200, "somebody", b"not yours"))
        await writer.drain()
        return True

    async def _write_unframed(self, attempt: str, body: bytes, writer) -> bool:
        framed = self._write(200, attempt, body)
        length = b"Content-Length: %d" % len(body)
        answer = framed.replace(length, b"Connection: close")
        # A process that is killed meanwhile has sent half of the body.
        for data in (answer[: -len(body) // 2], answer[-len(body) // 2 :]):
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(self.interval_s * self.slowness)
        return False

    async def _stream(self, attempt, headers, path, writer) -> bool:
        run = self._record.find_run(attempt, self.name)
        spoil = run.form.spoil
        if spoil is stream_forms.Spoil.DECLINED and run.after >= 0:
            writer.write(self._write(410, attempt, b"gone"))
            return True
        framing = (
            "Connection: close"
            if run.form.unframed
            else "Transfer-Encoding: chunked"
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Pollenfork-Attempt-Id: {attempt}\r\n"
            f"{self._write_notices()}"
            "X-Pollenfork-Response-Seal: s\r\n"
            "Content-Type: text/event-stream\r\n"
            f"{framing}\r\n\r\n".encode()
        )
        name = run.id if self.names_runs else ""
        is_anew = spoil is stream_forms.Spoil.ANEW
        first = 0 if is_anew else run.after + 1
        events = [
            make_event(path, attempt, position, run.version, name)
            for position in range(first, EVENTS)
        ]
        writes, end = stream_forms.list_writes(run.form, events, run.after)
        # As many writes as events take as long, whatever a write holds.
        pause_s = self.interval_s * self.slowness * len(events)
        for data in writes:
            await self._wait_while_silent()
            frame = b"%b" if run.form.unframed else b"%x\r\n%%b\r\n" % len(data)
            is_cut = self._rng.random() < self.faults.cut / 5
            # A part may end with its event, and the end of an unframed answer
            # of a runner that lives on is one that nobody can doubt.
            if is_cut and not run.form.unframed:
                writer.write((frame % data)[: len(data) // 2 + 1])
                await writer.drain()
                return False
            writer.write(frame % data)
            await writer.drain()
            await asyncio.sleep(pause_s / len(writes))
        await self._wait_while_silent()
        return await self._end_stream(run, end, writer)

    async def _end_stream(
        self, run: records.Run, end: stream_forms.End, writer
    ) -> bool:
        if end is stream_forms.End.SILENT:
            await asyncio.sleep(_SILENT_S)
            return False
        if end is stream_forms.End.RESET:
            stream_forms.reset(writer)
        if end is not stream_forms.End.WHOLE or run.form.unframed:
            return False
        writer.write(b"0\r\n\r\n")
        if run.form.spoil is stream_forms.Spoil.EXTRA:
            writer.write(self._write(200, "somebody", b"not yours"))
        return True

    def _write_notices(self) -> str:
        limit = f"Server-Limit: {self.named}\r\n" if self.named else ""
        if self.brittle is not None:
            limit += f"Server-Brittle: {self.brittle}\r\n"
        return limit + ("Server-Leaving: 1\r\n" if self.leaving else "")

    def _write(
        self, status: int, attempt: str, body: bytes, extra: str = ""
    ) -> bytes:
        seal = extra or "X-Pollenfork-Response-Seal: s"
        return (
            f"HTTP/1.1 {status} X\r\nX-Pollenfork-Attempt-Id: {attempt}\r\n"
            f"{self._write_notices()}"
            f"{seal}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
