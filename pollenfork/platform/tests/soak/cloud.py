"""A stand-in for the platform's calls that one instance makes for all."""

import asyncio
from collections.abc import Callable
import json
import time

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties.tests import call_rules

# The rules excuse calls this soon after their sender went on, in seconds.
_THAW_SLACK_S = 0.3


class Cloud:
    """Takes reports, keeps every call to be judged.

    Attributes:
        calls: What came, in order.
        up: Whether it answers.
    """

    def __init__(self, is_excused: Callable[[str, float], bool]) -> None:
        """Starts with no call.

        Args:
            is_excused: Returns whether a sender, by its name, has gone on
                within some seconds after it stood still.
        """
        self.calls: list[call_rules.ReceivedCall] = []
        self.up = True
        self._is_excused = is_excused
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Listens no more."""
        if self._server is not None:
            self._server.close()

    def list_reports(self) -> dict[int, dict[str, int]]:
        """Returns the counts reported, by window."""
        return {
            call.work.window: call.work.counts
            for call in self.calls
            if isinstance(call.work, messages.UsageReport)
        }

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                headers = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:-2]
                )
                length = int(headers["Content-Length"])
                body = json.loads(await reader.readexactly(length))
                status = 200 if self.up else 503
                if self.up:
                    self._note(headers, body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n".encode()
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _note(self, headers: dict[str, str], body: dict) -> None:
        counts = {ids.AccountId(k): n for k, n in body["counts"].items()}
        sender = headers["X-Pollenfork-Duty-Holder"]
        self.calls.append(
            call_rules.ReceivedCall(
                time.monotonic(),
                sender,
                int(headers["X-Pollenfork-Fencing-Token"]),
                messages.UsageReport(body["window"], counts),
                self._is_excused(sender, _THAW_SLACK_S),
            )
        )
