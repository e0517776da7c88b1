"""Instances record versions in the store before streams begin at them."""

import asyncio
import contextlib
import os

import pytest

from pollenfork import ids
from pollenfork.gateway.version_records import recorder
from pollenfork.loads import messages as loads
from pollenfork.platform import store
from pollenfork.platform.tests.soak import store as standin
from pollenfork.streams import version_records

# An address of this process's own, as tests run side by side.
HOST = f"127.7.{os.getpid() // 200 % 250}.{os.getpid() % 200 + 1}"
PORT = 21977
SERVICE = ids.ServiceName("model")
V1, V2 = ids.SoftwareVersion("v1"), ids.SoftwareVersion("v2")
UNKNOWN = ids.SoftwareVersion("")
STREAM = 0x4F2A
Verdict = version_records.Verdict


class Bench:
    """A store, and instances that record in it."""

    def __init__(self) -> None:
        self.store = standin.Store()
        self.running: dict[str, tuple[recorder.Recorder, asyncio.Task]] = {}

    def start(self, host: str) -> recorder.Recorder:
        made = recorder.Recorder(
            loads.Address(HOST, PORT),
            store.Store(f"{HOST}:{PORT}"),
            host,
            lambda: 1_800_000_000.0,
        )
        made.join(lambda: list(self.running))
        task = asyncio.create_task(made.run())
        self.running[host] = (made, task)
        return made

    async def begin(self, host: str, *versions) -> recorder.Recorder:
        """Starts an instance; returns once its versions are recorded."""
        made = self.start(host)
        for version in versions:
            made.note(SERVICE, version)
        async with asyncio.timeout(5):
            while not await made.wait_until_recorded(SERVICE):
                pass
            while not all(made.is_recorded(SERVICE, v) for v in versions):
                await asyncio.sleep(0.01)
        return made

    def kill_all(self) -> None:
        for made, task in self.running.values():
            task.cancel()
            made.close()
        self.running.clear()


@contextlib.asynccontextmanager
async def open_bench():
    bench = Bench()
    await bench.store.start(HOST, PORT)
    try:
        yield bench
    finally:
        bench.kill_all()
        bench.store.stop()
        await asyncio.sleep(0)


def run(scenario):
    async def play():
        async with open_bench() as bench:
            return await scenario(bench)

    return asyncio.run(play())


async def find_after_a_loss_of_all(bench, *versions):
    """Kills all instances; returns what new ones find."""
    hosts = list(bench.running)
    bench.kill_all()
    started = [await bench.begin(host, *versions) for host in hosts]
    return await started[0].find(STREAM, SERVICE)


# Guards against streams that are refused after a loss of all instances though
# their service has never had another version.
def test_the_only_version_is_known_after_a_loss_of_all() -> None:
    async def scenario(bench):
        await bench.begin("a", V1)
        await bench.begin("b", V1)
        return await find_after_a_loss_of_all(bench, V1)

    found = run(scenario)
    assert (found.verdict, found.version) == (Verdict.ONLY, V1)


# Guards against streams of a version that is gone which go on at its successor
# after a loss of all instances.
def test_a_version_that_is_gone_is_remembered_after_a_loss_of_all() -> None:
    async def scenario(bench):
        await bench.begin("a", V1)
        (await bench.begin("b", V1)).note(SERVICE, V2)
        return await find_after_a_loss_of_all(bench, V2)

    assert run(scenario).verdict is Verdict.UNKNOWN


# Guards against streams that are refused after a loss of all instances though
# runners of their version serve on.
def test_streams_are_listed_while_a_service_has_several_versions() -> None:
    async def scenario(bench):
        beginner = await bench.begin("a", V1)
        beginner.record_begun(STREAM, SERVICE, V1)
        beginner.note(SERVICE, V2)
        await bench.begin("b", V1, V2)
        async with asyncio.timeout(5):
            while not beginner.is_recorded(SERVICE, V2):
                await asyncio.sleep(0.01)
        return await find_after_a_loss_of_all(bench, V1, V2)

    found = run(scenario)
    assert (found.verdict, found.version) == (Verdict.LISTED, V1)


def test_a_stream_that_has_ended_is_listed_no_more() -> None:
    async def scenario(bench):
        beginner = await bench.begin("a", V1, V2)
        beginner.record_begun(STREAM, SERVICE, V1)
        beginner.record_ended(STREAM)
        other = await bench.begin("b", V1, V2)
        await asyncio.sleep(0.1)
        return await other.find(STREAM, SERVICE)

    assert run(scenario).verdict is Verdict.UNKNOWN


