"""The platform's calls that are one gateway's duty: it accepts reports."""

import asyncio
from collections.abc import Callable
import json
from typing import NamedTuple


class Report(NamedTuple):
    """A usage report that was accepted.

    Attributes:
        window: The window's number.
        counts: The requests of each tenant.
        holder: Who sent it.
    """

    window: int
    counts: dict[str, int]
    holder: str


class Cloud:
    """Accepts each report and keeps it.

    Attributes:
        reports: All reports, in order.
        on_report: Called with each one as it is accepted.
    """

    def __init__(self, note: Callable[[str], None]) -> None:
        """Creates a platform that doesn't listen yet.

        Args:
            note: Takes a line for the record.
        """
        self.reports: list[Report] = []
        self.on_report: Callable[[Report], None] = lambda report: None
        self._note = note
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Listens no more."""
        if self._server is not None:
            self._server.close()

    def find_conflicts(self) -> list[tuple[Report, Report]]:
        """Returns reports of one window with different counts, in pairs."""
        first: dict[int, Report] = {}
        found = []
        for each in self.reports:
            known = first.setdefault(each.window, each)
            if known.counts != each.counts:
                found.append((known, each))
        return found

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                pairs = [
                    line.partition(":") for line in head.split("\r\n")[1:-2]
                ]
                found = {name.lower(): text.strip() for name, _, text in pairs}
                length = int(found["content-length"])
                body = json.loads(await reader.readexactly(length))
                report = Report(
                    body["window"],
                    body["counts"],
                    found["x-pollenfork-duty-holder"],
                )
                self.reports.append(report)
                self._note(f"platform: accepts {report}")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                self.on_report(report)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
