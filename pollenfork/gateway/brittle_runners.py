"""Keeps this instance within its places at brittle runners."""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
import logging

from pollenfork import ids
from pollenfork.brittle import parsing
from pollenfork.brittle import rooms
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import pace_samples
from pollenfork.gateway import permits
from pollenfork.loads import room_messages

_LOG = logging.getLogger(__name__)

# How often requests that wait for a place look for one, in seconds.
POLL_S = 0.01
# Up to this number of instances, each is told of a refusal directly.
_MAX_DIRECT = 24
# Requests refused and served within this many seconds tell when to return.
_WINDOW_S = 2.0
_MIN_RETURN_S = 0.3
_MAX_RETURN_S = 2.5


class BrittleRunners:
    """Knows which runners are brittle, and their room.

    Attributes:
        refusals: The number of refusals of brittle runners met here.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        runners: registry.Registry,
        host: str,
        data_centre: ids.DataCentre,
    ) -> None:
        """Creates an instance that knows no brittle runner.

        Args:
            loop: Provides the clock.
            runners: The registered runners.
            host: This instance's host.
            data_centre: Where it runs.
        """
        self._loop = loop
        self._runners = runners
        self._host = host
        self._data_centre = data_centre
        self._index = pace_samples.RunnerIndex(runners, loop.time)
        self._rooms = rooms.Rooms()
        self._peers: permits.Peers | None = None
        self._chooser: choice.Chooser | None = None
        self._waiting: collections.Counter[ids.Tier] = collections.Counter()
        self._refused: collections.deque[tuple[float, ids.Tier]] = (
            collections.deque()
        )
        self._served: collections.deque[float] = collections.deque()
        self._irregular: set[ids.EndpointId] = set()
        self._numbers: dict[ids.EndpointId, int] = {}
        self._numbered: tuple[ids.ServiceName, float] | None = None
        self.refusals = 0

    def join(self, peers: permits.Peers) -> None:
        """Sets the other instances."""
        self._peers = peers

    def watch(self, chooser: choice.Chooser) -> None:
        """Sets what knows the requests that runners have."""
        self._chooser = chooser

    def record_statement(
        self, runner: fleet.Runner, stated: tuple[float | None, ...]
    ) -> None:
        """Records what a runner's answer states about its brittleness."""
        read = parsing.parse(stated)
        if not read.well_formed and runner.id not in self._irregular:
            self._irregular.add(runner.id)
            _LOG.warning(
                "event=brittle_irregular runner=%s refusals=%g",
                runner.id,
                read.refusals,
            )
        now = self._loop.time()
        if self._rooms.record_statement(runner.service, read.refusals, now):
            _LOG.info(
                "event=brittle_stated service=%s runner=%s refusals=%g",
                runner.service,
                runner.id,
                read.refusals,
            )

    def record_refusal(self, runner: fleet.Runner, sent_at: float) -> None:
        """Records that a runner refused a request, and tells others.

        Args:
            runner: The runner.
            sent_at: When the request was sent, in monotonic seconds.
        """
        assert self._chooser is not None
        load = self._chooser.read_load(self._chooser.get_state(runner.id))
        room = self._rooms.record_refusal(
            runner.service,
            pace_samples.hash_incarnation(runner),
            runner.slots,
            load.active,
            sent_at,
            self._loop.time(),
        )
        if room is None:
            return
        self.refusals += 1
        _LOG.info(
            "event=brittle_refused runner=%s active=%d room=%d",
            runner.id,
            load.active,
            room,
        )
        self._flush()

    def receive(self, message: room_messages.RoomUpdates, host: str) -> None:
        """Applies the refusals that another instance tells."""
        now = self._loop.time()
        for each in message.refusals:
            known = self._index.find(each.runner)
            if known is not None:
                self._rooms.receive(known.service, each, now)
        self._flush()

    def has_place(self, runner: fleet.Runner, now: float) -> bool:
        """Returns whether a runner has a place for one more request."""
        service = runner.service
        if not self._rooms.is_brittle(service, now) or self._chooser is None:
            return True
        hashed = pace_samples.hash_incarnation(runner)
        room = self._rooms.find_room(service, hashed, runner.slots, now)
        if not room:
            return False
        state = self._chooser.get_state(runner.id)
        load = self._chooser.read_load(state)
        others = load.active - state.active
        if not self._rooms.has_refused(service, hashed):
            return load.active < room
        position = self._find_position(runner, now)
        return self._rooms.has_place(position, room, state.active, others)

    def list_owners(self, service: ids.ServiceName) -> list[str]:
        """Returns the hosts with places at a service's brittle runners.

        None are returned if this instance has a place itself.
        """
        now = self._loop.time()
        owners: set[str] = set()
        for runner in self._runners.list_accepting(service):
            hashed = pace_samples.hash_incarnation(runner)
            if not self._rooms.has_refused(service, hashed):
                return []
            room = self._rooms.find_room(service, hashed, runner.slots, now)
            position = self._find_position(runner, now)
            owners.update(self._rooms.list_owners(position, room))
        return [] if self._host in owners else sorted(owners)

    @contextlib.contextmanager
    def wait(self, tier: ids.Tier) -> Iterator[None]:
        """Marks a request as waiting for a place."""
        self._waiting[tier] += 1
        try:
            yield
        finally:
            self._waiting[tier] -= 1

    def has_turn(self, tier: ids.Tier) -> bool:
        """Returns whether no more urgent request waits for a place."""
        return not any(
            count and waiting < tier for waiting, count in self._waiting.items()
        )

    def record_served(self, service: ids.ServiceName) -> None:
        """Records the end of a request at a runner."""
        now = self._loop.time()
        if self._rooms.is_brittle(service, now):
            self._served.append(now)

    def find_retry_after(self, tier: ids.Tier) -> float:
        """Returns the seconds after which a refused caller finds a place.

        Callers refused before that are at least as urgent return first, at the
        rate at which requests have ended here.
        """
        now = self._loop.time()
        while self._refused and self._refused[0][0] <= now - _WINDOW_S:
            self._refused.popleft()
        while self._served and self._served[0] <= now - _WINDOW_S:
            self._served.popleft()
        ahead = sum(each <= tier for _, each in self._refused)
        self._refused.append((now, tier))
        rate = max(1.0, len(self._served) / _WINDOW_S)
        return min(_MAX_RETURN_S, _MIN_RETURN_S + ahead / rate)

    def tick(self) -> None:
        """Sets the instances that share the room; called often."""
        if self._peers is not None:
            self._rooms.set_hosts(self._host, self._peers.list_hosts())

    def retain(self, runners: set[int]) -> None:
        """Drops all runners but these, given by their hashes."""
        self._rooms.retain(runners)

    def _find_position(
        self, runner: fleet.Runner, now: float
    ) -> rooms.RunnerPosition:
        """Returns a runner's position among those of its service."""
        if self._numbered != (runner.service, now):
            accepting = self._runners.list_accepting(runner.service)
            ordered = sorted(each.id for each in accepting)
            self._numbers = {each: place for place, each in enumerate(ordered)}
            self._numbered = runner.service, now
        number = self._numbers.get(runner.id, 0)
        return rooms.RunnerPosition(number, max(1, len(self._numbers)))

    def _flush(self) -> None:
        news = self._rooms.take_news(self._loop.time())
        if self._peers is None or not news:
            return
        hosts = self._peers.list_hosts()
        if len(hosts) > _MAX_DIRECT:
            hosts = self._peers.pick_fanout()
        message = room_messages.RoomUpdates(self._data_centre, tuple(news))
        for host in hosts:
            if host != self._host:
                self._peers.send(host, message)
