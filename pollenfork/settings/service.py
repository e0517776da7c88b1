"""Reads and writes the settings on behalf of operators."""

from collections.abc import Callable, Collection
import random

import msgspec
import result

from pollenfork import clock
from pollenfork.settings import authority
from pollenfork.settings import changes
from pollenfork.settings import documents
from pollenfork.settings import errors
from pollenfork.settings import messages
from pollenfork.settings import model
from pollenfork.settings import paths
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.settings import store
from pollenfork.settings import writer
from pollenfork.store import edges as platform_edges


class Service:
    """The `edges.SettingsService` of one instance."""

    def __init__(
        self,
        table: platform_edges.TableService,
        now: clock.Clock,
        rng: random.Random,
        wait: Callable[[float], None],
        get_in_force: Callable[[], state.InForce | None],
        report: Callable[[messages.TreeWritten], None],
        first_operators: Collection[str] = (),
    ) -> None:
        """Creates the service.

        Args:
            table: The platform's table.
            now: The clock.
            rng: Randomness for backoff and transaction ids.
            wait: Sleeps for the given seconds.
            get_in_force: Returns the settings in force here.
            report: Receives the tree that an accepted write produced.
            first_operators: See `authority.find_rights`.
        """
        self._table = table
        self._get_in_force = get_in_force
        self._report = report
        self._first_operators = first_operators
        self._writer = writer.Writer(
            table, now, rng, wait, get_in_force, first_operators
        )

    def find_rights(
        self, operator: str
    ) -> result.Result[messages.Rights, errors.SettingsFailure]:
        """Returns the rights that the settings in force grant a token."""
        in_force = self._get_in_force()
        tree = (in_force or state.EMPTY).tree
        rights = authority.find_rights(tree, operator, self._first_operators)
        if rights is not None:
            return result.Ok(rights)
        if in_force is None:
            detail = "no settings are in force here yet"
            return result.Err(errors.NotReady(detail=detail))
        return result.Err(
            errors.UnknownOperator(detail="nobody has this token")
        )

    def get_tree(self) -> model.Tree | None:
        """Returns the tree in force without accounts; None if none."""
        in_force = self._get_in_force()
        return in_force.tree if in_force else None

    def read(
        self, operator: str, path: str
    ) -> result.Result[messages.Reading, errors.SettingsFailure]:
        """Returns the value at a path.

        It is read from the table. If the table is unavailable, the settings in
        force at this instance are used, as `Reading.source` shows.
        """
        found = self._authorize(operator, path)
        if isinstance(found, result.Err):
            return found
        in_force = self._get_in_force()
        read = store.read_tree(self._table, in_force or state.EMPTY)
        tree = read.ok() or in_force
        if tree is None:
            return result.Err(_make_unreadable(read.unwrap_err()))
        value = changes.get_value(tree, found.ok_value)
        if isinstance(value, result.Err):
            return value
        source = messages.Source
        return result.Ok(
            messages.Reading(
                value=msgspec.json.encode(value.ok_value),
                revision=changes.find_revision(tree, found.ok_value),
                tree_revision=tree.revision,
                source=source.TABLE if read.is_ok() else source.IN_FORCE,
            )
        )

    def write(
        self, request: messages.WriteRequest
    ) -> result.Result[messages.Written, errors.SettingsFailure]:
        """Performs a write and puts it in force at this instance."""
        path = self._authorize(request.operator, request.path)
        if isinstance(path, result.Err):
            return path
        value = documents.decode(request.body)
        if isinstance(value, result.Err):
            return value
        change = changes.Change(
            path=path.ok_value,
            value=value.ok_value,
            expected=request.expected,
            write_id=request.write_id,
            operator=request.operator,
        )
        written = self._writer.write(change)
        if isinstance(written, result.Err):
            return written
        accepted = written.ok_value
        self._report(messages.TreeWritten(accepted.tree))
        return result.Ok(messages.Written(accepted.revision, accepted.repeated))

    def list_history(
        self, operator: str, path: str
    ) -> result.Result[
        tuple[messages.HistoryEntry, ...], errors.SettingsFailure
    ]:
        """Returns the history of the subtree that contains a path."""
        found = self._authorize(operator, path)
        if isinstance(found, result.Err):
            return found
        subtree = found.ok_value.subtree
        if not subtree:
            detail = "the history is kept by subtree: root, teams/NAME"
            return result.Err(errors.NoSuchPath(detail=detail))
        read = store.read_history(self._table, subtree)
        if isinstance(read, result.Err):
            return result.Err(_make_unreadable(read.err_value))
        return result.Ok(tuple(map(_make_history_entry, read.ok_value)))

    def _authorize(
        self, operator: str, text: str
    ) -> result.Result[paths.SettingsPath, errors.SettingsFailure]:
        rights = self.find_rights(operator)
        if isinstance(rights, result.Err):
            return rights
        path = paths.parse_path(text)
        if isinstance(path, result.Err):
            return path
        if authority.covers(rights.ok_value, path.ok_value):
            return path
        detail = f"the token isn't bound to {text or 'the whole tree'}"
        return result.Err(errors.Forbidden(detail=detail))


def _make_history_entry(row: rows.HistoryRow) -> messages.HistoryEntry:
    return messages.HistoryEntry(
        revision=row.revision,
        write_id=row.write_id,
        operator=row.operator,
        at=row.at,
        value=bytes(row.value),
    )


def _make_unreadable(failure: store.Failure) -> errors.Unreadable:
    return errors.Unreadable(
        detail=f"{type(failure).__name__}: {failure.detail}"
    )
