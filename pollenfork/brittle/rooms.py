"""Shares the room of brittle runners among all instances.

A brittle runner falls over if all instances together make it refuse more than a
few requests in a second. Room is therefore not found by trying. Each instance
has places of its own at each runner, and knows of refusals that others met.
"""

from collections.abc import Iterable

import msgspec

from pollenfork import ids
from pollenfork.loads import room_messages

# A statement holds for this long, in seconds: all answers repeat it.
_STATED_S = 4.0
# The same once an answer lacks it.
_UNSTATED_S = 0.5
# What was learned of rooms is used again if runners are brittle again within
# this time, in seconds.
_FORGET_S = 10.0
# After a refusal nobody sends the runner anything for this long, in seconds, so
# that its room is known to all before the next request: at least, and divided
# by the refusals that it can bear in a second. Half of the longest pause
# follows the first refusal, as all instances still send it what they please.
_PAUSE_S = 0.4
_PAUSE_REFUSALS = 2.0
_MAX_PAUSE_S = 2.0
# The part of the room believed before a refusal that is left after it, unless
# more is in use; a small room is reduced by one place.
_DECREASE = 0.6
_SMALL_ROOM = 6
# The room is believed to grow by one place after this long without a refusal,
# in seconds. A refusal then leads to a shorter pause.
_GROWTH_S = 4.0
_GROWTH_PAUSE_S = 0.1
# Times of one refusal, as told by several instances, differ by this much.
_TOLERANCE_S = 0.05
# Any instance may use a runner of which less than this part is in use, so that
# places of instances without requests aren't lost, if each instance has so many
# places that all may do so at once.
_SPARE_PART = 0.5
_AMPLE_PLACES = 4


class RunnerPosition(msgspec.Struct, frozen=True):
    """A runner's position in an order that is the same at all instances.

    Attributes:
        number: The number of runners of its service before it.
        runners: The number of all runners of its service.
    """

    number: int
    runners: int


class _Runner(msgspec.Struct):
    """What is known of one incarnation's room.

    Attributes:
        room: Requests that it can hold; None: as many as it has slots.
        refused_at: When it last refused one, in monotonic seconds.
        until: Until when nothing is sent.
    """

    room: int | None = None
    refused_at: float = float("-inf")
    until: float = float("-inf")


class _Service(msgspec.Struct):
    """The brittleness of a service's runners.

    Attributes:
        until: Until when the last statement holds.
        refusals: The lowest number of refusals that was stated.
        runners: What is known of each runner, by its incarnation's hash.
    """

    until: float = float("-inf")
    refusals: float = float("inf")
    runners: dict[int, _Runner] = msgspec.field(default_factory=dict)


