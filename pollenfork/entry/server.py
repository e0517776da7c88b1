"""The HTTP server of an entry instance, based on waitress.

It differs from waitress in these points:

- A worker or the relay's thread writes directly to the caller's socket.
- Callbacks are called as soon as a caller's connection ends.
- A request is refused at once while every worker is busy.
- Probes, metrics and operators' requests have a separate worker pool.
"""

from collections.abc import Callable, Iterable
import logging
import socket
import threading
import time
from typing import Any

import msgspec
import waitress.channel
import waitress.task

from pollenfork import clock
from pollenfork import config
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.entry import errors
from pollenfork.entry import listener
from pollenfork.entry import refusal_task
from pollenfork.entry import replies
from pollenfork.entry import request_handler

_MAX_ACCEPTS = 64
_LOG = logging.getLogger(__name__)

_CONTROL_THREADS = 4
_REFUSAL_THREADS = 2
_SPARE_CONNECTIONS = 512
_BACKLOG = 1024
_STALL_TIMEOUT_S = 30.0
_UNSENT_LIMIT = 256 * 1024
# waitress writes larger buffers to disk, and the instances have no disk.
_NO_DISK_OVERFLOW = 1 << 30
_REQUEST_PATHS = ("/v1/chat/completions", "/v1/completions", "/services/")

App = Callable[[dict[str, Any], Any], Iterable[bytes]]


class Channel(listener.Channel):
    """One caller's connection, which the relay uses as its `Caller` too."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._disconnect_callbacks: list[Callable[[], None]] = []
        super().__init__(*args, **kwargs)

    def is_disconnected(self) -> bool:
        """Returns whether the connection has ended."""
        return not self.connected

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Calls `call` if the connection ends before the answer does."""
        self._disconnect_callbacks.append(call)
        if not self.connected:
            call()

    def count_unsent(self) -> int:
        """Returns how many buffered bytes aren't sent to the caller yet."""
        return int(self.total_outbufs_len)

    def write_soon(self, data: Any) -> int:
        """Writes directly to the socket and buffers what it doesn't accept."""
        if self.total_outbufs_len or type(data) is not bytes or not data:
            return int(super().write_soon(data))
        if not self.connected:
            raise waitress.channel.ClientDisconnected
        size = len(data)
        with self.outbuf_lock:
            # The server's thread may have started to flush in the meantime.
            sent = 0 if self.total_outbufs_len else self._send_now(data)
        if sent < size:
            self.last_activity = time.time()
            super().write_soon(data[sent:])
        return size

    def service(self) -> None:
        """Serves a request and drops its callbacks at its end."""
        # One list per request: the next request may begin before this one
        # has ended.
        callbacks = self._disconnect_callbacks = []
        try:
            super().service()
        finally:
            callbacks.clear()

    def handle_close(self) -> None:
        """Closes the connection and runs the disconnect callbacks."""
        # Closing wakes a worker that is writing; its request then ends and
        # clears its callbacks. The copy keeps those, as they must run too.
        callbacks = list(self._disconnect_callbacks)
        super().handle_close()
        callbacks += [
            call
            for call in list(self._disconnect_callbacks)
            if call not in callbacks
        ]
        for call in callbacks:
            call()

    def _send_now(self, data: bytes) -> int:
        try:
            return int(self.socket.send(data))
        except BlockingIOError:
            return 0
        except OSError as error:
            self.will_close = True
            self.server.pull_trigger()
            raise waitress.channel.ClientDisconnected from error


class _Task(waitress.task.WSGITask):
    def get_environment(self) -> dict[str, Any]:
        """Returns the WSGI environment with the caller's connection."""
        environ: dict[str, Any] = super().get_environment()
        environ[request_handler.CALLER_KEY] = self.channel
        return environ


Channel.task_class = _Task


def _make_full_refusal() -> errors.Refusal:
    refused = admission_messages.Refused(
        request=ids.RequestId(""),
        reason=admission_messages.RefusalReason.INSTANCE_FULL,
        retry_after_s=1.0,
    )
    return errors.make_admission_refusal(refused)


class ServerCounters(msgspec.Struct):
    """Counters of the server.

    Attributes:
        full: Requests refused because every worker was busy.
        overflow: Connections refused because too many were open.
        stalled: Connections closed because the caller stopped reading.
    """

    full: int = 0
    overflow: int = 0
    stalled: int = 0


