"""One instance of a data centre follows its runners' caches, despite errors."""

import asyncio
import contextlib
import random
import re

import msgspec
import pytest
import result

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import messages as fleet_messages
from pollenfork.fleet import registry
from pollenfork.gateway import cache_feed
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.routes import model as routes

MARK = loads.hash_name(b"r0")


_CHANGE = re.compile(rb"(\d*)([+-])(.+)")


class CacheCodec:
    """Reads answers of the words `+part`, `-part`, `gap` and of fields.

    A change may begin with its number, as in `7+part`; otherwise it has the one
    after the change before it. The fields are `next=`, `epoch=` and `born=`.
    """

    def __init__(self) -> None:
        self._after = 0

    def encode_feed_request(self, runner, after, wait_s):
        self._after = after
        return b"GET /feed/%d HTTP/1.1\r\nx-id: q\r\n\r\n" % after

    def encode_list_request(self, runner):
        return b"GET /list HTTP/1.1\r\nx-id: q\r\n\r\n"

    def decode_feed(self, status, body):
        if status != 200:
            return result.Err(cache_feed.NoAnswer(detail="status"))
        words = body.split()
        fields = dict(word.split(b"=") for word in words if b"=" in word)
        changes, number = [], self._after
        for word in filter(_CHANGE.fullmatch, words):
            given, sign, part = _CHANGE.fullmatch(word).groups()
            number = int(given or number + 1)
            changes.append(
                fleet_messages.CacheChange(part, sign == b"+", number)
            )
        report = fleet_messages.CacheReport(
            tuple(changes),
            int(fields.get(b"next", number)),
            gap=b"gap" in words,
            epoch=fields.get(b"epoch", b"").decode(),
            start=int(fields[b"born"]) if b"born" in fields else None,
        )
        return result.Ok(report)

    def decode_list(self, status, body):
        return self.decode_feed(status, body).map(
            lambda report: fleet_messages.CacheReport(
                report.changes,
                report.last_sequence,
                complete=True,
                epoch=report.epoch,
            )
        )


class Known:
    """One service that processes prompts, and its runners."""

    def __init__(self) -> None:
        self.runners = registry.Registry()
        self.lookup = self
        self.configuration = self
        service = routes.Service(
            name=support.SERVICE,
            health_path="/",
            max_connections=9,
            cache_tokens=1000,
            copy_s=None,
        )
        self.services = {support.SERVICE: service}


class Peers:
    relays = True


def make_feed(
    known: Known, data_centre: str = "a"
) -> tuple[cache_feed.CacheFeed, choice.Chooser]:
    rng = random.Random(1)
    chooser = choice.Chooser(known.runners, rng)
    feed = cache_feed.CacheFeed(
        CacheCodec(), chooser, known, ids.DataCentre(data_centre), rng
    )
    return feed, chooser


@contextlib.asynccontextmanager
async def follow(monkeypatch, *script: bytes | None, start=None):
    """Yields a feed, the scripted runner that it follows, and its chooser."""
    monkeypatch.setattr(cache_feed, "_SETTLED_S", 0.0)
    monkeypatch.setattr(cache_feed, "_REST_S", 0.001)
    monkeypatch.setattr(cache_feed, "_REST_EACH_S", 0.0)
    monkeypatch.setattr(cache_feed, "_FIRST_PAUSE_S", 0.001)
    runner = support.Runner("r0", *script)
    runner.keeps = True
    known = Known()
    entry = msgspec.structs.replace(await runner.start(), start=start)
    known.runners.put(entry)
    feed, chooser = make_feed(known)
    try:
        yield feed, runner, chooser
    finally:
        feed.close()
        runner.stop()


async def wait_until(holds) -> None:
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0)


def answer(text: bytes) -> bytes:
    return support.write_answer(text)


def list_kept(chooser: choice.Chooser) -> set[int]:
    return {placed.part for placed in chooser.caches.list_cached()}


def hash_parts(*parts: bytes) -> set[int]:
    return {loads.hash_name(part) for part in parts}


@pytest.mark.parametrize(
    ("script", "kept"),
    [
        # The first answer lists all changes since the runner's start.
        ([b"+a +b -a"], [b"b"]),
        ([b"+a +b", b"-a"], [b"b"]),
        # If changes are missing, the complete list is requested.
        ([b"gap +c", b"+a +b"], [b"a", b"b"]),
        ([b"+a +b", b"gap", b"+b"], [b"b"]),
    ],
)
def test_a_runners_answers_update_its_cached_parts(
    monkeypatch, script, kept
) -> None:
    async def run() -> set[int]:
        answers = [answer(text) for text in script]
        async with follow(monkeypatch, *answers) as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > len(script))
            return list_kept(chooser)

    assert asyncio.run(run()) == hash_parts(*kept)


