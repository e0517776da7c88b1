"""The site under test: gateway processes, stand-ins and proxies."""

import asyncio
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import NamedTuple

from pollenfork.platform.tests import support
from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import cloud
from pollenfork.platform.tests.soak import partitions
from pollenfork.platform.tests.soak import proxy
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import store
from pollenfork.platform.tests.soak import stream_forms
from pollenfork.platform.tests.soak import suspendable

ROOT = pathlib.Path(__file__).parents[4]
INSTANCES = 3
REVOKE_S = 5.0
DRAIN_S = 2.0
APPLY_S = 2.0
GRACE_S = 4.0
WINDOW_S = 1.0
DUE_S = 6.0
ALTERNATION_S = 1.0
KINDS = ("safe", "unsafe", "stream", "resume")

_BOOT = """
node-name = "gateway-{number}"
ip = "{host}"
zone = "{zone}"
internal-ports = [{peer}, {peer}]
seeds = ["{base}.2:1", "{base}.3:1"]
[listen]
front = "{host}:{front}"
readiness = "{host}:{ready}"
[bounds]
grace-s = {grace}
revoke-ms = 5000
drain-ms = 2000
retry-budget-ratio = 0.2
usage-window-s = {window}
usage-late-s = {due}
lease-ms = 1000
[platform]
address = "{host}:{store}"
[cloud]
address = "{base}.1:{cloud}"
duties = ["usage_report"]
"""


class Ending(NamedTuple):
    """A request has ended a runner.

    Attributes:
        at: Monotonic seconds.
        path: The request's path.
        runner: The runner's id.
    """

    at: float
    path: str
    runner: str


class Limited(NamedTuple):
    """A runner has named a rate limit for a while.

    Attributes:
        runner: The runner's id.
        rate: Requests a second.
        since: Monotonic seconds.
        until: The same.
    """

    runner: str
    rate: float
    since: float
    until: float


