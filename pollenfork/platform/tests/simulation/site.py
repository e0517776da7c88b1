"""Instances, their data centres, and the store that turns some of them away."""

import asyncio
import contextvars
import math
import random

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import cluster_state
from pollenfork.gateway import messages
from pollenfork.gateway import peers
from pollenfork.gateway import runner_notices
from pollenfork.gateway import settings
from pollenfork.gateway import sources
from pollenfork.gateway import tables
from pollenfork.gateway import updates
from pollenfork.pace import estimator
from pollenfork.platform import store as platform
from pollenfork.platform.tests import support
from pollenfork.platform.tests.simulation import network
from pollenfork.platform.tests.soak import store as standin
from pollenfork.poison import quarantine

STORE = settings.Address("10.200.0.1", 80)
PORT = 7340
SERVICE = ids.ServiceName("model")
_EXPIRE_S = 0.1
_LEAVING = messages.ResponseHead(
    status=200,
    attempt=ids.AttemptId(""),
    sealed=True,
    not_run=False,
    events=False,
    headers=[],
    leaving=True,
)


class Store(standin.Store):
    """The platform's store, with a mood for each caller.

    Attributes:
        moods: How it answers hosts that it treats unlike the others.
        calls: How many calls came from each host.
        answers: When it answered whom.
    """

    def __init__(self) -> None:
        super().__init__()
        self.moods: dict[str, standin.Mood] = {}
        self.calls: dict[str, int] = {}
        self.answers: list[tuple[float, str]] = []

    def turn_away(self, hosts: set[str], mood: standin.Mood) -> None:
        """Treats some hosts differently from now on."""
        self.moods |= dict.fromkeys(hosts, mood)

    async def _serve(self, reader, writer) -> None:
        host = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls[host] = self.calls.get(host, 0) + 1
                target = head.split(b" ", 2)[1].decode()
                mood = self.moods.get(host, self.mood)
                if mood is standin.Mood.REFUSING:
                    _write(writer, 503, {}, self.era)
                    continue
                status, body = await self._answer(target)
                if self.moods.get(host, self.mood) is standin.Mood.SILENT:
                    await reader.read()  # Nothing more comes from here.
                    return
                if writer.is_closing():
                    return  # Its caller has given up meanwhile.
                self.answers.append((asyncio.get_running_loop().time(), host))
                _write(writer, status, body, self.era)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Instance:
    """What one instance has for the news, put together as its process does."""

    def __init__(
        self, host: str, data_centre: str, seeds: list[str], seed: int
    ) -> None:
        self.host = host
        self.data_centre = ids.DataCentre(data_centre)
        self._seeds = tuple(settings.Address(each, PORT) for each in seeds)
        self._rng = random.Random(seed)
        self._tasks: list[asyncio.Task[None]] = []
        self.known: cluster_state.ClusterState | None = None
        self.suspected: quarantine.Quarantine | None = None

    def start(self, ways: network.Network) -> None:
        """Begins anew, knowing nothing."""
        self.stop(ways)
        context = contextvars.copy_context()
        context.run(network.HERE.set, self.host)
        context.run(self._begin, ways)

    def stop(self, ways: network.Network) -> None:
        """Ends at once."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        ways.end(self.host)
        self.known = None

    def list_failures(self) -> list[BaseException]:
        """Returns what has ended its tasks, which should run for good."""
        ended = [
            task.exception()
            for task in self._tasks
            if task.done() and not task.cancelled()
        ]
        return [error for error in ended if error is not None]

    def list_kept(self) -> set[str]:
        """Returns the runners whose entry is gone and that still get work."""
        assert self.known is not None
        kept = self.known.runners
        return {
            name for name in self.list_takers() if kept.get_kept_until(name)
        }

    def list_takers(self) -> set[str]:
        """Returns the runners that it would give work."""
        if self.known is None:
            return set()
        found = self.known.runners.list_accepting(SERVICE)
        return {runner.id for runner in found}

    def _begin(self, ways: network.Network) -> None:
        loop = asyncio.get_running_loop()
        codec = platform.Store(f"{STORE.host}:{STORE.port}")
        self.known = known = cluster_state.ClusterState(codec, 5.0)
        followed = sources.Sources(STORE, codec, known, self._rng)
        self._tasks = [
            *followed.start(),
            loop.create_task(self._join(followed)),
            loop.create_task(self._expire(known)),
        ]

    async def _join(self, followed: sources.Sources) -> None:
        loop = asyncio.get_running_loop()
        assert self.known is not None
        me = settings.Address(self.host, PORT)
        told = settings.GatewaySettings(
            instance=ids.InstanceId(self.host),
            data_centre=self.data_centre,
            front=me,
            readiness=me,
            store=STORE,
            peer=me,
            seeds=self._seeds,
        )
        chooser = choice.Chooser(self.known.runners, self._rng)
        found = evidence.Evidence(
            self.known.runners, chooser.get_state, self.data_centre
        )
        self.notices = runner_notices.RunnerNotices(
            self.known.runners,
            chooser.pauses,
            loop.time,
            brittle_runners.BrittleRunners(
                loop, self.known.runners, self.host, self.data_centre
            ),
        )
        self.suspected = quarantine.Quarantine(
            self.known.runners,
            self.host,
            lambda runner, at: chooser.get_state(runner).is_alive_since(at),
            loop.time,
        )
        here = peers.LocalInstance(
            chooser,
            self.known,
            found,
            self.notices,
            self.suspected,
            self.data_centre,
            updates.UpdateExchange(
                estimator.PaceTable(lambda _: None), loop.time
            ),
        )
        _, joined = await loop.create_datagram_endpoint(
            lambda: peers.Peers(here, told, me), local_addr=me
        )
        self.notices.when_announced(joined.flush_departures)
        self.suspected.when_urgent(joined.flush_suspicions)
        joined.when_ticked(lambda: followed.choose(joined))
        server = tables.make_server(followed.tables)
        await loop.create_server(server.make_connection, *me)
        await joined.run()

    async def _expire(self, known: cluster_state.ClusterState) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_EXPIRE_S)
            known.expire_runners(loop.time())


class Site:
    """Instances in data centres, the store, and what is true.

    Attributes:
        gone_at: When the store acknowledged that a runner leaves or is gone.
        configured_at: When it acknowledged each configuration, by version.
        copy: What the store comes back from.
        copied_at: When it was made.
    """

    def __init__(
        self, ways: network.Network, sizes: tuple[int, ...], rng: random.Random
    ) -> None:
        self.ways = ways
        self.store = Store()
        self.gone_at: dict[str, float] = {}
        self.configured_at: dict[int, float] = {}
        self.runners: list[str] = []
        self.copy: standin.Copy | None = None
        self.copied_at = 0.0
        self._made = 0
        self._version = 0
        places = [
            (f"10.{centre}.0.{number}", f"dc{centre}")
            for centre, size in enumerate(sizes, start=1)
            for number in range(1, size + 1)
        ]
        # The platform names up to three, one of each data centre first.
        hosts = [host for host, _ in places]
        hosts.sort(key=lambda host: int(host.rpartition(".")[2]))
        seeds = hosts[:3]
        self.instances = [
            Instance(host, centre, seeds, rng.randrange(1 << 30))
            for host, centre in places
        ]

    @property
    def hosts(self) -> list[str]:
        """The hosts of all instances."""
        return [each.host for each in self.instances]

    async def start(self, runners: int) -> None:
        """Starts the store with some runners, then all instances."""
        context = contextvars.copy_context()
        context.run(network.HERE.set, STORE.host)
        await asyncio.get_running_loop().create_task(
            self.store.start(*STORE), context=context
        )
        await self.configure()
        for _ in range(runners):
            await self.add_runner()
        for each in self.instances:
            each.start(self.ways)

    async def configure(self) -> None:
        """Writes a newer configuration."""
        self._version += 1
        self.configured_at[self._version] = await self._configure(self._version)

    async def revert(self) -> None:
        """Writes the configuration before the newest one as a newer row."""
        await self._configure(self._version - 1)

    def restore_store(self) -> None:
        """Lets the store come back from its copy.

        Until the operator writes the lost versions again, the store itself says
        that an older one is the newest.
        """
        assert self.copy is not None
        self.store.restore(self.copy)
        for version, at in self.configured_at.items():
            if at >= self.copied_at:
                self.configured_at[version] = math.inf

    async def rewrite(self) -> None:
        """Lets operator and runners write again what the store has lost."""
        await self.store.rewrite()
        now = asyncio.get_running_loop().time()
        for version, at in self.configured_at.items():
            if at == math.inf:
                self.configured_at[version] = now

    async def add_runner(self) -> None:
        """Registers a new runner."""
        self._made += 1
        name = f"r{self._made}"
        await self._put(name, "ready")
        self.runners.append(name)

    async def let_leave(self, says_so: bool) -> None:
        """Lets the oldest runner leave, with or without saying so first."""
        if len(self.runners) < 2:
            return
        name = self.runners.pop(0)
        if says_so:
            self.gone_at[name] = await self._put(name, "draining")
        else:
            self.gone_at[name] = await self.store.remove("servers", name)

    def announce_leaving(self, host: str) -> None:
        """Lets the oldest runner tell one instance that it leaves."""
        instance = next(each for each in self.instances if each.host == host)
        if len(self.runners) < 2 or instance.known is None:
            return
        name = ids.EndpointId(self.runners[0])
        entry = instance.known.runners.find(name)
        if entry is None:
            return
        self.runners.pop(0)
        self.gone_at[name] = asyncio.get_running_loop().time()
        instance.notices.on_head(entry, _LEAVING)

    async def _configure(self, version: int) -> float:
        value = {
            "version": version,
            "routes": [],
            "services": [{"name": SERVICE}],
            "tenants": [],
        }
        return await self.store.put("op", "config", value)

    async def _put(self, name: str, state: str) -> float:
        address = f"10.9.0.{int(name[1:]) % 250 + 1}:80"
        entry = support.make_entry(SERVICE, address, state=state)
        return await self.store.put("servers", name, entry)


def _write(writer, status: int, body: dict, era: int) -> None:
    data = standin.encode(body)
    head = (
        f"HTTP/1.1 {status} X\r\nStore-Era: {era}\r\n"
        f"content-length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)
