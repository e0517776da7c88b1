"""Test doubles: a codec, a scripted runner, and a gateway's data path."""

import asyncio
import contextlib
import random

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import continuity
from pollenfork.fleet import evidence
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.fleet import retry_budget
from pollenfork.gateway import brittle_runners
from pollenfork.gateway import callers
from pollenfork.gateway import context
from pollenfork.gateway import counters
from pollenfork.gateway import crash_probes
from pollenfork.gateway import exchange
from pollenfork.gateway import forwarding
from pollenfork.gateway import limit_events
from pollenfork.gateway import messages
from pollenfork.gateway import pace_samples
from pollenfork.gateway import permits
from pollenfork.gateway import pool
from pollenfork.gateway import probing
from pollenfork.gateway import reach_monitor
from pollenfork.gateway import runner_notices
from pollenfork.gateway.shedding import shedder
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.streams import runner_continuity
from pollenfork.gateway.streams import version_pin
from pollenfork.pace import estimator
from pollenfork.poison import digests
from pollenfork.poison import quarantine
from pollenfork.routes import model as routes

SERVICE = ids.ServiceName("s")


class Codec:
    """Uses test headers: `x-id`, `x-seal`, `x-unrun` and others."""

    EVENT_FIELDS = frozenset({b"x-version"})

    def find_duplicate(self, headers):
        return None

    def decode_request(self, headers):
        found = dict(headers)
        return messages.RequestHead(
            attempt=ids.AttemptId(found.get(b"x-id", b"").decode()),
            key=None,
            wait_s=None,
            parts=(),
            tokens=(0, 0),
            last_event=int(found[b"x-after"]) if b"x-after" in found else None,
            resumes=ids.AttemptId(found.get(b"x-resumes", b"").decode()),
        )

    def encode_request(self, call, sending):
        last = b""
        if sending.last_event is not None:
            last = b"x-after: %d\r\n" % sending.last_event
        head = b"%b %b HTTP/1.1\r\nx-id: %b\r\nx-runner: %b\r\n%b" % (
            call.method,
            call.target,
            dict(call.headers)[b"x-id"],
            sending.runner.encode(),
            last,
        )
        length = b"content-length: %d\r\n\r\n" % len(call.body)
        return head + length + call.body

    def encode_forwarded(self, call, remaining_s, last_event):
        lines = [b"%b %b HTTP/1.1" % (call.method, call.target)]
        if last_event is not None:
            lines.append(b"x-after: %d" % last_event)
        lines += [name + b": " + value for name, value in call.headers]
        return b"\r\n".join(lines) + b"\r\n"

    def decode_response(self, status, headers):
        found = dict(headers)
        return messages.ResponseHead(
            status=status,
            attempt=ids.AttemptId(found.get(b"x-id", b"").decode()),
            sealed=b"x-seal" in found,
            not_run=b"x-unrun" in found,
            displaced=b"x-displaced" in found,
            events=b"events" in found.get(b"content-type", b""),
            headers=headers,
            rates=tuple(
                float(value) for name, value in headers if name == b"x-rate"
            ),
            leaving=b"x-leaving" in found,
            retry_after=tuple(
                float(value) for name, value in headers if name == b"x-pause"
            ),
        )

    def encode_response(self, head, length, closing):
        size = b"transfer-encoding: chunked"
        if length is not None:
            size = b"content-length: %d" % length
        seal = dict(head.headers).get(b"x-seal", b"")
        return b"HTTP/1.1 %d \r\nx-seal: %b\r\n%b\r\n\r\n" % (
            head.status,
            seal,
            size,
        )

    def is_ready_check(self, target):
        return target == b"/ready"


def write_answer(
    body: bytes, status: int = 200, request: str = "q", extra: str = ""
) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nx-id: {request}\r\nx-seal: z\r\n{extra}"
    return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body


