"""One thread that moves the bytes of all running streams.

A worker thread that holds a caller hands its stream over once the answer
runs and gets it back when something other than bytes has to be dealt with:
the end, a fault, a caller that reads slowly or went away. With a thread for
each stream every event would cost a thread switch.
"""

from collections.abc import Callable
import logging
import os
import select
import socket
import threading

from pollenfork import clock
from pollenfork.answers import errors
from pollenfork.answers import events
from pollenfork.answers import kept

_LOG = logging.getLogger(__name__)
_READ_BYTES = 16384
_POLL_S = 0.5
_PROGRESS_S = 2.0


class Flow:
    """One stream on its way from an endpoint's socket to a caller.

    Attributes:
        cause: Why the stream broke, when it did.
        error: What writing to the caller raised.
    """

    __slots__ = (
        "_returned",
        "cause",
        "count_unsent",
        "error",
        "kept",
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
        keep: kept.KeptAnswer,
        write: Callable[[bytes], object],
        count_unsent: Callable[[], int],
        note_progress: Callable[[], None],
    ) -> None:
        self.socket = source
        self.reader = reader
        self.kept = keep
        self.write = write
        self.count_unsent = count_unsent
        self.note_progress = note_progress
        self.last = 0.0
        self.reported = 0.0
        self.cause: errors.Cause | None = None
        self.error: BaseException | None = None
        self._returned = threading.Event()

    def move(self) -> bool:
        """Moves what has come; returns whether the stream goes on as is."""
        try:
            data = self.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        reader = self.reader
        passed = reader.feed(data) if data else reader.end()
        if passed:
            self.kept.add(passed)
            try:
                self.write(passed)
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

    def give_back(self) -> None:
        """Wakes the worker that waits for the stream."""
        self._returned.set()

    def wait(self) -> None:
        """Waits until the pump gives the stream back."""
        self._returned.wait()


class Pump:
    """The thread and the streams it holds."""

    def __init__(self, now: clock.Clock, stall_s: float) -> None:
        self._clock = now
        self._stall_s = stall_s
        self._poller = select.epoll()
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poller.register(self._wake, select.EPOLLIN)
        self._flows: dict[int, Flow] = {}
        self._stopping = threading.Event()
        self._carrying = threading.Lock()  # Nothing joins after the stop.
        self._thread = threading.Thread(
            target=self._run, name="pump", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread; streams it holds go back to their workers."""
        with self._carrying:
            self._stopping.set()
        os.eventfd_write(self._wake, 1)
        if self._thread.is_alive():
            self._thread.join()
        for fd in list(self._flows):
            self._release(fd)
        self._poller.close()
        os.close(self._wake)

    def carry(self, flow: Flow) -> bool:
        """Moves the stream until it needs its worker.

        Returns False when the thread doesn't run: the worker moves it then.
        """
        flow.last = flow.reported = self._clock.monotonic()
        flow.socket.settimeout(0)
        fd = flow.socket.fileno()
        with self._carrying:
            if self._stopping.is_set() or not self._thread.is_alive():
                return False
            self._flows[fd] = flow
            self._poller.register(fd, select.EPOLLIN)
        flow.wait()
        return True

    def _run(self) -> None:
        swept = self._clock.monotonic()
        while not self._stopping.is_set():
            ready = self._poller.poll(_POLL_S)
            now = self._clock.monotonic()
            for fd, _ in ready:
                if fd != self._wake:
                    self._move(fd, now)
            if now - swept > _POLL_S:
                swept = now
                self._sweep(now)

    def _move(self, fd: int, now: float) -> None:
        flow = self._flows[fd]
        flow.last = now
        try:
            goes_on = flow.move()
        except Exception as error:
            _LOG.exception("event=pump_failed")
            flow.error = error
            goes_on = False
        if not goes_on:
            self._release(fd)

    def _sweep(self, now: float) -> None:
        due = now - self._stall_s
        for fd, flow in list(self._flows.items()):
            if flow.last < due:
                flow.cause = errors.Cause.STALLED
                self._release(fd)
            elif now - flow.reported >= _PROGRESS_S:
                flow.reported = now
                flow.note_progress()

    def _release(self, fd: int) -> None:
        flow = self._flows.pop(fd)
        self._poller.unregister(fd)
        flow.give_back()
