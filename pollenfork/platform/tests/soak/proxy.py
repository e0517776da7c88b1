"""A loopback proxy that delays, resets, silences or cuts one way."""

import asyncio
import enum


class Way(enum.Enum):
    """What happens to bytes on their way."""

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    DEAF = "deaf"  # Requests arrive, answers don't.


_DELAY_S = 0.15
_LOOK_S = 0.01


class Proxy:
    """Stands between one address and another.

    Attributes:
        way: What happens to bytes from now on.
        silenced: Hosts whose connections pass nothing.
        rejected: Hosts whose new connections are reset.
    """

    def __init__(self, host: str, port: int) -> None:
        self.way = Way.OPEN
        self.silenced: set[str] = set()
        self.rejected: set[str] = set()
        self._sources: dict[asyncio.StreamWriter, str] = {}
        self._target = (host, port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._mute: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Listens no more."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_from(self, host: str) -> None:
        """Resets every connection of one host."""
        for writer, source in list(self._sources.items()):
            if source == host:
                writer.transport.abort()

    def mute(self) -> None:
        """Lets the open connections pass nothing any more; new ones work."""
        self._mute.update(self._writers)

    async def _serve(self, reader, writer) -> None:
        source = writer.get_extra_info("peername")[0]
        if source in self.rejected:
            writer.transport.abort()
            return
        self._writers.add(writer)
        self._sources[writer] = source
        try:
            # The other side sees who connects, as without a proxy.
            there_reader, there = await asyncio.open_connection(
                *self._target, local_addr=(source, 0)
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            del self._sources[writer]
            return
        self._writers.add(there)
        there_way = (Way.SILENT,)
        back_way = (Way.SILENT, Way.DEAF)
        ways = (
            asyncio.create_task(self._pass(reader, there, there_way, source)),
            asyncio.create_task(
                self._pass(there_reader, writer, back_way, source)
            ),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in ways:
                task.cancel()
            del self._sources[writer]
            for each in (writer, there):
                self._writers.discard(each)
                self._mute.discard(each)
                each.close()

    async def _pass(
        self, reader, writer, stopped: tuple[Way, ...], source: str
    ) -> None:
        try:
            while data := await reader.read(65536):
                while (
                    self.way in stopped
                    or writer in self._mute
                    or source in self.silenced
                ):
                    await asyncio.sleep(_LOOK_S)
                if self.way is Way.DELAYED:
                    await asyncio.sleep(_DELAY_S)
                writer.write(data)
                await writer.drain()
            # A clean end is passed on as one; whoever reads on may tell it
            # from a reset.
            if writer.can_write_eof():
                writer.write_eof()
                await asyncio.sleep(_LOOK_S)
        except ConnectionError:
            writer.transport.abort()
