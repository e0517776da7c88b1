"""Instances that ask others which runners ended before they started."""

import asyncio
import types

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.gateway.streams import doubt_exchange
from pollenfork.gateway.tests import support
from pollenfork.loads import messages
from pollenfork.loads import stream_messages

HOSTS = ["a1", "a2", "b1", "b2"]
FRESH = "a2"
# Seconds that a test's event loop may need.
SLACK_S = 0.1


def make_runner(number: int = 0, start: int = 1) -> model.Runner:
    return model.Runner(
        id=ids.EndpointId(f"r{number}"),
        service=support.SERVICE,
        host="10.9.0.1",
        port=80 + number,
        data_centre=ids.DataCentre("a"),
        slots=4,
        leaving=False,
        cold_s=0.0,
        start=ids.RunnerStart(start),
        version=ids.SoftwareVersion("v1"),
    )


class Site:
    """Four instances in two data centres that know two runners.

    Attributes:
        lost: Those that can't be reached.
        outdated: Those of an earlier build, which don't answer.
        sizes: Bytes of each datagram sent.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.members = {"a": ["a1", "a2"], "b": ["b1", "b2"]}
        self.lost: set[str] = set()
        self.outdated: set[str] = set()
        self.sizes: list[int] = []
        self.states = {}
        self.judged = {}
        self.instances = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host: str) -> None:
        """Starts an instance, or starts it again."""
        state = types.SimpleNamespace(
            has_runners=True, runners=registry.Registry()
        )
        for number in range(2):
            state.runners.put(make_runner(number))
        self.states[host] = state
        self.judged[host] = continuity.Continuity(state.runners, 5.0)
        self.instances[host] = doubt_exchange.DoubtExchange(
            self.loop,
            self.judged[host],
            state,
            Link(self, host),
            host,
            ids.DataCentre(host[0]),
        )

    def doubt(self, host: str, number: int = 0) -> None:
        """Lets an instance observe that a runner may have ended."""
        made = signs.ConnectionTimes(self.loop.time(), 1000.0)
        runner = make_runner(number).id
        self.judged[host].record_closed(runner, made, self.loop.time())

    def is_certain(self, number: int = 0, host: str = FRESH) -> bool:
        """Returns whether an instance believes a runner's entry."""
        return self.judged[host].is_certain(make_runner(number))

    async def ask(self, host: str = FRESH) -> float:
        """Lets a fresh instance ask; returns how long it was held."""
        fresh = self.instances[host]
        begun = self.loop.time()
        fresh.hold()
        task = asyncio.create_task(fresh.ask())
        while not self.is_certain(1, host):
            await asyncio.sleep(0.005)
        held_s = self.loop.time() - begun
        await asyncio.sleep(SLACK_S)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return held_s


class Link:
    """One instance's way to the others."""

    def __init__(self, site: Site, host: str) -> None:
        self.site = site
        self.host = host

    def list_members(self):
        return self.site.members

    def send(self, host, message) -> None:
        site = self.site
        data = messages.encode(message)
        site.sizes.append(len(data))
        if not {host, self.host} & (site.lost | site.outdated):
            site.loop.call_soon(
                site.instances[host].receive, messages.decode(data), self.host
            )


def run(scenario):
    async def play():
        return await scenario(Site())

    return asyncio.run(play())


# Guards against streams of two versions at an instance that has just started
# and believes the entry of a runner that restarted behind a cut.
def test_an_instance_that_starts_learns_which_runners_are_in_doubt() -> None:
    async def scenario(site):
        site.doubt("b1")
        held_s = await site.ask()
        return held_s, site.is_certain(0), site.is_certain(1)

    held_s, doubted, other = run(scenario)
    assert not doubted
    assert other
    assert held_s < doubt_exchange._MAX_HOLD_S


# Guards against instances that start one after the other, until the last one
# that has observed the end is gone.
def test_what_an_instance_was_told_is_passed_on() -> None:
    async def scenario(site):
        site.doubt("b1")
        observed_at = site.loop.time()
        await site.ask()
        site.start("b1")
        await site.ask("b1")
        now = site.loop.time()
        ((_, passed_on),) = site.judged["b1"].list_doubts(now)
        since_s = now - observed_at
        return site.is_certain(host="b1"), passed_on.age_s, since_s

    is_certain, age_s, since_s = run(scenario)
    assert not is_certain
    assert age_s == pytest.approx(since_s, abs=0.03)


def test_no_runner_is_certain_while_others_are_asked() -> None:
    async def scenario(site):
        site.instances[FRESH].hold()
        before = site.is_certain(1)
        await site.ask()
        return before, site.is_certain(1)

    assert run(scenario) == (False, True)


