"""gRPC calls between entry instances, both ends."""

import collections
from collections.abc import Callable
from concurrent import futures
import threading
from typing import Protocol

import grpc
import result

from pollenfork import ids
from pollenfork.membership import errors
from pollenfork.membership import peer_pb2
from pollenfork.membership import peer_pb2_grpc
from pollenfork.membership import wire

_CALL_S = 2.0
_SETTINGS_S = 5.0
_SETTINGS_LIMIT = 32 * 1024 * 1024
_SERVER_THREADS = 2
_SERVER_CALLS = 16
_CHANNELS = 4

Answer = result.Result[bytes, errors.PeerFailure]


class Service(Protocol):
    """What the server end asks of its instance; may take locks."""

    def serve_state(self) -> Answer:
        """Returns the instance's whole state as a heartbeat's bytes."""

    def serve_exchange(self, body: bytes) -> Answer:
        """Takes in a summary and returns one."""

    def serve_settings(self, revision: ids.Revision) -> Answer:
        """Returns the settings tree of a revision; 0 for that in force."""


class Server:
    """The server end, on a small pool of threads."""

    def __init__(self, service: Service) -> None:
        self._server = grpc.server(
            futures.ThreadPoolExecutor(
                _SERVER_THREADS, thread_name_prefix="peer-server"
            ),
            maximum_concurrent_rpcs=_SERVER_CALLS,
            options=(
                ("grpc.max_receive_message_length", wire.SUMMARY_LIMIT),
                ("grpc.so_reuseport", 0),
            ),
        )
        peer_pb2_grpc.add_PeerServicer_to_server(
            _Servicer(service), self._server
        )

    def bind(self, address: str) -> int:
        """Takes the address and returns its port.

        Raises:
            RuntimeError: The address is taken.
        """
        return self._server.add_insecure_port(address)

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Refuses new calls and ends running ones after `grace_s`."""
        self._server.stop(grace_s).wait()


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, service: Service) -> None:
        self._service = service

    def FetchState(  # noqa: N802
        self, request: peer_pb2.Frame, context: grpc.ServicerContext
    ) -> peer_pb2.Frame | None:
        del request  # The caller's state comes with its heartbeats.
        return _frame(self._service.serve_state(), context)

    def Exchange(  # noqa: N802
        self, request: peer_pb2.Frame, context: grpc.ServicerContext
    ) -> peer_pb2.Frame | None:
        context.set_compression(grpc.Compression.Gzip)
        return _frame(self._service.serve_exchange(request.body), context)

    def FetchSettings(  # noqa: N802
        self, request: peer_pb2.SettingsRequest, context: grpc.ServicerContext
    ) -> peer_pb2.SettingsReply:
        if request.format != wire.FORMAT:
            detail = f"format {request.format}, this version: {wire.FORMAT}"
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, detail)
        revision = ids.Revision(request.revision)
        found = self._service.serve_settings(revision)
        if found.is_err():
            _abort(found.unwrap_err(), context)
        return peer_pb2.SettingsReply(copy=found.unwrap())


def _frame(
    answer: Answer, context: grpc.ServicerContext
) -> peer_pb2.Frame | None:
    if answer.is_err():
        _abort(answer.unwrap_err(), context)
    return peer_pb2.Frame(body=answer.unwrap())


_STATUSES = {
    errors.Undecodable: grpc.StatusCode.INVALID_ARGUMENT,
    errors.Oversized: grpc.StatusCode.OUT_OF_RANGE,
    errors.UnknownFormat: grpc.StatusCode.FAILED_PRECONDITION,
    errors.TimedOut: grpc.StatusCode.DEADLINE_EXCEEDED,
    errors.Refused: grpc.StatusCode.NOT_FOUND,
}
_FAILURES: dict[grpc.StatusCode, type[errors.PeerFailure]] = {
    status: failure for failure, status in _STATUSES.items()
}
_FAILURES[grpc.StatusCode.UNAVAILABLE] = errors.Unreachable


def _abort(failure: errors.PeerFailure, context: grpc.ServicerContext) -> None:
    status = _STATUSES.get(type(failure), grpc.StatusCode.INTERNAL)
    context.abort(status, failure.detail)


class Client:
    """The client end: few channels at a time, each made when needed.

    Args:
        call_s: Seconds for a peer to answer.
    """

    def __init__(self, call_s: float = _CALL_S) -> None:
        self._call_s = call_s
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._running = 0
        self._channels: collections.OrderedDict[str, grpc.Channel] = (
            collections.OrderedDict()
        )

    def fetch_state(
        self, address: str, on_answer: Callable[[Answer], None]
    ) -> None:
        """Asks for a peer's state; `on_answer` runs in another thread."""
        stub = peer_pb2_grpc.PeerStub(self._open(address))
        self._call(address, stub.FetchState, b"", on_answer)

    def exchange(
        self, address: str, body: bytes, on_answer: Callable[[Answer], None]
    ) -> None:
        """Swaps summaries; `on_answer` runs in another thread."""
        stub = peer_pb2_grpc.PeerStub(self._open(address))
        self._call(address, stub.Exchange, body, on_answer)

    def fetch_settings(self, address: str, revision: ids.Revision) -> Answer:
        """Returns a peer's settings tree; takes up to five seconds."""
        stub = peer_pb2_grpc.PeerStub(self._open(address))
        request = peer_pb2.SettingsRequest(
            format=wire.FORMAT, revision=revision
        )
        try:
            reply = stub.FetchSettings(request, timeout=_SETTINGS_S)
        except grpc.RpcError as error:
            self._drop(address)
            return result.Err(_read_failure(error))
        return result.Ok(reply.copy)

    def wait_idle(self, timeout_s: float) -> None:
        """Returns when no call is under way, at the latest in time."""
        with self._idle:
            self._idle.wait_for(lambda: not self._running, timeout_s)

    def close(self) -> None:
        """Closes every channel; calls under way fail."""
        with self._lock:
            channels = list(self._channels.values())
            self._channels.clear()
        for channel in channels:
            channel.close()

    def _call(
        self,
        address: str,
        method: grpc.UnaryUnaryMultiCallable,
        body: bytes,
        on_answer: Callable[[Answer], None],
    ) -> None:
        def finish(call: grpc.Future) -> None:
            answer = _read_answer(call)
            if answer.is_err():
                self._drop(address)
            on_answer(answer)
            with self._lock:
                self._running -= 1
                self._idle.notify_all()

        with self._lock:
            self._running += 1
        call = method.future(
            peer_pb2.Frame(body=body),
            timeout=self._call_s,
            compression=grpc.Compression.Gzip,
        )
        call.add_done_callback(finish)

    def _open(self, address: str) -> grpc.Channel:
        with self._lock:
            channel = self._channels.pop(address, None)
            if channel is None:
                channel = _connect(address)
            self._channels[address] = channel
            if len(self._channels) <= _CHANNELS:
                return channel
            _, oldest = self._channels.popitem(last=False)
        oldest.close()
        return channel

    def _drop(self, address: str) -> None:
        """Forgets a channel that failed, and with it its backoff."""
        with self._lock:
            channel = self._channels.pop(address, None)
        if channel:
            channel.close()


def _connect(address: str) -> grpc.Channel:
    return grpc.insecure_channel(
        address,
        options=(
            ("grpc.max_receive_message_length", _SETTINGS_LIMIT),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
        ),
    )


def _read_answer(call: grpc.Future) -> Answer:
    try:
        return result.Ok(call.result().body)
    except grpc.RpcError as error:
        return result.Err(_read_failure(error))
    except grpc.FutureCancelledError:
        return result.Err(errors.Unreachable(detail="the channel closed"))


def _read_failure(error: grpc.RpcError) -> errors.PeerFailure:
    status = error.code()
    failure = _FAILURES.get(status, errors.Refused)
    return failure(detail=f"{status.name.lower()}: {error.details()}")
