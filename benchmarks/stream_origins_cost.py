"""What it costs each instance to know at which version streams began.

Usage: python -m benchmarks.stream_origins_cost

Every request is a stream that may be taken up, and one in a hundred is, at
another instance. Bytes are of datagrams with their headers (28 bytes).
"""

import asyncio
import json
import pathlib
import random
import time

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.gateway.streams import origin_directory
from pollenfork.loads import messages

# Data centres, instances in each, and streams a second of all.
_SIZES = ((3, 2, 60), (3, 27, 810), (6, 60, 3600))
_STREAMS = 2000
_TAKEN_UP = 0.01
_HEADER_BYTES = 28
_KEEP_S = 8.0


class _Site:
    """Instances that hand each other encoded datagrams."""

    def __init__(self, data_centres: int, hosts: int) -> None:
        loop = asyncio.get_running_loop()
        self.members = {
            f"dc{centre}": [f"10.{centre}.0.{host}" for host in range(hosts)]
            for centre in range(data_centres)
        }
        self.directories: dict[str, origin_directory.OriginDirectory] = {}
        self.sent = 0
        self.bytes = 0
        for centre, listed in self.members.items():
            for host in listed:
                directory = origin_directory.OriginDirectory(
                    loop,
                    registry.Registry(),
                    host,
                    ids.DataCentre(centre),
                    lambda: True,
                )
                directory.join(_Link(self, host))
                self.directories[host] = directory


class _Link:
    """One instance's way to the others."""

    def __init__(self, site: _Site, host: str) -> None:
        self._site = site
        self._host = host

    def list_members(self) -> dict[str, list[str]]:
        """Returns all hosts, built anew as the roster does."""
        return {key: list(hosts) for key, hosts in self._site.members.items()}

    def send(self, host: str, message: messages.Message) -> None:
        """Encodes a message, and hands it over."""
        data = messages.encode(message)
        self._site.sent += 1
        self._site.bytes += len(data) + _HEADER_BYTES
        received = messages.decode(data)
        self._site.directories[host].receive(received, self._host)


async def _measure(
    data_centres: int, hosts: int, rate: int
) -> dict[str, float]:
    site = _Site(data_centres, hosts)
    rng = random.Random(1)
    everyone = list(site.directories.values())
    runner = model.Runner(
        id=ids.EndpointId("r"),
        service=ids.ServiceName("s"),
        host="10.9.0.1",
        port=80,
        data_centre=ids.DataCentre("dc0"),
        slots=32,
        leaving=False,
        cold_s=0.0,
        version=ids.SoftwareVersion("v1.12.3"),
    )
    begun = time.process_time()
    found = taken_up = 0
    for _ in range(_STREAMS):
        stream = origin_directory.StreamKey(
            ids.AttemptId(f"{rng.getrandbits(64):016x}"),
            ids.RequestDigest(rng.getrandbits(64)),
        )
        rng.choice(everyone).record_begun(stream, runner, _KEEP_S)
        if rng.random() < _TAKEN_UP:
            taken_up += 1
            asked = rng.choice(everyone)
            origin = await asked.find(stream, runner.service, _KEEP_S)
            found += origin.version == runner.version
    spent_s = time.process_time() - begun
    per_instance = rate / len(everyone)
    return {
        "instances": len(everyone),
        "streams_s": rate,
        "messages_s": round(site.sent / _STREAMS * per_instance, 1),
        "bytes_s": round(site.bytes / _STREAMS * per_instance),
        "core_percent": round(spent_s / _STREAMS * per_instance * 100, 3),
        "found": found,
        "taken_up": taken_up,
    }


def main() -> None:
    """Measures each size; prints the rows and writes them."""
    rows = [asyncio.run(_measure(*size)) for size in _SIZES]
    for row in rows:
        print(row)
    path = pathlib.Path(__file__).parent / "results"
    text = json.dumps(rows, indent=1) + "\n"
    (path / "stream_origins_cost.json").write_text(text)


if __name__ == "__main__":
    main()
