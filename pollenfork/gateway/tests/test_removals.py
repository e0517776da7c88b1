"""A runner gets no requests after its entry is removed, in a partial outage.

An entry that is removed within 2 s of the end of an outage is kept, as it may
have expired while it couldn't be renewed. The end of an outage must be that of
the store for all instances: when an instance went by its own calls alone, which
had failed for six seconds while peers' proof kept arriving, it kept a runner
that had been removed, and so did two instances that read the table from it.
They sent it requests for up to 2.2 s after the removal; the five others
stopped within 0.7 s. Only these three logged `runner_kept`, until 2 s after
the first one's `store_back`.
"""

import asyncio
import contextlib
import random

import result

from pollenfork.catalogue import messages
from pollenfork.gateway import cluster_state
from pollenfork.gateway import settings
from pollenfork.gateway import sources
from pollenfork.gateway import tables
from pollenfork.gateway.tests import test_cluster_state
from pollenfork.gateway.tests import test_following
from pollenfork.gateway.tests import test_sources
from pollenfork.loads import messages as loads

_HOST = "127.0.0.1"
_RUNNER = "1"
_REMOVED_AT = 9


class Store(test_following.Store):
    """Refuses its caller on demand; the row is also a runner."""

    def __init__(self) -> None:
        super().__init__()
        self.rows = messages.Rows((messages.Row(_RUNNER, b"1", 1),), 1)
        self.refuses = False
        self.refused = 0
        self._held: list[asyncio.StreamWriter] = []

    def start_refusing(self) -> None:
        self.refuses = True
        for writer in self._held:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._held.append(writer)
        await super()._serve(reader, writer)

    def stop_refusing(self) -> None:
        self.refuses = False

    def remove_the_runner(self) -> None:
        row = messages.Row(_RUNNER, b"", _REMOVED_AT, removed=True)
        self.rows = messages.Rows((row,), _REMOVED_AT)

    def read(self, status: int, body: bytes, headers=()):
        if self.refuses:
            self.refused += 1
            return result.Err(messages.ReadFailure.REFUSED)
        return super().read(status, body)


class Decoder(test_cluster_state.Store):
    """Decodes the one row as a configuration and as a runner."""

    def __init__(self, standin: Store) -> None:
        self.encode_configuration_read = standin.write
        self.encode_runners_read = standin.write
        self.decode_rows = standin.read

    def decode_configuration(self, row):
        return None if row.removed else super().decode_configuration(row)


class Instance:
    """An instance with its own connection to the store."""

    def __init__(self, standin: Store, address: settings.Address) -> None:
        self.loop = asyncio.get_running_loop()
        self.standin = standin
        store = Decoder(standin)
        self.state = cluster_state.ClusterState(store, 5.0)
        self.others = test_sources.Others()
        self.sources = sources.Sources(
            address, store, self.state, random.Random(1)
        )

    @property
    def knows_of_the_removal(self) -> bool:
        status = self.state.make_store_status(self.loop.time())
        return status is not None and status.runners == _REMOVED_AT

    @property
    def usable_runners(self) -> list[str]:
        return test_cluster_state.list_runners(self.state)

    def receive_status(self, version: int, age_s: float = 0.1) -> None:
        """Receives the status of a remote relay, which the store answers."""
        status = loads.StoreStatus(1, version, age_s)
        self.state.record_store_status(
            status, self.loop.time() - age_s, "elsewhere"
        )

    async def run_until(self, holds, each=lambda: None) -> None:
        async with asyncio.timeout(10):
            while not holds():
                each()
                self.sources.choose(self.others)
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def start_instance():
    standin = Store()
    instance = Instance(standin, await standin.start())
    tasks = instance.sources.start()
    try:
        await instance.run_until(lambda: instance.usable_runners == [_RUNNER])
        yield instance
    finally:
        for task in tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def start_server(instance: Instance):
    """Serves an instance's tables to others."""
    server = await instance.loop.create_server(
        tables.make_server(instance.sources.tables).make_connection, _HOST, 0
    )
    try:
        yield loads.Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()


async def lose_the_store_alone(instance: Instance) -> None:
    """Has some calls to the store refused while peers' proof keeps arriving."""
    standin = instance.standin
    standin.start_refusing()
    await instance.run_until(
        lambda: standin.refused >= 4, lambda: instance.receive_status(1)
    )
    standin.remove_the_runner()
    standin.stop_refusing()
    await instance.run_until(
        lambda: instance.knows_of_the_removal,
        lambda: instance.receive_status(1),
    )


def test_one_instances_own_outage_keeps_no_removed_runner() -> None:
    async def scenario():
        async with start_instance() as instance:
            await lose_the_store_alone(instance)
            assert instance.usable_runners == []

    asyncio.run(scenario())


def test_instances_that_read_its_table_drop_the_runner_too() -> None:
    async def scenario():
        async with start_instance() as relay, start_instance() as reporter:
            await lose_the_store_alone(relay)
            reporter.standin.start_refusing()
            async with start_server(relay) as address:
                reporter.others.relay = address
                await reporter.run_until(
                    lambda: reporter.knows_of_the_removal,
                    lambda: reporter.receive_status(_REMOVED_AT),
                )
            assert reporter.usable_runners == []

    asyncio.run(scenario())
