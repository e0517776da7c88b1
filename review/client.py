"""Clients that keep their channels and note what they are answered."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import socket
import time

from review import site as sites

# A client that reads slowly has a small window and segments of an ordinary
# network; the loopback's would let the kernel hold megabytes for it.
_SMALL_BUFFER = 8192
_SEGMENT = 1460


def make_prompt(rng: random.Random) -> str:
    """Returns the headers of a request with a prompt of its own."""
    parts = f"{rng.getrandbits(32):x}:300,{rng.getrandbits(32):x}:100"
    return (
        "X-Pollenfork-Model: m\r\nX-Pollenfork-Token-Usage: 400,200\r\n"
        f"X-Pollenfork-Prompt-Prefix: {parts}\r\n"
    )


@dataclasses.dataclass
class Answer:
    """One request and what came back.

    Attributes:
        attempt: Its id.
        sent: Monotonic seconds.
        ended: The same.
        status: The status; 0: none came.
        body: The bytes of the body that came.
        whole: Whether the answer came to the end of its framing.
        kept: Whether an earlier request was served on its channel.
    """

    attempt: str
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    whole: bool = False
    kept: bool = False


class Client:
    """One client with one kept channel."""

    def __init__(
        self,
        host: str,
        rng: random.Random,
        note: Callable[[str], None],
        bytes_per_s: float | None = None,
    ) -> None:
        """Creates a client without a channel.

        Args:
            host: The gateway's address.
            rng: Draws ids.
            note: Takes a line for the record.
            bytes_per_s: How fast it reads bodies; None: at once.
        """
        self._host = host
        self._rng = rng
        self._note = note
        self._rate = bytes_per_s
        self._channel: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None
        self._served = 0

    async def ask(
        self, method: str, path: str, deadline_ms: int, headers: str = ""
    ) -> Answer:
        """Sends a request and reads its answer, until its deadline."""
        answer = Answer(f"{self._rng.getrandbits(64):016x}")
        answer.kept = self._served > 0
        answer.sent = time.monotonic()
        self._note(f"client: sends {answer.attempt} {method} {path}")
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                await self._exchange(answer, method, path, deadline_ms, headers)
                self._served += 1
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            self._note(f"client: {answer.attempt} {type(error).__name__}")
            self.close()
        answer.ended = time.monotonic()
        self._note(
            f"client: {answer.attempt} status {answer.status}, "
            f"{len(answer.body)} bytes, whole {answer.whole}, "
            f"{answer.ended - answer.sent:.2f} s"
        )
        return answer

    def close(self) -> None:
        """Closes the channel."""
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None

    async def _exchange(
        self,
        answer: Answer,
        method: str,
        path: str,
        deadline_ms: int,
        headers: str,
    ) -> None:
        if self._channel is None:
            self._channel = await self._connect()
        reader, writer = self._channel
        length = "" if method == "GET" else "Content-Length: 0\r\n"
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {sites.HOST}\r\n"
            f"X-Pollenfork-Attempt-Id: {answer.attempt}\r\n"
            f"X-Pollenfork-Deadline-Ms: {deadline_ms}\r\n{headers}{length}"
            f"Authorization: Bearer {sites.KEY}\r\n\r\n".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.rstrip().split("\r\n")
        pairs = [line.partition(":") for line in lines]
        found = {name.lower(): value.strip() for name, _, value in pairs}
        answer.status = int(first.split()[1])
        if "content-length" in found:
            await self._read(answer, reader, int(found["content-length"]))
        else:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await self._read(answer, reader, size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        answer.whole = True
        if found.get("connection", "").lower() == "close":
            self.close()

    async def _read(
        self, answer: Answer, reader: asyncio.StreamReader, size: int
    ) -> None:
        while size:
            data = await reader.read(min(size, _SMALL_BUFFER))
            if not data:
                raise EOFError
            size -= len(data)
            answer.body += data
            if self._rate is not None:
                await asyncio.sleep(len(data) / self._rate)

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        address = self._host, sites.FRONT
        if self._rate is None:
            return await asyncio.open_connection(*address)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock, limit=_SMALL_BUFFER)
