"""Callers that keep their connections, and what they were answered."""

import asyncio
import dataclasses
import random
import time


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


class Caller:
    """Sends one request after another to one gateway."""

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

    async def ask(self, kind: str, key: str, text: str = "") -> Asked:
        """Sends a request and reads its answer.

        Args:
            kind: The kind of its route.
            key: The key it shows.
            text: Stands in its path; where empty, its id does.
        """
        attempt = f"{self._rng.getrandbits(64):016x}"
        asked = Asked(attempt, kind, key, self._address[0], time.monotonic())
        asked.path = f"/{kind}/{text or attempt}"
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
            self._connection = await asyncio.open_connection(*self._address)
        reader, writer = self._connection
        writer.write(
            f"POST {asked.path} HTTP/1.1\r\nHost: soak.example\r\n"
            f"X-Pollenfork-Attempt-Id: {asked.attempt}\r\n"
            f"X-Pollenfork-Deadline-Ms: 3000\r\n"
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

    async def _read_body(self, asked: Asked, reader) -> None:
        if "content-length" in asked.headers:
            length = int(asked.headers["content-length"])
            asked.body = await reader.readexactly(length)
            return
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            asked.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return
