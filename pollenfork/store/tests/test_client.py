"""HTTP clients: requests, and the results of the platform's responses."""

import http.server
import json
import socket
import threading

import pytest
import result

from pollenfork import ids
from pollenfork.store import client
from pollenfork.store import edges
from pollenfork.store import errors

_ROW = {"key": "ledger/a b", "value": "AAH/", "version": 3}


class ScriptedServer(http.server.ThreadingHTTPServer):
    """Sends every request the same response and records the requests."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.status, self.headers, self.body = 200, {}, b"{}"
        # Bytes of the response sent before the connection closes.
        self.truncate_at = None
        self.stalled = threading.Event()
        self.received = threading.Event()
        self.requests = []

    @property
    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _answer(self):
        script = self.server
        length = int(self.headers.get("Content-Length") or 0)
        request = (self.command, self.path, self.rfile.read(length))
        script.requests.append(request)
        script.received.set()
        if script.stalled.is_set():
            self.rfile.read(1)  # Blocks until the client closes the connection.
            self.close_connection = True
            return
        if script.truncate_at is not None:
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"
            self.wfile.write(head[: script.truncate_at])
            self.close_connection = True
            return
        self.send_response(script.status)
        for name, value in script.headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(script.body)))
        self.end_headers()
        self.wfile.write(script.body)

    do_GET = do_POST = do_PUT = do_DELETE = _answer  # noqa: N815

    def log_message(self, *_):
        pass


@pytest.fixture
def script():
    server = ScriptedServer()
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.fixture
def channel(script):
    opened = client.Channel(script.address)
    yield opened
    opened.close()


_TRANSACTION = edges.Transaction(
    ids.WriteId("w1"),
    (edges.Put("k", b"\x00\xff", 0),),
    (edges.Delete("d", 4),),
)
CALLS = {
    "read": lambda c: client.HttpTable(c).read("ledger/a b"),
    "scan": lambda c: client.HttpTable(c).scan("a/", "a/é", 7),
    "commit": lambda c: client.HttpTable(c).commit(_TRANSACTION),
    "fetch": lambda c: client.HttpObjects(c).fetch("o/1"),
    "store": lambda c: client.HttpObjects(c).store("o/1", b"\x00\r\n"),
    "remove": lambda c: client.HttpObjects(c).remove("o/1"),
    "list": lambda c: client.HttpInstances(c).fetch(),
    "permit": lambda c: client.HttpWeights(c).request_read("m", "v2"),
}
LISTED = {
    "name": "e1",
    "role": "entry",
    "data_centre": "amman-1",
    "address": "127.0.0.1:1",
    "status": "leaving",
}
RESPONSES = [
    ("read", 200, _ROW, edges.Row("ledger/a b", b"\x00\x01\xff", 3)),
    ("read", 404, {}, None),
    (
        "scan",
        200,
        {"rows": [_ROW]},
        (edges.Row(**_ROW | {"value": b"\0\1\xff"}),),
    ),
    ("commit", 200, {"versions": [1]}, edges.Committed((1,))),
    ("fetch", 200, {"raw": 1}, b'{"raw": 1}'),
    ("fetch", 404, {}, None),
    ("store", 200, {}, None),
    ("store", 204, {}, None),
    ("remove", 404, {}, None),
    (
        "list",
        200,
        {"instances": [LISTED]},
        (
            edges.ListedInstance(
                "e1",
                edges.InstanceRole.ENTRY,
                "amman-1",
                "127.0.0.1:1",
                edges.InstanceStatus.LEAVING,
            ),
        ),
    ),
    ("permit", 200, {}, None),
]


@pytest.mark.parametrize(("call", "status", "body", "expected"), RESPONSES)
def test_a_response_is_decoded(script, channel, call, status, body, expected):
    script.status, script.body = status, json.dumps(body).encode()
    assert CALLS[call](channel) == result.Ok(expected)


REQUESTS = {
    "read": ("GET", "/table/rows/ledger/a%20b", b""),
    "scan": ("GET", "/table/rows?prefix=a%2F&after=a%2F%C3%A9&limit=7", b""),
    "commit": (
        "POST",
        "/table/transactions",
        b'{"write_id":"w1",'
        b'"puts":[{"key":"k","value":"AP8=","expected":0}],'
        b'"deletes":[{"key":"d","expected":4}]}',
    ),
    "fetch": ("GET", "/objects/o/1", b""),
    "store": ("PUT", "/objects/o/1", b"\x00\r\n"),
    "remove": ("DELETE", "/objects/o/1", b""),
    "list": ("GET", "/instances", b""),
    "permit": ("POST", "/weights/permits", b'{"model":"m","version":"v2"}'),
}


@pytest.mark.parametrize("call", CALLS)
def test_each_call_sends_the_request_of_the_protocol(script, channel, call):
    CALLS[call](channel)
    assert script.requests == [REQUESTS[call]]


ERROR_RESPONSES = [
    (503, {"X-Effect": "none"}, b"", errors.Unavailable),
    (503, {}, b"", errors.Unanswered),
    (500, {"X-Effect": "none"}, b"", errors.Unanswered),
    (502, {}, b"", errors.Unanswered),
    (302, {"Location": "/"}, b"", errors.Unanswered),
    (400, {}, b"", errors.Unanswered),
    (409, {}, b"no json", errors.Unanswered),
]


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    ("status", "headers", "body", "failure"), ERROR_RESPONSES
)
def test_each_error_response_has_its_failure(
    script, channel, call, status, headers, body, failure
):
    script.status, script.headers, script.body = status, headers, body
    assert type(CALLS[call](channel).unwrap_err()) is failure


@pytest.mark.parametrize("call", ["commit", "store", "permit"])
def test_not_found_is_not_a_success(script, channel, call):
    script.status, script.body = 404, b"not found"
    failure = CALLS[call](channel).unwrap_err()
    assert type(failure) is errors.Unanswered


@pytest.mark.parametrize("call", ["read", "scan", "commit", "list"])
def test_an_undecodable_response_leaves_the_effect_unknown(
    script, channel, call
):
    script.body = b'{"versions": "one"'
    failure = CALLS[call](channel).unwrap_err()
    assert type(failure) is errors.Unanswered


def test_a_conflict_lists_its_keys(script, channel):
    script.status, script.body = 409, b'{"keys": ["k"]}'
    assert CALLS["commit"](channel) == result.Err(
        errors.Conflicted(keys=("k",))
    )


@pytest.mark.parametrize(
    ("header", "wait_s"), [("2.5", 2.5), ("soon", 1.0), ("-3", 0.0)]
)
def test_throttling_has_the_time_to_wait(script, channel, header, wait_s):
    script.status, script.headers = 429, {"Retry-After": header}
    failure = CALLS["permit"](channel).unwrap_err()
    assert failure.retry_after_s == wait_s
    assert type(failure) is errors.Throttled


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("truncate_at", [0, 10, 40])
def test_a_truncated_response_leaves_the_effect_unknown(
    script, channel, call, truncate_at
):
    script.truncate_at = truncate_at
    failure = CALLS[call](channel).unwrap_err()
    assert type(failure) is errors.Unanswered


def test_a_slow_response_times_out(script):
    script.stalled.set()
    channel = client.Channel(script.address, read_timeout_s=0.05)
    failure = CALLS["commit"](channel).unwrap_err()
    assert type(failure) is errors.Unanswered
    # The server thread may read the request only after the client timed out.
    assert script.received.wait(10.0)
    channel.close()
    assert len(script.requests) == 1


@pytest.mark.parametrize("call", CALLS)
def test_a_refused_connection_has_no_effect(call):
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        failure = CALLS[call](client.Channel(address)).unwrap_err()
    assert type(failure) is errors.Unavailable
