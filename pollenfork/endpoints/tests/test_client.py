"""The client with the engine stand-in, and with servers that answer badly."""

import contextlib
import socket
import threading

import msgspec
import pytest
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.endpoints import client
from pollenfork.endpoints import edges
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import front

POOL = client.make_pool()


@pytest.fixture(name="engine")
def fixture_engine():
    engine = front.EngineStandin(configs.EngineConfig(), clock.ManualClock())
    address = engine.start()
    yield engine, client.HttpEndpoint(address, POOL)
    engine.stop()


@contextlib.contextmanager
def answer_with(raw):
    """Answers one connection with `raw`."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(raw)

        thread = threading.Thread(target=serve)
        thread.start()
        port = server.getsockname()[1]
        yield client.HttpEndpoint(f"127.0.0.1:{port}", client.make_pool())
        thread.join()


def make_order(number=1, **fields):
    order = edges.Order(
        order_id=f"e1:{number}",
        kind=edges.OrderKind.LOAD_MODEL,
        argument="m@2",
        fencing=ids.FencingNumber(number),
    )
    return msgspec.structs.replace(order, **fields)


def test_control_calls_of_an_engine(engine):
    standin, endpoint = engine
    assert endpoint.check_ready() == result.Ok(True)
    assert endpoint.fetch_cache_events(0) == result.Ok(())
    cancelled = endpoint.cancel(ids.AttemptId("a1"))
    assert cancelled == result.Ok(edges.CancelOutcome.UNKNOWN_REQUEST)
    assert endpoint.give_order(make_order(2)) == result.Ok(None)
    assert "m@2" in endpoint.fetch_load().ok_value.models
    stale = endpoint.give_order(make_order(1))
    assert isinstance(stale.err_value, edges.Fenced)
    standin.set_faults(configs.Faults(leaving=True))
    assert endpoint.check_ready() == result.Ok(False)
    standin.set_faults(configs.Faults(down=True))
    assert isinstance(endpoint.check_ready().err_value, edges.Unanswered)


def test_refused_connection_is_reported():
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    endpoint = client.HttpEndpoint(f"127.0.0.1:{port}", POOL)
    failure = endpoint.check_ready().err_value
    assert isinstance(failure, edges.Unreachable)
    assert failure.refused


@pytest.mark.parametrize(
    ("raw", "kind"),
    [
        (b"", edges.Unanswered),
        (b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", edges.Unanswered),
        (b"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", edges.Unanswered),
        (
            b"HTTP/1.1 503 E\r\nX-Outcome: not_run\r\n"
            b"Content-Length: 0\r\n\r\n",
            edges.Rejected,
        ),
        (b"HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n", edges.Rejected),
        (b"HTTP/1.1 409 E\r\nContent-Length: 0\r\n\r\n", edges.Fenced),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", edges.Unanswered),
    ],
)
def test_failed_order(raw, kind):
    with answer_with(raw) as endpoint:
        assert type(endpoint.give_order(make_order()).err_value) is kind


@pytest.mark.parametrize(
    ("raw", "answer"),
    [
        (b"HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n", result.Ok(False)),
        (b"HTTP/1.1 404 E\r\nContent-Length: 0\r\n\r\n", result.Ok(True)),
    ],
)
def test_readiness_by_status(raw, answer):
    with answer_with(raw) as endpoint:
        assert endpoint.check_ready() == answer


def test_report_with_invalid_json():
    raw = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"
    with answer_with(raw) as endpoint:
        assert isinstance(endpoint.fetch_load().err_value, edges.Rejected)
