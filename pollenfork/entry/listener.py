"""waitress's server with typed error replies and a receive timeout."""

from collections.abc import Callable
import contextlib
import socket
import time
from typing import Any

import waitress.channel
import waitress.server
import waitress.wasyncore

from pollenfork import clock
from pollenfork.entry import refusal_task

MAX_HEADER_BYTES = 32 * 1024
RECEIVE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 5.0
_MAINTENANCE_S = 1


class Channel(waitress.channel.HTTPChannel):
    """One caller's connection.

    Attributes:
        refused: The server refused the request, of which more bytes may
            arrive.
    """

    error_task_class = refusal_task.RefusalTask
    request: Any  # Untyped in waitress.
    refused = False
    _receiving_since = 0.0
    _lingering_since: float | None = None

    def received(self, data: bytes) -> bool:
        """Processes received bytes and records when a new request begins."""
        before = self.request
        consumed: bool = super().received(data)
        if self.request is not before:
            self._receiving_since = self.server.clock.monotonic()
        return consumed

    def readable(self) -> bool:
        """Returns whether to read; after a refusal, to discard the input."""
        if self._lingering_since is not None:
            return True
        return bool(super().readable())

    def writable(self) -> bool:
        """Returns whether there is data to write or a close is due."""
        if self._lingering_since is not None:
            return self.will_close
        return bool(super().writable())

    def handle_close(self) -> None:
        """Closes the connection; after a refusal, lets the caller close first.

        Closing a socket with unread bytes resets the connection, and the
        caller may then never read the refusal.
        """
        if not self.refused or self._lingering_since is not None:
            super().handle_close()
            return
        self._lingering_since = self.server.clock.monotonic()
        self.will_close = False
        self.close_when_flushed = True  # Discards further input.
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            super().handle_close()

    def check_timeouts(self, now: float, receive_timeout_s: float) -> None:
        """Refuses a request that takes too long, and ends a long linger."""
        lingering_since = self._lingering_since
        if lingering_since is not None:
            self.will_close = now - lingering_since > LINGER_TIMEOUT_S
            return
        with self.requests_lock:
            request = self.request
            if request is None or self.requests:
                return
            if now - self._receiving_since <= receive_timeout_s:
                return
            detail = "the request didn't arrive whole in time"
            request.error = refusal_task.RequestTooSlow(detail)
            request.completed = True
            request.path = ""  # waitress logs it, but may not have set it.
            self.request = None
            self.requests.append(request)
            self.server.add_task(self)


class Listener(waitress.server.TcpWSGIServer):
    """Accepts callers' connections.

    Attributes:
        clock: Measures how long a request takes to arrive.
        refuse: Counts a refusal and returns its reply.
    """

    channel_class = Channel

    def __init__(
        self,
        app: Callable[..., Any],
        refuse: refusal_task.Refuse,
        now: clock.Clock,
        receive_timeout_s: float = RECEIVE_TIMEOUT_S,
        **adjustments: Any,
    ) -> None:
        """Binds the address.

        Args:
            app: The WSGI application.
            refuse: Counts a refusal and returns its reply.
            now: The clock.
            receive_timeout_s: Seconds within which a whole request must
                arrive, counted from its first byte.
            adjustments: Further settings of waitress.
        """
        self.clock = now
        self.refuse = refuse
        self._receive_timeout_s = receive_timeout_s
        settings = {
            "cleanup_interval": _MAINTENANCE_S,
            "max_request_header_size": MAX_HEADER_BYTES,
            **adjustments,
        }
        super().__init__(app, **settings)

    def maintenance(self, now: float) -> None:
        """Closes idle connections and refuses slow requests."""
        super().maintenance(now)
        monotonic = self.clock.monotonic()
        for channel in list(self.active_channels.values()):
            channel.check_timeouts(monotonic, self._receive_timeout_s)

    def run_maintenance_now(self) -> None:
        """Runs the maintenance immediately; thread-safe."""
        self.maintenance(time.time())
        self.pull_trigger()

    def stop(self) -> None:
        """Ends `run` and closes every connection; thread-safe.

        The loop itself closes the sockets: closing them from another thread
        would make the loop fail, or read from a socket that reuses the file
        descriptor.
        """
        # The loop may already have closed the trigger, woken by another thread.
        with contextlib.suppress(OSError):
            self.trigger.pull_trigger(self._close_all)

    def _close_all(self) -> None:
        waitress.wasyncore.close_all(self._map)

    def count_unsent(self) -> int:
        """Returns how many connections have a request or unsent bytes.

        A shutdown waits for `InProgress` and then for this to reach zero, so
        that no answer is cut off.
        """
        return sum(
            bool(channel.requests or channel.total_outbufs_len)
            for channel in list(self.active_channels.values())
        )
