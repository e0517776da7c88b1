"""Real instances' membership in processes of their own, for measuring.

Each process runs one `Membership` under the load of `peer_load` and answers
commands over a pipe. The platform's list is a value that the parent sends.
"""

import collections
from collections.abc import Iterable
import dataclasses
import gc
import multiprocessing
import os
import signal
import threading
import time
from typing import Any

import psutil
import result

from benchmarks import peer_load
from pollenfork import clock
from pollenfork import config
from pollenfork import ids
from pollenfork.dispatch import messages as dispatch_messages
from pollenfork.membership import lifecycle
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.store import edges

UDP_HEADERS = 28
_STEPS = 64
_STAMP = ids.ModelName("stamp")


class _List:
    """The platform's list, as last told by the parent."""

    def __init__(self) -> None:
        self.listed: tuple[edges.ListedInstance, ...] = ()
        self.told = threading.Event()

    def fetch(self):
        self.told.wait(20)
        return result.Ok(self.listed)


class _Instance:
    """One instance and what it saw, inside its process."""

    def __init__(self, name: str, data_centre: str, members: int) -> None:
        self.name = name
        self.list = _List()
        self.heard: dict[str, tuple[float, float]] = {}
        self.ages: list[tuple[float, float]] = []
        self.events: list[tuple[float, Any]] = []
        self.measuring = False
        period_s = periods.compute_heartbeat_s(members)
        load = peer_load.Load(ids.InstanceId(name), hash(name) % 1000)
        self._pressures = [load.advance(period_s) for _ in range(_STEPS)]
        self._step = 0
        self.membership = lifecycle.Membership(
            config.EntryConfig(
                instance=ids.InstanceId(name),
                data_centre=ids.DataCentre(data_centre),
                listen="127.0.0.1:0",
                peer_listen="127.0.0.1:0",
                platform="127.0.0.1:1",
            ),
            clock.SystemClock(),
            self.list,
            self._read_pressure,
            lambda: ids.Revision(670),
            lambda revision: None,
            self._take,
        )
        self._cut: frozenset[str] = frozenset()
        socket_end = self.membership._datagrams
        self._send_all = socket_end.send
        socket_end.send = self._send

    def cut(self, addresses: tuple[str, ...]) -> None:
        """Drops what this instance sends to the addresses from now on."""
        self._cut = frozenset(addresses)

    def _send(self, body: bytes, addresses: tuple[str, ...]) -> None:
        open_ones = tuple(a for a in addresses if a not in self._cut)
        self._send_all(body, open_ones)

    def _read_pressure(self) -> dispatch_messages.Pressure:
        """Returns the load of the moment, stamped with the time."""
        self._step += 1
        pressure = self._pressures[self._step % _STEPS]
        stamp = dispatch_messages.Demand(
            _STAMP, ids.Tier(0), int(time.monotonic() * 1000) % 2**31, 0
        )
        return dispatch_messages.Pressure(
            pressure.instance,
            (*pressure.demands, stamp),
            pressure.occupancies,
        )

    def _take(self, event: messages.Event) -> None:
        now = time.monotonic()
        if not isinstance(event, messages.PressureHeard):
            self.events.append((now, event))
            return
        stamps = [d for d in event.pressure.demands if d.model == _STAMP]
        read_at = stamps[0].waiting / 1000
        before = self.heard.get(event.pressure.instance)
        if before and self.measuring:
            # The age grew from the first to the second until this moment.
            self.ages.append((before[0] - before[1], now - before[1]))
        self.heard[event.pressure.instance] = (now, read_at)


