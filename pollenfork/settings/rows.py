"""Formats of the rows that hold the tree in the platform's table.

    settings/head                   revision of the tree and of each subtree
    settings/writes                 the last writes, by write id
    settings/subtrees/PATH          the subtree as it is now
    settings/history/PATH/REVISION  the subtree as one write left it

Every row is a JSON object with a `format` number. A later program must go on
reading every format that was ever written: the bytes stand in `tests/golden`.
Fields may be added, as readers ignore those that they don't know.
"""

from typing import TypeVar

import msgspec
import result

from pollenfork import ids
from pollenfork.settings import errors

FORMAT = 1
HEAD_KEY = "settings/head"
WRITES_KEY = "settings/writes"
_SUBTREES = "settings/subtrees/"
_HISTORY = "settings/history/"

T = TypeVar("T", bound="_Row")


class _Row(msgspec.Struct, frozen=True, kw_only=True):
    format: int = FORMAT


class HeadRow(_Row, frozen=True, kw_only=True):
    """Revisions of the tree and of each subtree.

    Attributes:
        revision: Grows by one with each accepted write.
        subtrees: The tree's revision at which each subtree last changed.
    """

    revision: ids.Revision
    subtrees: dict[str, ids.Revision]


class WriteRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted write.

    Attributes:
        digest: Of the path and the content, to tell a reused id.
    """

    write_id: ids.WriteId
    digest: str
    path: str
    revision: ids.Revision


class WritesRow(_Row, frozen=True, kw_only=True):
    """The last accepted writes, oldest first."""

    writes: tuple[WriteRecord, ...]


class SubtreeRow(_Row, frozen=True, kw_only=True):
    """One subtree.

    Attributes:
        history: Revisions whose history rows are kept, oldest first.
        value: The subtree's JSON, as the operator wrote it.
    """

    path: str
    revision: ids.Revision
    history: tuple[ids.Revision, ...]
    value: msgspec.Raw


class HistoryRow(_Row, frozen=True, kw_only=True):
    """One write of one subtree.

    Attributes:
        operator: First digits of the digest of the operator's token.
        at: Unix seconds by the writing instance's clock.
        value: The subtree's JSON, or null where the write removed it.
    """

    path: str
    revision: ids.Revision
    write_id: ids.WriteId
    operator: str
    at: float
    value: msgspec.Raw


def encode(row: _Row) -> bytes:
    """Returns the row's bytes."""
    return msgspec.json.encode(row)


def decode(
    value: bytes, kind: type[T]
) -> result.Result[T, errors.UnreadableRow]:
    """Returns the row that `value` holds, if its format is known."""
    try:
        row = msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(errors.UnreadableRow(detail=f"row: {error}"))
    if row.format > FORMAT:
        detail = f"row of format {row.format}, known up to {FORMAT}"
        return result.Err(errors.UnreadableRow(detail=detail))
    return result.Ok(row)


def make_subtree_key(path: str) -> str:
    """Returns the key of a subtree's row."""
    return _SUBTREES + path


def make_history_prefix(path: str) -> str:
    """Returns what the keys of a subtree's history rows start with."""
    return f"{_HISTORY}{path}/"


def make_history_key(path: str, revision: ids.Revision) -> str:
    """Returns the key of one history row; keys sort by revision."""
    return f"{make_history_prefix(path)}{revision:012d}"