class Server(listener.Listener):
    """Refuses what exceeds its limits, rather than leave callers waiting."""

    channel_class = Channel

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.counters = ServerCounters()
        self._control_pool = _start_pool(_CONTROL_THREADS)
        self._refusal_pool = _start_pool(_REFUSAL_THREADS)
        super().__init__(*args, **kwargs)

    def add_task(self, task: Any) -> None:
        """Passes a connection with a complete request to a worker pool."""
        parsed = task.requests[0]
        if parsed.error is not None:
            self._refusal_pool.add_task(task)
        elif not parsed.path.startswith(_REQUEST_PATHS):
            self._control_pool.add_task(task)
        elif not self.task_dispatcher.try_add_task(task):
            self.counters.full += 1
            parsed.error = refusal_task.ServerRefusal(_make_full_refusal())
            self._refusal_pool.add_task(task)

    def readable(self) -> bool:
        """Returns whether to accept; beyond the limit too, to send refusals."""
        super().readable()
        return bool(self.accepting)

    def handle_accept(self) -> None:
        """Accepts pending connections, several at a time."""
        for _ in range(_MAX_ACCEPTS):
            try:
                connection, address = self.socket.accept()
            except OSError:
                return
            if len(self._map) >= self.adj.connection_limit:
                self._refuse(connection)
                continue
            self.set_socket_options(connection)
            self.channel_class(
                self, connection, address, self.adj, map=self._map
            )

    def maintenance(self, now: float) -> None:
        """Also closes the connections of callers that have stopped reading.

        The engine's work for such a caller is cancelled, as after a
        disconnect.

        Args:
            now: Unix time in seconds, as in the `last_activity` of waitress.
        """
        super().maintenance(now)
        for channel in list(self.active_channels.values()):
            stalled = channel.last_activity < now - _STALL_TIMEOUT_S
            if stalled and channel.requests and channel.count_unsent():
                self.counters.stalled += 1
                _LOG.warning("event=caller_stalled address=%s", channel.addr)
                channel.handle_close()

    def stop(self) -> None:
        """Closes every connection, and ends the workers once they are idle."""
        super().stop()
        for workers in (
            self.task_dispatcher,
            self._control_pool,
            self._refusal_pool,
        ):
            workers.set_thread_count(0)

    def _refuse(self, connection: socket.socket) -> None:
        self.counters.overflow += 1
        reply = self.refuse(_make_full_refusal())
        length = ("Content-Length", str(len(reply.body)))
        head = "".join(
            f"{name}: {value}\r\n"
            for name, value in (*reply.headers, length, ("Connection", "close"))
        )
        status = replies.format_status(reply.status)
        response = f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + reply.body
        with connection:
            connection.setblocking(False)
            try:
                connection.send(response)
                connection.shutdown(socket.SHUT_WR)
            except OSError:
                return


def create_server(
    app: App,
    settings: config.EntryConfig,
    refuse: refusal_task.Refuse,
    now: clock.Clock,
) -> Server:
    """Returns a server with one worker for each request that it admits.

    Args:
        app: The WSGI application.
        settings: Address and limits.
        refuse: Counts a refusal and returns its reply.
        now: The clock.
    """
    workers = settings.streams + settings.waiting
    return Server(
        _attach_relay(app),
        refuse,
        now,
        dispatcher=_start_pool(workers),
        listen=settings.listen,
        threads=workers,
        connection_limit=workers + _SPARE_CONNECTIONS,
        backlog=_BACKLOG,
        channel_request_lookahead=1,
        inbuf_overflow=_NO_DISK_OVERFLOW,
        outbuf_overflow=_NO_DISK_OVERFLOW,
        outbuf_high_watermark=_UNSENT_LIMIT,
        max_request_body_size=settings.body_limit * 2,
        asyncore_use_poll=True,
        ident=None,
    )


def _attach_relay(app: App) -> App:
    """Passes the WSGI `write` callable to chunks that have `attach`.

    Such chunks write to the caller directly.
    """

    def serve(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        writes: list[Any] = []

        def start(*head: Any) -> Any:
            write = start_response(*head)
            writes.append(write)
            return write

        chunks = app(environ, start)
        attach = getattr(chunks, "attach", None)
        if attach:
            attach(writes[-1])
        return chunks

    return serve


class WorkerPool(waitress.task.ThreadedTaskDispatcher):
    """Worker threads that accept at most one task per thread.

    waitress counts threads that are still starting as active, so its count
    can't tell whether a thread is free.
    """

    def __init__(self) -> None:
        super().__init__()
        self._busy = 0
        # A lock of its own: the dispatcher cancels tasks, which end up in
        # `_release`, while it holds its lock.
        self._idle = threading.Condition()

    def try_add_task(self, task: Any) -> bool:
        """Adds the task and returns True, or False if all threads are busy."""
        with self._idle:
            if self._busy >= len(self.threads):
                return False
            self._busy += 1
        self.add_task(_CountedTask(task, self._release))
        return True

    def wait_until_idle(self) -> None:
        """Blocks until no thread has a task."""
        with self._idle:
            self._idle.wait_for(lambda: not self._busy)

    def _release(self) -> None:
        with self._idle:
            self._busy -= 1
            if not self._busy:
                self._idle.notify_all()


class _CountedTask:
    """A task with a callback for its end."""

    def __init__(self, task: Any, on_end: Callable[[], None]) -> None:
        self._task = task
        self._on_end = on_end

    def service(self) -> None:
        """Runs the task."""
        try:
            self._task.service()
        finally:
            self._on_end()

    def cancel(self) -> None:
        """Cancels the task."""
        try:
            self._task.cancel()
        finally:
            self._on_end()


def _start_pool(count: int) -> WorkerPool:
    workers = WorkerPool()
    workers.set_thread_count(count)
    return workers
