"""Requests that instances send to brittle runners, and their refusals."""

import random

import pytest

from pollenfork import ids
from pollenfork.brittle import rooms

SERVICE = ids.ServiceName("s")
RUNNER = 7
SLOTS = 8
HOSTS = [f"h{number}" for number in range(6)]


def make_rooms(me: str = "h0", hosts=HOSTS) -> rooms.Rooms:
    made = rooms.Rooms()
    made.set_hosts(me, hosts)
    made.record_statement(SERVICE, 5.0, 10.0)
    return made


def refuse(made: rooms.Rooms, now: float, active: int = 8) -> int | None:
    return made.record_refusal(SERVICE, RUNNER, SLOTS, active, now, now)


def find_room(made: rooms.Rooms, now: float, runner: int = RUNNER) -> int:
    return made.find_room(SERVICE, runner, SLOTS, now)


def test_runners_that_state_nothing_are_not_brittle() -> None:
    made = rooms.Rooms()
    assert not made.is_brittle(SERVICE, 10.0)
    assert refuse(made, 10.0) is None


def test_a_statement_holds_for_a_while_and_ends_with_an_answer_without_it():
    made = make_rooms()
    assert made.is_brittle(SERVICE, 13.9)
    assert not made.is_brittle(SERVICE, 14.1)
    made.record_statement(SERVICE, 5.0, 20.0)
    made.record_statement(SERVICE, None, 20.1)
    assert not made.is_brittle(SERVICE, 20.7)


# Guards against knocking at a full runner, each refusal of which it counts.
def test_nothing_is_sent_for_a_moment_after_a_refusal() -> None:
    made = make_rooms()
    refuse(made, 11.0, active=3)
    assert find_room(made, 11.9) == 0
    assert find_room(made, 12.1) == 4
    refuse(made, 12.2)
    assert find_room(made, 12.5) == 0
    assert find_room(made, 12.7) == 3


# Guards against taking the refusals of requests that were under way together
# for ever smaller rooms.
def test_requests_sent_before_a_refusal_was_known_show_nothing_new() -> None:
    made = make_rooms()
    refuse(made, 11.0, active=3)
    room = made.record_refusal(SERVICE, RUNNER, SLOTS, 0, 10.99, 11.1)
    assert room == 4


def test_the_room_grows_slowly_and_falls_back_at_a_refusal() -> None:
    made = make_rooms()
    refuse(made, 11.0, active=3)
    assert find_room(made, 15.1) == 5
    made.record_statement(SERVICE, 5.0, 15.2)
    refuse(made, 15.2, active=3)
    assert find_room(made, 15.4) == 4


def test_a_small_room_shrinks_by_one_place() -> None:
    made = make_rooms()
    refuse(made, 11.0, active=0)
    refuse(made, 12.1, active=0)
    assert find_room(made, 13.0) == 3


def test_some_room_is_always_left_to_be_used() -> None:
    made = make_rooms()
    for number in range(20):
        refuse(made, 11.0 + number, active=0)
    assert find_room(made, 33.0) >= 1


def test_rooms_of_an_earlier_time_are_forgotten() -> None:
    made = make_rooms()
    refuse(made, 11.0, active=3)
    made.record_statement(SERVICE, 5.0, 16.0)
    assert made.has_refused(SERVICE, RUNNER)
    made.record_statement(SERVICE, 5.0, 40.0)
    assert not made.has_refused(SERVICE, RUNNER)


# Guards against all instances sending to a runner as soon as it is back.
def test_a_runner_that_is_back_has_no_more_room_than_the_others() -> None:
    made = make_rooms()
    refuse(made, 11.0, active=3)
    assert find_room(made, 12.0, runner=8) == 4


def test_what_others_met_is_believed_once() -> None:
    first, second = make_rooms("h0"), make_rooms("h1")
    refuse(first, 11.0, active=3)
    (news,) = first.take_news(11.0)
    assert second.receive(SERVICE, news, 11.1)
    assert find_room(second, 11.2) == 0
    assert find_room(second, 12.2) == 4
    assert not second.receive(SERVICE, news, 11.12)
    assert first.take_news(11.0) == []