def run_instance(pipe, name: str, data_centre: str, members: int) -> None:
    """Body of one process."""
    one = _Instance(name, data_centre, members)
    one.membership.start()
    pipe.send(one.membership.address)
    started = (0.0, 0, 0.0)
    failures: dict[str, int] = {}
    seen = 0
    while True:
        match pipe.recv():
            case ("list", listed):
                one.list.listed = listed
                one.list.told.set()
            case ("begin",):
                gc.collect()
                one.measuring = True
                failures = one.membership.count_failures()
                seen = len(one.events)
                started = _read_cost(one)
            case ("end",):
                cost = _compute_cost(one, started)
                missed = cost["failures"].get("MissingBase", 0)
                cost["missed"] = missed - failures.get("MissingBase", 0)
                cost["events"] = len(one.events) - seen
                pipe.send(cost)
            case ("cut", addresses):
                one.cut(addresses)
            case ("events",):
                pipe.send(list(one.events))
            case ("views",):
                pipe.send(one.membership.list_members())
            case ("leave",):
                one.membership.leave()
                one.membership.stop()
                pipe.send(time.monotonic())
            case ("failures",):
                pipe.send(one.membership.count_failures())


def _read_cost(one: _Instance) -> tuple[float, int, float]:
    traffic = one.membership.read_traffic()
    count = traffic.sent + traffic.received
    size = traffic.sent_bytes + traffic.received_bytes
    wire_bytes = size + count * UDP_HEADERS
    return time.process_time(), wire_bytes, time.monotonic()


def _compute_cost(one: _Instance, started: tuple) -> dict[str, Any]:
    ended = _read_cost(one)
    seconds = ended[2] - started[2]
    return {
        "cpu": (ended[0] - started[0]) / seconds,
        "bytes": (ended[1] - started[1]) / seconds,
        "ages": one.ages,
        "rss": psutil.Process().memory_info().rss,
        "threads": threading.active_count(),
        "failures": one.membership.count_failures(),
    }


@dataclasses.dataclass
class Peer:
    """The parent's hold on one process."""

    name: str
    data_centre: str
    process: multiprocessing.Process
    pipe: Any
    address: str = ""

    def ask(self, *command: Any) -> Any:
        """Sends a command and returns its answer."""
        self.pipe.send(command)
        return self.pipe.recv()

    def signal(self, number: int) -> float:
        """Signals the process and returns when, in monotonic seconds."""
        os.kill(self.process.pid, number)
        return time.monotonic()


def start(members: Iterable[tuple[str, str]], count: int) -> dict[str, Peer]:
    """Starts a process for each (name, data centre) and tells them all.

    Args:
        members: The instances.
        count: Members of one data centre, for the load's steps.
    """
    context = multiprocessing.get_context("forkserver")
    context.set_forkserver_preload([__name__])
    peers = {}
    for name, data_centre in members:
        ours, theirs = context.Pipe()
        process = context.Process(
            target=run_instance, args=(theirs, name, data_centre, count)
        )
        process.start()
        peers[name] = Peer(name, data_centre, process, ours)
    for peer in peers.values():
        peer.address = peer.pipe.recv()
    tell_list(peers.values(), peers.values())
    return peers


def tell_list(to: Iterable[Peer], listed: Iterable[Peer]) -> None:
    """Makes the list name these instances, at the next fetch of each."""
    entries = tuple(
        edges.ListedInstance(
            peer.name,
            edges.InstanceRole.ENTRY,
            ids.DataCentre(peer.data_centre),
            peer.address,
            edges.InstanceStatus.LIVE,
        )
        for peer in listed
    )
    for peer in to:
        peer.pipe.send(("list", entries))


def wait_joined(peers: dict[str, Peer], limit_s: float) -> float:
    """Returns seconds until every instance sees all as live.

    Raises:
        TimeoutError: They did not within `limit_s`.
    """
    begun = time.monotonic()
    while time.monotonic() - begun < limit_s:
        seen = collections.Counter(
            sum(
                view.status is messages.MemberStatus.LIVE
                for view in peer.ask("views")
            )
            for peer in peers.values()
        )
        if set(seen) == {len(peers)}:
            return time.monotonic() - begun
        time.sleep(0.5)
    raise TimeoutError(f"members seen: {dict(seen)}")


def stop(peers: Iterable[Peer]) -> None:
    """Ends the processes that still run."""
    for peer in peers:
        if peer.process.is_alive():
            peer.signal(signal.SIGCONT)
            peer.process.kill()
    for peer in peers:
        peer.process.join()
