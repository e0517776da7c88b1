"""A model runner: paced streams, plain answers, cache news, crashes."""

import asyncio
from collections.abc import Awaitable, Callable
import json
import time

PORT = 9100
_LONGEST_WAIT_S = 1.0


class Runner:
    """One runner, under an id and an address that it keeps.

    Attributes:
        name: Its id.
        version: The version of its software.
        events: The number of events of a stream.
        interval_s: The seconds between two of them.
        body: The body of a plain answer.
        work_s: The seconds that a plain answer takes.
        silent_until: Monotonic seconds until which it sends nothing.
        streaming: The number of streams that run.
        state: What its entry says: ready or draining.
        ran: The attempts that it has run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        zone: str,
        note: Callable[[str], None],
    ) -> None:
        """Creates a runner that doesn't listen yet.

        Args:
            name: Its id.
            service: Its service.
            host: Its address.
            zone: Its zone.
            note: Takes a line for the record.
        """
        self.name = name
        self.version = "v1"
        self.events = 40
        self.interval_s = 0.08
        self.body = b""
        self.work_s = 0.03
        self.silent_until = 0.0
        self.streaming = 0
        self.state = "ready"
        self.ran: set[str] = set()
        self._service = service
        self._host = host
        self._zone = zone
        self._note = note
        self._born = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(
        self, register: Callable[["Runner"], Awaitable[None]]
    ) -> None:
        """Registers, then listens: a new incarnation under the same id."""
        self._born = int(time.time() * 1000)
        await register(self)
        self._server = await asyncio.start_server(
            self._serve, self._host, PORT, backlog=370
        )
        self._note(f"{self.name}: started, version {self.version}")

    def crash(self) -> None:
        """Resets all connections and listens no more."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def make_entry(self) -> dict:
        """Returns its entry in the store."""
        return {
            "service": self._service,
            "address": f"{self._host}:{PORT}",
            "zone": self._zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": self._born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip().split("\r\n")
        pairs = [line.partition(":") for line in lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        if length:
            await reader.readexactly(length)
        target = first.split()[1]
        if target.startswith("/api/") or target == "/health":
            await self._answer_own(target, headers, writer)
            return True
        attempt = headers.get("x-pollenfork-attempt-id", "")
        if headers.get("x-pollenfork-expect-instance", self.name) != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"X-Pollenfork-Instance-Id: %b\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
            return True
        self.ran.add(attempt)
        after = headers.get("last-event-id", "-")
        self._note(f"{self.name}: runs {attempt} {target} after {after}")
        if "/stream" in target or target.startswith("/defect"):
            self.streaming += 1
            try:
                await self._stream(attempt, after, reader, writer)
            finally:
                self.streaming -= 1
        else:
            await self._answer(attempt, writer)
        return True

    async def _answer_own(
        self, target: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Answers a call about itself."""
        body: dict[str, object] = {"born": self._born}
        if target.startswith("/api/kv-events"):
            wait_s = int(headers.get("wait-ms", 0)) / 1000.0
            await asyncio.sleep(min(wait_s, _LONGEST_WAIT_S))
            body |= {"epoch": self._born, "next": 0, "lost": False}
            body |= {"events": []}
        elif target.startswith("/api/kv-list"):
            body |= {"epoch": self._born, "next": 0, "held": []}
        data = json.dumps(body).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"X-Pollenfork-Instance-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
            % (self.name.encode(), len(data), data)
        )

    async def _answer(self, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Runs a plain request."""
        await asyncio.sleep(self.work_s)
        await self._wait_while_silent()
        body = self.body or f"answer to {attempt}".encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Pollenfork-Attempt-Id: %b\r\n"
            b"X-Pollenfork-Response-Seal: s.%b\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (attempt.encode(), attempt.encode(), len(body))
        )
        writer.write(body)
        await writer.drain()
        self._note(f"{self.name}: answered {attempt}")

    async def _stream(
        self,
        attempt: str,
        after: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a stream; stops where its channel closes."""
        await asyncio.sleep(self.work_s)
        await self._wait_while_silent()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Pollenfork-Attempt-Id: %b\r\n"
            b"X-Pollenfork-Response-Seal: s.%b\r\n"
            b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (attempt.encode(), attempt.encode())
        )
        begin = 0 if after == "-" else int(after) + 1
        for position in range(begin, self.events):
            if reader.at_eof() or writer.transport.is_closing():
                self._note(f"{self.name}: {attempt} left at {position}")
                raise ConnectionResetError
            event = (
                f"id: {position}\ndata: {attempt} {position} {self.version}\n\n"
            ).encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.interval_s)
            await self._wait_while_silent()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._note(f"{self.name}: completed {attempt}")

    async def _wait_while_silent(self) -> None:
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.02)
