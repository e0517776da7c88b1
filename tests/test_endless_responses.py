"""Responses to the entry's own calls that never end."""

import http.server
import threading

import pytest

from pollenfork.answers import engine
from pollenfork.answers import messages as answers
from pollenfork.endpoints import client as endpoints
from pollenfork.endpoints import edges
from pollenfork.store import client as store
from pollenfork.store import errors

MOST_BYTES = 64 << 20
PIECE = b"a" * 65_536


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers every call with bytes that don't end."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        sent = 0
        try:
            if self.server.is_head:
                self.wfile.write(b"HTTP/1.1 200 OK\r\n")
            else:
                self.wfile.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while sent < MOST_BYTES:
                piece = (
                    b"x-more: 1\r\n" * 4000 if self.server.is_head else PIECE
                )
                self.wfile.write(piece)
                sent += len(piece)
        except OSError:
            pass
        self.server.sent = sent
        self.server.ended.set()
        self.close_connection = True

    do_POST = do_GET  # noqa: N815

    def log_message(self, *args) -> None:
        pass


@pytest.fixture(params=[False, True], ids=["body", "fields"])
def server(request):
    made = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    made.daemon_threads = True
    made.is_head = request.param
    made.ended = threading.Event()
    thread = threading.Thread(target=made.serve_forever, daemon=True)
    thread.start()
    yield made
    made.shutdown()
    made.server_close()


def get_address(server) -> str:
    return f"127.0.0.1:{server.server_port}"


def check_closed(server) -> None:
    assert server.ended.wait(10)
    assert server.sent < 32 << 20


def test_an_endless_answer_of_the_store_is_closed(server) -> None:
    """Guards against a store whose answer fills this process's memory."""
    table = store.HttpTable(store.Channel(get_address(server)))
    read = table.read("key")
    assert isinstance(read.err_value, errors.Unanswered)
    check_closed(server)


def test_an_endless_report_of_an_endpoint_is_closed(server) -> None:
    endpoint = endpoints.HttpEndpoint(
        get_address(server), endpoints.make_pool()
    )
    assert isinstance(endpoint.check_ready().err_value, edges.Unanswered)
    check_closed(server)


def test_an_endless_answer_to_a_cancel_is_closed(server) -> None:
    limits = answers.Limits()
    cancelled = engine.cancel(get_address(server), "a", limits)
    assert isinstance(cancelled.err_value, edges.Unanswered)
    check_closed(server)
