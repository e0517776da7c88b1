"""A runner whose entry is removed takes no more work, whoever lost the store.

Seen: one instance's calls to the store failed for six seconds while the other
instances' were answered. Just after its calls were answered again it read that
a runner's entry had been removed. It and the two instances that asked it for
the table went on giving that runner work for two seconds more, up to 2.2 s
after the removal; the five others stopped within 0.7 s.

How it came about: an entry that vanishes within 2 s of "the store is back" is
kept, as it may have lapsed while nobody could renew it. But "back" was said by
one instance of its own calls, although others' proof of the same store had
reached it all the while, and it was passed on with the table.

Proved by: `runner_kept` at those three instances alone, until 2 s after the
first's `store_back`, and by these tests.
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
    """Turns its caller away while told to; the row is also a runner."""

    def __init__(self) -> None:
        super().__init__()
        self.rows = messages.Rows((messages.Row(_RUNNER, b"1", 1),), 1)
        self.turns_away = False
        self.refused = 0
        self._held: list[asyncio.StreamWriter] = []

    def turn_away(self) -> None:
        self.turns_away = True
        for writer in self._held:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        self._held.append(writer)
        await super()._serve(reader, writer)

    def serve_again(self) -> None:
        self.turns_away = False

    def remove_the_runner(self) -> None:
        row = messages.Row(_RUNNER, b"", _REMOVED_AT, removed=True)
        self.rows = messages.Rows((row,), _REMOVED_AT)

    def read(self, status: int, body: bytes):
        if self.turns_away:
            self.refused += 1
            return result.Err(messages.ReadFailure.REFUSED)
        return super().read(status, body)


class Decoder(test_knowledge.Store):
    """Reads the one row as a configuration and as a runner."""

    def __init__(self, standin: Store) -> None:
        self.write_configuration_ask = standin.write
        self.write_runners_ask = standin.write
        self.read_rows = standin.read

    def read_configuration(self, row):
        return None if row.removed else super().read_configuration(row)


class Instance:
    """An instance with a way to the store of its own."""

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
    def knows_of_the_removal(self) -> bool:
        proof = self.known.write_proof(self.loop.time())
        return proof is not None and proof.runners == _REMOVED_AT

    @property
    def takers(self) -> list[str]:
        return test_knowledge.list_runners(self.known)

    def hear_proof(self, news: int, age_s: float = 0.1) -> None:
        """Hears from a relay elsewhere, which the store answers."""
        proof = loads.StoreStatus(1, news, age_s)
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
        await instance.run_until(lambda: instance.takers == [_RUNNER])
        yield instance
    finally:
        for task in tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def start_server(instance: Instance):
    """Lets others ask an instance for what it knows."""
    server = await instance.loop.create_server(
        tables.make_server(instance.sources.tables).make_connection, _HOST, 0
    )
    try:
        yield loads.Address(*server.sockets[0].getsockname()[:2])
    finally:
        server.close()


async def be_turned_away_alone(instance: Instance) -> None:
    """Loses the store for some calls while others' proof keeps arriving."""
    standin = instance.standin
    standin.turn_away()
    await instance.run_until(
        lambda: standin.refused >= 4, lambda: instance.hear_proof(1)
    )
    standin.remove_the_runner()
    standin.serve_again()
    await instance.run_until(
        lambda: instance.knows_of_the_removal, lambda: instance.hear_proof(1)
    )


def test_the_return_of_one_instance_is_not_the_stores() -> None:
    async def course():
        async with start_instance() as instance:
            await be_turned_away_alone(instance)
            assert instance.takers == []

    asyncio.run(course())


def test_those_that_ask_such_an_instance_drop_the_runner_too() -> None:
    async def course():
        async with start_instance() as relay, start_instance() as reporter:
            await be_turned_away_alone(relay)
            reporter.standin.turn_away()
            async with start_server(relay) as address:
                reporter.others.relay = address
                await reporter.run_until(
                    lambda: reporter.knows_of_the_removal,
                    lambda: reporter.hear_proof(_REMOVED_AT),
                )
            assert reporter.takers == []

    asyncio.run(course())
