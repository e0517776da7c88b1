"""The platform stand-in's HTTP front: docs/platform-protocol.md."""

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
from pollenfork.standin.platform import gate as gates
from pollenfork.standin.platform import reply as replies
from pollenfork.store import edges
from pollenfork.store import errors

T = TypeVar("T")
_STOP_TIMEOUT_S = 5.0
_CONNECTION_LIMIT = 1000
_OBJECT_ROOT = "/objects/"
_ROW_ROOT = "/table/rows/"

_Environ = dict[str, Any]
_Handler = Callable[[replies.Call], replies.Reply]


class _Instances(msgspec.Struct):
    instances: tuple[edges.ListedInstance, ...]


class PlatformStandin:
    """The platform stand-in, serving in threads of its own."""

    def __init__(
        self,
        config: configs.PlatformConfig,
        clock: clocks.Clock,
        state: core.Platform | None = None,
    ) -> None:
        """Prepares the front.

        Args:
            config: Its settings.
            clock: Times the rates, the lag and the memory of write ids.
            state: Shared with other fronts, for a partition between them.
        """
        self.state = state or core.Platform(config)
        self._config = config
        self._gate = gates.Gate(self.state, clock, config.faults, time.sleep)
        self._server: waitress.server.BaseWSGIServer | None = None
        self._thread: threading.Thread | None = None
        self._routes: dict[tuple[str, str], _Handler] = {
            ("GET", "/table/rows"): self._scan,
            ("POST", "/table/transactions"): self._commit,
            ("GET", "/instances"): self._list_instances,
            ("POST", "/instances"): self._set_instances,
            ("POST", "/weights/permits"): self._request_permit,
            ("GET", "/faults"): self._report_faults,
            ("POST", "/faults"): self._change_faults,
            ("GET", "/counts"): self._report_counts,
        }
        self._roots: dict[tuple[str, str], _Handler] = {
            ("GET", _ROW_ROOT): self._read,
            ("GET", _OBJECT_ROOT): self._fetch,
            ("PUT", _OBJECT_ROOT): self._store,
            ("DELETE", _OBJECT_ROOT): self._remove,
        }

    def start(self) -> str:
        """Listens; returns the address as `host:port`."""
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
        """Closes every connection and ends the threads."""
        if self._server is None or self._thread is None:
            return
        # The loop's own thread closes, so that it needn't wait for its timeout.
        # Another thread's pull may make it close before this one's write.
        with contextlib.suppress(OSError):
            self._server.trigger.pull_trigger(self._close)
        self._server.task_dispatcher.shutdown()
        self._thread.join(_STOP_TIMEOUT_S)

    def set_faults(self, faults: configs.Faults) -> None:
        """Puts faults in force for the calls to come."""
        self._gate.set_faults(faults)

    def set_instances(
        self, instances: tuple[edges.ListedInstance, ...]
    ) -> None:
        """Changes the instance list; it is seen after the lag."""
        self._gate.run(lambda state, now: state.set_instances(instances, now))

    def _close(self) -> None:
        assert self._server is not None
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.close()

    def _serve(
        self, environ: _Environ, start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        call = replies.read_call(environ)
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
        for (method, root), handler in self._roots.items():
            if method == call.method and call.path.startswith(root):
                return functools.partial(_call_with_key, handler, root)
        return _answer_unknown_path

    def _read(self, call: replies.Call) -> replies.Reply:
        key = call.path
        found = self._gate.call(
            configs.Operation.READ, lambda state, now: state.read(key, now)
        )
        return _answer(found, _encode_found)

    def _scan(self, call: replies.Call) -> replies.Reply:
        prefix = call.query.get("prefix", "")
        after = call.query.get("after", "")
        limit = int(call.query.get("limit", "1000"))
        found = self._gate.call(
            configs.Operation.SCAN,
            lambda state, now: state.scan(prefix, after, limit, now),
        )
        return _answer(found, lambda rows: replies.write_json({"rows": rows}))

    def _commit(self, call: replies.Call) -> replies.Reply:
        transaction = msgspec.json.decode(call.body, type=edges.Transaction)
        committed = self._gate.call(
            configs.Operation.COMMIT,
            lambda state, now: state.commit(transaction, now),
        )
        return _answer(committed, replies.write_json)

    def _fetch(self, call: replies.Call) -> replies.Reply:
        key = call.path
        found = self._gate.call(
            configs.Operation.FETCH, lambda state, now: state.fetch(key, now)
        )
        return _answer(found, _write_object)

    def _store(self, call: replies.Call) -> replies.Reply:
        stored = self._gate.call(
            configs.Operation.STORE,
            lambda state, now: state.store(call.path, call.body, now),
        )
        return _answer(stored, _write_nothing)

    def _remove(self, call: replies.Call) -> replies.Reply:
        key = call.path
        removed = self._gate.call(
            configs.Operation.REMOVE, lambda state, now: state.remove(key, now)
        )
        return _answer(removed, _write_nothing)

    def _list_instances(self, call: replies.Call) -> replies.Reply:
        del call
        listed = self._gate.list_instances()
        return _answer(
            listed, lambda known: replies.write_json({"instances": known})
        )

    def _set_instances(self, call: replies.Call) -> replies.Reply:
        listed = msgspec.json.decode(call.body, type=_Instances)
        self.set_instances(listed.instances)
        return replies.write_json({})

    def _request_permit(self, call: replies.Call) -> replies.Reply:
        del call
        permitted = self._gate.call(
            configs.Operation.PERMIT,
            lambda state, now: state.request_permit(now),
        )
        return _answer(permitted, _write_nothing)

    def _report_faults(self, call: replies.Call) -> replies.Reply:
        del call
        return replies.write_json(self._gate.faults)

    def _change_faults(self, call: replies.Call) -> replies.Reply:
        present = msgspec.to_builtins(self._gate.faults)
        changed = {**present, **msgspec.json.decode(call.body, type=dict)}
        self.set_faults(msgspec.convert(changed, type=configs.Faults))
        return replies.write_json(self._gate.faults)

    def _report_counts(self, call: replies.Call) -> replies.Reply:
        del call
        counts = self._gate.run(lambda state, now: state.get_counts())
        return replies.write_json(counts)


def _call_with_key(
    handler: _Handler, root: str, call: replies.Call
) -> replies.Reply:
    key = call.path.removeprefix(root)
    return handler(msgspec.structs.replace(call, path=key))


def _answer_unknown_path(call: replies.Call) -> replies.Reply:
    return replies.Reply("404 Not Found", call.path.encode())


def _answer(
    outcome: result.Result[T, errors.PlatformFailure],
    write: Callable[[T], replies.Reply],
) -> replies.Reply:
    if isinstance(outcome, result.Ok):
        return write(outcome.ok_value)
    return replies.write_failure(outcome.err_value)


def _encode_found(row: edges.Row | None) -> replies.Reply:
    if row is None:
        return replies.Reply("404 Not Found")
    return replies.write_json(row)


def _write_object(body: bytes | None) -> replies.Reply:
    if body is None:
        return replies.Reply("404 Not Found")
    return replies.Reply("200 OK", body, "application/octet-stream")


def _write_nothing(done: None) -> replies.Reply:
    del done
    return replies.write_json({})
