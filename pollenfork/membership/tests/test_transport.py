"""gRPC client and server against each other, with failure cases."""

import socket
import threading

import grpc
import pytest
import result

from pollenfork import ids
from pollenfork.membership import errors
from pollenfork.membership import peer_pb2
from pollenfork.membership import transport
from pollenfork.membership import wire


class FakeService:
    """Returns a preset answer; blocks while `gate` isn't set."""

    def __init__(self):
        self.gate = threading.Event()
        self.gate.set()
        self.answer = result.Ok(b"answer")

    def serve_state(self):
        self.gate.wait()
        return self.answer

    def serve_exchange(self, body):
        return wire.decode_summary(body).map(lambda summary: b"answer")

    def serve_settings(self, revision):
        return self.answer if revision == 7 else result.Err(errors.Refused())


@pytest.fixture
def service():
    return FakeService()


@pytest.fixture
def address(service):
    server = transport.Server(service)
    port = server.bind("127.0.0.1:0")
    server.start()
    yield f"127.0.0.1:{port}"
    service.gate.set()
    server.stop(0)


@pytest.fixture
def client():
    made = transport.Client(call_s=5.0)
    yield made
    made.close()


def _wait(call, *arguments):
    answers = []
    done = threading.Event()

    def take(answer):
        answers.append(answer)
        done.set()

    call(*arguments, take)
    assert done.wait(10)
    return answers[0]


_SUMMARY = wire.Summary(1, ids.InstanceId("e"), ids.DataCentre("a"), ())


def test_state_and_summary_are_transferred(address, client):
    assert _wait(client.fetch_state, address) == result.Ok(b"answer")
    body = wire.encode(_SUMMARY)
    assert _wait(client.exchange, address, body) == result.Ok(b"answer")
    client.wait_idle(5.0)


@pytest.mark.parametrize(
    ("body", "failure"),
    [
        (b"", errors.Undecodable),
        (b"\xff" * 64, errors.Undecodable),
        (wire.encode(_SUMMARY)[:-1], errors.Undecodable),
        (b"\x96\x09" + wire.encode(_SUMMARY)[2:], errors.UnknownFormat),
        (bytes(wire.SUMMARY_LIMIT - 100), errors.Undecodable),
        (bytes(wire.SUMMARY_LIMIT + 1), errors.Refused),
    ],
)
def test_invalid_summary_is_rejected_by_type(address, client, body, failure):
    answer = _wait(client.exchange, address, body)
    assert type(answer.unwrap_err()) is failure


@pytest.mark.parametrize(
    ("failure", "seen"),
    [
        (errors.TimedOut(), errors.TimedOut),
        (errors.Refused(), errors.Refused),
        (errors.Oversized(), errors.Oversized),
        (errors.MissingBase(), errors.Refused),
    ],
)
def test_failures_keep_their_type_over_grpc(
    service, address, client, failure, seen
):
    service.answer = result.Err(failure)
    answer = _wait(client.fetch_state, address)
    assert type(answer.unwrap_err()) is seen


def test_exception_in_peer_is_refused(service, address, client):
    service.answer = None
    answer = _wait(client.fetch_state, address)
    assert type(answer.unwrap_err()) is errors.Refused


def test_slow_peer_times_out(service, address):
    service.gate.clear()
    client = transport.Client(call_s=0.05)
    answer = _wait(client.fetch_state, address)
    assert type(answer.unwrap_err()) is errors.TimedOut
    client.close()


def test_stopped_peer_is_unreachable_until_restarted(client, service):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    answer = _wait(client.fetch_state, address)
    assert type(answer.unwrap_err()) is errors.Unreachable
    server = transport.Server(service)
    server.bind(address)
    server.start()
    assert _wait(client.fetch_state, address).is_ok()
    server.stop(0)


def test_bind_raises_if_address_is_in_use(service, address):
    with pytest.raises(RuntimeError):
        transport.Server(service).bind(address)


def test_more_peers_than_channels_are_served(service, client):
    servers = [transport.Server(service) for _ in range(6)]
    ports = [server.bind("127.0.0.1:0") for server in servers]
    for server in servers:
        server.start()
    for port in ports * 2:
        assert _wait(client.fetch_state, f"127.0.0.1:{port}").is_ok()
    for server in servers:
        server.stop(0)


@pytest.mark.parametrize(
    ("size", "revision", "failure"),
    [
        (3 * 1024 * 1024, 7, None),
        (10, 8, errors.Refused),
        (33 * 1024 * 1024, 7, errors.Refused),
    ],
)
def test_settings_are_transferred_or_fail(
    service, address, client, size, revision, failure
):
    service.answer = result.Ok(bytes(size))
    answer = client.fetch_settings(address, ids.Revision(revision))
    if failure is None:
        assert answer == service.answer
    else:
        assert type(answer.unwrap_err()) is failure


def test_unknown_settings_format_is_rejected(address):
    with grpc.insecure_channel(address) as channel:
        call = channel.unary_unary(
            "/pollenfork.membership.Peer/FetchSettings",
            request_serializer=peer_pb2.SettingsRequest.SerializeToString,
        )
        with pytest.raises(grpc.RpcError) as caught:
            call(peer_pb2.SettingsRequest(format=2, revision=7), timeout=5)
    assert caught.value.code() is grpc.StatusCode.FAILED_PRECONDITION


def test_server_keeps_serving_after_invalid_bytes(address, client):
    with grpc.insecure_channel(address) as channel:
        call = channel.unary_unary("/pollenfork.membership.Peer/Exchange")
        with pytest.raises(grpc.RpcError):
            call(b"\xff\xff\xff", timeout=5)
    assert _wait(client.fetch_state, address).is_ok()
