"""UDP transport between entry instances: one socket, one thread."""

from collections.abc import Callable
import functools
import logging
import socket
import threading

import msgspec

from pollenfork import clock
from pollenfork.membership import wire

_LOG = logging.getLogger(__name__)
# Holds datagrams that arrive while the process is paused.
_RECEIVE_BUFFER_BYTES = 1024 * 1024
_TICK_S = 0.2


class Traffic(msgspec.Struct):
    """Counts of datagrams and bytes, without IP and UDP headers."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


class Datagrams:
    """Sends and receives datagrams, and runs a periodic callback.

    The receiving thread also serves as the timer, which saves a second thread.
    """

    def __init__(self, now: clock.Clock) -> None:
        self._clock = now
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._stopped = threading.Event()
        self._thread: threading.Thread | None = None
        self.traffic = Traffic()
        self.tick_s = _TICK_S  # May be changed while the thread runs.

    def bind(self, address: str) -> None:
        """Binds the socket; raises `OSError` if the address is in use."""
        self._socket.bind(split_address(address))

    def send(self, body: bytes, addresses: tuple[str, ...]) -> None:
        """Sends `body` to each address; errors are logged and ignored."""
        for address in addresses:
            try:
                self._socket.sendto(body, split_address(address))
            except (OSError, ValueError) as error:
                _LOG.debug("event=unsent address=%s why=%s", address, error)
                continue
            self.traffic.sent += 1
            self.traffic.sent_bytes += len(body)

    def start(
        self,
        on_datagram: Callable[[bytes, str], None],
        on_time: Callable[[], None],
    ) -> None:
        """Starts the thread; `on_time` runs each `tick_s` seconds."""
        self._thread = threading.Thread(
            target=self._run,
            args=(on_datagram, on_time),
            name="datagrams",
            daemon=True,
        )
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread and closes the socket."""
        self._stopped.set()
        if self._thread:
            self._thread.join()
        self._socket.close()

    def _run(
        self,
        on_datagram: Callable[[bytes, str], None],
        on_time: Callable[[], None],
    ) -> None:
        due = self._clock.monotonic()
        while not self._stopped.is_set():
            now = self._clock.monotonic()
            if now >= due:
                on_time()
                due = max(due + self.tick_s, now)
            self._socket.settimeout(max(due - now, 0.001))
            try:
                body, source = self._socket.recvfrom(wire.DATAGRAM_LIMIT + 1)
            except TimeoutError:
                continue
            except OSError as error:
                # Linux reports a peer's closed port on the next receive.
                _LOG.debug("event=unreceived why=%s", error)
                continue
            self.traffic.received += 1
            self.traffic.received_bytes += len(body)
            on_datagram(body, f"{source[0]}:{source[1]}")


@functools.lru_cache(maxsize=1024)
def split_address(address: str) -> tuple[str, int]:
    """Returns host and port; raises `ValueError` where there is no port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
