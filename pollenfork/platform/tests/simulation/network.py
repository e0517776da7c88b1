"""Datagrams and connections between simulated hosts, with their failures."""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from pollenfork.platform.tests.simulation import clock

HERE = clock.HERE

_Address = tuple[str, int]


class Network:
    """Ways between hosts.

    Attributes:
        delay_s: Seconds on the way, at least; a tenth more at most.
        loss: The part of datagrams that is lost.
        cuts: Ordered pairs of hosts between which nothing arrives.
        dark: Hosts that have no power.
        barred: Hosts whose new connections aren't made; those that they have
            and their datagrams work.
        queues: Hosts on whose link packets wait, and for how many seconds each
            way.
    """

    def __init__(self, loop: clock.Loop, rng: random.Random) -> None:
        self._loop = loop
        self._rng = rng
        self.delay_s = 0.0006
        self.loss = 0.001
        self.cuts: set[tuple[str, str]] = set()
        self.dark: set[str] = set()
        self.barred: set[str] = set()
        self.queues: dict[str, float] = {}
        self._datagrams: dict[_Address, asyncio.DatagramProtocol] = {}
        self._listeners: dict[_Address, Listener] = {}
        self._streams: list[Stream] = []
        loop.create_connection = self._connect  # type: ignore[method-assign]
        loop.create_server = self._listen  # type: ignore[method-assign]
        loop.create_datagram_endpoint = (  # type: ignore[method-assign]
            self._open_datagrams
        )

    def reaches(self, source: str, target: str) -> bool:
        """Returns whether bytes from one host arrive at the other."""
        lost = source in self.dark or target in self.dark
        return not lost and (source, target) not in self.cuts

    def cut(self, here: set[str], there: set[str]) -> None:
        """Cuts both directions between two sets of hosts."""
        for one in here:
            for other in there:
                self.cuts |= {(one, other), (other, one)}

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def end(self, host: str) -> None:
        """Ends all that a host has open, as when its process is killed."""
        for stream in self._streams:
            if stream.host == host:
                stream.abort()
        for known in (self._datagrams, self._listeners):
            for address in [each for each in known if each[0] == host]:
                del known[address]

    def send_datagram(
        self, data: bytes, source: _Address, to: _Address
    ) -> None:
        """Delivers a datagram after its way, unless it is lost."""
        if self._rng.random() < self.loss or not self.reaches(source[0], to[0]):
            return
        way_s = self.way_s(source[0], to[0])
        self._loop.call_later(way_s, self._deliver, data, source, to)

    def way_s(self, *hosts: str) -> float:
        """Returns seconds for one way between some hosts."""
        queued_s = sum(self.queues.get(host, 0.0) for host in hosts)
        return self.delay_s * (1.0 + 0.1 * self._rng.random()) + queued_s

    def _deliver(self, data: bytes, source: _Address, to: _Address) -> None:
        there = self._datagrams.get(to)
        if there is not None and self.reaches(source[0], to[0]):
            self._loop.run_at(to[0], there.datagram_received, data, source)

    async def _open_datagrams(
        self, factory: Callable[[], Any], local_addr: _Address
    ) -> tuple[Any, Any]:
        protocol = factory()
        transport = Datagrams(self, tuple(local_addr))
        self._datagrams[tuple(local_addr)] = protocol
        protocol.connection_made(transport)
        return transport, protocol

    async def _listen(
        self, factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> "Listener":
        listener = Listener(self, (host, port), factory)
        self._listeners[host, port] = listener
        return listener

    async def _connect(
        self, factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> tuple[Any, Any]:
        here = HERE.get()
        reached = self.reaches(here, host) and self.reaches(host, here)
        if not reached or here in self.barred:
            await self._loop.create_future()  # For good: somebody times it.
        await asyncio.sleep(2 * self.way_s(here, host))
        listener = self._listeners.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        mine, theirs = factory(), listener.factory()
        near = Stream(self, (here, 0), (host, port), mine)
        far = Stream(self, (host, port), (here, 0), theirs)
        near.peer, far.peer = far, near
        self._streams = [
            each for each in self._streams if not each.is_closing()
        ]
        self._streams += [near, far]
        mine.connection_made(near)
        self._loop.run_at(host, theirs.connection_made, far)
        return near, mine

    @property
    def loop(self) -> clock.Loop:
        """The loop that carries everything."""
        return self._loop


class Listener:
    """Accepts connections at an address."""

    def __init__(
        self, network: Network, address: _Address, factory: Callable[[], Any]
    ) -> None:
        self.factory = factory
        self._network = network
        self._address = address

    def close(self) -> None:
        """Accepts no more."""
        self._network._listeners.pop(self._address, None)


class Datagrams(asyncio.DatagramTransport):
    """Sends datagrams from one address."""

    def __init__(self, network: Network, address: _Address) -> None:
        super().__init__()
        self._network = network
        self._address = address

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Sends one."""
        self._network.send_datagram(bytes(data), self._address, tuple(addr))


class Stream(asyncio.Transport):
    """One end of a connection; bytes arrive in order, or never in a cut."""

    def __init__(
        self, network: Network, here: _Address, there: _Address, protocol: Any
    ) -> None:
        super().__init__({"peername": there, "sockname": here})
        self.peer: Stream | None = None
        self._network = network
        self._hosts = here[0], there[0]
        self._protocol = protocol
        self._closed = False
        self._silent = False
        self._free_at = 0.0

    @property
    def host(self) -> str:
        """The host of this end."""
        return self._hosts[0]

    def set_protocol(self, protocol: Any) -> None:
        """Hands what arrives to another protocol."""
        self._protocol = protocol

    def get_protocol(self) -> Any:
        """Returns to whom arriving bytes go."""
        return self._protocol

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Never makes a writer wait."""

    def get_write_buffer_size(self) -> int:
        """Returns that nothing waits."""
        return 0

    def pause_reading(self) -> None:
        """Reads on, as everything here is small."""

    def resume_reading(self) -> None:
        """Reads on."""

    def is_closing(self) -> bool:
        """Returns whether this end is closed."""
        return self._closed

    def write(self, data: Any) -> None:
        """Sends bytes, which are lost in a cut."""
        if not self._closed:
            self._pass("_receive", bytes(data))

    def close(self) -> None:
        """Ends the connection after what was written."""
        self._end(None)

    def abort(self) -> None:
        """Ends the connection."""
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        if self._closed:
            return
        self._closed = True
        self._network.loop.call_soon(self._protocol.connection_lost, error)
        self._pass("_hear_end")

    def _pass(self, call: str, *given: Any) -> None:
        loop = self._network.loop
        due_at = max(
            self._free_at, loop.time() + self._network.way_s(*self._hosts)
        )
        self._free_at = due_at
        loop.call_at(due_at, self._arrive, call, given)

    def _arrive(self, call: str, given: tuple[Any, ...]) -> None:
        # What is lost on the way never comes, and nothing after it either.
        self._silent |= not self._network.reaches(*self._hosts)
        if self.peer is not None and not self._silent:
            arrive = getattr(self.peer, call)
            self._network.loop.run_at(self._hosts[1], arrive, *given)

    def _receive(self, data: bytes) -> None:
        if not self._closed:
            self._protocol.data_received(data)

    def _hear_end(self) -> None:
        if not self._closed:
            self._protocol.eof_received()
            self._end(None)