@pytest.mark.parametrize("instances", [1, 2, 6, 81, 360])
@pytest.mark.parametrize("room", [1, 3, 6, 64])
@pytest.mark.parametrize("runners", [1, 4, 9])
def test_places_of_all_instances_add_up_to_the_room(
    instances, room, runners
) -> None:
    hosts = [f"h{number:03}" for number in range(instances)]
    counts = dict.fromkeys(hosts, 0)
    for number in range(runners):
        position = rooms.RunnerPosition(number, runners)
        places = [
            make_rooms(host, hosts).count_places(position, room)
            for host in hosts
        ]
        assert sum(places) == room
        for host, count in zip(hosts, places, strict=True):
            counts[host] += count
    assert max(counts.values()) - min(counts.values()) <= max(1, runners // 2)


def test_an_instance_keeps_its_places_as_the_room_grows() -> None:
    for host in HOSTS:
        made = make_rooms(host)
        for number in range(4):
            position = rooms.RunnerPosition(number, 4)
            counts = [made.count_places(position, room) for room in range(12)]
            assert counts == sorted(counts)


class Fleet:
    """Instances that send to one runner whose room shrinks without a word."""

    def __init__(self, instances: int, lag_s: float, seed: int) -> None:
        hosts = [f"h{number:03}" for number in range(instances)]
        self.rng = random.Random(seed)
        self.lag_s = lag_s
        self.rooms = [make_rooms(host, hosts) for host in hosts]
        self.own = [0] * instances
        # Requests in progress: end, instance.
        self.running: list[tuple[float, int]] = []
        self.under_way: list[tuple[float, int, object]] = []
        self.refused: list[float] = []
        self.history: list[tuple[float, int]] = []

    def read_active(self, now: float) -> int:
        """Returns the requests in progress as others are told of them."""
        seen = [count for at, count in self.history if at <= now - self.lag_s]
        return seen[-1] if seen else 0

    def step(self, now: float, room: int, rate: float, step_s: float) -> int:
        """Plays a moment; returns the requests that the runner accepted."""
        self._deliver(now)
        for each in [each for each in self.running if each[0] <= now]:
            self.running.remove(each)
            self.own[each[1]] -= 1
        accepted = 0
        for _ in range(self._draw(rate * step_s)):
            accepted += self._arrive(now, room)
        self.history.append((now, len(self.running)))
        return accepted

    def _arrive(self, now: float, room: int) -> bool:
        number = self.rng.randrange(len(self.rooms))
        mine = self.rooms[number]
        position = rooms.RunnerPosition(0, 1)
        # Instances without a place forward their callers' requests.
        owners = mine.list_owners(position, find_room(mine, now))
        if mine.has_refused(SERVICE, RUNNER) and owners:
            host = f"h{number:03}"
            number = int(
                (host if host in owners else self.rng.choice(owners))[1:]
            )
            mine = self.rooms[number]
        mine.record_statement(SERVICE, 5.0, now)
        active = max(self.own[number], self.read_active(now))
        believed = find_room(mine, now)
        others = active - self.own[number]
        if not mine.has_refused(SERVICE, RUNNER):
            allowed = active < believed
        else:
            allowed = believed and mine.has_place(
                position, believed, self.own[number], others
            )
        if not allowed:
            return False
        if len(self.running) >= room:
            self.refused.append(now)
            refuse(mine, now, active=active)
            for news in mine.take_news(now):
                for other in range(len(self.rooms)):
                    late = now + self.rng.uniform(0.1, 1.0) * self.lag_s
                    self.under_way.append((late, other, news))
            return False
        self.own[number] += 1
        self.running.append((now + 0.1, number))
        return True

    def _deliver(self, now: float) -> None:
        due = [each for each in self.under_way if each[0] <= now]
        self.under_way = [each for each in self.under_way if each[0] > now]
        for at, other, news in due:
            self.rooms[other].receive(SERVICE, news, at)

    def _draw(self, mean: float) -> int:
        count = int(mean)
        return count + (self.rng.random() < mean - count)


# A runner's part of the requests that 2 to 360 instances send; the runner falls
# over if more than five are refused in a second.
@pytest.mark.parametrize("instances", [2, 6, 81, 360])
@pytest.mark.parametrize("lag_s", [0.02, 0.1])
@pytest.mark.parametrize("seed", range(5))
def test_refusals_stay_within_what_a_runner_bears(
    instances, lag_s, seed
) -> None:
    fleet = Fleet(instances, lag_s, seed)
    now, accepted = 10.0, 0
    while now < 30.0:
        now += 0.01
        room = SLOTS if now < 13.0 else 3
        count = fleet.step(now, room, rate=40.0, step_s=0.01)
        accepted += count if now >= 15.0 else 0
    for at in fleet.refused:
        assert sum(at <= each < at + 1.0 for each in fleet.refused) <= 5
    assert accepted / (15.0 * 3 / 0.1) >= 0.4
