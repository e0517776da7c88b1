"""Ways to carry pressure between peers, by bytes and CPU of one instance.

One measured process talks to light fakes in one other process. Each way sends
and receives, decodes what it hears into a `Pressure`, and keeps p95 age of
about 1 s at 60 peers. Bytes are of both directions with IP headers: counted
for UDP, from `TCP_INFO` for gRPC.

    python -m benchmarks.peer_ways WAY [PEERS ...]
"""

import asyncio
from collections.abc import Callable
from concurrent import futures
import json
import multiprocessing
import os
import pathlib
import random
import socket
import stat
import struct
import sys
import threading
import time

import grpc
import msgspec

from benchmarks import peer_load
from pollenfork import ids
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.membership import pressures
from pollenfork.membership import wire

RESULTS = pathlib.Path(__file__).parent / "results" / "peer_ways.json"
WAYS = ("unary_whole", "unary", "stream", "gossip", "udp_whole", "udp")
PEERS = (2, 8, 24, 60)
_WARM_S = 2.0
_MEASURED_S = 5.0
_METHOD = "/bench/Hear"
_STEPS = 40
_FAN_OUT = 3
_GOSSIP_PERIOD_S = 0.3  # About log3(60) rounds must fit into a second.
_UDP_HEADERS = 28
_TCP_HEADERS = 52


def build_bodies(period_s: float, whole: bool) -> list[bytes]:
    """Returns heartbeats of one instance under load, one for each period."""
    load = peer_load.Load(ids.InstanceId("entry-0"), 1)
    encoder = pressures.PressureEncoder()
    bodies = []
    for step in range(_STEPS):
        body = encoder.encode_delta(load.advance(period_s), step * period_s)
        if whole or step == 0:
            body = encoder.encode_full()
        bodies.append(
            wire.encode(
                wire.Heartbeat(
                    format=1,
                    instance=ids.InstanceId("amman-1-entry-07"),
                    data_centre=ids.DataCentre("amman-1"),
                    incarnation=ids.Incarnation(1_700_000_000_000),
                    sequence=step,
                    period_ms=int(period_s * 1000),
                    status=messages.MemberStatus.LIVE,
                    revision=ids.Revision(670),
                    pressure=body,
                )
            )
        )
    return bodies


class Hearer:
    """Decodes heartbeats as an instance does, one decoder a source."""

    def __init__(self) -> None:
        self._decoders: dict[str, pressures.PressureDecoder] = {}
        self.heard = 0

    def hear(self, source: str, body: bytes) -> None:
        """Decodes one heartbeat of the source."""
        heartbeat = wire.decode_heartbeat(body).unwrap()
        decoder = self._decoders.get(source)
        if decoder is None or heartbeat.sequence == 0:
            decoder = pressures.PressureDecoder(heartbeat.instance)
            self._decoders[source] = decoder
        decoder.apply(heartbeat.sequence, heartbeat.pressure)
        self.heard += 1

    def hear_many(self, source: str, body: bytes) -> None:
        """Decodes the merged heartbeats of many sources."""
        for number, one in enumerate(msgspec.msgpack.decode(body)):
            self.hear(f"{source}/{number}", one)


def repeat(period_s: float, send: Callable[[int], None]) -> None:
    """Calls `send` with the step, each period, until the process ends."""
    due = time.monotonic()
    step = 0
    while True:
        send(step % _STEPS)
        step += 1
        due += period_s
        time.sleep(max(0.0, due - time.monotonic()))


def spread(period_s: float, count: int, send: Callable) -> None:
    """Calls `send` for each source in turn, spread over each period."""
    order = list(range(count))
    random.Random(1).shuffle(order)

    def send_round(step: int) -> None:
        for source in order:
            send(source, step)
            time.sleep(period_s / count / 2)

    repeat(period_s, send_round)


