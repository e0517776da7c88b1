"""The HTTP server of an entry instance: waitress, with the relay's needs.

What differs from waitress as it comes: a worker or the relay's thread writes
straight to the caller's socket; the end of a caller's connection is told at
once; a request that finds every worker busy is refused at once; probes,
metrics and operators have workers of their own.
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
from pollenfork.entry import work

_ACCEPTS = 64
_LOG = logging.getLogger(__name__)

_CONTROL_THREADS = 4
_REFUSING_THREADS = 2
_SPARE_CONNECTIONS = 512
_BACKLOG = 1024
_CALLER_STALL_S = 30.0
_UNSENT_LIMIT = 256 * 1024
# waitress spills larger buffers to disk, and the instances have none.
_NEVER_SPILL = 1 << 30
_WORK = ("/v1/chat/completions", "/v1/completions", "/services/")

App = Callable[[dict[str, Any], Any], Iterable[bytes]]


class Channel(listener.Channel):
    """One caller's connection; also what the relay knows of the caller."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._gone_calls: list[Callable[[], None]] = []
        super().__init__(*args, **kwargs)

    def is_disconnected(self) -> bool:
        """Returns whether the connection has ended."""
        return not self.connected

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Calls `call` when the connection ends before its answer did."""
        self._gone_calls.append(call)
        if not self.connected:
            call()

    def count_unsent(self) -> int:
        """Returns bytes that wait for the caller to read."""
        return int(self.total_outbufs_len)

    def write_soon(self, data: Any) -> int:
        """Writes to the socket; what it doesn't take is buffered."""
        if self.total_outbufs_len or type(data) is not bytes or not data:
            return int(super().write_soon(data))
        if not self.connected:
            raise waitress.channel.ClientDisconnected
        size = len(data)
        with self.outbuf_lock:
            # The server's thread may have begun to flush meanwhile.
            sent = 0 if self.total_outbufs_len else self._send_now(data)
        if sent < size:
            self.last_activity = time.time()
            super().write_soon(data[sent:])
        return size

    def service(self) -> None:
        """Serves a request; its callbacks are forgotten with its end."""
        # A list for each request: the next one may begin before this ends.
        calls = self._gone_calls = []
        try:
            super().service()
        finally:
            calls.clear()

    def handle_close(self) -> None:
        """Closes the connection and tells whoever serves it."""
        # The close wakes a worker that writes, whose request then ends and
        # forgets its calls; those are told all the same.
        told = list(self._gone_calls)
        super().handle_close()
        told += [call for call in list(self._gone_calls) if call not in told]
        for call in told:
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
        environ[work.CALLER] = self.channel
        return environ


Channel.task_class = _Task


def _describe_full() -> errors.Refusal:
    refused = admission_messages.Refused(
        request=ids.RequestId(""),
        reason=admission_messages.RefusalReason.INSTANCE_FULL,
        retry_after_s=1.0,
    )
    return errors.describe_refused(refused)


class ServerCounters(msgspec.Struct):
    """What the server counts.

    Attributes:
        full: Requests refused because every worker was busy.
        overflow: Connections refused because there were too many.
        stalled: Callers cut off because they took nothing for long.
    """

    full: int = 0
    overflow: int = 0
    stalled: int = 0


