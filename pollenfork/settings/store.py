"""Reads the tree from the platform's table."""

from collections.abc import Iterable

import msgspec
import result

from pollenfork import ids
from pollenfork.settings import errors
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.store import edges
from pollenfork.store import errors as platform_errors

Failure = platform_errors.PlatformFailure | errors.SettingsFailure

_MAX_ATTEMPTS = 4
_SCAN_PAGE_SIZE = 50  # Rows per page; small, because subtrees can be large.
_SCAN_THRESHOLD = 8  # Number of changed subtrees from which a scan is cheaper.


class Head(msgspec.Struct, frozen=True):
    """The head row and the version that a write is conditional on.

    Attributes:
        version: `edges.ABSENT` if the table has no tree.
    """

    row: rows.HeadRow
    version: int


def read_head(
    table: edges.TableService,
) -> result.Result[Head, Failure]:
    """Returns the head row, or one of revision 0 if there is none."""
    read = table.read(rows.HEAD_KEY)
    if isinstance(read, result.Err):
        return read
    if read.ok_value is None:
        empty = rows.HeadRow(revision=ids.Revision(0), subtrees={})
        return result.Ok(Head(empty, edges.ABSENT))
    decoded = rows.decode(read.ok_value.value, rows.HeadRow)
    if isinstance(decoded, result.Err):
        return decoded
    return result.Ok(Head(decoded.ok_value, read.ok_value.version))


def read_tree(
    table: edges.TableService, previous: state.InForce
) -> result.Result[state.InForce, Failure]:
    """Returns the newest tree in the table.

    Only subtrees changed since `previous` are read. The result is consistent:
    if a write interferes, the read starts again from the head row.

    Args:
        table: The platform's table.
        previous: The tree in force, or `state.EMPTY`.
    """
    for _ in range(_MAX_ATTEMPTS):
        read = read_head(table)
        if isinstance(read, result.Err):
            return read
        tree = read_tree_at(table, read.ok_value.row, previous)
        moving = isinstance(tree.err(), errors.TreeMoving)
        if not moving:
            return tree
    return result.Err(errors.TreeMoving(detail="writes overtook the reads"))


def read_tree_at(
    table: edges.TableService, head: rows.HeadRow, previous: state.InForce
) -> result.Result[state.InForce, Failure]:
    """Returns the tree described by a head row.

    Fails with `TreeMoving` if a later write has already replaced a subtree,
    and with `TableBehind` if the head is older than `previous`.
    """
    if head.revision == previous.revision:
        return result.Ok(previous)
    if head.revision < previous.revision:
        detail = f"table at {head.revision}, in force {previous.revision}"
        return result.Err(errors.TableBehind(detail=detail))
    known = {
        path: previous.subtrees[path]
        for path, revision in head.subtrees.items()
        if path in previous.subtrees
        and previous.subtrees[path].revision == revision
    }
    wanted = [path for path in head.subtrees if path not in known]
    read = _read_subtrees(table, wanted)
    if isinstance(read, result.Err):
        return read
    found = {subtree.path: subtree for subtree in read.ok_value}
    for path in wanted:
        subtree = found.get(path)
        if subtree is None or subtree.revision != head.subtrees[path]:
            return result.Err(errors.TreeMoving(detail=f"{path} has moved on"))
    subtrees = [known.get(path) or found[path] for path in head.subtrees]
    return state.compile_tree(head.revision, subtrees, previous)


def read_history(
    table: edges.TableService, path: str
) -> result.Result[tuple[rows.HistoryRow, ...], Failure]:
    """Returns the history of one subtree, oldest first."""
    read = _scan(table, rows.make_history_prefix(path))
    if isinstance(read, result.Err):
        return read
    entries = []
    for row in read.ok_value:
        decoded = rows.decode(row.value, rows.HistoryRow)
        if isinstance(decoded, result.Err):
            return decoded
        entries.append(decoded.ok_value)
    return result.Ok(tuple(entries))


def read_writes(
    table: edges.TableService,
) -> result.Result[tuple[rows.WriteRecord, ...], Failure]:
    """Returns the last accepted writes, oldest first."""
    read = table.read(rows.WRITES_KEY)
    if isinstance(read, result.Err):
        return read
    if read.ok_value is None:
        return result.Ok(())
    decoded = rows.decode(read.ok_value.value, rows.WritesRow)
    return decoded.map(lambda row: row.writes)


def _read_subtrees(
    table: edges.TableService, paths: list[str]
) -> result.Result[list[state.Subtree], Failure]:
    if len(paths) >= _SCAN_THRESHOLD:
        scanned = _scan(table, rows.make_subtree_key(""))
        return scanned.and_then(lambda found: _decode_all(found, set(paths)))
    found: list[edges.Row] = []
    for path in paths:
        read = table.read(rows.make_subtree_key(path))
        if isinstance(read, result.Err):
            return read
        if read.ok_value is not None:
            found.append(read.ok_value)
    return _decode_all(found, set(paths))


def _scan(
    table: edges.TableService, prefix: str
) -> result.Result[list[edges.Row], Failure]:
    found: list[edges.Row] = []
    after = ""
    while True:
        read = table.scan(prefix, after, _SCAN_PAGE_SIZE)
        if isinstance(read, result.Err):
            return read
        found += read.ok_value
        if len(read.ok_value) < _SCAN_PAGE_SIZE:
            return result.Ok(found)
        after = found[-1].key


def _decode_all(
    found: Iterable[edges.Row], wanted: set[str]
) -> result.Result[list[state.Subtree], errors.UnreadableRow]:
    subtrees = []
    for row in found:
        decoded = rows.decode(row.value, rows.SubtreeRow)
        if isinstance(decoded, result.Err):
            return decoded
        subtree = decoded.ok_value
        if subtree.path in wanted:
            subtrees.append(pack_row(subtree))
    return result.Ok(subtrees)


def pack_row(row: rows.SubtreeRow) -> state.Subtree:
    """Converts a row to a compressed subtree."""
    return state.pack_subtree(
        row.path, row.revision, row.history, bytes(row.value)
    )
