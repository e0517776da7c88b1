"""What messages in small pieces cost an instance, in work and in memory.

Usage: python -m benchmarks.small_pieces_cost [LABEL]

Feeds one event without an end through the splitter of streams, up to the limit
on its size, and an answer and a request's body of 10 MB through their
connections, in chunks of 4 bytes: many with each read, and one with each.
Memory is what `tracemalloc` counts, as a peak until the message is whole. The
results of other labels are kept.
"""

import asyncio
import json
import pathlib
import sys
import time
import tracemalloc
from typing import Any

from pollenfork.gateway import attempt
from pollenfork.gateway import callers
from pollenfork.gateway import connection
from pollenfork.gateway import messages
from pollenfork.gateway.events import splitter
from pollenfork.platform import heads
from pollenfork.platform import names
from pollenfork.routes import model as routes

_EVENT_BYTES = 256 * 1024
_LINE = b"data: " + b"t" * 43 + b"\n"
_PIECE_BYTES = (1, 10, 50, 200, 65_536)
# A splitter that searches all that it holds at each piece takes minutes.
_LIMIT_S = 60.0
_PIECES_EACH_CHECK = 50

_BODY_BYTES = 10_000_000
_CHUNK = b"4\r\nabcd\r\n"
_CHUNKS_EACH_READ = (7000, 1)
_REQUEST = b"POST /p HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
_ATTEMPT = b"a1"
_ANSWER = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n%b: %b\r\n%b: s\r\n\r\n"
    % (names.ATTEMPT, _ATTEMPT, names.SEAL)
)
_LAST_CHUNK = b"0\r\n\r\n"
_RESULT = pathlib.Path(__file__).parent / "results" / "small_pieces_cost.json"


class _Transport(asyncio.Transport):
    """A connection whose peer reads all."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("127.0.0.1", 1)

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        pass


def main() -> None:
    """Prints the costs and writes them under a label."""
    label = sys.argv[1] if len(sys.argv) > 1 else "now"
    measured = {
        "split": [_split(size) for size in _PIECE_BYTES],
        "held_mb": asyncio.run(_hold()),
    }
    results = json.loads(_RESULT.read_text()) if _RESULT.exists() else {}
    results[label] = measured
    _RESULT.write_text(json.dumps(results, indent=1) + "\n")
    sys.stdout.write(json.dumps(measured, indent=1) + "\n")


def _split(piece_bytes: int) -> dict[str, float]:
    """Returns the time that one event of the largest size takes."""
    data = (_LINE * (_EVENT_BYTES // len(_LINE) + 1))[:_EVENT_BYTES]
    pieces = [
        data[start : start + piece_bytes]
        for start in range(0, _EVENT_BYTES, piece_bytes)
    ]
    events = splitter.EventSplitter()
    fed = 0
    took_s = 0.0
    began = time.process_time()
    for number, piece in enumerate(pieces):
        events.feed(piece)
        fed += len(piece)
        if number % _PIECES_EACH_CHECK == 0:
            took_s = time.process_time() - began
            if took_s > _LIMIT_S:
                break
    took_s = time.process_time() - began
    return {
        "piece_bytes": piece_bytes,
        "fed_kb": round(fed / 1024, 1),
        "cpu_s": round(took_s, 4),
    }


async def _hold() -> list[dict[str, float]]:
    """Returns the megabytes held for a body, by the chunks in a read."""
    return [
        {
            "chunks_each_read": each,
            "answer": _hold_answer(each),
            "caller": await _hold_request(each),
        }
        for each in _CHUNKS_EACH_READ
    ]


def _hold_answer(chunks_each_read: int) -> float:
    loop = asyncio.get_running_loop()
    opened = connection.Connection(loop)
    opened.connection_made(_Transport())
    request = heads.decode_request([(names.ATTEMPT, _ATTEMPT)])
    running = attempt.Attempt(loop, heads, request, None, _ignore)
    opened.send(b"", running)
    held_mb = _measure(opened, _ANSWER, chunks_each_read)
    assert len(running.done.result().body) == _BODY_BYTES
    return held_mb


async def _hold_request(chunks_each_read: int) -> float:
    received: list[messages.Request] = []

    async def serve(
        call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        received.append(call)

    server = callers.Server(asyncio.get_running_loop(), serve)
    server.limits = routes.CallerLimits(body_bytes=2 * _BODY_BYTES)
    accepted = server.make_connection()
    accepted.connection_made(_Transport())
    held_mb = _measure(accepted, _REQUEST, chunks_each_read)
    await asyncio.sleep(0)
    assert len(received[0].body) == _BODY_BYTES
    accepted.connection_lost(None)
    return held_mb


def _measure(
    receiver: asyncio.Protocol, head: bytes, chunks_each_read: int
) -> float:
    """Returns the most megabytes held until the message is whole."""
    receiver.data_received(head)
    read = _CHUNK * chunks_each_read
    chunks = _BODY_BYTES // 4
    tracemalloc.start()
    try:
        for _ in range(chunks // chunks_each_read):
            receiver.data_received(read)
        receiver.data_received(_CHUNK * (chunks % chunks_each_read))
        receiver.data_received(_LAST_CHUNK)
        _, most = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return round(most / 1e6, 1)


def _ignore() -> None:
    """Ignores that the answer has begun."""


if __name__ == "__main__":
    main()