def read_tcp_bytes() -> int:
    """Returns bytes and headers of this process's TCP sockets so far."""
    total = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            if not stat.S_ISSOCK(os.fstat(int(name)).st_mode):
                continue
            with socket.socket(fileno=os.dup(int(name))) as one:
                info = one.getsockopt(socket.IPPROTO_TCP, 11, 256)
        except OSError:
            continue
        if info[0] != 1:  # Not established.
            continue
        sent, received, out, incoming = struct.unpack_from("<QQII", info, 120)
        total += sent + received + (out + incoming) * _TCP_HEADERS
    return total


def _serve(hear: Callable[[bytes], None], threads: int = 2) -> tuple:
    def handle(request: bytes, context: grpc.ServicerContext) -> bytes:
        hear(request)
        return b""

    server = grpc.server(futures.ThreadPoolExecutor(threads))
    method = grpc.unary_unary_rpc_method_handler(handle)
    handler = grpc.method_handlers_generic_handler("bench", {"Hear": method})
    server.add_generic_rpc_handlers((handler,))
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    return server, port


class Measured:
    """What the measured process counts; `udp_bytes` only for UDP."""

    def __init__(self) -> None:
        self.hearer = Hearer()
        self.udp_bytes = 0


def _stub(port: int) -> Callable:
    options = (("grpc.use_local_subchannel_pool", 1),)
    channel = grpc.insecure_channel(f"127.0.0.1:{port}", options=options)
    return channel.unary_unary(_METHOD)


def run_unary(side: str, pipe, count: int, period_s: float, way: str, me):
    """Full mesh of unary calls."""
    bodies = build_bodies(period_s, way == "unary_whole")
    if side == "fakes":
        ports = [_serve(lambda body: None)[1] for _ in range(count)]
        pipe.send(ports)
        stubs = [_stub(port) for port in [pipe.recv()] * count]

        def send(source, step):
            stubs[source].future(bodies[step][:-1] + b"\x90")

        spread(period_s, count, send)
    # The source isn't in the call; each body is decoded in full all the same.
    sources = iter(range(10**9))
    server, port = _serve(
        lambda body: me.hearer.hear(str(next(sources) % count), body)
    )
    stubs = [_stub(peer) for peer in pipe.recv()]
    pipe.send(port)
    me.keep = server
    repeat(period_s, lambda step: [s.future(bodies[step]) for s in stubs])


def run_gossip(side: str, pipe, count: int, period_s: float, way: str, me):
    """Random fan-out of calls with every source's newest whole state."""
    del period_s, way
    one = build_bodies(_GOSSIP_PERIOD_S, whole=True)
    bodies = [msgspec.msgpack.encode([body] * count) for body in one]
    if side == "fakes":
        ports = [_serve(lambda body: None)[1] for _ in range(count)]
        pipe.send(ports)
        stub = _stub(pipe.recv())
        pause_s = _GOSSIP_PERIOD_S / min(_FAN_OUT, count)
        repeat(pause_s, lambda step: stub.future(bodies[step]))
    server, port = _serve(lambda body: me.hearer.hear_many("peer", body))
    stubs = [_stub(peer) for peer in pipe.recv()]
    pipe.send(port)
    me.keep = server
    rng = random.Random(1)

    def send(step: int) -> None:
        body = msgspec.msgpack.encode([one[step]] * count)
        for stub in rng.sample(stubs, min(_FAN_OUT, count)):
            stub.future(body)

    repeat(_GOSSIP_PERIOD_S, send)


def run_udp(side: str, pipe, count: int, period_s: float, way: str, me):
    """Full mesh of datagrams."""
    bodies = build_bodies(period_s, way == "udp_whole")
    sockets = [
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for _ in range(count if side == "fakes" else 1)
    ]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    if side == "fakes":
        pipe.send([one.getsockname() for one in sockets])
        target = pipe.recv()
        spread(
            period_s,
            count,
            lambda source, step: sockets[source].sendto(bodies[step], target),
        )
    peers = pipe.recv()
    pipe.send(sockets[0].getsockname())

    def receive() -> None:
        while True:
            body, source = sockets[0].recvfrom(9000)
            me.udp_bytes += len(body) + _UDP_HEADERS
            me.hearer.hear(source, body)

    threading.Thread(target=receive, daemon=True).start()

    def send(step: int) -> None:
        for peer in peers:
            sockets[0].sendto(bodies[step], peer)
            me.udp_bytes += len(bodies[step]) + _UDP_HEADERS

    repeat(period_s, send)