class Server(listener.Listener):
    """Never lets a caller wait unseen: beyond its limits it refuses."""

    channel_class = Channel

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.counters = ServerCounters()
        self._control = _start_workers(_CONTROL_THREADS)
        self._refusing = _start_workers(_REFUSING_THREADS)
        super().__init__(*args, **kwargs)

    def add_task(self, task: Any) -> None:
        """Hands a connection with a whole request to a worker."""
        parsed = task.requests[0]
        if parsed.error is not None:
            self._refusing.add_task(task)
        elif not parsed.path.startswith(_WORK):
            self._control.add_task(task)
        elif not self.task_dispatcher.offer(task):
            self.counters.full += 1
            parsed.error = refusal_task.Refused(_describe_full())
            self._refusing.add_task(task)

    def readable(self) -> bool:
        """Returns True: connections are accepted beyond the limit too."""
        super().readable()
        return bool(self.accepting)

    def handle_accept(self) -> None:
        """Accepts what waits, several at a time."""
        for _ in range(_ACCEPTS):
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
        """Cuts off callers that take nothing, besides what waitress does.

        The engine's work for such a caller is cancelled, as if it had gone.

        Args:
            now: Unix time in seconds, as waitress keeps it for a connection.
        """
        super().maintenance(now)
        for channel in list(self.active_channels.values()):
            stalled = channel.last_activity < now - _CALLER_STALL_S
            if stalled and channel.requests and channel.count_unsent():
                self.counters.stalled += 1
                _LOG.warning("event=caller_stalled address=%s", channel.addr)
                channel.handle_close()

    def stop(self) -> None:
        """Ends every connection, and the workers once they are idle."""
        super().stop()
        for workers in (self.task_dispatcher, self._control, self._refusing):
            workers.set_thread_count(0)

    def _refuse(self, connection: socket.socket) -> None:
        self.counters.overflow += 1
        reply = self.refuse(_describe_full())
        length = ("Content-Length", str(len(reply.body)))
        head = "".join(
            f"{name}: {value}\r\n"
            for name, value in (*reply.headers, length, ("Connection", "close"))
        )
        status = replies.write_status(reply.status)
        written = f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + reply.body
        with connection:
            connection.setblocking(False)
            try:
                connection.send(written)
                connection.shutdown(socket.SHUT_WR)
            except OSError:
                return


def create_server(
    app: App,
    settings: config.EntryConfig,
    refuse: refusal_task.Refuse,
    now: clock.Clock,
) -> Server:
    """Returns a server that has a worker for each caller it admits.

    Args:
        app: The WSGI application.
        settings: Address and limits.
        refuse: Counts a refusal and returns the reply to it.
        now: The clock.
    """
    workers = settings.streams + settings.waiting
    return Server(
        _attach_relay(app),
        refuse,
        now,
        dispatcher=_start_workers(workers),
        listen=settings.listen,
        threads=workers,
        connection_limit=workers + _SPARE_CONNECTIONS,
        backlog=_BACKLOG,
        channel_request_lookahead=1,
        inbuf_overflow=_NEVER_SPILL,
        outbuf_overflow=_NEVER_SPILL,
        outbuf_high_watermark=_UNSENT_LIMIT,
        max_request_body_size=settings.body_limit * 2,
        asyncore_use_poll=True,
        ident=None,
    )


def _attach_relay(app: App) -> App:
    """Lets an answer's chunks write to the caller by themselves."""

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


class Workers(waitress.task.ThreadedTaskDispatcher):
    """Worker threads that take no more tasks than there are threads.

    waitress' own count of active threads includes those that are still
    starting, so it can't tell whether one is free.
    """

    def __init__(self) -> None:
        super().__init__()
        self._taken = 0
        # Not the dispatcher's lock: it cancels tasks while it holds that.
        self._free = threading.Condition()

    def offer(self, task: Any) -> bool:
        """Takes the task and returns True, or False where all are busy."""
        with self._free:
            if self._taken >= len(self.threads):
                return False
            self._taken += 1
        self.add_task(_Counted(task, self._leave))
        return True

    def wait_until_free(self) -> None:
        """Returns once no task is taken."""
        with self._free:
            self._free.wait_for(lambda: not self._taken)

    def _leave(self) -> None:
        with self._free:
            self._taken -= 1
            if not self._taken:
                self._free.notify_all()


class _Counted:
    """A task that tells when it has ended."""

    def __init__(self, task: Any, on_end: Callable[[], None]) -> None:
        self._task = task
        self._on_end = on_end

    def service(self) -> None:
        """Serves the task."""
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


def _start_workers(count: int) -> Workers:
    workers = Workers()
    workers.set_thread_count(count)
    return workers
