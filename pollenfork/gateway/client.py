"""An HTTP client for one address, with one persistent connection."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple

from pollenfork.gateway import connection
from pollenfork.gateway import messages
from pollenfork.gateway.bounds import pieces
from pollenfork.loads import messages as loads

# Connections that succeed are established within some milliseconds.
_CONNECT_S = 0.5


# The store's objects take up to 8 MiB, and its pages and tables less.
MAX_BODY_BYTES = 12 << 20


class Answer(NamedTuple):
    """A whole response."""

    status: int
    body: bytes
    headers: Sequence[messages.Header] = ()


OnHead = Callable[[int, list[messages.Header]], None]


class ResponseBuffer:
    """Buffers a whole response.

    Attributes:
        done: Resolves with the response; with None if it stayed incomplete.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_head: OnHead | None = None,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Creates an empty buffer.

        Args:
            loop: Provides the future.
            on_head: Called with the response's status and headers.
            max_bytes: The longest body that is accepted.
        """
        self._max_bytes = max_bytes
        self._on_head = on_head
        self.done: asyncio.Future[Answer | None] = loop.create_future()
        self._status = 0
        self._headers: Sequence[messages.Header] = ()
        self._body = pieces.Pieces()

    def on_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Stores status and headers."""
        self._status = status
        self._headers = headers
        if self._on_head is not None:
            self._on_head(status, headers)
        return True

    def on_body(self, data: bytes) -> bool:
        """Buffers a piece of the body, up to the limit."""
        if len(self._body) + len(data) > self._max_bytes:
            return False
        self._body.append(data)
        return True

    def on_end(self, proof: connection.EndProof) -> None:
        """Resolves `done` with the response."""
        if not self.done.done():
            body = self._body.take()
            self.done.set_result(Answer(self._status, body, self._headers))

    def on_failure(self, failure: connection.ResponseFailure) -> None:
        """Resolves `done` with None."""
        if not self.done.done():
            self.done.set_result(None)


class Client:
    """Sends requests to one address, one at a time."""

    def __init__(
        self,
        address: loads.Address,
        on_head: OnHead | None = None,
        max_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Creates a client without a connection.

        Args:
            address: The server's address.
            on_head: Called with the status and headers of each response.
            max_bytes: The longest response body that is accepted.
        """
        self._max_bytes = max_bytes
        self._on_head = on_head
        self._loop = asyncio.get_running_loop()
        self._connection: connection.Connection | None = None
        self._limit: asyncio.Timeout | None = None
        self.address = address

    async def call(
        self, request: bytes, timeout_s: float, before: float | None = None
    ) -> Answer | None:
        """Sends a request; returns the response.

        Args:
            request: The request as bytes.
            timeout_s: Seconds within which the response must be complete.
            before: Monotonic seconds from which on it must not be sent.

        Returns:
            None if no complete response arrived in time.
        """
        body = ResponseBuffer(self._loop, self._on_head, self._max_bytes)
        answer = None
        try:
            async with asyncio.timeout(timeout_s) as self._limit:
                opened = await self._connect()
                # Checked last, since this process may have been suspended.
                if before is None or self._loop.time() < before:
                    opened.send(request, body)
                    answer = await body.done
        except (OSError, TimeoutError):
            pass  # The caller decides what a missing response means.
        finally:
            self._limit = None
        if answer is None:
            self.close()
        return answer

    def cancel(self) -> None:
        """Cancels the call in progress, which then returns None.

        This includes a call that is still connecting, which takes longest if
        the address can't be reached.
        """
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(self._loop.time())

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _connect(self) -> connection.Connection:
        existing = self._connection
        if existing is not None and existing.usable:
            return existing
        self.close()
        connecting = self._loop.create_connection(
            lambda: connection.Connection(self._loop), *self.address
        )
        async with asyncio.timeout(_CONNECT_S):
            _, opened = await connecting
        self._connection = opened
        return opened
