"""Raw requests that the server refuses before the application."""

from collections.abc import Iterator
import json
import logging
import socket
import threading
from typing import Any

import pytest

from pollenfork import clock
from pollenfork import metrics
from pollenfork.entry import front
from pollenfork.entry import listener

BODY_LIMIT = 1000


class Harness:
    """A listener on the loopback interface; counts calls of its application."""

    def __init__(self) -> None:
        self.metrics = metrics.Metrics()
        self.clock = clock.ManualClock()
        self.calls = 0
        self._received = 0
        self._more = threading.Condition()
        harness = self

        class CountingChannel(listener.Channel):
            def received(self, data: bytes) -> bool:
                consumed = super().received(data)
                with harness._more:
                    harness._received += len(data)
                    harness._more.notify_all()
                return consumed

        class CountingListener(listener.Listener):
            channel_class = CountingChannel

        no_handler: Any = None
        entry = front.Front(
            no_handler, self.metrics, lambda: None, lambda: True, None
        )

        def app(environ: Any, start_response: Any) -> Any:
            self.calls += 1
            if environ["PATH_INFO"] == "/breaks":
                raise OSError("lost")
            return entry(environ, start_response)

        self.listener = CountingListener(
            app,
            entry.record_refusal,
            self.clock,
            listen="127.0.0.1:0",
            threads=4,
            max_request_body_size=BODY_LIMIT,
            ident=None,
        )
        self._thread = threading.Thread(target=self.listener.run, daemon=True)
        self._thread.start()

    def connect(self) -> socket.socket:
        address = self.listener.socket.getsockname()
        return socket.create_connection(address, timeout=20)

    def exchange(self, raw: bytes) -> "Answer":
        with self.connect() as caller:
            caller.sendall(raw)
            return read_answer(caller)

    def wait_until_received(self, count: int) -> None:
        with self._more:
            arrived = self._more.wait_for(lambda: self._received >= count, 20)
        assert arrived

    def stop(self) -> None:
        self.listener.stop()
        self._thread.join(20)
        assert not self._thread.is_alive()
        self.listener.task_dispatcher.shutdown()


class Answer:
    def __init__(self, raw: bytes) -> None:
        head, _, self.body = raw.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        self.status = int(first.split()[1])
        self.headers = dict(line.split(": ", 1) for line in lines)


def read_answer(caller: socket.socket) -> Answer:
    parts = []
    while part := caller.recv(65536):
        parts.append(part)
    return Answer(b"".join(parts))


@pytest.fixture
def harness() -> Iterator[Harness]:
    started = Harness()
    yield started
    started.stop()


HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
REFUSED = {
    "no request line": (b"hello\r\n\r\n", 400, "malformed_request"),
    "no version": (b"GET / HTTP/x\r\n\r\n", 400, "malformed_request"),
    "lower case method": (b"get / HTTP/1.1\r\n\r\n", 400, "malformed_request"),
    "bad header": (HEAD + b"no colon\r\n\r\n", 400, "malformed_request"),
    "bare line feed": (HEAD + b"A: b\nC: d\r\n\r\n", 400, "malformed_request"),
    "negative length": (
        HEAD + b"Content-Length: -1\r\n\r\n",
        400,
        "malformed_request",
    ),
    "length not a number": (
        HEAD + b"Content-Length: x\r\n\r\n",
        400,
        "malformed_request",
    ),
    "bad chunk": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
        "malformed_request",
    ),
    "unknown coding": (
        HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
        501,
        "not_implemented",
    ),
    "header too long": (
        HEAD + b"A: " + b"x" * listener.MAX_HEADER_BYTES + b"\r\n\r\n",
        431,
        "header_too_long",
    ),
    "headers without end": (
        HEAD + b"A: b\r\n" * listener.MAX_HEADER_BYTES,
        431,
        "header_too_long",
    ),
    "body over the limit, by its length": (
        HEAD + b"Content-Length: 1001\r\n\r\n" + b"x" * 1001,
        413,
        "body_too_large",
    ),
    "body far over the limit, by its length": (
        HEAD + b"Content-Length: 4000000\r\n\r\n" + b"x" * 4_000_000,
        413,
        "body_too_large",
    ),
    "body over the limit, chunked": (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"3e9\r\n"
        + b"x" * 1001
        + b"\r\n0\r\n\r\n",
        413,
        "body_too_large",
    ),
    "body far over the limit, chunked": (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + (b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n") * 60,
        413,
        "body_too_large",
    ),
}


@pytest.mark.parametrize("case", REFUSED)
def test_refused_before_the_application(
    harness: Harness, caplog: pytest.LogCaptureFixture, case: str
) -> None:
    caplog.set_level(logging.INFO)
    raw, status, code = REFUSED[case]
    answer = harness.exchange(raw)
    assert answer.status == status
    assert answer.headers["X-Outcome"] == "not_run"
    assert answer.headers["Connection"] == "close"
    assert json.loads(answer.body)["error"]["code"] == code
    assert harness.calls == 0
    exposition = harness.metrics.render()[0].decode()
    assert f'code="{code}"' in exposition
    assert caplog.text.count("event=refused") == 1


def test_application_error_has_an_unknown_outcome(harness: Harness) -> None:
    answer = harness.exchange(b"GET /breaks HTTP/1.1\r\nHost: x\r\n\r\n")
    assert answer.status == 500
    assert answer.headers["X-Outcome"] == "unknown"
    assert json.loads(answer.body)["error"]["code"] == "internal_error"


@pytest.mark.parametrize(
    "sent",
    [
        b"P",
        HEAD,
        HEAD + b"Content-Length: 10\r\n\r\n",
        HEAD + b"Content-Length: 10\r\n\r\nx",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nx",
    ],
)
def test_caller_that_sends_too_slowly_is_refused(
    harness: Harness, sent: bytes
) -> None:
    with harness.connect() as caller:
        for byte in sent:
            caller.sendall(bytes([byte]))
        harness.wait_until_received(len(sent))
        harness.clock.advance(listener.RECEIVE_TIMEOUT_S)
        harness.listener.run_maintenance_now()
        assert "refusals" not in harness.metrics.render()[0].decode()
        harness.clock.advance(1)
        harness.listener.run_maintenance_now()
        answer = read_answer(caller)
    assert answer.status == 408
    assert answer.headers["X-Outcome"] == "not_run"
    assert json.loads(answer.body)["error"]["code"] == "request_too_slow"
    assert harness.calls == 0


def test_request_in_time_is_served(harness: Harness) -> None:
    with harness.connect() as caller:
        head = b"GET /healthz HTTP/1.1\r\nHost: x\r\n"
        caller.sendall(head)
        harness.wait_until_received(len(head))
        harness.clock.advance(listener.RECEIVE_TIMEOUT_S / 2)
        harness.listener.run_maintenance_now()
        caller.sendall(b"Connection: close\r\n\r\n")
        answer = read_answer(caller)
    assert answer.status == 200
    assert answer.body == b"ok\n"


def test_refused_caller_that_keeps_sending_is_disconnected(
    harness: Harness,
) -> None:
    with harness.connect() as caller:
        caller.sendall(HEAD + b"Content-Length: 9999\r\n\r\n")
        answer = read_answer(caller)
        assert answer.status == 413
        harness.clock.advance(listener.LINGER_TIMEOUT_S + 1)
        harness.listener.run_maintenance_now()
        with pytest.raises(OSError):
            for _ in range(10_000):
                caller.sendall(b"x" * 1000)