class Rooms:
    """The room of each brittle runner, and this instance's places."""

    def __init__(self) -> None:
        self._services: dict[ids.ServiceName, _Service] = {}
        self._hosts = [""]
        self._position = 0
        self._news: dict[int, ids.ServiceName] = {}

    def set_hosts(self, me: str, hosts: Iterable[str]) -> None:
        """Sets the instances among which places are shared.

        Args:
            me: This instance's host.
            hosts: All known hosts.
        """
        self._hosts = sorted({me, *hosts})
        self._position = self._hosts.index(me)

    def record_statement(
        self, service: ids.ServiceName, refusals: float | None, now: float
    ) -> bool:
        """Records what an answer states; returns whether that is new.

        Args:
            service: The runner's service.
            refusals: The refusals that the runner can bear in a second; None:
                it isn't brittle.
            now: Monotonic seconds.
        """
        known = self._services.setdefault(service, _Service())
        if refusals is None:
            # One of its runners may be sound; the others state it again.
            known.until = min(known.until, now + _UNSTATED_S)
            return False
        if now >= known.until:
            known.refusals = float("inf")
        if now >= known.until + _FORGET_S:
            known.runners.clear()
        is_new = now >= known.until
        known.until = now + _STATED_S
        known.refusals = min(known.refusals, refusals)
        return is_new

    def is_brittle(self, service: ids.ServiceName, now: float) -> bool:
        """Returns whether the runners of a service are brittle."""
        known = self._services.get(service)
        return known is not None and now < known.until

    def record_refusal(
        self,
        service: ids.ServiceName,
        runner: int,
        slots: int,
        active: int,
        sent_at: float,
        now: float,
    ) -> int | None:
        """Records that a runner refused a request for want of room.

        Args:
            service: Its service.
            runner: The hash of its incarnation.
            slots: Requests that it can run concurrently.
            active: Other requests that all instances have there.
            sent_at: When the request was sent, in monotonic seconds.
            now: Monotonic seconds.

        Returns:
            The room that it is believed to have now; None: it isn't brittle.
        """
        if not self.is_brittle(service, now):
            return None
        known = self._get(service, runner, now)
        believed = self._grow(known, slots, now)
        if sent_at < known.until:
            # It was sent before the refusal that led to this pause was known.
            return believed
        if known.room is not None and believed > known.room:
            # The room hasn't grown; all others keep to their places meanwhile.
            known.refused_at = now
            known.until = now + _GROWTH_PAUSE_S
        else:
            # What others have there may not be known here yet.
            room = believed - 1
            if believed > _SMALL_ROOM:
                room = max(active, int(believed * _DECREASE))
            self._apply(service, known, max(1, min(room, believed)), now)
        self._news[runner] = service
        return known.room

    def receive(
        self,
        service: ids.ServiceName,
        refusal: room_messages.RoomRefusal,
        now: float,
    ) -> bool:
        """Applies a refusal that another instance met; returns if it is new."""
        known = self._get(service, refusal.runner, now)
        refused_at = now - refusal.age_ms / 1000.0
        if refused_at <= known.refused_at + _TOLERANCE_S:
            return False
        self.record_statement(service, refusal.refusals, now)
        self._apply(service, known, max(1, refusal.room), refused_at)
        self._news[refusal.runner] = service
        return True

    def take_news(self, now: float) -> list[room_messages.RoomRefusal]:
        """Returns the refusals to tell others since the last call."""
        taken, self._news = self._news, {}
        news = []
        for runner, service in taken.items():
            known = self._services[service].runners.get(runner)
            if known is None or known.room is None:
                continue
            age_ms = max(0, int((now - known.refused_at) * 1000))
            refusals = self._services[service].refusals
            news.append(
                room_messages.RoomRefusal(runner, known.room, refusals, age_ms)
            )
        return news

    def find_room(
        self, service: ids.ServiceName, runner: int, slots: int, now: float
    ) -> int:
        """Returns the requests that a brittle runner is believed to hold.

        Nothing may be sent to it during the pause after a refusal: 0.
        """
        known = self._get(service, runner, now)
        if now < known.until:
            return 0
        return self._grow(known, slots, now)

    def has_refused(self, service: ids.ServiceName, runner: int) -> bool:
        """Returns whether a runner's room is known from a refusal."""
        known = self._services.get(service)
        if known is None or runner not in known.runners:
            return False
        return known.runners[runner].room is not None

    def has_place(
        self, position: RunnerPosition, room: int, own: int, others: int
    ) -> bool:
        """Returns whether this instance may send a runner one more request.

        Args:
            position: The runner's position among those of its service.
            room: The room that it is believed to have.
            own: Requests of this instance that it has.
            others: Requests of all other instances.
        """
        is_ample = room >= _AMPLE_PLACES * self._instances
        if is_ample and own + others + 1 <= room * _SPARE_PART:
            return True
        if own + others + 1 > room and others:
            return False
        return own < self.count_places(position, room)

    def count_places(self, position: RunnerPosition, room: int) -> int:
        """Returns this instance's own places at a runner.

        Each runner deals its places out in turn, from another instance on than
        the runners before it, so that all instances have almost as many. An
        instance keeps its places as the room grows.
        """
        turn = (self._position - self._find_offset(position)) % self._instances
        extra = 1 if turn < room % self._instances else 0
        return room // self._instances + extra

    def list_owners(self, position: RunnerPosition, room: int) -> list[str]:
        """Returns the hosts of the instances that have places at a runner."""
        offset = self._find_offset(position)
        owners = min(room, self._instances)
        return [
            self._hosts[(offset + turn) % self._instances]
            for turn in range(owners)
        ]

    @property
    def _instances(self) -> int:
        return len(self._hosts)

    def _find_offset(self, position: RunnerPosition) -> int:
        return position.number * self._instances // position.runners

    def retain(self, runners: set[int]) -> None:
        """Drops all runners but these, given by their hashes."""
        for service in self._services.values():
            for runner in set(service.runners) - runners:
                del service.runners[runner]

    def _grow(self, known: _Runner, slots: int, now: float) -> int:
        """Returns the room that a runner is believed to have by now."""
        if known.room is None:
            return slots
        grown = int((now - known.refused_at) / _GROWTH_S)
        return min(slots, known.room + grown)

    def _apply(
        self,
        service: ids.ServiceName,
        known: _Runner,
        room: int,
        refused_at: float,
    ) -> None:
        refusals = max(1.0, self._services[service].refusals)
        pause_s = max(_PAUSE_S, _PAUSE_REFUSALS / refusals)
        if known.room is None:
            pause_s = _MAX_PAUSE_S / 2
        known.room = room
        known.refused_at = refused_at
        known.until = refused_at + min(_MAX_PAUSE_S, pause_s)

    def _get(
        self, service: ids.ServiceName, runner: int, now: float
    ) -> _Runner:
        """Returns what is known of a runner's room.

        A runner that has just come is believed to have no more than others.
        """
        runners = self._services.setdefault(service, _Service()).runners
        known = runners.get(runner)
        if known is None:
            rooms = [
                each.room for each in runners.values() if each.room is not None
            ]
            known = _Runner(min(rooms), now) if rooms else _Runner()
            runners[runner] = known
        return known
