"""The callers of the relay benchmark: all arrive at once, each timed."""

import json
import select
import socket
import sys
import time

_BODY = (
    b'{"model":"lines","stream":true,'
    b'"messages":[{"role":"user","content":"Tower 7"}]}'
)
_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: relay\r\n"
    b"Authorization: Bearer crew-key\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
) % (len(_BODY), _BODY)
_SETTLED_S = 1.5


class _Caller:
    """One stream and its readings."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.started = time.monotonic()
        self.socket.sendall(_REQUEST)
        self.last: float | None = None
        self.events = 0
        self.done = False

    def read(self, now: float, gaps: list[float], firsts: list[float]) -> bool:
        """Takes one read; returns whether the connection is still open."""
        data = self.socket.recv(65536)
        if not data:
            return False
        events = data.count(b"\n\n")
        if not events:
            return True
        if self.last is None:
            firsts.append(now - self.started)
        elif now - self.started > _SETTLED_S:
            gaps.append(now - self.last)
            gaps.extend([0.0] * (events - 1))
        self.last = now
        self.events += events
        self.done = self.done or b"[DONE]" in data
        return True


def run(port: int, count: int) -> None:
    """Opens `count` streams, reads them out and prints the readings."""
    poller = select.epoll()
    callers: dict[int, _Caller] = {}
    for _ in range(count):
        caller = _Caller(port)
        callers[caller.socket.fileno()] = caller
        poller.register(caller.socket, select.EPOLLIN)
    every = list(callers.values())
    gaps: list[float] = []
    firsts: list[float] = []
    while callers:
        for fd, _ in poller.poll():
            if not callers[fd].read(time.monotonic(), gaps, firsts):
                poller.unregister(fd)
                callers.pop(fd).socket.close()
    readings = {
        "gaps": gaps,
        "firsts": firsts,
        "events": sum(caller.events for caller in every),
        "whole": sum(caller.done for caller in every),
    }
    print(json.dumps(readings), flush=True)


if __name__ == "__main__":
    run(int(sys.argv[1]), int(sys.argv[2]))
