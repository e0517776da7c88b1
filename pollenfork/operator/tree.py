"""Handles requests under `settings/` and `settings-history/`."""

from collections.abc import Callable

import msgspec
import result

from pollenfork import ids
from pollenfork.operator import errors
from pollenfork.operator import messages
from pollenfork.operator import replies
from pollenfork.operator import request
from pollenfork.settings import edges as settings_edges
from pollenfork.settings import errors as settings_errors
from pollenfork.settings import messages as settings_messages

Outcome = result.Result[replies.Reply, errors.Refusal]


class TreeHandler:
    """Reads and writes the settings tree; safe to call from any thread."""

    def __init__(
        self,
        settings: settings_edges.SettingsService,
        make_write_id: Callable[[], ids.WriteId],
    ) -> None:
        """Creates the handler.

        Args:
            settings: Reads and writes the settings.
            make_write_id: Generates an id for a write sent without one.
        """
        self._settings = settings
        self._make_write_id = make_write_id

    def get(self, operator: str, path: str) -> Outcome:
        """Returns the value at a path, with its subtree's revision as ETag."""
        read = self._settings.read(operator, path)
        if isinstance(read, result.Err):
            return result.Err(errors.make_settings_refusal(read.err_value))
        subtree = read.ok_value
        headers = (
            ("ETag", f'"{subtree.revision}"'),
            ("X-Tree-Revision", str(subtree.tree_revision)),
            ("X-Settings-Source", subtree.source.value),
        )
        return result.Ok(replies.Reply(subtree.value, headers))

    def put(
        self, operator: str, path: str, environ: request.Environ
    ) -> Outcome:
        """Writes the value at a path if it has the expected revision."""
        read = self._parse_write(operator, path, environ)
        if isinstance(read, result.Err):
            return read
        write_request = read.ok_value
        written = self._settings.write(write_request)
        if isinstance(written, result.Err):
            return result.Err(errors.make_settings_refusal(written.err_value))
        reply = messages.WriteReply(
            path=path.strip("/"),
            revision=written.ok_value.revision,
            write_id=write_request.write_id,
            repeated=written.ok_value.repeated,
        )
        headers = (("ETag", f'"{reply.revision}"'),)
        return result.Ok(replies.Reply(msgspec.json.encode(reply), headers))

    def history(
        self, operator: str, path: str, environ: request.Environ
    ) -> Outcome:
        """Returns the stored writes to the subtree that contains the path.

        With `?revision=N`, returns the subtree's value after that write.
        """
        revision = request.read_revision(environ)
        if isinstance(revision, result.Err):
            return revision
        listed = self._settings.list_history(operator, path)
        if isinstance(listed, result.Err):
            return result.Err(errors.make_settings_refusal(listed.err_value))
        if revision.ok_value is None:
            return result.Ok(_make_history_reply(path, listed.ok_value))
        for entry in listed.ok_value:
            if entry.revision == revision.ok_value:
                return result.Ok(replies.Reply(entry.value))
        detail = f"no write of revision {revision.ok_value} is kept of {path}"
        failure = settings_errors.NoSuchPath(detail=detail)
        return result.Err(errors.make_settings_refusal(failure))

    def _parse_write(
        self, operator: str, path: str, environ: request.Environ
    ) -> result.Result[settings_messages.WriteRequest, errors.Refusal]:
        precondition = request.read_precondition(environ)
        if isinstance(precondition, result.Err):
            return precondition
        write_id = request.read_write_id(environ, self._make_write_id)
        if isinstance(write_id, result.Err):
            return write_id
        body = request.read_body(environ)
        if isinstance(body, result.Err):
            return body
        return result.Ok(
            settings_messages.WriteRequest(
                operator=operator,
                path=path,
                body=body.ok_value,
                expected=precondition.ok_value.expected,
                write_id=write_id.ok_value,
            )
        )


def _make_history_reply(
    path: str, history: tuple[settings_messages.HistoryEntry, ...]
) -> replies.Reply:
    entries = tuple(
        messages.HistoryLine(
            revision=entry.revision,
            write_id=entry.write_id,
            operator=entry.operator,
            at=entry.at,
        )
        for entry in history
    )
    reply = messages.HistoryReply(path=path.strip("/"), entries=entries)
    return replies.Reply(msgspec.json.encode(reply))
