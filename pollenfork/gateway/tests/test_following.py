"""A follower reads from a relay, and from the store if the relay fails."""

import asyncio
import contextlib
import logging
import random

import msgspec
import result

from pollenfork import versions
from pollenfork.catalogue import messages
from pollenfork.catalogue import watch
from pollenfork.gateway import client
from pollenfork.gateway import following
from pollenfork.gateway import settings
from pollenfork.gateway import tables
from pollenfork.loads import messages as loads

Row = messages.Row
Table = tables.Table
_HOST = "127.0.0.1"
_WAIT_S = 30.0


class Store:
    """A store of one table; calls that wait for a change are never answered."""

    def __init__(self) -> None:
        self.asked: list[messages.ReadCall] = []
        self.rows = messages.Rows((Row("a", b"1", 1),), 1)
        self.silent = False

    async def start(self) -> settings.Address:
        server = await asyncio.start_server(self._serve, _HOST, 0)
        return loads.Address(*server.sockets[0].getsockname()[:2])

    def write(self, ask: messages.ReadCall) -> bytes:
        self.asked.append(ask)
        waits = int(ask.wait_s > 0.0)
        return b"GET /%d/%d HTTP/1.1\r\n\r\n" % (waits, ask.after or 0)

    def read(self, status: int, body: bytes, headers=()):
        return result.Ok(msgspec.msgpack.decode(body, type=messages.Rows))

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, waits, after = head.split(b" ")[1].split(b"/")
                is_news = self.rows.version > int(after)
                if self.silent or (waits == b"1" and not is_news):
                    await reader.read()
                    break
                body = msgspec.msgpack.encode(self.rows)
                length = b"content-length: %d\r\n\r\n" % len(body)
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Bench:
    """A follower between a store and a relay."""

    def __init__(self, follower, store, relay_tables, relay) -> None:
        self.follower: following.Follower = follower
        self.store: Store = store
        self.relay_tables: tables.Tables = relay_tables
        self.relay: settings.Address = relay
        self.seen: list[messages.Changes] = []
        self.proofs: list[float] = []
        self.answers: list[float] = []
        self.failures: list[float] = []
        follower.when_changed(self.seen.append)
        follower.when_current(self.proofs.append)
        follower.when_answered(self.answers.append)
        follower.when_failed(self.failures.append)

    async def wait_for(self, holds) -> None:
        async with asyncio.timeout(10):
            while not holds():
                await asyncio.sleep(0.005)

    def tell(self, version: int, *rows: Row) -> None:
        self.relay_tables.take(Table.RUNNERS, messages.Changes(rows, version))

    def set_source(
        self, is_newer: bool = False, relay: bool = True, at_once: bool = False
    ) -> None:
        to = self.relay if relay else None
        self.follower.set_source(following.SourceChoice(to, is_newer, at_once))


@contextlib.asynccontextmanager
async def run_bench():
    loop = asyncio.get_running_loop()
    store = Store()
    relay_tables = tables.Tables()
    server = await loop.create_server(
        tables.make_server(relay_tables).make_connection, _HOST, 0
    )
    relay = loads.Address(*server.sockets[0].getsockname()[:2])
    follower = following.Follower(
        Table.RUNNERS,
        await store.start(),
        watch.Watch(random.Random(1), _WAIT_S),
        0.0,
        store.write,
        store.read,
    )
    bench = Bench(follower, store, relay_tables, relay)
    task = asyncio.create_task(follower.run())
    try:
        yield bench
    finally:
        task.cancel()
        server.close()


def run_scenario(scenario):
    async def run():
        async with run_bench() as bench:
            await scenario(bench)

    asyncio.run(run())


def test_a_relays_newer_version_is_fetched_without_calling_the_store() -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: len(bench.seen) == 2)
        changes = bench.seen[1]
        assert changes.through == 7
        found = {row.key: row.removed for row in changes.rows}
        assert found == {"a": True, "b": False}
        bench.set_source()
        bench.tell(9, Row("c", b"3", 9))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: len(bench.seen) == 3)
        assert len(bench.store.asked) == 2
        # Only the store's own answers prove that the copy is current.
        assert len(bench.proofs) == 1

    run_scenario(scenario)


def test_an_instance_without_the_store_reads_the_table_from_a_relay() -> None:
    async def scenario(bench):
        bench.store.silent = True
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: bench.seen)
        assert [row.key for row in bench.seen[0].rows] == ["b"]

    run_scenario(scenario)


def test_losing_the_store_a_second_time_is_logged_again(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.following")

    def count(event: str) -> int:
        return caplog.text.count(f"event={event}")

    async def lose(bench) -> None:
        before = count("store_lost")
        bench.set_source(relay=False)
        bench.follower.ask_store_now()
        await bench.wait_for(lambda: count("store_lost") > before)
        bench.set_source()

    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        bench.store.silent = True
        await lose(bench)
        await lose(bench)
        assert count("store_lost") == count("store_bypassed") == 2

    run_scenario(scenario)


def test_after_losing_a_relay_the_store_is_asked_from_its_version() -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: len(bench.seen) == 2)
        bench.store.rows = messages.Rows((Row("c", b"3", 8),), 8)
        bench.set_source(relay=False, at_once=True)
        await bench.wait_for(lambda: len(bench.seen) == 3)
        asked = [(ask.after, ask.wait_s) for ask in bench.store.asked[2:]]
        assert asked[0] == (7, 0.0)
        await bench.wait_for(lambda: len(bench.store.asked) == 4)
        assert bench.store.asked[3].wait_s == _WAIT_S

    run_scenario(scenario)


