"""A small HTTP/1.1 server for the stand-ins, based on asyncio and h11.

It serves hundreds of slow streams in one thread, which waitress can't, as it
uses a thread for each response; and it can abort a connection on purpose.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import logging
import threading
from typing import TypeVar
import urllib.parse

import h11
import msgspec

T = TypeVar("T")
_LOG = logging.getLogger(__name__)
_READ_SIZE = 65_536
_BACKLOG = 1024
_CALL_TIMEOUT_S = 10.0


class Request(msgspec.Struct, frozen=True):
    """One request with its complete body; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Exchange:
    """Sends the response to one request; for the event loop's thread only."""

    def __init__(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        keep_alive: bool = True,
    ) -> None:
        self._connection = connection
        self._writer = writer
        self._keep_alive = keep_alive
        self.dropped = False

    def send(
        self,
        status: int,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        content_type: str = "application/json",
    ) -> None:
        """Sends a complete response."""
        length = ("Content-Length", str(len(body)))
        self.start(status, (length, *headers), content_type)
        self.write(body)
        self.finish()

    def start(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...] = (),
        content_type: str = "application/json",
    ) -> None:
        """Sends the status line and headers of a response."""
        pairs = [("Content-Type", content_type), *headers]
        if not self._keep_alive:
            pairs.append(("Connection", "close"))
        self._write(h11.Response(status_code=status, headers=pairs))

    def write(self, data: bytes) -> None:
        """Sends a part of the response body."""
        if data:
            self._write(h11.Data(data=data))

    def finish(self) -> None:
        """Ends the response."""
        self._write(h11.EndOfMessage())

    def drop(self) -> None:
        """Aborts the connection, as a crash would."""
        self.dropped = True
        self._writer.transport.abort()

    def _write(self, event: h11.Event) -> None:
        if self.dropped or self._writer.is_closing():
            return
        data = self._connection.send(event)
        if data:
            self._writer.write(data)


Handler = Callable[[Request, Exchange], Awaitable[None]]


class Server:
    """Serves one address in its own thread.

    The handler responds through the exchange; it is cancelled if the client
    closes the connection first.
    """

    def __init__(
        self, listen: str, handler: Handler, keep_alive: bool = True
    ) -> None:
        self._listen = listen
        self._keep_alive = keep_alive
        self._handler = handler
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._thread = threading.Thread(
            target=self._run, name="standin-http", daemon=True
        )

    def start(self) -> str:
        """Starts listening; returns the address as `host:port`."""
        self._thread.start()
        return self.call(self._open())

    def stop(self) -> None:
        """Aborts all connections and stops the thread."""
        if not self._thread.is_alive():
            return
        self.call(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def call(self, work: Coroutine[None, None, T]) -> T:
        """Runs `work` in the server's event loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_CALL_TIMEOUT_S)

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Starts `work` in the server's event loop, without waiting for it.

        The task is cancelled when the server stops.
        """
        asyncio.run_coroutine_threadsafe(work, self._loop)

    def drop_all(self) -> None:
        """Aborts all connections; for the event loop's thread only."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    async def _open(self) -> str:
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=_BACKLOG
        )
        address = self._server.sockets[0].getsockname()
        return f"{address[0]}:{address[1]}"

    async def _close(self) -> None:
        if self._server:
            self._server.close()
        self.drop_all()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError) as error:
            _LOG.debug("event=standin_connection_ended error=%s", error)
        except asyncio.CancelledError:
            pass  # The server is stopping.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serves one request; returns whether the connection stays open."""
        request = await _read_request(connection, reader)
        if request is None:
            return False
        exchange = Exchange(connection, writer, self._keep_alive)
        handler_task = asyncio.ensure_future(self._handle(request, exchange))
        while not handler_task.done():
            read_task = asyncio.ensure_future(reader.read(_READ_SIZE))
            await asyncio.wait(
                {handler_task, read_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not read_task.done():
                read_task.cancel()
                await asyncio.wait({read_task})
                continue
            if not await _receive(connection, read_task):
                handler_task.cancel()
                await asyncio.wait({handler_task})
                return False
        if exchange.dropped:
            return False
        await writer.drain()
        return connection.our_state is h11.DONE

    async def _handle(self, request: Request, exchange: Exchange) -> None:
        try:
            await self._handler(request, exchange)
        except Exception:
            _LOG.exception("event=standin_handler_failed path=%s", request.path)
            exchange.drop()


async def _receive(
    connection: h11.Connection, read_task: asyncio.Future[bytes]
) -> bool:
    """Passes the data read to h11; returns False if the client is gone."""
    try:
        data = await read_task
    except OSError:
        return False
    connection.receive_data(data)
    return bool(data)


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Request | None:
    """Returns the next request, or None if the connection has ended."""
    head: h11.Request | None = None
    body_parts = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_SIZE))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body_parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) and head:
            return _build_request(head, b"".join(body_parts))
        else:
            return None


def _build_request(head: h11.Request, body: bytes) -> Request:
    target = urllib.parse.urlsplit(head.target.decode("ascii"))
    return Request(
        method=head.method.decode("ascii"),
        path=urllib.parse.unquote(target.path),
        query=dict(urllib.parse.parse_qsl(target.query)),
        headers={k.decode(): v.decode("latin-1") for k, v in head.headers},
        body=body,
    )
