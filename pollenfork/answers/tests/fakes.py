"""Fakes of what the relay talks to: a scripted engine, slots and a caller."""

import concurrent.futures
import contextlib
import json
import socket
import threading

from pollenfork import clock
from pollenfork.admission import messages as admission_messages
from pollenfork.answers import messages
from pollenfork.answers import session
from pollenfork.dispatch import messages as dispatch_messages

STREAM_HEAD = b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
DONE = b"data: [DONE]\n\n"
NO_RESPONSE = b""  # Closes the connection before the head.
UNKNOWN_STREAM = (
    b"HTTP/1.0 404 Not Found\r\nContent-Type: application/json\r\n\r\n"
    b'{"error":{"code":"unknown_stream"}}'
)
LIMITS = messages.Limits(
    connect_s=2, head_s=5, stall_s=5, retry_wait_s=5, cancel_s=2
)


def encode_event(position: int) -> bytes:
    data = {"choices": [{"index": 0, "delta": {"content": f"t{position} "}}]}
    return b"id: %d\ndata: %b\n\n" % (position, json.dumps(data).encode())


def encode_events(start: int, end: int) -> bytes:
    return b"".join(encode_event(n) for n in range(start, end))


def encode_stream(tokens: int) -> bytes:
    return encode_events(0, tokens) + DONE


def encode_response(status: str, body: bytes, **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", "Content-Type: application/json"]
    headers = {"Content_Length": str(len(body)), **headers}
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class ScriptedEngine:
    """Answers each kind of call with the next bytes of its script."""

    def __init__(
        self,
        answers: tuple[bytes, ...] = (),
        resumes: tuple[bytes, ...] = (),
        cancelled: str = "cancelled",
        holds: bool = False,
    ) -> None:
        self.answers = list(answers)
        self.resumes = list(resumes)
        self.cancelled = cancelled
        self.calls: list[str] = []
        self.bodies: list[dict] = []
        self.held_bytes = b""  # Sent on `stop` by an engine that holds.
        self.answered = threading.Event()
        self.cancel_received = threading.Event()
        self._holds = holds
        self._released = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        self._released.set()

    def close(self) -> None:
        self.stop()
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=(connection,), daemon=True
            ).start()

    def _answer(self, connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as lines:
            first = lines.readline().decode()
            if not first:
                return  # The relay was interrupted before it sent anything.
            method, path, _ = first.split(" ")
            length = 0
            while (line := lines.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            body = lines.read(length)
            self.calls.append(f"{method} {path}")
            reply = self._choose(path, body)
            connection.sendall(reply)
            if self._holds and "/cancel" not in path:
                self.answered.set()
                self._released.wait(10)
                with contextlib.suppress(OSError):  # The relay may have closed.
                    connection.sendall(self.held_bytes)

    def _choose(self, path: str, body: bytes) -> bytes:
        if path == "/v1/cancel":
            self.cancel_received.set()
            reply = json.dumps({"outcome": self.cancelled}).encode()
            return encode_response("200 OK", reply)
        if path.startswith("/v1/streams/"):
            return self.resumes.pop(0) if self.resumes else UNKNOWN_STREAM
        if body.startswith(b"{"):
            self.bodies.append(json.loads(body))
        return self.answers.pop(0)


class FakeSlots:
    """Grants the given engines one after the other, then refuses."""

    def __init__(self, addresses: list[str], *, decides: bool = True) -> None:
        self._addresses = addresses
        self._decides = decides
        self.retry_requests: list[dispatch_messages.AskAgain] = []
        self.events: list[object] = []
        self.pending: list[concurrent.futures.Future] = []
        self.retry_requested = threading.Event()

    def ask_again(
        self, again: dispatch_messages.AskAgain
    ) -> concurrent.futures.Future:
        self.retry_requests.append(again)
        pending: concurrent.futures.Future = concurrent.futures.Future()
        self.pending.append(pending)
        if self._decides:
            pending.set_result(self.decide())
        self.retry_requested.set()
        return pending

    def decide(
        self,
    ) -> dispatch_messages.Grant | admission_messages.Refused:
        if self._addresses:
            return make_grant(
                self._addresses.pop(0), f"a{len(self.retry_requests)}"
            )
        return admission_messages.Refused(
            request="r", reason=admission_messages.RefusalReason.NO_ENDPOINT
        )

    def report(self, event: object) -> None:
        self.events.append(event)

    def list_ends(self) -> list[tuple[str, str, int]]:
        return [
            (event.attempt, event.how.value, event.tokens)
            for event in self.events
            if isinstance(event, dispatch_messages.AttemptEnded)
        ]


class FakeCaller:
    """A caller that the test disconnects."""

    def __init__(self, engine: ScriptedEngine | None = None) -> None:
        self.engine = engine
        self.disconnected = False
        self._calls: list = []

    def is_disconnected(self) -> bool:
        return self.disconnected

    def on_disconnect(self, call) -> None:
        self._calls.append(call)

    def count_unsent(self) -> int:
        return 0

    def disconnect(self) -> None:
        self.disconnected = True
        for call in self._calls:
            call()


def make_grant(address: str, attempt: str = "a0") -> dispatch_messages.Grant:
    return dispatch_messages.Grant(
        request="r", attempt=attempt, endpoint=address, address=address
    )


def make_call(
    streamed: bool = True, idempotent: bool = True, **fields: object
) -> messages.Call:
    body = {"model": "lines", "stream": streamed}
    return messages.Call(
        request="r",
        method="POST",
        path="/v1/chat/completions",
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(body).encode(),
        streamed=streamed,
        idempotent=idempotent,
        first_token_due=100.0,
        give_up_at=100.0,
        **fields,
    )


def make_relay(
    slots: FakeSlots, limits: messages.Limits = LIMITS
) -> session.Relay:
    relay = session.Relay(slots, clock.ManualClock(), limits)
    relay.start()
    return relay


def read_all(answer: session.Answer, pumped: bool) -> bytes:
    received: list[bytes] = []
    if pumped:
        answer.chunks.attach(received.append)
    for chunk in answer.chunks:
        received.append(chunk)
    answer.chunks.close()
    return b"".join(received)