# Guards against applying changes in the order in which they arrive: one that
# came again, late or before an earlier one undid a later change.
@pytest.mark.parametrize(
    ("script", "kept"),
    [
        # Within an answer.
        ([b"2-a 1+a 3+b"], [b"b"]),
        ([b"+a", b"4+a 2-a 3-a"], [b"a"]),
        # An answer that repeats changes of earlier ones.
        ([b"+a +b", b"-a", b"1+a 2+b 3-a", b"1+a next=3"], [b"b"]),
        ([b"+a -a +a", b"2-a next=3"], [b"a"]),
        # A change that arrives after later ones: it holds for its part only.
        ([b"1+a 2+b", b"4+a", b"3-a next=4"], [b"a", b"b"]),
        ([b"1+a 2+b", b"4+a", b"3-b next=4"], [b"a"]),
        # One that the complete list covers.
        ([b"gap 9+c", b"+a +b next=9", b"7-a next=9"], [b"a", b"b"]),
    ],
)
def test_changes_hold_in_the_order_of_their_numbers(
    monkeypatch, script, kept
) -> None:
    async def run() -> set[int]:
        answers = [answer(text) for text in script]
        async with follow(monkeypatch, *answers) as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > len(script))
            return list_kept(chooser)

    assert asyncio.run(run()) == hash_parts(*kept)


def test_after_a_failed_call_all_changes_are_requested_again(
    monkeypatch,
) -> None:
    async def run() -> tuple[list[bytes], set[int]]:
        failed = support.write_answer(b"", status=429)
        answers = [answer(b"+a"), failed, answer(b"+a +b")]
        async with follow(monkeypatch, *answers) as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > 3)
            paths = [head.split()[1] for head in runner.got[:4]]
            return paths, list_kept(chooser)

    paths, kept = asyncio.run(run())
    assert paths == [b"/feed/0", b"/feed/1", b"/feed/0", b"/feed/2"]
    assert kept == hash_parts(b"a", b"b")


def test_a_new_epoch_is_requested_from_its_start(
    monkeypatch,
) -> None:
    async def run() -> tuple[list[bytes], set[int]]:
        answers = [
            b"epoch=1 +a +b +c",
            b"epoch=1 -a",
            b"epoch=2 +d",
            b"epoch=2 +e",
            b"epoch=2",
        ]
        script = [answer(text) for text in answers]
        async with follow(monkeypatch, *script) as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > 5)
            paths = [head.split()[1] for head in runner.got[:5]]
            return paths, list_kept(chooser)

    paths, kept = asyncio.run(run())
    assert paths == [
        b"/feed/0",
        b"/feed/3",
        b"/feed/4",
        b"/feed/0",
        b"/feed/1",
    ]
    assert kept == hash_parts(b"e")


# Guards against believing what a runner cached before a restart that only its
# numbers tell, and against missing what it has cached since.
def test_a_position_that_goes_back_is_requested_from_its_start(
    monkeypatch,
) -> None:
    async def run() -> tuple[list[bytes], set[int]]:
        answers = [b"+a +b +c", b"1+d next=1", b"1+d 2+e"]
        script = [answer(text) for text in answers]
        async with follow(monkeypatch, *script) as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > 3)
            paths = [head.split()[1] for head in runner.got[:4]]
            return paths, list_kept(chooser)

    paths, kept = asyncio.run(run())
    assert paths == [b"/feed/0", b"/feed/3", b"/feed/0", b"/feed/2"]
    assert kept == hash_parts(b"d", b"e")


def test_a_later_start_in_an_answer_discards_the_cached_parts(
    monkeypatch,
) -> None:
    async def run() -> tuple[list[bytes], set[int]]:
        answers = [b"born=100 +a +b", b"born=200 +c", b"born=200 +d"]
        script = [answer(text) for text in answers]
        follows = follow(monkeypatch, *script, start=100)
        async with follows as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > 1)
            while len(runner.got) < 4:
                feed.check(Peers())
                await asyncio.sleep(0)
            paths = [head.split()[1] for head in runner.got[:4]]
            return paths, list_kept(chooser)

    paths, kept = asyncio.run(run())
    assert paths == [b"/feed/0", b"/feed/2", b"/feed/0", b"/feed/1"]
    assert kept == hash_parts(b"d")


