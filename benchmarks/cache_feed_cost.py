"""Processor time that a relay spends to hear what one runner keeps.

python -m benchmarks.cache_feed_cost
"""

import asyncio
import random
import threading
import time

from pollenfork import ids
from pollenfork.fleet import cache_order
from pollenfork.fleet import choice
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.gateway import client
from pollenfork.loads import messages as loads
from pollenfork.platform import caches

_CALLS = 2000
_PARTS = 20  # Changes in an answer: a busy runner's in 0.2 s.
_HOST = "127.0.0.1"


def main() -> None:
    """Prints microseconds of processor time for a call."""
    port = _start_runner()
    spent_s = asyncio.run(_measure(port))
    print(f"{spent_s / _CALLS * 1e6:.0f} us a call with {_PARTS} changes")


async def _measure(port: int) -> float:
    runner = model.Runner(
        id=ids.EndpointId("r0"),
        service=ids.ServiceName("s"),
        host=_HOST,
        port=port,
        data_centre=ids.DataCentre("a"),
        slots=64,
        leaving=False,
        cold_s=0.0,
    )
    runners = registry.Registry()
    runners.put(runner)
    chooser = choice.Chooser(runners, random.Random(1))
    order = cache_order.CacheOrder()
    calls = client.Client(loads.Address(_HOST, port))
    begun = time.thread_time()
    for after in range(_CALLS):
        ask = caches.encode_feed_request(runner, after, 1.0)
        answer = await calls.call(ask, 1.7)
        assert answer is not None
        read = caches.decode_feed(answer.status, answer.body).unwrap()
        report = order.take(read)
        assert report is not None
        chooser.apply_cache_report(runner.incarnation, report)
    return time.thread_time() - begun


def _start_runner() -> int:
    """Answers calls in a thread of its own; returns the port."""
    started: list[int] = []
    ready = threading.Event()

    async def serve(reader, writer) -> None:
        number = 0
        while await reader.readuntil(b"\r\n\r\n"):
            events = ",".join(
                f'[{number + each},"{"+-"[each % 2]}","","{each:012x}",242,"m"]'
                for each in range(_PARTS)
            )
            number += _PARTS
            body = f'{{"epoch":1,"next":{number},"events":[{events}]}}'
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n"
            writer.write((head + body).encode())

    async def run() -> None:
        server = await asyncio.start_server(serve, _HOST, 0)
        started.append(server.sockets[0].getsockname()[1])
        ready.set()
        await server.serve_forever()

    threading.Thread(target=lambda: asyncio.run(run()), daemon=True).start()
    ready.wait()
    return started[0]


if __name__ == "__main__":
    main()