def test_a_corrected_version_is_listed() -> None:
    async def scenario(bench):
        beginner = await bench.begin("a", V1, UNKNOWN)
        beginner.record_begun(STREAM, SERVICE, UNKNOWN)
        early = await beginner.find(STREAM, SERVICE)
        beginner.correct(STREAM, V1)
        async with asyncio.timeout(5):
            while True:
                found = await beginner.find(STREAM, SERVICE)
                if found.verdict is Verdict.LISTED:
                    return early.verdict, found.version

    assert run(scenario) == (Verdict.UNKNOWN, V1)


# Guards against streams that begin at a version which a loss of all instances
# would make unknown.
@pytest.mark.parametrize("mood", [standin.Mood.REFUSING, standin.Mood.SILENT])
def test_no_stream_begins_at_a_version_that_is_not_recorded(mood) -> None:
    async def scenario(bench):
        made = await bench.begin("a", V1)
        bench.store.mood = mood
        made.note(SERVICE, V2)
        at_old = await made.wait_until_recorded(SERVICE)
        return at_old, [made.is_recorded(SERVICE, v) for v in (V1, V2)]

    assert run(scenario) == (True, [True, False])


def test_an_instance_that_cannot_read_the_records_begins_no_stream() -> None:
    async def scenario(bench):
        bench.store.mood = standin.Mood.REFUSING
        made = bench.start("a")
        made.note(SERVICE, V1)
        begins = await made.wait_until_recorded(SERVICE)
        found = await made.find(STREAM, SERVICE)
        return begins, found.verdict

    assert run(scenario) == (False, Verdict.UNKNOWN)


# Guards against streams of unknown authors that count, after a loss of all
# instances, as those of the only version, and against a service that has no
# only version for long as one of its streams had an unknown author.
def test_a_stream_of_an_unknown_author_is_listed_before_it_begins() -> None:
    async def scenario(bench):
        beginner = await bench.begin("a", V1)
        beginner.record_begun(STREAM, SERVICE, UNKNOWN)
        early = beginner.is_listed_unknown(STREAM)
        await beginner.wait_until_recorded(SERVICE)
        listed = beginner.is_listed_unknown(STREAM)
        other = await beginner.find(STREAM + 1, SERVICE)
        found = await find_after_a_loss_of_all(bench, V1)
        return early, listed, other.verdict, found.verdict

    assert run(scenario) == (False, True, Verdict.ONLY, Verdict.UNKNOWN)


# Guards against records that a restored store has lost in part.
def test_a_restored_store_proves_nothing_of_before() -> None:
    async def scenario(bench):
        await bench.begin("a", V1)
        copy = bench.store.save()
        await bench.begin("b", V2)
        bench.store.restore(copy)
        return await find_after_a_loss_of_all(bench, V1)

    assert run(scenario).verdict is Verdict.UNKNOWN


def test_records_are_written_again_to_a_restored_store() -> None:
    async def scenario(bench):
        made = await bench.begin("a", V1)
        bench.store.restore(bench.store.save())
        made.rewrite()
        async with asyncio.timeout(5):
            while (await made.find(STREAM, SERVICE)).verdict is not (
                Verdict.ONLY
            ):
                await asyncio.sleep(0.01)

    run(scenario)


# Guards against believing that nothing began before the first record, where
# earlier builds have served.
@pytest.mark.parametrize("table", ["duties", "kept-requests"])
def test_what_earlier_builds_began_is_unknown(table) -> None:
    async def scenario(bench):
        await bench.store.put(table, "x", {})
        made = await bench.begin("a", V1)
        return await made.find(STREAM, SERVICE)

    assert run(scenario).verdict is Verdict.UNKNOWN


def test_an_instance_that_joins_a_recorded_system_is_as_complete() -> None:
    async def scenario(bench):
        made = await bench.begin("a", V1)
        bench.start("b")
        early = await made.find(STREAM, SERVICE)
        async with asyncio.timeout(5):
            while (await made.find(STREAM, SERVICE)).verdict is not (
                Verdict.ONLY
            ):
                await asyncio.sleep(0.01)
        return early.verdict

    assert run(scenario) is Verdict.UNKNOWN
