"""Cost of one exchange of summaries between data centres of 60 members each.

Both ends run in one process, so that the CPU is that of one exchange made and
one served. Each exchange opens its own channel, as an instance's do. A relay
counts the bytes between them and adds 52 bytes of headers for each 1,448.

    python -m benchmarks.peer_exchange
"""

import json
import math
import pathlib
import random
import socket
import threading
import time

import result

from pollenfork import ids
from pollenfork.membership import core
from pollenfork.membership import local_member
from pollenfork.membership import messages
from pollenfork.membership import periods
from pollenfork.membership import transport
from pollenfork.membership import wire

RESULTS = pathlib.Path(__file__).parent / "results" / "peer_exchange.json"
MEMBERS = 60
CENTRES = 5  # Besides the own one.
_EXCHANGES = 100
_SEGMENT = 1448
_HEADERS = 52


def build_core(data_centre: str) -> core.Core:
    """Returns the core of an instance that knows its whole data centre."""
    made = core.Core(
        local_member.Identity(
            ids.InstanceId(f"{data_centre}-entry-00"),
            ids.DataCentre(data_centre),
            "10.1.2.100:7001",
        ),
        ids.Incarnation(1_700_000_000_000),
        random.Random(1),
        0.0,
    )
    for number in range(1, MEMBERS):
        heartbeat = wire.Heartbeat(
            format=1,
            instance=ids.InstanceId(f"{data_centre}-entry-{number:02d}"),
            data_centre=ids.DataCentre(data_centre),
            incarnation=ids.Incarnation(1_700_000_000_000 + number * 7919),
            sequence=80_000 + number,
            period_ms=1000,
            status=messages.MemberStatus.LIVE,
            revision=ids.Revision(670),
        )
        made.receive_heartbeat(heartbeat, f"10.1.2.{100 + number}:7001", 0.0)
    return made


class Service:
    """The answering end."""

    def __init__(self) -> None:
        self._core = build_core("amman-2")

    def serve_state(self) -> transport.Answer:
        """Isn't called here."""
        return result.Ok(b"")

    def serve_exchange(self, body: bytes) -> transport.Answer:
        """Takes in and answers as the actor does."""
        self._core.summaries.receive(wire.decode_summary(body).unwrap(), 0.0)
        return result.Ok(wire.encode(self._core.summaries.compose(0.0)))

    def serve_settings(self, revision: ids.Revision) -> transport.Answer:
        """Isn't called here."""
        return result.Ok(b"")


class Relay:
    """Passes connections on and counts their bytes, without reading them."""

    def __init__(self, port: int) -> None:
        self.size = 0
        self._port = port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(("127.0.0.1", self._port))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass_on, args=(source, sink), daemon=True
                ).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while body := source.recv(65536):
                self.size += len(body)
                self.size += math.ceil(len(body) / _SEGMENT) * _HEADERS
                sink.sendall(body)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


def exchange(address: str, near: core.Core) -> None:
    """Makes one exchange on a channel of its own."""
    client = transport.Client()
    done = threading.Event()

    def take(answer: transport.Answer) -> None:
        summary = wire.decode_summary(answer.unwrap()).unwrap()
        near.summaries.receive(summary, 0.0)
        done.set()

    client.exchange(address, wire.encode(near.summaries.compose(0.0)), take)
    done.wait(5)
    client.close()


def main() -> None:
    """Prints the figures and writes them."""
    server = transport.Server(Service())
    port = server.bind("127.0.0.1:0")
    server.start()
    near = build_core("amman-1")
    relay = Relay(port)
    for _ in range(5):
        exchange(relay.address, near)
    relayed = relay.size
    exchange(relay.address, near)
    time.sleep(0.2)
    size = relay.size - relayed
    started = time.process_time()
    for _ in range(_EXCHANGES):
        exchange(f"127.0.0.1:{port}", near)
    cpu_s = (time.process_time() - started) / _EXCHANGES
    server.stop(0)
    rate = CENTRES / periods.compute_summary_s(MEMBERS)
    found = {
        "members": MEMBERS,
        "bytes_each": size,
        "cpu_ms_made_and_served": round(cpu_s * 1000, 2),
        "made_per_s": round(rate, 2),
        "kb_per_s": round(2 * rate * size / 1000, 1),
        "cpu_percent": round(rate * cpu_s * 100, 2),
    }
    print(found)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(found, indent=1, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
