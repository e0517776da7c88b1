"""Reads and writes of the settings tree for operators."""

from collections.abc import Callable
import http

import msgspec
import result

from pollenfork import ids
from pollenfork.operator import errors
from pollenfork.operator import messages
from pollenfork.operator import request
from pollenfork.platform import edges as platform_edges
from pollenfork.settings import authority
from pollenfork.settings import changes
from pollenfork.settings import errors as settings_errors
from pollenfork.settings import paths
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.settings import validation
from pollenfork.settings import writer


class Reply(msgspec.Struct, frozen=True):
    """A reply, whole in memory."""

    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    status: http.HTTPStatus = http.HTTPStatus.OK


class Caller(msgspec.Struct, frozen=True):
    """An operator: the digest of the token and what it is bound to."""

    digest: str
    rights: authority.Rights


Outcome = result.Result[Reply, errors.Refusal]


class TreeHandler:
    """Serves `settings/` and `settings-history/`; any thread may call it."""

    def __init__(
        self,
        settings_writer: writer.Writer,
        table: platform_edges.TableService,
        get_in_force: Callable[[], state.InForce | None],
        report_written: Callable[[state.InForce], None],
        make_write_id: Callable[[], ids.WriteId],
    ) -> None:
        """Wires the handler.

        Args:
            settings_writer: Carries out writes.
            table: Where the history is read.
            get_in_force: Returns the settings in force here.
            report_written: Told of the tree that an accepted write made.
            make_write_id: Returns an id for a write that came without one.
        """
        self._writer = settings_writer
        self._table = table
        self._get_in_force = get_in_force
        self._report_written = report_written
        self._make_write_id = make_write_id

    def get(self, caller: Caller, text: str) -> Outcome:
        """Returns what is at a path, with its subtree's revision as ETag.

        It is read from the table; while that is away, the settings in force
        here are shown instead, and the reply says so.
        """
        path = _find_path(caller, text)
        if isinstance(path, result.Err):
            return path
        read = self._writer.read()
        tree = read.ok() or self._get_in_force()
        if tree is None:
            return result.Err(_refuse_read(read.unwrap_err()))
        value = changes.read_value(tree, path.ok_value)
        if isinstance(value, result.Err):
            return result.Err(errors.refuse_write(value.err_value))
        revision = changes.find_revision(tree, path.ok_value)
        headers = (
            ("ETag", f'"{revision}"'),
            ("X-Tree-Revision", str(tree.revision)),
            ("X-Settings-Source", "table" if read.is_ok() else "in-force"),
        )
        return result.Ok(Reply(msgspec.json.encode(value.ok_value), headers))

    def put(
        self, caller: Caller, text: str, environ: request.Environ
    ) -> Outcome:
        """Writes what is at a path, if its revision is the expected one."""
        path = _find_path(caller, text)
        if isinstance(path, result.Err):
            return path
        change = self._read_change(caller, path.ok_value, environ)
        if isinstance(change, result.Err):
            return change
        written = self._writer.write(change.ok_value)
        if isinstance(written, result.Err):
            return result.Err(errors.refuse_write(written.err_value))
        accepted = written.ok_value
        self._report_written(accepted.tree)
        reply = messages.WriteReply(
            path=str(path.ok_value),
            revision=accepted.revision,
            write_id=change.ok_value.write_id,
            repeated=accepted.repeated,
        )
        headers = (("ETag", f'"{accepted.revision}"'),)
        return result.Ok(Reply(msgspec.json.encode(reply), headers))

    def history(
        self, caller: Caller, text: str, environ: request.Environ
    ) -> Outcome:
        """Returns the kept writes of the subtree that the path is in.

        With `?revision=N` it returns the subtree as that write left it.
        """
        path = _find_path(caller, text)
        if isinstance(path, result.Err):
            return path
        subtree = path.ok_value.subtree
        if not subtree:
            detail = "the history is kept by subtree: root, teams/NAME"
            return result.Err(request.refuse_request(detail))
        read = store.read_history(self._table, subtree)
        if isinstance(read, result.Err):
            return result.Err(_refuse_read(read.err_value))
        revision = request.read_revision(environ)
        if isinstance(revision, result.Err):
            return revision
        if revision.ok_value is None:
            return result.Ok(_list_history(subtree, read.ok_value))
        for row in read.ok_value:
            if row.revision == revision.ok_value:
                return result.Ok(Reply(bytes(row.value)))
        detail = f"{subtree} keeps no write of revision {revision.ok_value}"
        failure = settings_errors.NoSuchPath(detail=detail)
        return result.Err(errors.refuse_write(failure))

    def _read_change(
        self, caller: Caller, path: paths.SettingsPath, environ: request.Environ
    ) -> result.Result[changes.Change, errors.Refusal]:
        precondition = request.read_precondition(environ)
        if isinstance(precondition, result.Err):
            return precondition
        write_id = request.read_write_id(environ, self._make_write_id)
        if isinstance(write_id, result.Err):
            return write_id
        body = request.read_body(environ)
        if isinstance(body, result.Err):
            return body
        value = validation.decode_json(body.ok_value)
        if isinstance(value, result.Err):
            return result.Err(
                errors.Refusal(
                    status=http.HTTPStatus.BAD_REQUEST,
                    code=errors.Code.BAD_JSON,
                    detail=str(value.err_value.violations[0]),
                )
            )
        return result.Ok(
            changes.Change(
                path=path,
                value=value.ok_value,
                expected=precondition.ok_value.expected,
                write_id=write_id.ok_value,
                operator=caller.digest,
            )
        )


def _list_history(subtree: str, found: tuple[rows.HistoryRow, ...]) -> Reply:
    entries = tuple(
        messages.HistoryEntry(
            revision=row.revision,
            write_id=row.write_id,
            operator=row.operator,
            at=row.at,
        )
        for row in found
    )
    reply = messages.HistoryReply(path=subtree, entries=entries)
    return Reply(msgspec.json.encode(reply))


def _find_path(
    caller: Caller, text: str
) -> result.Result[paths.SettingsPath, errors.Refusal]:
    parsed = paths.parse_path(text)
    if isinstance(parsed, result.Err):
        return result.Err(errors.refuse_write(parsed.err_value))
    if caller.rights.cover(parsed.ok_value):
        return parsed
    detail = f"the token isn't bound to {text or 'the whole tree'}"
    return result.Err(
        errors.Refusal(
            status=http.HTTPStatus.FORBIDDEN,
            code=errors.Code.FORBIDDEN,
            detail=detail,
        )
    )


def _refuse_read(failure: store.Failure) -> errors.Refusal:
    return errors.Refusal(
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
        code=errors.Code.UNAVAILABLE,
        detail=f"{type(failure).__name__}: {failure.detail}",
        retry_after_s=1.0,
    )
