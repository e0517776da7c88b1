"""Calls to one address over a kept connection, one at a time."""

import asyncio

from pollenfork.gateway import connection
from pollenfork.gateway import messages
from pollenfork.loads import messages as loads

# A connection that will be established takes some milliseconds.
_CONNECT_S = 0.5

Answer = tuple[int, bytes]


class ResponseBuffer:
    """Takes a whole answer.

    Attributes:
        done: Resolves with status and body; None where the answer broke.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.done: asyncio.Future[Answer | None] = loop.create_future()
        self._status = 0
        self._pieces: list[bytes] = []

    def on_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Takes the status."""
        self._status = status
        return True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._pieces.append(data)

    def on_end(self) -> None:
        """Notes that the answer is whole."""
        if not self.done.done():
            self.done.set_result((self._status, b"".join(self._pieces)))

    def on_failure(self, failure: connection.ResponseFailure) -> None:
        """Notes that no more comes."""
        if not self.done.done():
            self.done.set_result(None)


class Client:
    """Calls one address."""

    def __init__(self, address: loads.Address) -> None:
        self._loop = asyncio.get_running_loop()
        self._connection: connection.Connection | None = None
        self._limit: asyncio.Timeout | None = None
        self.address = address

    async def call(
        self, request: bytes, timeout_s: float, before: float | None = None
    ) -> Answer | None:
        """Returns status and body; None where no whole answer came in time.

        Args:
            request: The whole request.
            timeout_s: Seconds until its answer is of no use.
            before: Monotonic seconds from which on it must not be sent.
        """
        body = ResponseBuffer(self._loop)
        answer = None
        try:
            async with asyncio.timeout(timeout_s) as self._limit:
                opened = await self._connect()
                # Looked at last: this process may have stood still.
                if before is None or self._loop.time() < before:
                    opened.send(request, body)
                    answer = await body.done
        except (OSError, TimeoutError):
            pass  # The caller of this decides what no answer means.
        finally:
            self._limit = None
        if answer is None:
            self.close()
        return answer

    def cancel(self) -> None:
        """Ends a call under way; it brings no answer.

        Also one that still waits for its connection, which takes longest
        where the address can't be reached.
        """
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(self._loop.time())

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _connect(self) -> connection.Connection:
        kept = self._connection
        if kept is not None and kept.usable:
            return kept
        self.close()
        connecting = self._loop.create_connection(
            lambda: connection.Connection(self._loop), *self.address
        )
        async with asyncio.timeout(_CONNECT_S):
            _, opened = await connecting
        self._connection = opened
        return opened
