"""Formats of the rows that hold the tree in the platform's table.

    settings/head                   revision of the tree and of each subtree
    settings/writes                 the last accepted writes
    settings/subtrees/PATH          the current subtree
    settings/history/PATH/REVISION  the subtree after one write

Every row is a JSON object with a `format` number. Later versions must read
every format ever written; `tests/golden` holds an example of each. Adding
fields keeps the format, as readers ignore unknown fields.
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
        revision: Incremented by each accepted write.
        subtrees: The tree's revision at which each subtree last changed.
    """

    revision: ids.Revision
    subtrees: dict[str, ids.Revision]


class WriteRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted write.

    Attributes:
        digest: Digest of path and content, to detect a reused write id.
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
        history: Revisions that have a history row, oldest first.
        value: The subtree's JSON, as the operator wrote it.
    """

    path: str
    revision: ids.Revision
    history: tuple[ids.Revision, ...]
    value: msgspec.Raw


class HistoryRow(_Row, frozen=True, kw_only=True):
    """One write of one subtree.

    Attributes:
        operator: Prefix of the digest of the operator's token.
        at: Unix seconds on the clock of the instance that wrote it.
        value: The subtree's JSON, or null if the write removed it.
    """

    path: str
    revision: ids.Revision
    write_id: ids.WriteId
    operator: str
    at: float
    value: msgspec.Raw


def encode(row: _Row) -> bytes:
    """Encodes a row."""
    return msgspec.json.encode(row)


def decode(
    value: bytes, kind: type[T]
) -> result.Result[T, errors.UnreadableRow]:
    """Decodes a row; fails if its format is unknown."""
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
    """Returns the key prefix of a subtree's history rows."""
    return f"{_HISTORY}{path}/"


def make_history_key(path: str, revision: ids.Revision) -> str:
    """Returns the key of one history row; keys sort by revision."""
    return f"{make_history_prefix(path)}{revision:012d}"
