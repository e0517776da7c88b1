"""Callers that keep their connections, and what they were answered."""

import asyncio
import dataclasses
import random
import re
import socket
import time
from typing import NamedTuple

# The receive buffer and the segment size of a caller that reads slowly, in
# bytes. With the segments of loopback interfaces, the kernel buffers over 1 MB
# for it, and its gateway never waits for it.
_SMALL_BUFFER = 8_192
_SMALL_SEGMENT = 1_460


class Manner(NamedTuple):
    """How a caller sends a request and reads its answer.

    Attributes:
        limit_s: Its time limit.
        headers: Further header lines, each with its line end.
        pause_s: For how long it reads nothing after each chunk of a body.
        leaves_after: It leaves a stream after so many events; 0: it doesn't.
    """

    limit_s: float = 3.0
    headers: str = ""
    pause_s: float = 0.0
    leaves_after: int = 0


class _LeftError(ConnectionError):
    """The caller has left."""


_AFTER = re.compile(r"^Last-Event-Id: (\d+)\r$", re.MULTILINE)
_PLAIN = Manner()


@dataclasses.dataclass
class Asked:
    """One attempt of a caller and its answer.

    Attributes:
        attempt: Its id.
        kind: The kind of its route: safe, unsafe, stream or resume.
        key: The key it showed.
        instance: The gateway's address.
        sent: Monotonic seconds.
        ended: Monotonic seconds.
        status: The HTTP status; 0 where none came.
        body: The body's bytes that came.
        whole: Whether the answer's framing came to its end.
        path: The path that it asked for.
        manner: How it was sent.
        paused_s: For how long its caller read nothing.
    """

    attempt: str
    kind: str
    key: str
    instance: str
    sent: float
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    whole: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    path: str = ""
    manner: Manner = _PLAIN
    paused_s: float = 0.0

    @property
    def after(self) -> int:
        """The position that it asked to follow; -1: none."""
        found = _AFTER.search(self.manner.headers)
        return int(found.group(1)) if found else -1


class Caller:
    """Sends one request after another to one gateway.

    Its connection is closed at the end of the task that made it.
    """

    def __init__(
        self,
        address: tuple[str, int],
        rng: random.Random,
        asked: list[Asked],
    ) -> None:
        """Takes what it needs.

        Args:
            address: The gateway's.
            rng: Draws ids.
            asked: Takes each attempt as it is sent.
        """
        self._address = address
        self._rng = rng
        self._asked = asked
        self._connection: tuple | None = None
        task = asyncio.current_task()
        assert task is not None
        task.add_done_callback(lambda _: self.close())

    async def ask(
        self, kind: str, key: str, text: str = "", manner: Manner = _PLAIN
    ) -> Asked:
        """Sends a request and reads its answer.

        Args:
            kind: The kind of its route.
            key: The key it shows.
            text: Stands in its path; where empty, its id does.
            manner: How it is sent.
        """
        attempt = f"{self._rng.getrandbits(64):016x}"
        asked = Asked(attempt, kind, key, self._address[0], time.monotonic())
        asked.path = f"/{kind}/{text or attempt}"
        asked.manner = manner
        self._asked.append(asked)
        try:
            async with asyncio.timeout(6):
                await self._exchange(asked)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
        asked.ended = time.monotonic()
        return asked

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _exchange(self, asked: Asked) -> None:
        if self._connection is None:
            self._connection = await self._connect(asked.manner)
        reader, writer = self._connection
        writer.write(
            f"POST {asked.path} HTTP/1.1\r\nHost: soak.example\r\n"
            f"X-Pollenfork-Attempt-Id: {asked.attempt}\r\n"
            f"X-Pollenfork-Deadline-Ms: {asked.manner.limit_s * 1000:.0f}\r\n"
            f"{asked.manner.headers}"
            f"Authorization: Bearer {asked.key}\r\n"
            "Content-Length: 4\r\n\r\nbody".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        asked.status = int(first.split()[1])
        pairs = [line.partition(": ") for line in lines]
        asked.headers = {name.lower(): value for name, _, value in pairs}
        await self._read_body(asked, reader)
        asked.whole = True
        if asked.headers.get("connection") == "close":
            self.close()

    async def _connect(self, manner: Manner) -> tuple:
        if not manner.pause_s:
            return await asyncio.open_connection(*self._address)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SMALL_SEGMENT)
        sock.setblocking(False)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, self._address)
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=_SMALL_BUFFER)

    async def _read_body(self, asked: Asked, reader) -> None:
        if "content-length" in asked.headers:
            length = int(asked.headers["content-length"])
            asked.body = await reader.readexactly(length)
            return
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            try:
                asked.body += await reader.readexactly(size)
            except asyncio.IncompleteReadError as error:
                asked.body += error.partial
                raise
            await reader.readexactly(2)
            if not size:
                return
            if 0 < asked.manner.leaves_after <= asked.body.count(b"\n\n"):
                raise _LeftError
            await asyncio.sleep(asked.manner.pause_s)
            asked.paused_s += asked.manner.pause_s
