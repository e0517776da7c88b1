"""A removed runner gets no more requests, even after a partial store outage.

Guards against a runner that is used for 2 s after its removal: up to 2.2 s at
three instances, while the five others stopped within 0.7 s. Entries that vanish
within 2 s of the store's return are retained, since they may have expired while
no instance could renew them. But one instance whose own calls had failed for
six seconds took their success for the store's return, although the other
instances' proofs of the same store had reached it all the time. It passed that
on with the table to the two instances that asked it.
"""

import asyncio
import contextlib
import random

import result

from pollenfork.catalogue import messages
from pollenfork.gateway import knowledge
from pollenfork.gateway import settings
from pollenfork.gateway import sources
from pollenfork.gateway import tables
from pollenfork.gateway.tests import test_following
from pollenfork.gateway.tests import test_knowledge
from pollenfork.gateway.tests import test_sources
from pollenfork.loads import messages as loads

_HOST = "127.0.0.1"
_RUNNER = "1"
_REMOVED_AT = 9


class Store(test_following.Store):
    """Refuses calls while told to; its row is also a runner."""

    def __init__(self) -> None:
        super().__init__()
        self.rows = messages.Rows((messages.Row(_RUNNER, b"1", 1),), 1)
        self.refuses = False
        self.refused = 0
        self._held: list[asyncio.StreamWriter] = []

    def refuse_calls(self) -> None:
        self.refuses = True
        for writer in self._held:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._held.append(writer)
        await super()._serve(reader, writer)

    def accept_calls(self) -> None:
        self.refuses = False

    def remove_the_runner(self) -> None:
        row = messages.Row(_RUNNER, b"", _REMOVED_AT, removed=True)
        self.rows = messages.Rows((row,), _REMOVED_AT)

    def read(self, status: int, body: bytes):
        if self.refuses:
            self.refused += 1
            return result.Err(messages.Trouble.REFUSED)
        return super().read(status, body)


class Decoder(test_knowledge.Store):
    """Decodes the one row as a configuration and as a runner."""

    def __init__(self, standin: Store) -> None:
        self.write_configuration_ask = standin.write
        self.write_runners_ask = standin.write
        self.read_rows = standin.read

    def read_configuration(self, row):
        return None if row.removed else super().read_configuration(row)


class Instance:
    """An instance with its own store server."""

    def __init__(self, standin: Store, address: settings.Address) -> None:
        self.loop = asyncio.get_running_loop()
        self.standin = standin
        store = Decoder(standin)
        self.known = knowledge.Knowledge(store, 5.0)
        self.others = test_sources.Others()
        self.sources = sources.Sources(
            address, store, self.known, random.Random(1)
        )

    @property
    def has_removal(self) -> bool:
        proof = self.known.write_proof(self.loop.time())
        return proof is not None and proof.runners == _REMOVED_AT

    @property
    def usable_runners(self) -> list[str]:
        return test_knowledge.list_runners(self.known)

    def receive_proof(self, news: int, age_s: float = 0.1) -> None:
        """Receives the proof of a relay elsewhere that reaches the store."""
        proof = loads.Proof(1, news, age_s)
        self.known.take_proof(proof, self.loop.time() - age_s, "elsewhere")

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
    """Serves an instance's tables to other instances."""
    server = await instance.loop.create_server(
        tables.make_server(instance.sources.tables).make_connection, _HOST, 0
    )
    try:
        yield loads.Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()


async def fail_own_calls(instance: Instance) -> None:
    """Fails some calls to the store while other instances' proofs arrive."""
    standin = instance.standin
    standin.refuse_calls()
    await instance.run_until(
        lambda: standin.refused >= 4, lambda: instance.receive_proof(1)
    )
    standin.remove_the_runner()
    standin.accept_calls()
    await instance.run_until(
        lambda: instance.has_removal, lambda: instance.receive_proof(1)
    )


def test_recovery_of_one_instances_calls_is_not_the_stores_return() -> None:
    async def run():
        async with start_instance() as instance:
            await fail_own_calls(instance)
            assert instance.usable_runners == []

    asyncio.run(run())


def test_instances_that_fetch_its_table_drop_the_runner_too() -> None:
    async def run():
        async with start_instance() as relay, start_instance() as reporter:
            await fail_own_calls(relay)
            reporter.standin.refuse_calls()
            async with start_server(relay) as address:
                reporter.others.relay = address
                await reporter.run_until(
                    lambda: reporter.has_removal,
                    lambda: reporter.receive_proof(_REMOVED_AT),
                )
            assert reporter.usable_runners == []

    asyncio.run(run())