class Gateway:
    """One gateway process, its way to the store, and its signals.

    Attributes:
        process: The process; None while it is down.
        stopped: Monotonic seconds of the last planned stop.
        paused: Whether it stands still.
        held: Whether a fault keeps it down.
        disturbed: Monotonic seconds of the last fault that met it.
        interrupted: The same of each start, and of each signal that ends or
            suspends it.
    """

    def __init__(self, site: "Site", number: int) -> None:
        self.host = f"{site.base}.{2 + number}"
        self.address = (self.host, site.port)
        self.to_store = proxy.Proxy(f"{site.base}.1", site.port)
        self.process: subprocess.Popen | None = None
        self.paused = False
        self.held = False
        self.disturbed = 0.0
        self.interrupted: list[float] = []
        self._site = site
        self._number = number
        self._log = site.folder / f"gateway-{number}.log"
        self._boot = site.folder / f"gateway-{number}.toml"
        self._cut = site.folder / f"gateway-{number}.cut"

    async def prepare(self) -> None:
        """Writes the settings and opens the way to the store."""
        site = self._site
        await self.to_store.start(self.host, site.port + 3)
        text = _BOOT.format(
            number=self._number,
            host=self.host,
            base=site.base,
            zone=self.zone,
            peer=site.port + 2,
            front=site.port,
            ready=site.port + 1,
            grace=GRACE_S,
            store=site.port + 3,
            cloud=site.port + 4,
            window=WINDOW_S,
            due=DUE_S,
        )
        self._boot.write_text(text)

    def start(self) -> None:
        """Starts the process."""
        self.interrupted.append(time.monotonic())
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", suspendable.__name__],
                cwd=ROOT,
                env={
                    **os.environ,
                    "POLLENFORK_BOOT": str(self._boot),
                    **partitions.make_environment(self.host, self._cut),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def zone(self) -> str:
        """The data centre of the process."""
        return f"hall-{'ab'[self._number % 2]}"

    def cut_off(self, cut: partitions.Cut) -> None:
        """Cuts its connections to all runners."""
        self._cut.write_text(cut.value)
        for way in self._site.to_runners.values():
            if cut is partitions.Cut.HANG:
                way.silenced.add(self.host)
            elif cut is partitions.Cut.DROP:
                way.rejected.add(self.host)
            if cut in (partitions.Cut.RESET, partitions.Cut.DROP):
                way.reset_from(self.host)

    def reconnect(self) -> None:
        """Ends a cut."""
        self._cut.unlink(missing_ok=True)
        for way in self._site.to_runners.values():
            way.silenced.discard(self.host)
            way.rejected.discard(self.host)

    def send(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        self.disturbed = time.monotonic()
        if number != signal.SIGHUP:
            self.interrupted.append(self.disturbed)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGSTOP:
                self.paused = True
            elif number == signal.SIGCONT:
                self.paused = False

    async def wait(self) -> int:
        """Returns the exit status once the process has ended."""
        assert self.process is not None
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.returncode

    async def is_ready(self) -> bool:
        """Returns whether the process says that it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self._site.port + 1
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Site:
    """Everything that one seed plays with.

    Attributes:
        keys: Keys in force, by account.
        added: When a key's addition was acknowledged.
        revoked: When a key's removal was acknowledged.
        gone: When a runner's leaving was acknowledged, by its id.
        ended_by_requests: When a runner ended, and the path that ended it.
        limited: When runners named rate limits.
        falls: How many brittle runners fell over in one time, of how many.
        asked: What callers sent, and what they got.
        lingers_s: For how long a runner that a request ends still accepts
            connections.
        away_s: For how long a runner that a request ends is away; None: up to
            a second.
        ending_part: A part of a prompt that ends runners; empty: none.
        changes: Fields of routes that differ, by kind.
        engine: The service's engine in the configuration.
        version: The software version of runners that are added; empty: v1,
            and their events don't name it.
        forms: Draws how runners send streams; None: they send all whole.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, instances: int = INSTANCES
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.folder = folder
        # Addresses of this process's own: two runs on one machine may play the
        # same seed at once, and metrics are always shown on one port.
        place = (os.getpid() + seed // 200) % 200
        self.base = f"127.{20 + place}.{seed % 200 + 1}"
        self.port = 21000 + seed % 7 * 10
        self.store = store.Store()
        self.cloud = cloud.Cloud(self._has_gone_on)
        self.record = records.Record()
        self.runners: dict[str, runner.Runner] = {}
        self.born: dict[str, int] = {}
        self.restarting: set[str] = set()
        self.ended_by_requests: list[Ending] = []
        self.limited: list[Limited] = []
        self.falls: list[tuple[int, int]] = []
        self.asked: list[caller.Asked] = []
        self.lingers_s = 0.0
        self.away_s: float | None = None
        self.ending_part = ""
        self.changes: dict[str, dict] = {}
        self.engine: dict[str, int] = {}
        self.version = ""
        self.forms: stream_forms.Forms | None = None
        self._direct: set[str] = set()
        self._endings: set[asyncio.Task[None]] = set()
        self.to_runners: dict[str, proxy.Proxy] = {}
        self.gateways = [Gateway(self, n) for n in range(instances)]
        self.keys = {f"key-{n}": f"account-{n}" for n in range(4)}
        self.added: dict[str, float] = {}
        self.revoked: dict[str, float] = {}
        self.gone: dict[str, float] = {}
        self._version = 1
        self._made = 0

    async def start(self, direct: bool = False) -> None:
        """Starts everything; returns once all gateways are ready.

        Args:
            direct: Whether runners are registered at their own addresses, where
                nobody listens while they are down, and not behind proxies.
        """
        await self.store.start(f"{self.base}.1", self.port)
        await self.cloud.start(f"{self.base}.1", self.port + 4)
        await self.publish()
        for _ in range(4):
            await self.add_runner(direct)
        for gateway in self.gateways:
            await gateway.prepare()
            gateway.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Returns once all gateways say that they are ready."""
        async with asyncio.timeout(30):
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await asyncio.sleep(0.05)

    async def supervise(self) -> None:
        """Starts gateways again that have ended, as the platform does."""
        while True:
            await asyncio.sleep(0.3)
            for gateway in self.gateways:
                process = gateway.process
                ended = process is not None and process.poll() is not None
                if ended and not gateway.held:
                    if process.returncode > 0:
                        self.record.wrong.append(
                            f"{gateway.host} ended by itself"
                        )
                    gateway.start()
                    gateway.disturbed = time.monotonic()

    async def stop(self) -> None:
        """Ends everything that this site started."""
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
            gateway.send(signal.SIGKILL)
            if gateway.process is not None:
                await gateway.wait()
            gateway.to_store.stop()
        for each in self.to_runners.values():
            each.stop()
        for each in self.runners.values():
            each.crash()
        self.store.stop()
        self.cloud.stop()

    def _has_gone_on(self, name: str, within_s: float) -> bool:
        """Returns whether a gateway was disturbed just now, by its name."""
        gateway = self.gateways[int(name.rpartition("-")[2])]
        return time.monotonic() - gateway.disturbed < within_s

    async def publish(self) -> float:
        """Writes the configuration; returns when it was acknowledged."""
        self._version += self.rng.randint(1, 5)
        routes = [
            {
                "name": kind,
                "host": "soak.example",
                "prefix": f"/{kind}/",
                "kind": "stream" if kind in ("stream", "resume") else kind,
                "timeout-ms": 3000,
                "target-latency-ms": 200,
                "target-gap-ms": 300,
                "priority": 1,
                "service": "model",
                "max-attempts": 2 if kind in ("safe", "resume") else 1,
                "stream-resume": kind == "resume",
                **self.changes.get(kind, {}),
            }
            for kind in KINDS
        ]
        keys = {**self.keys, "key-always": "account-always"}
        tenants = [
            {"name": account, "api-keys": [key]}
            for key, account in keys.items()
        ]
        value = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": "model", "engine": self.engine}],
            "limits": {"idle-timeout-ms": 8000},
            "tenants": tenants,
        }
        return await self.store.put("op", "config", value)

    async def revoke(self) -> None:
        """Takes a key away and gives its account another."""
        key = self.rng.choice(sorted(self.keys))
        account = self.keys.pop(key)
        self._made += 1
        self.keys[f"key-new-{self._made}"] = account
        self.added[f"key-new-{self._made}"] = float("inf")
        self.revoked[key] = await self.publish()
        self.added[f"key-new-{self._made}"] = self.revoked[key]

    async def add_runner(self, direct: bool = False) -> str:
        """Starts a runner, behind a proxy or not, and registers it."""
        self._made += 1
        name = f"i-{self._made}"
        host = f"{self.base}.{100 + self._made}"
        if direct:
            self._direct.add(name)
        made = self._make_runner(name)
        made.version = self.version
        await made.start(host, self.port)
        way = proxy.Proxy(host, self.port)
        await way.start(host, self.port + 1)
        self.runners[name] = made
        self.born[name] = made.born = _read_clock_ms()
        self.to_runners[name] = way
        await self.put_runner(name, "ready")
        return name

    async def put_runner(self, name: str, state: str) -> float:
        """Writes a runner's entry; returns when it was acknowledged."""
        port = self.port if name in self._direct else self.port + 1
        address = f"{self.base}.{100 + int(name[2:])}:{port}"
        value = support.make_entry(
            "model",
            address,
            state=state,
            born=self.born[name],
            version=self.runners[name].version or "v1",
        )
        return await self.store.put("servers", name, value)

    async def restart_runner(
        self,
        name: str,
        vanishes: bool,
        lingers_s: float = 0.0,
        away_s: float | None = None,
        version: str | None = None,
        unwritten_s: float = 0.0,
    ) -> None:
        """Lets a runner crash and start again under its id.

        Args:
            name: Its id.
            vanishes: Whether its entry is gone meanwhile.
            lingers_s: For how long it still accepts connections.
            away_s: For how long it is away; None: up to a second.
            version: The version of its software then; None: as before.
            unwritten_s: For how long it can't write its entry then.
        """
        if name in self.restarting:
            return
        self.restarting.add(name)
        self.runners[name].crash(lingers_s)
        if vanishes:
            await self.store.remove("servers", name)
        if away_s is None:
            away_s = self.rng.uniform(0.0, 1.0)
        await asyncio.sleep(lingers_s + away_s)
        if name not in self.runners or name in self.gone:
            self.restarting.discard(name)
            return
        again = self._make_runner(name)
        before = self.runners[name]
        again.brittle = before.brittle
        again.places = before.places
        again.on_fall = before.on_fall
        again.interval_s = before.interval_s
        again.version = before.version if version is None else version
        self.born[name] = _read_clock_ms()
        again.born = self.born[name]
        await again.start(f"{self.base}.{100 + int(name[2:])}", self.port)
        self.runners[name] = again
        self.restarting.discard(name)
        if unwritten_s:
            await asyncio.sleep(unwritten_s)
        if self.runners.get(name) is again and name not in self.restarting:
            await self.put_runner(name, "ready")

    def _make_runner(self, name: str) -> runner.Runner:
        made = runner.Runner(name, "model", self.record, self.rng)
        made.on_ending = self._end_by_request
        made.ending_part = self.ending_part
        made.forms = self.forms
        made.names_runs = True
        return made

    def stop_spoiling(self) -> None:
        """Lets all runners send their streams whole from now on."""
        self.forms = None
        for each in self.runners.values():
            each.forms = None

    def _end_by_request(self, ended: runner.Runner, path: str) -> None:
        """Lets a runner that a request ends be back within a second."""
        if ended.name in self.restarting:
            return
        ending = Ending(time.monotonic(), path, ended.name)
        self.ended_by_requests.append(ending)
        task = asyncio.create_task(
            self.restart_runner(
                ended.name,
                vanishes=False,
                lingers_s=self.lingers_s,
                away_s=self.away_s,
            )
        )
        self._endings.add(task)
        task.add_done_callback(self._endings.discard)

    async def overwrite_entry(self, name: str, value: dict) -> None:
        """Lets another writer leave something in a runner's place."""
        await self.store.put("servers", name, value)
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        if name in self.runners and name not in self.gone:
            await self.put_runner(name, "ready")

    async def drain_runner(
        self, name: str, notice_s: float = DRAIN_S + 1.5
    ) -> None:
        """Lets a runner leave as planned: it serves on for a while.

        Args:
            name: Its id.
            notice_s: For how long it serves on.
        """
        self.gone[name] = await self.put_runner(name, "draining")
        await asyncio.sleep(notice_s)
        await self.store.remove("servers", name)
        await self.crash_runner(name)

    async def crash_runner(self, name: str) -> None:
        """Ends a runner at once."""
        made = self.runners.pop(name, None)
        if made is None:
            return
        made.crash()
        self.to_runners.pop(name).stop()
        self.gone.setdefault(name, await self.store.remove("servers", name))


def _read_clock_ms() -> int:
    return int(time.time() * 1000)
