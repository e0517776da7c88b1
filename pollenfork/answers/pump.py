"""A single thread that forwards the bytes of all running streams.

A caller's worker thread hands its stream to the pump once the answer is
running. The pump returns it on anything but plain data: the end, a fault, a
caller that reads slowly or disconnected. With one thread per stream, every
event would cost a thread switch.
"""

from collections.abc import Callable
import logging
import os
import select
import socket
import threading

from pollenfork import clock
from pollenfork.answers import answer_buffer
from pollenfork.answers import errors
from pollenfork.answers import events

_LOG = logging.getLogger(__name__)
_READ_BYTES = 16384
_POLL_INTERVAL_S = 0.5
_PROGRESS_INTERVAL_S = 2.0


class PumpedStream:
    """A stream that is forwarded from an endpoint's socket to a caller.

    Attributes:
        cause: Why the stream broke; None if it didn't.
        error: The exception raised by writing to the caller, if any.
    """

    __slots__ = (
        "_returned",
        "buffer",
        "cause",
        "count_unsent",
        "error",
        "last",
        "note_progress",
        "reader",
        "reported",
        "socket",
        "write",
    )

    def __init__(
        self,
        source: socket.socket,
        reader: events.EventReader,
        buffer: answer_buffer.AnswerBuffer,
        write: Callable[[bytes], object],
        count_unsent: Callable[[], int],
        note_progress: Callable[[], None],
    ) -> None:
        self.socket = source
        self.reader = reader
        self.buffer = buffer
        self.write = write
        self.count_unsent = count_unsent
        self.note_progress = note_progress
        self.last = 0.0
        self.reported = 0.0
        self.cause: errors.Cause | None = None
        self.error: BaseException | None = None
        self._returned = threading.Event()

    def transfer(self) -> bool:
        """Forwards available bytes; returns whether to keep the stream."""
        try:
            data = self.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        reader = self.reader
        accepted = reader.feed(data) if data else reader.end()
        if accepted:
            self.buffer.add(accepted)
            try:
                self.write(accepted)
            except BaseException as error:
                self.error = error
                return False
        if not data and not reader.done:
            self.cause = errors.Cause.CLOSED
        if reader.fault:
            self.cause = reader.fault
        return not (
            self.cause is not None or reader.done or self.count_unsent()
        )

    def release(self) -> None:
        """Wakes the worker thread that waits for the stream."""
        self._returned.set()

    def wait(self) -> None:
        """Blocks until the pump releases the stream."""
        self._returned.wait()


class Pump:
    """The forwarding thread and its streams."""

    def __init__(self, now: clock.Clock, stall_s: float) -> None:
        self._clock = now
        self._stall_s = stall_s
        self._poller = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poller.register(self._wake, select.EPOLLIN)
        self._streams: dict[int, PumpedStream] = {}
        self._stopping = threading.Event()
        self._lock = threading.Lock()  # No stream is added after `stop`.
        self._thread = threading.Thread(
            target=self._run, name="pump", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the thread and returns its streams to their workers."""
        with self._lock:
            self._stopping.set()
        os.eventfd_write(self._wake, 1)
        if self._thread.is_alive():
            self._thread.join()
        for fd in list(self._streams):
            self._release(fd)
        self._poller.close()
        os.close(self._wake)

    def forward(self, stream: PumpedStream) -> bool:
        """Forwards the stream until it needs its worker.

        Returns False if the thread isn't running; the worker must then
        forward the stream itself.
        """
        stream.last = stream.reported = self._clock.monotonic()
        stream.socket.settimeout(0)
        fd = stream.socket.fileno()
        with self._lock:
            if self._stopping.is_set() or not self._thread.is_alive():
                return False
            self._streams[fd] = stream
            self._poller.register(fd, select.EPOLLIN)
        stream.wait()
        return True

    def _run(self) -> None:
        checked_at = self._clock.monotonic()
        while not self._stopping.is_set():
            ready = self._poller.poll(_POLL_INTERVAL_S)
            now = self._clock.monotonic()
            for fd, _ in ready:
                if fd != self._wake:
                    self._transfer(fd, now)
            if now - checked_at > _POLL_INTERVAL_S:
                checked_at = now
                self._check_stalls(now)

    def _transfer(self, fd: int, now: float) -> None:
        stream = self._streams[fd]
        stream.last = now
        try:
            keeps_pumping = stream.transfer()
        except Exception as error:
            _LOG.exception("event=pump_failed")
            stream.error = error
            keeps_pumping = False
        if not keeps_pumping:
            self._release(fd)

    def _check_stalls(self, now: float) -> None:
        due = now - self._stall_s
        for fd, stream in list(self._streams.items()):
            if stream.last < due:
                stream.cause = errors.Cause.STALLED
                self._release(fd)
            elif now - stream.reported >= _PROGRESS_INTERVAL_S:
                stream.reported = now
                stream.note_progress()

    def _release(self, fd: int) -> None:
        stream = self._streams.pop(fd)
        self._poller.unregister(fd)
        stream.release()
