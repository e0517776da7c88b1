"""From where an instance reads tables while the store refuses some."""

import asyncio
import contextlib
import random

from pollenfork.catalogue import messages
from pollenfork.gateway import cluster_state
from pollenfork.gateway import consultation
from pollenfork.gateway import settings
from pollenfork.gateway import sources
from pollenfork.gateway import tables
from pollenfork.gateway.tests import test_cluster_state
from pollenfork.gateway.tests import test_following
from pollenfork.loads import messages as loads

_HOST = "127.0.0.1"


class Store(test_cluster_state.Store):
    """Encodes calls for a stand-in of the store, and decodes rows."""

    def __init__(self, standin: test_following.Store) -> None:
        self.encode_configuration_read = standin.write
        self.encode_runners_read = standin.write
        self.decode_rows = standin.read


class Others:
    """Peers whose relay and store poller are set by the test."""

    def __init__(self) -> None:
        self.relay: settings.Address | None = None
        self.poller: settings.Address | None = None
        self.hosts: dict[str, settings.Address] = {}
        self.passed_over: list[str] = []
        self.in_touch = True
        self.greetings = 0

    def find_relay(self, now: float) -> settings.Address | None:
        return self.relay

    def find_store_poller(self, now: float) -> settings.Address | None:
        return self.poller

    def expects_relays(self, now: float) -> bool:
        return self.relay is None

    def greet_lost(self) -> None:
        self.greetings += 1

    def hears_others(self, now: float) -> bool:
        return self.in_touch

    def pass_over(self, host: str) -> None:
        self.passed_over.append(host)

    def locate(self, host: str) -> settings.Address | None:
        return self.hosts.get(host)


class Bench:
    """An instance that has read version 5, a store, and another instance."""

    def __init__(self, standin, peer_tables, address) -> None:
        self.loop = asyncio.get_running_loop()
        self.store: test_following.Store = standin
        self.peer_tables: tables.Tables = peer_tables
        self.address: settings.Address = address
        store = Store(standin)
        self.others = Others()
        self.others.hosts["sender"] = address
        self.state = cluster_state.ClusterState(store, 5.0)
        self.sources: sources.Sources

    def receive(
        self,
        version: int,
        age_s: float = 0.1,
        sender: str = "sender",
        in_force: int = 0,
    ) -> None:
        status = loads.StoreStatus(version, version, age_s, in_force=in_force)
        self.state.record_store_status(status, self.loop.time() - age_s, sender)

    async def choose_until(self, holds, limit_s: float = 5.0) -> float:
        """Calls `choose` periodically; returns seconds until `holds()`."""
        begun = self.loop.time()
        while not holds():
            assert self.loop.time() - begun < limit_s
            self.sources.choose(self.others)
            await asyncio.sleep(0.02)
        return self.loop.time() - begun


@contextlib.asynccontextmanager
async def run_bench(in_touch: bool):
    loop = asyncio.get_running_loop()
    standin = test_following.Store()
    standin.rows = messages.Rows((messages.Row("c", b"5", 1),), 1)
    peer_tables = tables.Tables()
    server = await loop.create_server(
        tables.make_server(peer_tables).make_connection, _HOST, 0
    )
    bench = Bench(
        standin,
        peer_tables,
        loads.Address(*server.sockets[0].getsockname()[:2]),
    )
    bench.sources = sources.Sources(
        await standin.start(), Store(standin), bench.state, random.Random(1)
    )
    bench.others.in_touch = in_touch
    tasks = bench.sources.start()
    try:
        await bench.choose_until(lambda: bench.state.lookup is not None)
        yield bench
    finally:
        for task in tasks:
            task.cancel()
        server.close()


def read_version(bench: Bench) -> int:
    return bench.state.lookup.configuration.version


def change(bench: Bench, version: int, row: int) -> None:
    rows = (messages.Row("c", b"%d" % version, row),)
    changes = messages.Changes(rows, row)
    bench.peer_tables.take(tables.Table.CONFIGURATION, changes)


def run_scenario(scenario, in_touch: bool = True):
    async def run():
        async with run_bench(in_touch) as bench:
            await scenario(bench)

    asyncio.run(run())


def test_a_relay_that_the_store_refuses_asks_the_store_poller() -> None:
    async def scenario(bench):
        bench.store.silent = True
        bench.others.poller = bench.address
        change(bench, 6, 9)
        bench.receive(9)
        await bench.choose_until(lambda: read_version(bench) == 6)
        # The poller's proof counts here again, and is forwarded to others.
        bench.receive(9)
        assert bench.state.freshness.age(bench.loop.time()) < 1.0
        assert (
            bench.state.make_store_status(bench.loop.time()).configuration == 9
        )

    run_scenario(scenario)


def test_a_relay_without_recent_proof_is_replaced_by_the_store() -> None:
    async def scenario(bench):
        bench.others.relay = bench.address
        bench.others.poller = bench.address
        change(bench, 6, 9)
        bench.receive(9, age_s=1.2)
        await bench.choose_until(lambda: read_version(bench) == 6)
        bench.store.rows = messages.Rows((messages.Row("c", b"7", 11),), 11)
        told_at = bench.loop.time()
        await bench.choose_until(lambda: read_version(bench) == 7)
        # A change must be in force 2 s after the time of the relay's proof.
        assert bench.loop.time() - told_at < 2.0 - 1.2

    run_scenario(scenario)


