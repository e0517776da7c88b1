"""Asks other instances where a stream began, in rounds."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec

from pollenfork import ids
from pollenfork.loads import messages as loads
from pollenfork.loads import stream_messages
from pollenfork.streams import holders

# How long an answer is awaited before more instances are asked, in seconds.
_ROUND_S = 0.06
# How long a caller that takes up a stream waits for the version, in seconds.
_MAX_WAIT_S = 0.3


class Peers(Protocol):
    """The other instances."""

    def list_members(self) -> Mapping[str, Sequence[str]]:
        """Returns all known hosts by data centre, this one included."""

    def send(self, host: str, message: loads.Message) -> None:
        """Sends one instance a message."""


class _Search(msgspec.Struct):
    """A stream that peers are asked for.

    Attributes:
        changed: Set at each answer.
        answered: Whether any peer has answered.
        waiting: How many requests wait for it.
    """

    changed: asyncio.Event
    answered: bool = False
    waiting: int = 0


class OriginSearches:
    """The streams that other instances are being asked for."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        data_centre: ids.DataCentre,
    ) -> None:
        """Creates an instance that asks for no stream.

        Args:
            loop: Provides the clock.
            host: This instance's host.
            data_centre: Where it runs.
        """
        self._loop = loop
        self._host = host
        self._data_centre = data_centre
        self._searches: dict[int, _Search] = {}

    def is_awaited(self, stream: int) -> bool:
        """Returns whether any request waits for a stream's origin.

        Args:
            stream: What identifies the stream in datagrams.
        """
        return stream in self._searches

    def record_answer(self, stream: int) -> None:
        """Lets requests look at what a peer has told of an awaited stream.

        Args:
            stream: What identifies the stream in datagrams.
        """
        search = self._searches[stream]
        search.answered = True
        search.changed.set()

    async def ask(
        self,
        peers: Peers,
        stream: int,
        digest: ids.RequestDigest,
        is_known: Callable[[], bool],
    ) -> bool:
        """Asks other instances until one knows a stream.

        Args:
            peers: The other instances.
            stream: What identifies the stream in datagrams.
            digest: The request, which decides who is asked.
            is_known: Returns whether the answers so far tell enough.

        Returns:
            Whether any instance has answered.
        """
        search = self._searches.setdefault(stream, _Search(asyncio.Event()))
        search.waiting += 1
        try:
            await self._ask_in_rounds(peers, stream, digest, search, is_known)
        finally:
            search.waiting -= 1
            if not search.waiting:
                del self._searches[stream]
        return search.answered

    async def _ask_in_rounds(
        self,
        peers: Peers,
        stream: int,
        digest: ids.RequestDigest,
        search: _Search,
        is_known: Callable[[], bool],
    ) -> None:
        until = self._loop.time() + _MAX_WAIT_S
        widely = False
        while (left_s := until - self._loop.time()) > 0:
            search.changed.clear()
            self._send_query(peers, stream, digest, widely)
            widely = True
            try:
                async with asyncio.timeout(min(_ROUND_S, left_s)):
                    while True:
                        await search.changed.wait()
                        search.changed.clear()
                        if is_known():
                            return
            except TimeoutError:
                continue

    def _send_query(
        self,
        peers: Peers,
        stream: int,
        digest: ids.RequestDigest,
        widely: bool,
    ) -> None:
        asked = holders.choose_asked(
            digest,
            peers.list_members(),
            self._host,
            self._data_centre,
            widely=widely,
        )
        query = stream_messages.OriginQuery(self._data_centre, stream)
        for host in asked:
            peers.send(host, query)