# Guards against an instance that waits for ever for earlier builds, or that
# counts their silence as an answer.
def test_earlier_builds_that_do_not_answer_are_awaited_briefly() -> None:
    async def scenario(site):
        site.outdated.update(HOSTS)
        return await site.ask()

    held_s = run(scenario)
    assert held_s >= doubt_exchange._MAX_HOLD_S
    assert held_s <= doubt_exchange._MAX_HOLD_S + SLACK_S


def test_one_peer_that_answers_among_earlier_builds_is_believed() -> None:
    async def scenario(site):
        site.doubt("b1")
        site.outdated.update(("a1", "b2"))
        held_s = await site.ask()
        return held_s, site.is_certain()

    held_s, doubted = run(scenario)
    assert not doubted
    assert held_s < doubt_exchange._MAX_HOLD_S


# Guards against an instance that serves no streams because it is cut off.
def test_an_instance_that_finds_no_other_is_held_for_a_second_at_most() -> None:
    async def scenario(site):
        site.members = {"a": [FRESH]}
        waited = site.loop.time()
        site.instances[FRESH].hold()
        await site.instances[FRESH].wait_until_settled()
        return site.loop.time() - waited, await site.ask()

    waited_s, held_s = run(scenario)
    assert waited_s <= doubt_exchange._MAX_HOLD_S + SLACK_S
    assert held_s <= doubt_exchange._MAX_ALONE_S + SLACK_S


def test_members_that_become_known_late_are_asked() -> None:
    async def scenario(site):
        site.doubt("a1")
        members, site.members = site.members, {"a": [FRESH]}
        site.loop.call_later(0.4, setattr, site, "members", members)
        held_s = await site.ask()
        return held_s, site.is_certain()

    held_s, doubted = run(scenario)
    assert held_s >= 0.4
    assert not doubted


# Guards against settling for the first instance that becomes known, which may
# have started just now itself.
def test_a_single_answer_does_not_end_the_round() -> None:
    async def scenario(site):
        site.doubt("b1")
        members, site.members = site.members, {"a": ["a1", FRESH]}
        site.loop.call_later(0.03, setattr, site, "members", members)
        await site.ask()
        return site.is_certain()

    assert not run(scenario)


# Guards against believing that no runner is in doubt because an instance that
# has just started knows of none.
def test_an_instance_that_is_still_asking_does_not_answer() -> None:
    async def scenario(site):
        site.doubt("b1")
        for host in ("a1", "b1", "b2"):
            site.instances[host].hold()
        held_s = await site.ask()
        answered = len(site.instances[FRESH]._answered)
        return held_s, answered

    held_s, answered = run(scenario)
    assert held_s >= doubt_exchange._MAX_HOLD_S
    assert answered == 0


def test_an_answer_that_comes_after_the_wait_still_counts(monkeypatch) -> None:
    monkeypatch.setattr(doubt_exchange, "_LATE_ROUND_S", 0.02)

    async def scenario(site):
        site.doubt("b1")
        site.lost.update(("a1", "b1", "b2"))
        site.loop.call_later(doubt_exchange._MAX_HOLD_S + 0.05, site.lost.clear)
        await site.ask()
        return site.is_certain()

    assert not run(scenario)


# Guards against an answer that doesn't fit in a datagram as a whole data centre
# of runners ends.
def test_an_answer_fits_in_one_packet() -> None:
    async def scenario(site):
        for number in range(600):
            for host in HOSTS:
                site.states[host].runners.put(make_runner(number))
            site.judged["b1"].record_refused(
                make_runner(number).id, site.loop.time(), 1.9e9, reported=True
            )
        await asyncio.sleep(0.01)
        site.doubt("b1", 599)
        site.instances["b1"].receive(stream_messages.DoubtQuery("a"), FRESH)
        ((runner, _), *_) = site.judged["b1"].list_doubts(site.loop.time())
        return max(site.sizes), runner

    size, latest = run(scenario)
    assert 1000 < size <= 1400
    assert latest == "r599"


def test_an_answer_that_was_not_asked_for_is_ignored() -> None:
    async def scenario(site):
        await site.ask()
        named = stream_messages.DoubtedRunner(
            messages.hash_name(b"r0"), 2_000_000, 0, 0
        )
        answer = stream_messages.DoubtAnswer("b", (named,))
        site.instances[FRESH].receive(answer, "10.1.1.1")
        return site.is_certain()

    assert run(scenario)


# Guards against an instance that can't read a datagram of a later build.
def test_a_datagram_of_a_later_build_is_unreadable() -> None:
    class Later(msgspec.Struct, array_like=True, tag="Z"):
        data_centre: str

    assert messages.decode(msgspec.msgpack.encode(Later("a"))) is None
