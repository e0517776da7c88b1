"""HTTP server of the platform stand-in; see docs/platform-protocol.md."""

from collections.abc import Callable, Iterable
import contextlib
import functools
import threading
import time
from typing import Any, TypeVar

import msgspec
import result
import waitress
import waitress.server

from pollenfork import clock as clocks
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import core
from pollenfork.standin.platform import fault_injector
from pollenfork.standin.platform import reply as replies
from pollenfork.store import edges
from pollenfork.store import errors

T = TypeVar("T")
_STOP_TIMEOUT_S = 5.0
_CONNECTION_LIMIT = 1000
_OBJECT_PREFIX = "/objects/"
_ROW_PREFIX = "/table/rows/"

_Environ = dict[str, Any]
_Handler = Callable[[replies.Call], replies.Reply]


class _Instances(msgspec.Struct):
    instances: tuple[edges.ListedInstance, ...]


class PlatformStandin:
    """The platform stand-in as an HTTP server with its own threads."""

    def __init__(
        self,
        config: configs.PlatformConfig,
        clock: clocks.Clock,
        state: core.Platform | None = None,
    ) -> None:
        """Prepares the server.

        Args:
            config: Settings of the stand-in.
            clock: Clock for rate limits, list lag and expiry of write ids.
            state: State to share with other servers, to simulate a partition.
        """
        self.state = state or core.Platform(config)
        self._config = config
        self._injector = fault_injector.FaultInjector(
            self.state, clock, config.faults, time.sleep
        )
        self._server: waitress.server.BaseWSGIServer | None = None
        self._thread: threading.Thread | None = None
        self._routes: dict[tuple[str, str], _Handler] = {
            ("GET", "/table/rows"): self._scan,
            ("POST", "/table/transactions"): self._commit,
            ("GET", "/instances"): self._list_instances,
            ("POST", "/instances"): self._set_instances,
            ("POST", "/weights/permits"): self._request_permit,
            ("GET", "/faults"): self._get_faults,
            ("POST", "/faults"): self._update_faults,
            ("GET", "/counts"): self._get_counts,
        }
        self._prefix_routes: dict[tuple[str, str], _Handler] = {
            ("GET", _ROW_PREFIX): self._read,
            ("GET", _OBJECT_PREFIX): self._fetch,
            ("PUT", _OBJECT_PREFIX): self._store,
            ("DELETE", _OBJECT_PREFIX): self._remove,
        }

    def start(self) -> str:
        """Starts listening; returns the address as `host:port`."""
        self._server = waitress.create_server(
            self._serve,
            listen=self._config.listen,
            threads=self._config.threads,
            connection_limit=_CONNECTION_LIMIT,
            asyncore_use_poll=True,
            ident=None,
        )
        self._thread = threading.Thread(
            target=self._server.run, name="standin-platform", daemon=True
        )
        self._thread.start()
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def stop(self) -> None:
        """Closes all connections and stops the threads."""
        if self._server is None or self._thread is None:
            return
        # Closes in the event loop's thread, so that the loop needn't wait for
        # its timeout. If another thread pulls the trigger first, the loop may
        # close before this thread writes to it: hence the OSError.
        with contextlib.suppress(OSError):
            self._server.trigger.pull_trigger(self._close)
        self._server.task_dispatcher.shutdown()
        self._thread.join(_STOP_TIMEOUT_S)

    def set_faults(self, faults: configs.Faults) -> None:
        """Replaces the faults for subsequent calls."""
        self._injector.set_faults(faults)

    def set_instances(
        self, instances: tuple[edges.ListedInstance, ...]
    ) -> None:
        """Changes the instance list; callers see the change after the lag."""
        self._injector.run(
            lambda state, now: state.set_instances(instances, now)
        )

    def _close(self) -> None:
        assert self._server is not None
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.close()

    def _serve(
        self, environ: _Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        call = replies.parse_call(environ)
        try:
            reply = self._find_handler(call)(call)
        except (msgspec.MsgspecError, ValueError) as error:
            reply = replies.Reply("400 Bad Request", str(error).encode())
        start_response(reply.status, reply.make_headers())
        return [reply.body]

    def _find_handler(self, call: replies.Call) -> _Handler:
        route = self._routes.get((call.method, call.path))
        if route:
            return route
        for (method, prefix), handler in self._prefix_routes.items():
            if method == call.method and call.path.startswith(prefix):
                return functools.partial(_call_with_key, handler, prefix)
        return _reply_not_found

    def _read(self, call: replies.Call) -> replies.Reply:
        key = call.path
        found = self._injector.call(
            configs.Operation.READ, lambda state, now: state.read(key, now)
        )
        return _make_reply(found, _make_row_reply)

    def _scan(self, call: replies.Call) -> replies.Reply:
        prefix = call.query.get("prefix", "")
        after = call.query.get("after", "")
        limit = int(call.query.get("limit", "1000"))
        found = self._injector.call(
            configs.Operation.SCAN,
            lambda state, now: state.scan(prefix, after, limit, now),
        )
        return _make_reply(
            found, lambda rows: replies.make_json({"rows": rows})
        )

    def _commit(self, call: replies.Call) -> replies.Reply:
        transaction = msgspec.json.decode(call.body, type=edges.Transaction)
        committed = self._injector.call(
            configs.Operation.COMMIT,
            lambda state, now: state.commit(transaction, now),
        )
        return _make_reply(committed, replies.make_json)

    def _fetch(self, call: replies.Call) -> replies.Reply:
        key = call.path
        found = self._injector.call(
            configs.Operation.FETCH, lambda state, now: state.fetch(key, now)
        )
        return _make_reply(found, _make_object_reply)

    def _store(self, call: replies.Call) -> replies.Reply:
        stored = self._injector.call(
            configs.Operation.STORE,
            lambda state, now: state.store(call.path, call.body, now),
        )
        return _make_reply(stored, _make_empty_reply)

    def _remove(self, call: replies.Call) -> replies.Reply:
        key = call.path
        removed = self._injector.call(
            configs.Operation.REMOVE, lambda state, now: state.remove(key, now)
        )
        return _make_reply(removed, _make_empty_reply)

    def _list_instances(self, call: replies.Call) -> replies.Reply:
        del call
        listed = self._injector.list_instances()
        return _make_reply(
            listed,
            lambda instances: replies.make_json({"instances": instances}),
        )

    def _set_instances(self, call: replies.Call) -> replies.Reply:
        listed = msgspec.json.decode(call.body, type=_Instances)
        self.set_instances(listed.instances)
        return replies.make_json({})

    def _request_permit(self, call: replies.Call) -> replies.Reply:
        del call
        permitted = self._injector.call(
            configs.Operation.PERMIT,
            lambda state, now: state.request_permit(now),
        )
        return _make_reply(permitted, _make_empty_reply)

    def _get_faults(self, call: replies.Call) -> replies.Reply:
        del call
        return replies.make_json(self._injector.faults)

    def _update_faults(self, call: replies.Call) -> replies.Reply:
        current = msgspec.to_builtins(self._injector.faults)
        changed = {**current, **msgspec.json.decode(call.body, type=dict)}
        self.set_faults(msgspec.convert(changed, type=configs.Faults))
        return replies.make_json(self._injector.faults)

    def _get_counts(self, call: replies.Call) -> replies.Reply:
        del call
        counts = self._injector.run(lambda state, now: state.get_counts())
        return replies.make_json(counts)


def _call_with_key(
    handler: _Handler, prefix: str, call: replies.Call
) -> replies.Reply:
    key = call.path.removeprefix(prefix)
    return handler(msgspec.structs.replace(call, path=key))


def _reply_not_found(call: replies.Call) -> replies.Reply:
    return replies.Reply("404 Not Found", call.path.encode())


def _make_reply(
    outcome: result.Result[T, errors.PlatformFailure],
    make: Callable[[T], replies.Reply],
) -> replies.Reply:
    if isinstance(outcome, result.Ok):
        return make(outcome.ok_value)
    return replies.make_failure(outcome.err_value)


def _make_row_reply(row: edges.Row | None) -> replies.Reply:
    if row is None:
        return replies.Reply("404 Not Found")
    return replies.make_json(row)


def _make_object_reply(body: bytes | None) -> replies.Reply:
    if body is None:
        return replies.Reply("404 Not Found")
    return replies.Reply("200 OK", body, "application/octet-stream")


def _make_empty_reply(value: None) -> replies.Reply:
    del value
    return replies.make_json({})