def test_ask_store_now_calls_the_store_despite_a_relay() -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: len(bench.seen) == 2)
        bench.store.rows = messages.Rows((Row("b", b"2", 7),), 7)
        bench.follower.ask_store_now()
        await bench.wait_for(lambda: len(bench.proofs) == 2)
        assert bench.store.asked[2].wait_s == 0.0

    run_scenario(scenario)


def test_a_store_answer_older_than_the_relays_is_no_proof(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.following")

    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: len(bench.seen) == 2)
        # The store answers from a copy older than the relay's version.
        bench.follower.ask_store_now()
        await bench.wait_for(lambda: "trouble=stale" in caplog.text)
        assert (len(bench.proofs), len(bench.seen)) == (1, 2)

    run_scenario(scenario)


# Guards against rows that are lost, or a read without pauses, as a page isn't
# what was asked for.
def test_a_page_of_keys_that_go_back_is_unreadable(caplog) -> None:
    async def scenario(bench):
        known = Row("a", b"1", 1), Row("b", b"2", 1)
        bench.store.rows = messages.Rows(known[::-1], 1)
        await bench.wait_for(lambda: "trouble=unreadable" in caplog.text)
        assert not bench.seen
        bench.store.rows = messages.Rows(known, 1)
        await bench.wait_for(lambda: len(bench.seen) == 1)
        assert bench.seen[0].rows == known
        assert len(bench.store.asked) <= 4

    run_scenario(scenario)


def test_a_relay_that_fails_or_is_behind_changes_nothing(caplog) -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        bench.tell(1, Row("z", b"9", 1))
        bench.set_source(is_newer=True)
        await asyncio.sleep(0.05)
        assert len(bench.seen) == 1
        nobody = following.SourceChoice(loads.Address(_HOST, 1), is_newer=True)
        bench.follower.set_source(nobody)
        await bench.wait_for(lambda: "event=relay_silent" in caplog.text)
        assert len(bench.seen) == 1

    run_scenario(scenario)


def test_an_answer_is_reported_before_its_changes() -> None:
    async def scenario(bench):
        order = []
        bench.follower.when_answered(lambda at: order.append("answer"))
        bench.follower.when_changed(lambda changes: order.append("change"))
        await bench.wait_for(lambda: bench.proofs)
        assert order == ["answer", "change"]

    run_scenario(scenario)


def test_only_the_stores_own_answers_and_failures_are_reported() -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        assert len(bench.answers) == 1
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        await bench.wait_for(lambda: len(bench.seen) == 2)
        # Neither a call that is broken off here nor an answer of another
        # instance says anything about the store.
        assert (len(bench.answers), bench.failures) == (1, [])
        bench.store.silent = True
        bench.set_source(relay=False, at_once=True)
        sent_at = asyncio.get_running_loop().time()
        await bench.wait_for(lambda: bench.failures)
        assert abs(bench.failures[0] - sent_at) < 0.3

    run_scenario(scenario)


def test_an_unknown_table_is_refused() -> None:
    async def scenario(bench):
        reader, writer = await asyncio.open_connection(*bench.relay)
        writer.write(b"GET /other HTTP/1.1\r\n\r\n")
        assert b" 404 " in await reader.read()
        writer.close()

    run_scenario(scenario)


def test_a_call_that_cannot_connect_is_broken_off_for_a_newer_version() -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def hang(factory, host, port):
            if (host, port) == tuple(bench.relay):
                return await connect(factory, host, port)
            return await loop.create_future()

        loop.create_connection = hang
        bench.follower.ask_store_now()
        await bench.wait_for(lambda: len(bench.store.asked) > 2)
        await asyncio.sleep(0.05)
        bench.tell(7, Row("b", b"2", 7))
        bench.set_source(is_newer=True)
        bench.follower.ask_store_now()  # Breaking it off twice is harmless.
        told_at = loop.time()
        await bench.wait_for(lambda: len(bench.seen) == 2)
        # Connecting to a host that can't be reached takes 0.5 s.
        assert loop.time() - told_at < 0.25
        assert bench.failures == []

    run_scenario(scenario)


def test_a_call_may_be_broken_off_at_any_time_and_twice() -> None:
    async def run():
        store = Store()
        store.silent = True
        caller = client.Client(await store.start())
        caller.cancel()
        calling = asyncio.create_task(
            caller.call(b"GET /0/0 HTTP/1.1\r\n\r\n", _WAIT_S)
        )
        for _ in range(3):
            await asyncio.sleep(0)
        caller.cancel()
        caller.cancel()
        assert await calling is None
        caller.cancel()

    asyncio.run(run())


# Guards against a call that the store holds, as its versions haven't passed
# those of the epoch before.
def test_a_held_call_is_replaced_once_a_later_epoch_is_known() -> None:
    async def scenario(bench):
        await bench.wait_for(lambda: len(bench.store.asked) == 2)
        assert bench.store.asked[1].wait_s > 0.0
        bench.follower.begin_epoch(0)
        await asyncio.sleep(0.05)
        assert len(bench.store.asked) == 2
        restored = versions.combine(1, 1)
        bench.store.rows = messages.Rows((Row("b", b"2", restored),), restored)
        bench.follower.begin_epoch(1)
        await bench.wait_for(lambda: len(bench.seen) == 2)
        assert bench.store.asked[2].after is None
        found = {row.key: row.removed for row in bench.seen[1].rows}
        assert found == {"a": True, "b": False}

    run_scenario(scenario)
