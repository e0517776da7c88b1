"""waitress's server, with typed refusals and a bound on slow callers."""

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
        refused: The server refused the request; there may be more of it to
            come.
    """

    error_task_class = refusal_task.RefusalTask
    request: Any  # waitress has it without a type.
    refused = False
    _receiving_since = 0.0
    _lingering_since: float | None = None

    def received(self, data: bytes) -> bool:
        """Takes bytes in; notes when a new request began to arrive."""
        before = self.request
        taken: bool = super().received(data)
        if self.request is not before:
            self._receiving_since = self.server.clock.monotonic()
        return taken

    def readable(self) -> bool:
        """Returns whether to read: also what is dropped after a refusal."""
        if self._lingering_since is not None:
            return True
        return bool(super().readable())

    def writable(self) -> bool:
        """Returns whether there is something to write or to close."""
        if self._lingering_since is not None:
            return self.will_close
        return bool(super().writable())

    def handle_close(self) -> None:
        """Closes the connection, after a refusal not before the caller.

        A connection closed with bytes unread is reset, and the caller may
        lose the refusal that tells it why.
        """
        if not self.refused or self._lingering_since is not None:
            super().handle_close()
            return
        self._lingering_since = self.server.clock.monotonic()
        self.will_close = False
        self.close_when_flushed = True  # What comes now is dropped.
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            super().handle_close()

    def check_caller(self, now: float, receive_s: float) -> None:
        """Refuses a request that has been arriving for `receive_s`."""
        lingering_since = self._lingering_since
        if lingering_since is not None:
            self.will_close = now - lingering_since > LINGER_TIMEOUT_S
            return
        with self.requests_lock:
            request = self.request
            if request is None or self.requests:
                return
            if now - self._receiving_since <= receive_s:
                return
            detail = "the request didn't arrive whole in time"
            request.error = refusal_task.RequestTooSlow(detail)
            request.completed = True
            request.path = ""  # waitress logs it, and it may not be there.
            self.request = None
            self.requests.append(request)
            self.server.add_task(self)


class Listener(waitress.server.TcpWSGIServer):
    """Listens for callers.

    Attributes:
        clock: Measures how long a request takes to arrive.
        refuse: Counts a refusal and returns the reply to it.
    """

    channel_class = Channel

    def __init__(
        self,
        app: Callable[..., Any],
        refuse: refusal_task.Refuse,
        now: clock.Clock,
        receive_s: float = RECEIVE_TIMEOUT_S,
        **adjustments: Any,
    ) -> None:
        """Binds the address.

        Args:
            app: The WSGI application.
            refuse: Counts a refusal and returns the reply to it.
            now: The clock.
            receive_s: Seconds for a whole request to arrive, from its first
                byte.
            adjustments: waitress's own.
        """
        self.clock = now
        self.refuse = refuse
        self._receive_s = receive_s
        settings = {
            "cleanup_interval": _MAINTENANCE_S,
            "max_request_header_size": MAX_HEADER_BYTES,
            **adjustments,
        }
        super().__init__(app, **settings)

    def maintenance(self, now: float) -> None:
        """Closes idle connections and refuses requests that are too slow."""
        super().maintenance(now)
        monotonic = self.clock.monotonic()
        for channel in list(self.active_channels.values()):
            channel.check_caller(monotonic, self._receive_s)

    def check_callers_now(self) -> None:
        """Runs the maintenance at once; from any thread."""
        self.maintenance(time.time())
        self.pull_trigger()

    def stop(self) -> None:
        """Ends `run` and breaks every connection; from any thread.

        Closing sockets under the running loop would end it by an error, or
        make it read another connection's.
        """
        # Another thread's pull may make the loop close before this write.
        with contextlib.suppress(OSError):
            self.trigger.pull_trigger(self._close_all)

    def _close_all(self) -> None:
        waitress.wasyncore.close_all(self._map)

    def count_unsent(self) -> int:
        """Returns how many connections have a request or unsent bytes.

        A stop that waits for this after `InProgress` cuts off no last byte.
        """
        return sum(
            bool(channel.requests or channel.total_outbufs_len)
            for channel in list(self.active_channels.values())
        )