def write_events(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: t%d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


def write_stream(body: bytes, whole: bool, request: str = "q") -> bytes:
    head = (
        f"HTTP/1.1 200 OK\r\nx-id: {request}\r\nx-seal: z\r\n"
        "content-type: text/events\r\ntransfer-encoding: chunked\r\n\r\n"
    ).encode()
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    return head + chunk + (b"0\r\n\r\n" if whole else b"")


REFUSED = (
    b"HTTP/1.1 503 Full\r\nx-id: q\r\nx-unrun: 1\r\ncontent-length: 0\r\n\r\n"
)
DISPLACED = REFUSED.replace(b"x-unrun", b"x-displaced")
HANG = None


class Runner:
    """Answers each request with the next item of its script, then closes.

    Attributes:
        got: The heads of the received requests.
        keeps: Whether connections stay open after an answer.
        version: The version of its software.
    """

    def __init__(self, name: str, *script: bytes | None) -> None:
        self.name = name
        self.script = list(script)
        self.got: list[bytes] = []
        self.keeps = False
        self.version = ids.SoftwareVersion("v1")
        self.closed = asyncio.Event()
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> fleet.Runner:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        return fleet.Runner(
            id=ids.EndpointId(self.name),
            service=SERVICE,
            host="127.0.0.1",
            port=port,
            data_centre=ids.DataCentre("a"),
            slots=4,
            leaving=False,
            cold_s=0.0,
            version=self.version,
        )

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.got.append(head)
                answer = self.script.pop(0) if self.script else HANG
                if answer is HANG:
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
                if not self.keeps:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


class Gateway:
    """The data path of a gateway: a listener for callers, and exchanges."""

    def __init__(self, route: routes.Route) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(1)
        self.route = route
        self.demand = candidates.RequestProfile(SERVICE)
        self.begun: list[ids.AccountId] = []
        self.prefill_limit_s: float | None = None
        self.tiers: tuple[ids.Tier, ...] = ()
        self.forwarded: forwarding.Forwarded | None = None
        self.runners = registry.Registry()
        connections = pool.Pool(loop)
        connections.watch_registry(self.runners)
        granted = permits.Permits(loop, "127.0.0.1", "a")
        brittle = brittle_runners.BrittleRunners(
            loop, self.runners, "127.0.0.1", ids.DataCentre("a")
        )
        self.judged = judged = continuity.Continuity(self.runners, 5.0)
        chooser = choice.Chooser(
            self.runners,
            rng,
            limits=granted,
            has_place=brittle.has_place,
            is_certain=judged.is_certain,
        )
        brittle.watch(chooser)
        findings = evidence.Evidence(
            self.runners, chooser.get_state, ids.DataCentre("a")
        )
        request_quarantine = quarantine.Quarantine(
            self.runners,
            "127.0.0.1",
            lambda runner, at: chooser.get_state(runner).is_alive_since(at),
            loop.time,
        )
        findings.when_ended(request_quarantine.record_absence)
        reach = reach_monitor.ReachMonitor(
            loop, connections, self.runners, chooser, rng
        )
        self.origins = origin_directory.OriginDirectory(
            loop,
            self.runners,
            "127.0.0.1",
            ids.DataCentre("a"),
            judged,
        )
        runner_continuity.RunnerContinuity(
            loop, judged, connections, self.runners, findings
        )
        self.deps = context.Dependencies(
            loop=loop,
            rng=rng,
            codec=Codec(),
            chooser=chooser,
            evidence=findings,
            crash_probes=crash_probes.CrashProbes(
                connections,
                findings,
                request_quarantine,
                chooser.get_state,
                reach,
            ),
            request_quarantine=request_quarantine,
            limit_events=limit_events.LimitEvents(),
            runner_notices=runner_notices.RunnerNotices(
                self.runners, chooser.pauses, loop.time, brittle
            ),
            permits=granted,
            record_started=self.begun.append,
            claim_trial=self._claim_trial,
            pool=connections,
            prober=probing.Prober(connections, self.runners, rng),
            retry_budget=retry_budget.RetryBudget(0.2, 10.0),
            shedder=shedder.Shedder(loop, rng, chooser),
            counters=counters.Counters(),
            read_loads_age=lambda: None,
            reach=reach,
            brittle=brittle,
            paces=estimator.PaceTable(
                pace_samples.RunnerIndex(self.runners, loop.time).find
            ),
            stream_origins=self.origins,
        )
        self.claims = 0
        self.callers = callers.Server(loop, self._serve)
        self._server: asyncio.Server | None = None

    async def _claim_trial(
        self, digest: ids.RequestDigest, is_part: bool
    ) -> bool:
        """Returns whether the test allows another trial."""
        self.claims -= 1
        return self.claims >= 0

    def make_pin(
        self, head: messages.RequestHead, forwarded: ids.SoftwareVersion
    ) -> version_pin.VersionPin:
        return version_pin.VersionPin(
            self.origins,
            head,
            ids.RequestDigest(77),
            self.route,
            SERVICE,
            forwarded,
        )

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.callers.make_connection, "127.0.0.1", 0
        )

    @property
    def port(self) -> int:
        return self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()
        self.deps.prober.close()
        self.deps.crash_probes.close()
        self.deps.reach.close()
        self.deps.pool.close()

    async def _serve(self, call, caller) -> None:
        head = self.deps.codec.decode_request(call.headers)
        admitted = context.AdmittedRequest(
            call=call,
            head=head,
            route=self.route,
            demand=self.demand,
            prefill_limit_s=self.prefill_limit_s,
            account=None,
            tier=self.route.tier,
            tiers=self.tiers,
            version=1,
            age_s=0.0,
            deadline=call.arrived + self.route.time_limit_s,
            digest=digests.compute(None, call.method, call.target, call.body),
        )
        served = exchange.Exchange(self.deps, admitted, caller, self.forwarded)
        await served.run()


def make_route(kind: routes.Kind, **given) -> routes.Route:
    fields = {
        "time_limit_s": 5.0,
        "target_s": 0.1,
        "gap_s": 0.1,
        "attempts": 2,
        "resumable": False,
    }
    return routes.Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        tier=ids.Tier(0),
        targets=(routes.Target(SERVICE, 1.0),),
        public=True,
        prefix_affinity=False,
        **{**fields, **given},
    )


@contextlib.asynccontextmanager
async def run_gateway(route: routes.Route, *runners: Runner):
    """Runs a gateway with runners, which it tries in the given order."""
    gateway = Gateway(route)
    await gateway.start()
    for number, runner in enumerate(runners):
        entry = await runner.start()
        gateway.runners.put(entry)
        seen = gateway.deps.chooser.get_state(entry.id)
        seen.failure_rate = number * 0.2
    try:
        yield gateway
    finally:
        gateway.stop()
        for runner in runners:
            runner.stop()


async def ask(
    gateway: Gateway, data: bytes = b"GET /p HTTP/1.1\r\nx-id: q\r\n\r\n"
) -> bytes:
    """Sends a request; returns all bytes until the connection is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    closing = data.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n", 1)
    writer.write(closing)
    try:
        async with asyncio.timeout(20):
            return await reader.read()
    except ConnectionError:
        return b"reset"
    finally:
        writer.close()
