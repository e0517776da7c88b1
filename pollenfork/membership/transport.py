"""gRPC client and server for calls between entry instances."""

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

_CALL_TIMEOUT_S = 2.0
_SETTINGS_TIMEOUT_S = 5.0
_MAX_SETTINGS_BYTES = 32 * 1024 * 1024
_SERVER_THREADS = 2
_MAX_SERVER_CALLS = 16
_MAX_CHANNELS = 4

Answer = result.Result[bytes, errors.PeerFailure]


class Service(Protocol):
    """Handles the server's calls; may take locks."""

    def serve_state(self) -> Answer:
        """Returns the instance's full state as an encoded heartbeat."""

    def serve_exchange(self, body: bytes) -> Answer:
        """Processes a summary and returns one."""

    def serve_settings(self, revision: ids.Revision) -> Answer:
        """Returns the settings tree of a revision; 0 for the one in force."""


class Server:
    """gRPC server on a small pool of threads."""

    def __init__(self, service: Service) -> None:
        self._server = grpc.server(
            futures.ThreadPoolExecutor(
                _SERVER_THREADS, thread_name_prefix="peer-server"
            ),
            maximum_concurrent_rpcs=_MAX_SERVER_CALLS,
            options=(
                ("grpc.max_receive_message_length", wire.SUMMARY_LIMIT),
                ("grpc.so_reuseport", 0),
            ),
        )
        peer_pb2_grpc.add_PeerServicer_to_server(
            _Servicer(service), self._server
        )

    def bind(self, address: str) -> int:
        """Binds the address and returns its port.

        Raises:
            RuntimeError: The address is in use.
        """
        return self._server.add_insecure_port(address)

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Rejects new calls and cancels running ones after `grace_s`."""
        self._server.stop(grace_s).wait()


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, service: Service) -> None:
        self._service = service

    def FetchState(  # noqa: N802
        self, request: peer_pb2.Frame, context: grpc.ServicerContext
    ) -> peer_pb2.Frame | None:
        del request  # Empty: the caller's state comes with its heartbeats.
        return _to_frame(self._service.serve_state(), context)

    def Exchange(  # noqa: N802
        self, request: peer_pb2.Frame, context: grpc.ServicerContext
    ) -> peer_pb2.Frame | None:
        context.set_compression(grpc.Compression.Gzip)
        return _to_frame(self._service.serve_exchange(request.body), context)

    def FetchSettings(  # noqa: N802
        self, request: peer_pb2.SettingsRequest, context: grpc.ServicerContext
    ) -> peer_pb2.SettingsReply:
        if request.format != wire.FORMAT:
            detail = f"format {request.format}, this version: {wire.FORMAT}"
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, detail)
        revision = ids.Revision(request.revision)
        answer = self._service.serve_settings(revision)
        if answer.is_err():
            _abort(answer.unwrap_err(), context)
        return peer_pb2.SettingsReply(copy=answer.unwrap())


def _to_frame(
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
    """gRPC client that opens channels on demand and keeps a few of them.

    Args:
        call_s: Timeout of a call in seconds.
    """

    def __init__(self, call_s: float = _CALL_TIMEOUT_S) -> None:
        self._call_s = call_s
        self._lock = threading.Lock()
        self._idle = threading.Condition(self._lock)
        self._calls_running = 0
        self._channels: collections.OrderedDict[str, grpc.Channel] = (
            collections.OrderedDict()
        )

    def fetch_state(
        self, address: str, on_answer: Callable[[Answer], None]
    ) -> None:
        """Fetches a peer's state; `on_answer` runs in another thread."""
        stub = peer_pb2_grpc.PeerStub(self._get_channel(address))
        self._call(address, stub.FetchState, b"", on_answer)

    def exchange(
        self, address: str, body: bytes, on_answer: Callable[[Answer], None]
    ) -> None:
        """Exchanges summaries; `on_answer` runs in another thread."""
        stub = peer_pb2_grpc.PeerStub(self._get_channel(address))
        self._call(address, stub.Exchange, body, on_answer)

    def fetch_settings(self, address: str, revision: ids.Revision) -> Answer:
        """Fetches a peer's settings tree; blocks for up to five seconds."""
        stub = peer_pb2_grpc.PeerStub(self._get_channel(address))
        request = peer_pb2.SettingsRequest(
            format=wire.FORMAT, revision=revision
        )
        try:
            reply = stub.FetchSettings(request, timeout=_SETTINGS_TIMEOUT_S)
        except grpc.RpcError as error:
            self._discard(address)
            return result.Err(_to_failure(error))
        return result.Ok(reply.copy)

    def wait_idle(self, timeout_s: float) -> None:
        """Waits until no call is running, or for `timeout_s`."""
        with self._idle:
            self._idle.wait_for(lambda: not self._calls_running, timeout_s)

    def close(self) -> None:
        """Closes all channels; running calls fail."""
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
            answer = _to_answer(call)
            if answer.is_err():
                self._discard(address)
            on_answer(answer)
            with self._lock:
                self._calls_running -= 1
                self._idle.notify_all()

        with self._lock:
            self._calls_running += 1
        call = method.future(
            peer_pb2.Frame(body=body),
            timeout=self._call_s,
            compression=grpc.Compression.Gzip,
        )
        call.add_done_callback(finish)

    def _get_channel(self, address: str) -> grpc.Channel:
        with self._lock:
            channel = self._channels.pop(address, None)
            if channel is None:
                channel = _connect(address)
            self._channels[address] = channel
            if len(self._channels) <= _MAX_CHANNELS:
                return channel
            _, oldest = self._channels.popitem(last=False)
        oldest.close()
        return channel

    def _discard(self, address: str) -> None:
        """Closes a failed channel, which also discards its backoff."""
        with self._lock:
            channel = self._channels.pop(address, None)
        if channel:
            channel.close()


def _connect(address: str) -> grpc.Channel:
    return grpc.insecure_channel(
        address,
        options=(
            ("grpc.max_receive_message_length", _MAX_SETTINGS_BYTES),
            ("grpc.use_local_subchannel_pool", 1),
            ("grpc.enable_http_proxy", 0),
        ),
    )


def _to_answer(call: grpc.Future) -> Answer:
    try:
        return result.Ok(call.result().body)
    except grpc.RpcError as error:
        return result.Err(_to_failure(error))
    except grpc.FutureCancelledError:
        return result.Err(errors.Unreachable(detail="the channel closed"))


def _to_failure(error: grpc.RpcError) -> errors.PeerFailure:
    status = error.code()
    failure = _FAILURES.get(status, errors.Refused)
    return failure(detail=f"{status.name.lower()}: {error.details()}")
