"""Endpoints that respond with scripted bytes."""

from collections.abc import Callable, Iterable
import socket
import threading

import msgspec

WAIT_S = 20.0


class Call(msgspec.Struct, frozen=True):
    """A received request."""

    raw: bytes
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


_PROBE_RESPONSES = {
    "/healthz": b"{}",
    "/v1/load": b'{"running": 0, "waiting": 0, "kv_free": 1.0,'
    b' "models": ["lines"], "ready": true, "age_ms": 0}',
}

Part = bytes | threading.Event
Script = Callable[[Call], Iterable[Part]]


class ScriptedEndpoint:
    """Serves one request per connection with the bytes of a script.

    Probes are answered separately and not recorded as calls. If a part of the
    script is an event, the endpoint waits for it. The connection is closed
    after the last part.

    Attributes:
        calls: The requests received.
        sent: The bytes sent in response to each call.
        finished: Number of calls whose script has ended.
    """

    def __init__(self, script: Script) -> None:
        self.calls: list[Call] = []
        self.sent: list[bytes] = []
        self.finished = 0
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def count(self, path: str) -> int:
        """Returns the number of calls to `path`."""
        return sum(call.path == path for call in self.calls)

    def is_finished(self) -> bool:
        """Returns whether the scripts of all calls have ended."""
        return self.finished == len(self.calls)

    def stop(self) -> None:
        """Stops accepting connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(WAIT_S)
            try:
                self._answer(connection)
            except OSError:
                return

    def _answer(self, connection: socket.socket) -> None:
        call = _receive_call(connection)
        if call is None:
            return
        if call.path in _PROBE_RESPONSES:
            connection.sendall(
                encode_response("200 OK", _PROBE_RESPONSES[call.path])
            )
            return
        self.calls.append(call)
        number = len(self.sent)
        self.sent.append(b"")
        for part in self._script(call):
            if isinstance(part, threading.Event):
                part.wait(WAIT_S)
                continue
            self.sent[number] += part
            connection.sendall(part)
        self.finished += 1


def _receive_call(connection: socket.socket) -> Call | None:
    raw = b""
    while b"\r\n\r\n" not in raw:
        data = connection.recv(65536)
        if not data:
            return None
        raw += data
    head, _, body = raw.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    method, path, _ = first.split(" ", 2)
    headers = dict(line.lower().split(": ", 1) for line in lines)
    length = int(headers.get("content-length", 0))
    while len(body) < length:
        data = connection.recv(65536)
        raw += data
        body += data
    return Call(raw, method, path, headers, body)


def encode_response(
    status: str, body: bytes, *headers: str, kind: str = "application/json"
) -> bytes:
    """Encodes a complete response."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Content-Type: {kind}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_stream_head() -> bytes:
    """Encodes the head of a streamed response."""
    return b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def encode_event(position: int, last: bool = False) -> bytes:
    """Encodes a chat event with one token."""
    choice = {
        "index": 0,
        "delta": {"content": f"t{position} "},
        "finish_reason": "stop" if last else None,
    }
    chunk = {
        "id": "chatcmpl-1",
        "object": "chat.completion.chunk",
        "created": 1_700_000_000,
        "model": "lines",
        "choices": [choice],
    }
    data = msgspec.json.encode(chunk)
    return b"id: %d\ndata: %b\n\n" % (position, data)


DONE = b"data: [DONE]\n\n"
