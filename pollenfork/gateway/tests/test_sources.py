"""Whom an instance hears from when the store turns some away."""

import asyncio
import contextlib
import random

from pollenfork.catalogue import messages
from pollenfork.gateway import cluster_state
from pollenfork.gateway import settings
from pollenfork.gateway import sources
from pollenfork.gateway import tables
from pollenfork.gateway.tests import test_cluster_state
from pollenfork.gateway.tests import test_following
from pollenfork.loads import messages as loads

_HOST = "127.0.0.1"


class Store(test_cluster_state.Store):
    """Writes calls that a stand-in turns away, and reads rows."""

    def __init__(self, standin: test_following.Store) -> None:
        self.write_configuration_ask = standin.write
        self.write_runners_ask = standin.write
        self.read_rows = standin.read


class Others:
    """Who relays and proves, as a test says."""

    def __init__(self) -> None:
        self.relay: settings.Address | None = None
        self.prover: settings.Address | None = None
        self.hosts: dict[str, settings.Address] = {}
        self.passed_over: list[str] = []

    def find_relay(self, now: float) -> settings.Address | None:
        return self.relay

    def find_store_poller(self, now: float) -> settings.Address | None:
        return self.prover

    def pass_over(self, host: str) -> None:
        self.passed_over.append(host)

    def locate(self, host: str) -> settings.Address | None:
        return self.hosts.get(host)


class Bench:
    """An instance that knows version 5, a store, and another instance."""

    def __init__(self, standin, told, address) -> None:
        self.loop = asyncio.get_running_loop()
        self.store: test_following.Store = standin
        self.told: tables.Tables = told
        self.address: settings.Address = address
        store = Store(standin)
        self.others = Others()
        self.others.hosts["teller"] = address
        self.known = cluster_state.ClusterState(store, 5.0)
        self.sources: sources.Sources

    def hear(
        self, news: int, age_s: float = 0.1, teller: str = "teller"
    ) -> None:
        proof = loads.StoreStatus(news, news, age_s)
        self.known.take_proof(proof, self.loop.time() - age_s, teller)

    async def choose_until(self, holds, limit_s: float = 5.0) -> float:
        """Lets it choose each period; returns the seconds until it held."""
        begun = self.loop.time()
        while not holds():
            assert self.loop.time() - begun < limit_s
            self.sources.choose(self.others)
            await asyncio.sleep(0.02)
        return self.loop.time() - begun


@contextlib.asynccontextmanager
async def run_bench():
    loop = asyncio.get_running_loop()
    standin = test_following.Store()
    standin.rows = messages.Rows((messages.Row("c", b"5", 1),), 1)
    told = tables.Tables()
    server = await loop.create_server(
        tables.make_server(told).make_connection, _HOST, 0
    )
    bench = Bench(
        standin, told, loads.Address(*server.sockets[0].getsockname()[:2])
    )
    bench.sources = sources.Sources(
        await standin.start(), Store(standin), bench.known, random.Random(1)
    )
    tasks = bench.sources.start()
    try:
        await bench.choose_until(lambda: bench.known.lookup is not None)
        yield bench
    finally:
        for task in tasks:
            task.cancel()
        server.close()


def read_version(bench: Bench) -> int:
    return bench.known.lookup.configuration.version


def change(bench: Bench, version: int, row: int) -> None:
    rows = (messages.Row("c", b"%d" % version, row),)
    changes = messages.Changes(rows, row)
    bench.told.take(tables.Table.CONFIGURATION, changes)


def play(course):
    async def run():
        async with run_bench() as bench:
            await course(bench)

    asyncio.run(run())


def test_a_relay_that_the_store_turns_away_asks_the_prover() -> None:
    async def course(bench):
        bench.store.silent = True
        bench.others.prover = bench.address
        change(bench, 6, 9)
        bench.hear(9)
        await bench.choose_until(lambda: read_version(bench) == 6)
        # What the prover proves counts here again, and for those that ask.
        bench.hear(9)
        assert bench.known.freshness.age(bench.loop.time()) < 1.0
        assert bench.known.write_proof(bench.loop.time()).configuration == 9

    play(course)


def test_a_relay_without_recent_proof_is_left_for_the_store() -> None:
    async def course(bench):
        bench.others.relay = bench.address
        bench.others.prover = bench.address
        change(bench, 6, 9)
        bench.hear(9, age_s=1.2)
        await bench.choose_until(lambda: read_version(bench) == 6)
        bench.store.rows = messages.Rows((messages.Row("c", b"7", 11),), 11)
        told_at = bench.loop.time()
        await bench.choose_until(lambda: read_version(bench) == 7)
        # News must be in force 2 s after the relay last knew it all.
        assert bench.loop.time() - told_at < 2.0 - 1.2

    play(course)


def test_a_relay_whose_prover_falls_silent_proves_for_itself() -> None:
    async def course(bench):
        bench.others.prover = bench.address
        bench.hear(1, age_s=0.0)
        before = bench.known.freshness.age(bench.loop.time())
        assert before < 0.5
        asked = len(bench.store.asked)
        await bench.choose_until(lambda: len(bench.store.asked) > asked + 1)
        age_s = bench.known.freshness.age(bench.loop.time())
        assert age_s < 1.5

    play(course)


def test_a_relay_that_the_store_turns_away_asks_whoever_told_the_news() -> None:
    async def course(bench):
        bench.store.silent = True
        bench.others.prover = bench.others.hosts["other"] = loads.Address(
            _HOST, 1
        )
        change(bench, 6, 9)
        bench.hear(9)

        def is_there() -> bool:
            # Another relay, turned away as well, has spoken last.
            bench.hear(1, teller="other")
            return read_version(bench) == 6

        took_s = await bench.choose_until(is_there)
        # Runners that leave must get no more work 2 s after the store knows,
        # and the first relay may take 0.8 s to hear of it.
        assert took_s < 1.0

    play(course)


def test_a_relay_whose_teller_is_gone_asks_the_store() -> None:
    async def course(bench):
        bench.others.hosts["teller"] = loads.Address(_HOST, 1)
        bench.hear(9)
        # It lacks the news for long enough to turn to the teller first.
        while not bench.known.configuration_versions.is_store_late(
            bench.loop.time()
        ):
            bench.sources.choose(bench.others)
            await asyncio.sleep(0.02)
        bench.store.rows = messages.Rows((messages.Row("c", b"6", 9),), 9)
        took_s = await bench.choose_until(lambda: read_version(bench) == 6)
        # As long as a relay may lack news before it asks the store itself.
        assert took_s < 1.0
        # It isn't waited for as a relay either, from the next choice on.
        bench.sources.choose(bench.others)
        assert set(bench.others.passed_over) == {_HOST}

    play(course)


def test_whoever_follows_no_relay_asks_whoever_told_the_news() -> None:
    async def course(bench):
        bench.store.silent = True
        bench.others.relay = bench.address
        change(bench, 6, 9)
        # Its relay has the news, but no proof recent enough to go by.
        bench.hear(9, age_s=2.0)
        took_s = await bench.choose_until(lambda: read_version(bench) == 6)
        assert took_s < 1.0

    play(course)
