"""A stand-in for the platform's store: two tables, feeds, and outages."""

import asyncio
import base64
import enum
import json
from typing import NamedTuple
import urllib.parse


class Mood(enum.Enum):
    """How the store answers."""

    WELL = "well"
    REFUSING = "refusing"
    SILENT = "silent"
    SLOW = "slow"


# Tables whose writers notice a restoration and write their rows again.
_REWRITTEN = frozenset({"op", "servers"})
_SLOW_S = 0.25
_LOOK_S = 0.01


class Copy(NamedTuple):
    """The rows at a moment, as a backup keeps them."""

    version: int
    rows: dict[tuple[str, str], dict]


class Store:
    """Rows of tables, their history, and calls that wait for changes.

    Attributes:
        mood: How calls are answered from now on.
        era: How often it was restored from a copy, named in all answers.
    """

    def __init__(self) -> None:
        self.mood = Mood.WELL
        self.era = 1
        self._writers: set[asyncio.StreamWriter] = set()
        # Rows as they were before the last restoration, and in its copy.
        self._lost: dict[tuple[str, str], dict] = {}
        self._copied: dict[tuple[str, str], dict] = {}
        self._version = 1
        self._rows: dict[tuple[str, str], dict] = {}
        self._history: list[dict] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Listens no more."""
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: dict) -> float:
        """Writes a row; returns when that was acknowledged."""
        self._version += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "row-version": self._version,
        }
        self._rows[table, key] = row
        return await self._note(row)

    async def remove(self, table: str, key: str) -> float:
        """Removes a row; returns when that was acknowledged."""
        self._version += 1
        self._rows.pop((table, key), None)
        row = {"table": table, "key": key, "row-version": self._version}
        return await self._note({**row, "removed": True})

    def forget_history(self) -> None:
        """Drops all changes so far, as the platform's store may."""
        self._history.clear()
        self._forgotten = self._version

    def save(self) -> Copy:
        """Returns a copy of all rows."""
        return Copy(self._version, dict(self._rows))

    def restore(self, copy: Copy) -> None:
        """Comes back from a copy: what was written since is lost."""
        self._lost = dict(self._rows)
        self._copied = dict(copy.rows)
        self.era += 1
        self._version = copy.version
        self._rows = dict(copy.rows)
        self._history.clear()
        self._forgotten = copy.version
        for writer in list(self._writers):
            writer.transport.abort()

    async def rewrite(self) -> None:
        """Lets operator and runners write again what was lost of theirs."""
        lost, self._lost = self._lost, {}
        copied, self._copied = self._copied, {}
        for table, key in sorted({*lost, *copied}):
            row = lost.get((table, key))
            before = copied.get((table, key))
            same = row and before and row["value"] == before["value"]
            if table not in _REWRITTEN or same:
                continue
            if row is None:
                await self.remove(table, key)
            else:
                value = json.loads(base64.b64decode(row["value"]))
                await self.put(table, key, value)

    async def _note(self, row: dict) -> float:
        self._history.append(row)
        async with self._changed:
            self._changed.notify_all()
        return asyncio.get_running_loop().time()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                met = True
                if head.startswith(b"POST"):
                    change = json.loads(await _read(head, reader))
                    met = await self._change(change)
                status, body = await self._answer(target)
                if not met:
                    status = 412
                data = encode(body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _change(self, change: dict) -> bool:
        """Applies a change; returns whether its conditions were met."""
        if self.mood is Mood.REFUSING:
            return True
        for row in change["precondition"]:
            known = self._rows.get((row["table"], row["key"]), {})
            if known.get("row-version", 0) != row["row-version"]:
                return False
        # All rows of a transaction have its version.
        self._version += 1
        for row in change["upserts"]:
            written = {**row, "row-version": self._version}
            self._rows[row["table"], row["key"]] = written
            await self._note(written)
        for row in change["remove"]:
            self._rows.pop((row["table"], row["key"]), None)
            await self._note(
                {**row, "row-version": self._version, "removed": True}
            )
        return True

    async def _answer(self, target: str) -> tuple[int, dict]:
        if self.mood is Mood.REFUSING:
            return 503, {}
        if self.mood is Mood.SLOW:
            await asyncio.sleep(_SLOW_S)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if url.path == "/api/rows-tx":
            answer = 200, {"row-version": self._version}
        elif url.path == "/api/rows-get":
            answer = 200, self._read_range(query["table"])
        else:
            answer = await self._feed(query)
        while self.mood is Mood.SILENT:
            await asyncio.sleep(_LOOK_S)
        return answer

    def _read_range(self, table: str) -> dict:
        rows = [row for (t, _), row in sorted(self._rows.items()) if t == table]
        return {"rows": rows, "has-more": False, "row-version": self._version}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        after = int(query["after-revision"])
        wait_s = int(query["wait-ms"]) / 1000
        if not self._forgotten <= after <= self._version:
            return 410, {}
        found: list[dict] = []

        def look() -> bool:
            found[:] = [
                row
                for row in self._history
                if row["row-version"] > after and row["table"] == query["table"]
            ]
            return bool(found)

        try:
            async with asyncio.timeout(wait_s + 0.001), self._changed:
                await self._changed.wait_for(look)
        except TimeoutError:
            # A change may have been made while the lock was awaited.
            look()
        if after < self._forgotten:
            return 410, {}  # Its changes went while it waited.
        return 200, {"rows": found, "row-version": self._version}


def encode(body: dict) -> bytes:
    """Returns an answer's body as it goes over the wire."""
    return json.dumps(body).encode()


async def _read(head: bytes, reader) -> bytes:
    """Returns the body that follows a head."""
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    return await reader.readexactly(int(length))