def test_a_relay_without_a_store_poller_asks_for_its_own_proof() -> None:
    async def scenario(bench):
        bench.others.poller = bench.address
        bench.receive(1, age_s=0.0)
        before = bench.state.freshness.age(bench.loop.time())
        assert before < 0.5
        asked = len(bench.store.asked)
        await bench.choose_until(lambda: len(bench.store.asked) > asked + 1)
        age_s = bench.state.freshness.age(bench.loop.time())
        assert age_s < 1.5

    run_scenario(scenario)


def test_a_relay_that_the_store_refuses_asks_the_announcing_host() -> None:
    async def scenario(bench):
        bench.store.silent = True
        bench.others.poller = bench.others.hosts["other"] = loads.Address(
            _HOST, 1
        )
        change(bench, 6, 9)
        bench.receive(9)

        def is_there() -> bool:
            # The latest announcement is of another relay without the change.
            bench.receive(1, sender="other")
            return read_version(bench) == 6

        took_s = await bench.choose_until(is_there)
        # Runners that leave must get no more requests 2 s after the store
        # records it, and the first relay may take 0.8 s to receive that.
        assert took_s < 1.0

    run_scenario(scenario)


def test_a_relay_asks_the_store_if_the_announcing_host_is_gone() -> None:
    async def scenario(bench):
        bench.others.hosts["sender"] = loads.Address(_HOST, 1)
        bench.receive(9)
        # The change is overdue for long enough to ask the sender first.
        while not bench.state.configuration_versions.is_store_late(
            bench.loop.time()
        ):
            bench.sources.choose(bench.others)
            await asyncio.sleep(0.02)
        bench.store.rows = messages.Rows((messages.Row("c", b"6", 9),), 9)
        took_s = await bench.choose_until(lambda: read_version(bench) == 6)
        # A relay must ask the store itself within this time.
        assert took_s < 1.0
        # From the next choice on it isn't used as a relay either.
        bench.sources.choose(bench.others)
        assert set(bench.others.passed_over) == {_HOST}

    run_scenario(scenario)


def test_without_a_usable_relay_the_announcing_host_is_asked() -> None:
    async def scenario(bench):
        bench.store.silent = True
        bench.others.relay = bench.address
        change(bench, 6, 9)
        # Its relay has the change, but no recent enough proof.
        bench.receive(9, age_s=2.0)
        took_s = await bench.choose_until(lambda: read_version(bench) == 6)
        assert took_s < 1.0

    run_scenario(scenario)


# Guards against following the store's row numbers alone: the store holds an
# older configuration in a newer row than the one that a peer has in force.
def test_a_newer_configuration_is_fetched_though_its_row_is_older() -> None:
    async def scenario(bench):
        bench.store.rows = messages.Rows((messages.Row("c", b"6", 12),), 12)
        await bench.choose_until(lambda: read_version(bench) == 6)
        change(bench, 7, 9)

        def is_there() -> bool:
            bench.receive(9, in_force=7)
            return read_version(bench) == 7

        took_s = await bench.choose_until(is_there)
        assert took_s < 1.0
        await bench.choose_until(
            lambda: bench.state.freshness.trusts_keys(bench.loop.time())
        )

    run_scenario(scenario)


# Guards against an instance that claims a version and stops all others.
def test_a_claim_that_the_senders_table_refutes_is_ignored() -> None:
    async def scenario(bench):
        bench.others.hosts[_HOST] = bench.address
        change(bench, 5, 1)

        def is_refuted() -> bool:
            bench.receive(1, sender=_HOST, in_force=900)
            return not bench.state.configuration_versions.is_superseded

        assert not is_refuted()
        await bench.choose_until(is_refuted)
        bench.receive(1, in_force=5)
        assert bench.state.freshness.trusts_keys(bench.loop.time())

    run_scenario(scenario)


# Guards against an instance that was away and believes a restored store before
# it has heard what its peers have in force.
def test_own_proof_waits_for_the_peers_that_may_know_more() -> None:
    async def scenario(bench):
        assert bench.state.freshness.age(bench.loop.time()) is None
        bench.receive(1, in_force=6)
        bench.others.in_touch = True
        for _ in range(5):
            bench.sources.choose(bench.others)
        assert bench.state.freshness.age(bench.loop.time()) is None

    run_scenario(scenario, in_touch=False)


def test_own_proof_counts_once_silent_peers_had_their_time() -> None:
    async def scenario(bench):
        took_s = await bench.choose_until(
            lambda: bench.state.freshness.trusts_keys(bench.loop.time())
        )
        assert took_s < consultation.Consultation.RELAY_START_LIMIT_S + 0.5

    run_scenario(scenario, in_touch=False)


def test_lost_peers_are_greeted_as_soon_as_the_store_is_back() -> None:
    async def scenario(bench):
        bench.store.silent = True
        bench.sources.choose(bench.others)
        failing = bench.sources._configuration
        await bench.choose_until(lambda: failing.failing)
        greeted = bench.others.greetings
        bench.store.silent = False
        await bench.choose_until(lambda: not failing.failing)
        assert bench.others.greetings == greeted + 1
        age_s = bench.state.freshness.age(bench.loop.time())
        assert age_s is None or age_s > 0.5

    run_scenario(scenario, in_touch=False)
