"""A paced engine for the relay benchmark: one event a stream each 49 ms."""

import heapq
import random
import select
import socket
import sys
import time

GAP_S = 0.049
_DELTA = (
    b'data: {"id":"chatcmpl-0123456789abcdef","object":'
    b'"chat.completion.chunk","created":1700000000,"model":"draft-8b",'
    b'"choices":[{"index":0,"delta":{"content":" insulator"},'
    b'"finish_reason":null}]}\n\n'
)
_DONE = b"data: [DONE]\n\n"
_LOAD = (
    b'{"running":1,"waiting":0,"kv_free":1.0,"models":["lines"],'
    b'"ready":true,"age_ms":0}'
)
_HEAD = (
    b"HTTP/1.%d 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Cache-Control: no-cache\r\n"
)


class _Stream:
    """One open answer."""

    def __init__(self, connection: socket.socket, events: int) -> None:
        self.connection = connection
        self.received = b""
        self.chunked = False
        self.position = 0
        self.events = events

    def take(self, data: bytes) -> bool:
        """Returns whether the request is complete with `data`."""
        self.received += data
        head, found, body = self.received.partition(b"\r\n\r\n")
        if not found:
            return False
        self.chunked = head.split(b"\r\n", 1)[0].endswith(b"HTTP/1.1")
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) >= int(line.split(b":")[1])
        return True

    def send_load(self) -> None:
        """Answers a control call."""
        head = b"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n" % len(_LOAD)
        self.connection.sendall(head + _LOAD)
        self.connection.close()

    def send_head(self) -> None:
        """Answers with the head alone."""
        head = _HEAD % self.chunked
        if self.chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        self.connection.sendall(head + b"\r\n")

    def send_next(self) -> bool:
        """Sends the next event; returns whether more will follow."""
        if self.position == self.events:
            self._send(_DONE)
            if self.chunked:
                self.connection.sendall(b"0\r\n\r\n")
            self.connection.close()
            return False
        self._send(b"id: %d\n" % self.position + _DELTA)
        self.position += 1
        return True

    def _send(self, event: bytes) -> None:
        if self.chunked:
            event = b"%X\r\n%b\r\n" % (len(event), event)
        self.connection.sendall(event)


def run(seconds: float) -> None:
    """Serves until killed; each answer lasts about `seconds`."""
    events = int(seconds / GAP_S)
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    print(listener.getsockname()[1], flush=True)
    poller = select.epoll()
    poller.register(listener, select.EPOLLIN)
    streams: dict[int, _Stream] = {}
    due: list[tuple[float, int, _Stream]] = []
    rng = random.Random(1)
    while True:
        wait = due[0][0] - time.monotonic() if due else 1.0
        for fd, _ in poller.poll(max(wait, 0)):
            if fd == listener.fileno():
                connection, _ = listener.accept()
                connection.setsockopt(socket.SOL_TCP, socket.TCP_NODELAY, 1)
                streams[connection.fileno()] = _Stream(connection, events)
                poller.register(connection, select.EPOLLIN)
                continue
            stream = streams[fd]
            data = stream.connection.recv(65536)
            if data and not stream.take(data):
                continue
            poller.unregister(fd)
            del streams[fd]
            if data and stream.received.startswith(b"GET "):
                stream.send_load()
            elif data:
                stream.send_head()
                first = time.monotonic() + rng.random() * GAP_S
                heapq.heappush(due, (first, fd, stream))
        _send_due(due)


def _send_due(due: list[tuple[float, int, _Stream]]) -> None:
    now = time.monotonic()
    while due and due[0][0] <= now:
        at, fd, stream = heapq.heappop(due)
        try:
            if stream.send_next():
                heapq.heappush(due, (at + GAP_S, fd, stream))
        except OSError:
            stream.connection.close()


if __name__ == "__main__":
    run(float(sys.argv[1]))
