"""A whole gateway in this process, against stand-ins on loopback."""

import asyncio
import contextlib
import logging
import os
import random
import signal

import msgspec
import pytest
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.gateway import application
from pollenfork.gateway import settings
from pollenfork.platform import caches
from pollenfork.platform import cloud
from pollenfork.platform import heads
from pollenfork.platform import store
from pollenfork.platform.tests import support
from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import store as standin

# Each process that runs tests has an address of its own, for its ports.
_HOST = f"127.18.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
_FRONT, _READY, _STORE, _RUNNER = 20411, 20412, 20413, 20414


class Bench:
    """The stand-ins, the gateway, and a caller."""

    def __init__(self, revocation_s: float) -> None:
        self.store = standin.Store()
        self.record = runner.Record()
        self.runner = runner.Runner(
            "i-1", "model", self.record, random.Random(1)
        )
        self.told = settings.GatewaySettings(
            instance=ids.InstanceId("g"),
            data_centre=ids.DataCentre("a"),
            front=settings.Address(_HOST, _FRONT),
            readiness=settings.Address(_HOST, _READY),
            store=settings.Address(_HOST, _STORE),
            grace_s=3.0,
            revocation_s=revocation_s,
        )
        self.gateway = application.Application(
            self.told,
            heads,
            store.Store(f"{_HOST}:{_STORE}"),
            caches,
            lambda duties: cloud.Cloud("", self.told.instance),
            random.Random(1),
            lambda: self.reread,
        )
        self.reread = result.Ok(self.told)
        self.asked: list[caller.Asked] = []
        self.caller = caller.Caller(
            (_HOST, _FRONT), random.Random(2), self.asked
        )

    async def configure(self, version: int, **keys: str) -> None:
        routes = [
            {
                "name": kind,
                "host": "soak.example",
                "prefix": f"/{kind}/",
                "kind": "unsafe",
                "timeout-ms": 2000,
                "service": "model",
            }
            for kind in ("unsafe",)
        ]
        tenants = [{"name": n, "api-keys": [k]} for k, n in keys.items()]
        await self.store.put(
            "op",
            "config",
            {"version": version, "routes": routes, "tenants": tenants},
        )

    async def register(self) -> None:
        entry = support.make_entry("model", f"{_HOST}:{_RUNNER}", slots=1)
        await self.store.put("servers", "i-1", entry)

    async def wait_ready(self, ready: bool = True) -> None:
        async with asyncio.timeout(10):
            while await self.is_ready() is not ready:
                await asyncio.sleep(0.01)

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(_HOST, _READY)
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line


@contextlib.contextmanager
def keep_signals():
    """Leaves the process's signals as they are: a closed loop resets them."""
    numbers = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    kept = {number: signal.getsignal(number) for number in numbers}
    try:
        yield
    finally:
        for number, handler in kept.items():
            signal.signal(number, handler)


@pytest.fixture(autouse=True)
def _keep_signals():
    with keep_signals():
        yield


# What was seen: a test process was gone in CI, twice, while it played a
# schedule of the simulation; no other word. How it came about: the shell that
# had started CI in the background hung up, which CI was told to ignore. Cause:
# the loop of a gateway in a test before had set what a hang-up does to its
# default, which ends the process. Proof: the process ended with status 129.
def test_a_gateway_in_a_test_leaves_the_process_its_signals() -> None:
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def run():
        async with run_bench():
            pass

    try:
        with keep_signals():
            asyncio.run(run())
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, before)


@contextlib.asynccontextmanager
async def run_bench(revocation_s: float = 5.0):
    bench = Bench(revocation_s)
    await bench.store.start(_HOST, _STORE)
    await bench.runner.start(_HOST, _RUNNER)
    serving = asyncio.create_task(bench.gateway.run())
    try:
        yield bench
    finally:
        bench.caller.close()
        bench.gateway.stop()
        async with asyncio.timeout(10):
            await serving
        bench.runner.crash()
        bench.store.stop()


