"""The store's calls: their paths and bodies, and their answers decoded."""

import base64
import enum
import urllib.parse

import msgspec
import result

from pollenfork import failures
from pollenfork.catalogue import messages
from pollenfork.platform import names


class Table(enum.Enum):
    """The tables that an instance reads; it can't write to the first two."""

    CONFIGURATION = "op"
    RUNNERS = "servers"
    KEPT_REQUESTS = "kept-requests"
    TRIALS = "kept-trials"


CONFIGURATION_KEY = "config"
_HISTORY_GONE = 410


class BadRows(failures.Failure, frozen=True, kw_only=True):
    """The store's answer can't be decoded."""


class _Row(msgspec.Struct, rename="kebab"):
    key: str
    value: str = ""
    row_version: int = 0
    removed: bool = False


class _Answer(msgspec.Struct, rename="kebab"):
    row_version: int
    rows: list[_Row] = []
    has_more: bool = False


class _Place(msgspec.Struct):
    table: str
    part: str
    key: str


class _Written(_Place):
    value: str


class _Condition(_Place, rename="kebab"):
    row_version: int


class _Change(msgspec.Struct, kw_only=True):
    precondition: tuple[_Condition, ...] = ()
    upserts: tuple[_Written, ...] = ()
    remove: tuple[_Place, ...] = ()


ABSENT = 0  # The version of a row that doesn't exist.


class Key(msgspec.Struct, frozen=True):
    """Names a row."""

    table: Table
    key: str


class Put(msgspec.Struct, frozen=True):
    """Writes a row.

    Attributes:
        table: Its table.
        key: Its key.
        value: Its bytes.
        expected: The version that it must have; None: any.
    """

    table: Table
    key: str
    value: bytes
    expected: int | None = None


_DECODER = msgspec.json.Decoder(_Answer)


def write_ask(table: Table, ask: messages.Ask) -> str:
    """Returns the path, with its query, of a reading call."""
    if ask.after is None:
        return write_range(table, ask.start)
    query = {
        "table": table.value,
        "after-revision": ask.after,
        "wait-ms": int(ask.wait_s * 1000),
    }
    return f"{names.FEED_PATH}?{urllib.parse.urlencode(query)}"


def write_range(table: Table, start: str) -> str:
    """Returns the path, with its query, that reads a table from a key on."""
    query = {"table": table.value, "part": ""}
    if start:
        query["from"] = start
    return f"{names.RANGE_PATH}?{urllib.parse.urlencode(query)}"


def write_change(
    written: tuple[Put, ...] = (), removed: tuple[Key, ...] = ()
) -> bytes:
    """Returns the body that writes and removes rows, all or none of them."""
    conditions = tuple(
        _Condition(each.table.value, "", each.key, each.expected)
        for each in written
        if each.expected is not None
    )
    upserts = tuple(
        _Written(
            each.table.value,
            "",
            each.key,
            base64.b64encode(each.value).decode(),
        )
        for each in written
    )
    gone = tuple(_Place(each.table.value, "", each.key) for each in removed)
    change = _Change(precondition=conditions, upserts=upserts, remove=gone)
    return msgspec.json.encode(change)


def read(body: bytes) -> result.Result[messages.Rows, BadRows]:
    """Decodes the body of either call."""
    try:
        answer = _DECODER.decode(body)
        rows = tuple(
            messages.Row(
                key=row.key,
                value=_decode_value(row.value),
                version=row.row_version,
                removed=row.removed,
            )
            for row in answer.rows
        )
    except msgspec.MsgspecError as error:
        return result.Err(BadRows(detail=str(error)))
    return result.Ok(messages.Rows(rows, answer.row_version, answer.has_more))


def _decode_value(text: str) -> bytes:
    """Returns a row's bytes; none where the text holds no bytes.

    What one writer left must not hide the rows of all others, and no document
    is empty.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


def read_trouble(status: int) -> messages.Trouble:
    """Decodes a status that brings no rows."""
    if status == _HISTORY_GONE:
        return messages.Trouble.HISTORY_GONE
    return messages.Trouble.REFUSED