# Guards against taking a start in the future for the latest one: answers and
# entries of the true start were ignored then.
def test_an_answer_of_a_start_in_the_future_is_ignored(monkeypatch) -> None:
    async def run() -> tuple[set[int], int | None]:
        answers = [b"born=9999999999999 +a", b"born=100 +b", b"born=200 +c"]
        script = [answer(text) for text in answers]
        follows = follow(monkeypatch, *script, start=100)
        async with follows as (feed, runner, chooser):
            seen = set()
            async with asyncio.timeout(5):
                while len(runner.got) < 4:
                    seen |= list_kept(chooser)
                    feed.check(Peers())
                    await asyncio.sleep(0)
            known = feed._state.runners.find(ids.EndpointId("r0"))
            return seen, known.start

    assert asyncio.run(run()) == (hash_parts(b"b"), 200)


def test_an_answer_of_an_earlier_start_is_ignored(monkeypatch) -> None:
    async def run() -> set[int]:
        answers = [b"born=100 +a", b"born=200 +b"]
        script = [answer(text) for text in answers]
        follows = follow(monkeypatch, *script, start=200)
        async with follows as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > 2)
            return list_kept(chooser)

    assert asyncio.run(run()) == hash_parts(b"b")


# Guards against believing what an earlier incarnation cached: its answer was
# under way when the entry told of the later one.
@pytest.mark.parametrize("stated", [b"born=100 ", b""])
def test_an_answer_that_a_restart_overtakes_is_ignored(
    monkeypatch, stated
) -> None:
    async def run() -> set[int]:
        script = [answer(stated + b"+a"), support.HANG]
        follows = follow(monkeypatch, *script, start=100)
        async with follows as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: runner.got)
            known = feed._state.runners
            entry = known.find(ids.EndpointId("r0"))
            known.put(msgspec.structs.replace(entry, start=200))
            # The next check ends the calls of the earlier incarnation.
            await wait_until(lambda: len(runner.got) > 1)
            return list_kept(chooser)

    assert asyncio.run(run()) == set()


def test_a_connection_that_stops_answering_is_replaced(monkeypatch) -> None:
    monkeypatch.setattr(cache_feed, "_WAIT_S", 0.01)
    monkeypatch.setattr(cache_feed, "_SLACK_S", 0.02)

    async def run() -> tuple[int, set[int]]:
        script = [answer(b"+a"), support.HANG, answer(b"+a +b")]
        async with follow(monkeypatch, *script) as (feed, runner, chooser):
            feed.check(Peers())
            await wait_until(lambda: len(list_kept(chooser)) > 1)
            return runner.connections, list_kept(chooser)

    assert asyncio.run(run()) == (2, hash_parts(b"a", b"b"))


def test_a_relay_of_many_runners_asks_each_less_often() -> None:
    async def run() -> tuple[float, float]:
        feed, _ = make_feed(Known())
        few = feed._rest_s
        feed._tasks = dict.fromkeys(map(str, range(100)))
        return few, feed._rest_s

    few, many = asyncio.run(run())
    # At most 50 calls a second, for any number of runners.
    assert few == 0.2 and many >= 100 / 50


def test_only_the_relay_asks(monkeypatch) -> None:
    class Others:
        relays = False

    async def run() -> tuple[int, int]:
        async with follow(monkeypatch, answer(b"+a")) as (feed, runner, _):
            feed.check(Others())
            await asyncio.sleep(0)
            before = len(runner.got)
            feed.check(Peers())
            await wait_until(lambda: len(runner.got) > 1)
            feed.check(Others())
            await runner.closed.wait()
            return before, runner.connections

    assert asyncio.run(run()) == (0, 1)


def test_runners_elsewhere_and_those_that_leave_are_not_asked(
    monkeypatch,
) -> None:
    monkeypatch.setattr(cache_feed, "_SETTLED_S", 0.0)

    async def run(data_centre: str, leaving: bool) -> int:
        known = Known()
        feed, _ = make_feed(known, data_centre)
        runner = await support.Runner("r0").start()
        known.runners.put(msgspec.structs.replace(runner, leaving=leaving))
        feed.check(Peers())
        asked = len(feed._tasks)
        feed.close()
        return asked

    async def run_all() -> list[int]:
        cases = [("a", False), ("b", False), ("a", True)]
        return [await run(*case) for case in cases]

    assert asyncio.run(run_all()) == [1, 0, 0]