def test_a_request_is_served_once_everything_is_known() -> None:
    async def run():
        async with run_bench() as bench:
            assert not await bench.is_ready()
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            answer = await bench.caller.ask("unsafe", "key")
            return answer, bench.record.runs

    answer, runs = asyncio.run(run())
    assert answer.status == 200
    assert answer.body == f"{answer.attempt} model answer".encode()
    assert [(each.account, each.path) for each in runs] == [
        ("account", f"/unsafe/{answer.attempt}")
    ]


def test_unknown_keys_and_routes_are_told_and_run_nowhere() -> None:
    async def run():
        async with run_bench() as bench:
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            statuses = [
                (await bench.caller.ask("unsafe", "other")).status,
                (await bench.caller.ask("nowhere", "key")).status,
            ]
            return statuses, bench.record.runs

    assert asyncio.run(run()) == ([401, 404], [])


def test_a_key_that_is_taken_away_stops_working() -> None:
    async def run():
        async with run_bench() as bench:
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            assert (await bench.caller.ask("unsafe", "key")).status == 200
            await bench.configure(2, new="account")
            async with asyncio.timeout(sites.APPLY_S):
                while True:
                    answer = await bench.caller.ask("unsafe", "key")
                    if answer.status == 401:
                        return

    asyncio.run(run())


def test_without_proof_keyed_requests_are_refused_as_not_run() -> None:
    async def run():
        # Keys are trusted for 0.3 s of these 1.5 s.
        async with run_bench(revocation_s=1.5) as bench:
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            bench.store.mood = standin.Mood.SILENT
            await bench.wait_ready(ready=False)
            ran = len(bench.record.runs)
            answer = await bench.caller.ask("unsafe", "key")
            assert len(bench.record.runs) == ran
            bench.store.mood = standin.Mood.WELL
            await bench.wait_ready()
            return answer

    answer = asyncio.run(run())
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) < 1.0


def test_a_stop_is_told_at_once_and_lets_answers_end() -> None:
    async def run():
        async with run_bench() as bench:
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            asking = asyncio.create_task(bench.caller.ask("unsafe", "key"))
            async with asyncio.timeout(10):
                while not bench.record.runs:
                    await asyncio.sleep(0)
            bench.gateway.stop()
            assert not await bench.is_ready()
            return await asking

    answer = asyncio.run(run())
    assert (answer.status, answer.whole) == (200, True)
    assert answer.headers["connection"] == "close"


def test_forgotten_history_loses_nothing() -> None:
    async def run():
        async with run_bench() as bench:
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            bench.store.forget_history()
            await bench.configure(2, new="account")
            bench.store.forget_history()
            async with asyncio.timeout(5):
                while True:
                    answer = await bench.caller.ask("unsafe", "new")
                    if answer.status == 200:
                        return

    asyncio.run(run())


def test_a_reload_takes_over_what_may_change(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.application")

    async def reload(bench: Bench, read) -> None:
        told = caplog.text.count("event=reload")
        bench.reread = read
        os.kill(os.getpid(), signal.SIGHUP)
        while caplog.text.count("event=reload") == told:
            await asyncio.sleep(0.01)

    async def run():
        async with run_bench() as bench:
            await bench.configure(1, key="account")
            await bench.register()
            await bench.wait_ready()
            told = msgspec.structs.replace(
                bench.told, revocation_s=1.25, store=settings.Address("x", 1)
            )
            await reload(bench, result.Ok(told))
            # Keys work for the bound less 1.2 s, which is less than the time
            # from one proof to the next.
            await bench.wait_ready(False)
            bad = failures.Failure(detail="no such file")
            await reload(bench, result.Err(bad))
            await reload(bench, result.Ok(bench.told))
            await bench.wait_ready()
            answer = await bench.caller.ask("unsafe", "key")
        return answer.status

    assert asyncio.run(run()) == 200
    assert "event=reload instance=g taken=revocation_s left=store" in (
        caplog.text
    )
    assert 'event=reload_failed instance=g detail="no such file"' in (
        caplog.text
    )
