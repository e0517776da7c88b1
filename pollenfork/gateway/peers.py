"""Datagrams to and from other instances."""

import asyncio
from collections.abc import Callable
import logging
from typing import cast

import xxhash

from pollenfork import ids
from pollenfork.loads import core
from pollenfork.loads import messages

_LOG = logging.getLogger(__name__)


class Peers(asyncio.DatagramProtocol):
    """Carries out the exchange of loads."""

    def __init__(
        self,
        exchange: core.Exchange,
        read_own: Callable[[], messages.Table],
    ) -> None:
        """Takes what it carries out.

        Args:
            exchange: Decides.
            read_own: Returns what this instance has under way.
        """
        self._loop = asyncio.get_running_loop()
        self._exchange = exchange
        self._read_own = read_own
        self._transport: asyncio.DatagramTransport | None = None
        self._others: messages.Table = {}
        self._instances = 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        # The event loop's own class doesn't derive from the declared one.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Takes a datagram."""
        message = messages.decode(data)
        if message is None:
            _LOG.warning("event=datagram_unreadable host=%s", address[0])
            return
        now = self._loop.time()
        self._send(self._exchange.hear(message, address[0], now))

    def error_received(self, error: Exception) -> None:
        """Notes that a peer can't be reached; silence tells the exchange."""

    async def run(self) -> None:
        """Tells and hears loads until cancelled."""
        while True:
            await asyncio.sleep(core.PERIOD_S)
            now = self._loop.time()
            self._send(self._exchange.tick(self._read_own(), now))
            self._others = self._exchange.read_others(now)
            self._note_instances()

    def read_others(self, runner: ids.EndpointId) -> messages.Load:
        """Returns what other instances have under way at a runner."""
        return self._others.get(hash_runner(runner), _NONE)

    def _note_instances(self) -> None:
        if self._exchange.instances != self._instances:
            self._instances = self._exchange.instances
            _LOG.info("event=peers_known instances=%d", self._instances)

    def _send(self, sends: list[messages.Send]) -> None:
        if self._transport is None:
            return
        for each in sends:
            self._transport.sendto(messages.encode(each.message), each.to)


_NONE = messages.Load()


def hash_runner(runner: ids.EndpointId) -> int:
    """Returns what stands for a runner in datagrams."""
    return xxhash.xxh32_intdigest(runner.encode())