def _connect_stream(port: int):
    options = (("grpc.use_local_subchannel_pool", 1),)
    channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options)
    return channel.stream_unary(_METHOD)()


async def _send_stream(side: str, calls, bodies, period_s: float) -> None:
    step = 0
    while True:
        for call in calls:
            await call.write(bodies[step % _STEPS])
            if side == "fakes":
                await asyncio.sleep(period_s / len(calls) / 2)
        step += 1
        rest = 0.5 if side == "fakes" else 1.0
        await asyncio.sleep(period_s * rest)


def run_stream(side: str, pipe, count: int, period_s: float, way: str, me):
    """Full mesh of long-lived streams, on one event loop a process."""
    bodies = build_bodies(period_s, whole=False)
    hearer = me.hearer if me else Hearer()

    async def serve() -> int:
        async def handle(requests, context):
            async for body in requests:
                if side == "measured":
                    hearer.hear(context.peer(), body)
            return b""

        server = grpc.aio.server()
        method = grpc.stream_unary_rpc_method_handler(handle)
        handler = grpc.method_handlers_generic_handler(
            "bench", {"Hear": method}
        )
        server.add_generic_rpc_handlers((handler,))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        servers.append(server)
        return port

    async def run() -> None:
        if side == "fakes":
            pipe.send([await serve() for _ in range(count)])
            calls = [_connect_stream(p) for p in [pipe.recv()] * count]
        else:
            ports = pipe.recv()
            pipe.send(await serve())
            calls = [_connect_stream(port) for port in ports]
        await _send_stream(side, calls, bodies, period_s)

    servers: list = []
    asyncio.run(run())


RUNNERS = {
    "unary_whole": run_unary,
    "unary": run_unary,
    "stream": run_stream,
    "gossip": run_gossip,
    "udp_whole": run_udp,
    "udp": run_udp,
}


def measure(pipe, count: int, period_s: float, way: str, answers) -> None:
    """Runs the measured process and sends its figures to `answers`."""
    me = Measured()
    threading.Thread(
        target=RUNNERS[way],
        args=("measured", pipe, count, period_s, way, me),
        daemon=True,
    ).start()
    time.sleep(_WARM_S + period_s)
    before = time.process_time(), me.udp_bytes + read_tcp_bytes()
    heard = me.hearer.heard
    time.sleep(_MEASURED_S)
    cpu_s = time.process_time() - before[0]
    size = me.udp_bytes + read_tcp_bytes() - before[1]
    answers.send(
        {
            "way": way,
            "members": count + 1,
            "period_s": round(period_s, 3),
            "cpu_percent": round(cpu_s / _MEASURED_S * 100, 2),
            "kb_per_s": round(size / _MEASURED_S / 1000, 1),
            "heard_per_s": round((me.hearer.heard - heard) / _MEASURED_S, 1),
        }
    )


def run_case(way: str, members: int) -> dict:
    """Returns the figures of one way among `members` instances."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    here, there = context.Pipe()
    period_s = periods.compute_heartbeat_s(members)
    count = members - 1
    fakes = context.Process(
        target=RUNNERS[way], args=("fakes", ours, count, period_s, way, None)
    )
    measured = context.Process(
        target=measure, args=(theirs, count, period_s, way, there)
    )
    fakes.start()
    measured.start()
    found = here.recv()
    for process in (measured, fakes):
        process.kill()
        process.join()
    return found


def main(arguments: list[str]) -> None:
    """Prints one line for each case and adds it to the results."""
    ways = arguments[:1] or WAYS
    counts = [int(one) for one in arguments[1:]] or PEERS
    known = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    for way in ways:
        for members in counts:
            found = run_case(way, members)
            print(found, flush=True)
            known[f"{way}/{members}"] = found
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(known, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
