"""Runs a whole gateway in this process with simulated store and runner."""

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
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import store as standin

# Each test process uses its own loopback address, so that ports never clash.
_HOST = f"127.18.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
_FRONT, _READY, _STORE, _RUNNER = 20411, 20412, 20413, 20414


class Harness:
    """A gateway with its simulated store, runner and caller."""

    def __init__(self, revocation_s: float) -> None:
        self.store = standin.Store()
        self.record = records.Record()
        self.runner = runner.Runner(
            "i-1", "model", self.record, random.Random(1)
        )
        self.config = settings.GatewaySettings(
            instance=ids.InstanceId("g"),
            data_centre=ids.DataCentre("a"),
            front=settings.Address(_HOST, _FRONT),
            readiness=settings.Address(_HOST, _READY),
            store=settings.Address(_HOST, _STORE),
            grace_s=3.0,
            revocation_s=revocation_s,
        )
        self.gateway = application.Application(
            self.config,
            heads,
            store.Store(f"{_HOST}:{_STORE}"),
            caches,
            lambda duties: cloud.Cloud("", self.config.instance),
            random.Random(1),
            lambda: self.reloaded,
        )
        self.reloaded = result.Ok(self.config)
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
def restore_signals():
    """Restores signal handlers, which closing an event loop resets."""
    numbers = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    handlers = {number: signal.getsignal(number) for number in numbers}
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)


@pytest.fixture(autouse=True)
def _restore_signals():
    with restore_signals():
        yield


# Guards against a gateway that resets the process's SIGHUP handler. Closing its
# event loop restored the default, although CI had told the process to ignore
# SIGHUP. When the shell that had started CI hung up, a later test's process
# ended with status 129 (seen twice, during a simulation).
def test_a_gateway_in_a_test_keeps_the_signal_handlers() -> None:
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN)

    async def run():
        async with run_harness():
            pass

    try:
        with restore_signals():
            asyncio.run(run())
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, before)


@contextlib.asynccontextmanager
async def run_harness(revocation_s: float = 5.0):
    harness = Harness(revocation_s)
    await harness.store.start(_HOST, _STORE)
    await harness.runner.start(_HOST, _RUNNER)
    serving = asyncio.create_task(harness.gateway.run())
    try:
        yield harness
    finally:
        harness.caller.close()
        harness.gateway.stop()
        async with asyncio.timeout(10):
            await serving
        harness.runner.crash()
        harness.store.stop()


def test_a_request_is_served_once_configuration_and_runner_are_known() -> None:
    async def run():
        async with run_harness() as harness:
            assert not await harness.is_ready()
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            answer = await harness.caller.ask("unsafe", "key")
            return answer, harness.record.runs

    answer, runs = asyncio.run(run())
    assert answer.status == 200
    assert answer.body == f"{answer.attempt} model answer".encode()
    assert [(each.account, each.path) for each in runs] == [
        ("account", f"/unsafe/{answer.attempt}")
    ]


def test_unknown_keys_and_routes_are_refused() -> None:
    async def run():
        async with run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            statuses = [
                (await harness.caller.ask("unsafe", "other")).status,
                (await harness.caller.ask("nowhere", "key")).status,
            ]
            return statuses, harness.record.runs

    assert asyncio.run(run()) == ([401, 404], [])


def test_a_revoked_key_stops_working() -> None:
    async def run():
        async with run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            assert (await harness.caller.ask("unsafe", "key")).status == 200
            await harness.configure(2, new="account")
            async with asyncio.timeout(sites.APPLY_S):
                while True:
                    answer = await harness.caller.ask("unsafe", "key")
                    if answer.status == 401:
                        return

    asyncio.run(run())


def test_requests_with_keys_are_refused_if_settings_are_stale() -> None:
    async def run():
        # Keys are accepted for 0.3 s of these 1.5 s.
        async with run_harness(revocation_s=1.5) as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            harness.store.mood = standin.Mood.SILENT
            await harness.wait_ready(ready=False)
            runs = len(harness.record.runs)
            answer = await harness.caller.ask("unsafe", "key")
            assert len(harness.record.runs) == runs
            harness.store.mood = standin.Mood.WELL
            await harness.wait_ready()
            return answer

    answer = asyncio.run(run())
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) < 1.0


def test_a_stop_ends_readiness_at_once_but_lets_answers_finish() -> None:
    async def run():
        async with run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            pending = asyncio.create_task(harness.caller.ask("unsafe", "key"))
            async with asyncio.timeout(10):
                while not harness.record.runs:
                    await asyncio.sleep(0)
            harness.gateway.stop()
            assert not await harness.is_ready()
            return await pending

    answer = asyncio.run(run())
    assert (answer.status, answer.whole) == (200, True)
    assert answer.headers["connection"] == "close"


def test_changes_arrive_though_the_store_lost_its_history() -> None:
    async def run():
        async with run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            harness.store.forget_history()
            await harness.configure(2, new="account")
            harness.store.forget_history()
            async with asyncio.timeout(5):
                while True:
                    answer = await harness.caller.ask("unsafe", "new")
                    if answer.status == 200:
                        return

    asyncio.run(run())


def test_a_reload_applies_the_changeable_settings(caplog) -> None:
    caplog.set_level(logging.INFO, "pollenfork.gateway.application")

    async def reload(harness: Harness, loaded) -> None:
        before = caplog.text.count("event=reload")
        harness.reloaded = loaded
        os.kill(os.getpid(), signal.SIGHUP)
        while caplog.text.count("event=reload") == before:
            await asyncio.sleep(0.01)

    async def run():
        async with run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            changed = msgspec.structs.replace(
                harness.config,
                revocation_s=1.25,
                store=settings.Address("x", 1),
            )
            await reload(harness, result.Ok(changed))
            # Keys are accepted for the bound less 1.2 s, which is shorter than
            # the time between two confirmations of the configuration.
            await harness.wait_ready(False)
            failure = failures.Failure(detail="no such file")
            await reload(harness, result.Err(failure))
            await reload(harness, result.Ok(harness.config))
            await harness.wait_ready()
            answer = await harness.caller.ask("unsafe", "key")
        return answer.status

    assert asyncio.run(run()) == 200
    assert "event=reload instance=g taken=revocation_s left=store" in (
        caplog.text
    )
    assert 'event=reload_failed instance=g detail="no such file"' in (
        caplog.text
    )


# Guards against limits on accepting: the load balancer may give one instance
# most of the new connections for some seconds.
def test_a_burst_of_new_connections_is_read_and_answered() -> None:
    async def run():
        async with run_harness() as harness:
            await harness.configure(1, key="account")
            await harness.register()
            await harness.wait_ready()
            asked: list[caller.Asked] = []
            callers = [
                caller.Caller((_HOST, _FRONT), random.Random(seed), asked)
                for seed in range(400)
            ]
            await asyncio.gather(
                *(each.ask("unsafe", "key") for each in callers)
            )
            for each in callers:
                each.close()
            return asked

    asked = asyncio.run(run())
    assert len(asked) == 400
    assert {each.status for each in asked} <= {200, 503}
    assert all(each.whole for each in asked)
