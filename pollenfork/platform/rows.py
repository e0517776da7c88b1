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
    """The tables that an instance reads; it writes to the last alone."""

    CONFIGURATION = "op"
    RUNNERS = "servers"
    KEPT_REQUESTS = "kept-requests"


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


class _Change(msgspec.Struct, kw_only=True):
    precondition: tuple[_Place, ...] = ()
    upserts: tuple[_Written, ...] = ()
    remove: tuple[_Place, ...] = ()


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


def write_change(table: Table, key: str, value: bytes | None) -> bytes:
    """Returns the body that writes a row, or removes it without a value."""
    row = _Place(table.value, "", key)
    if value is None:
        return msgspec.json.encode(_Change(remove=(row,)))
    text = base64.b64encode(value).decode()
    written = _Written(table.value, "", key, text)
    return msgspec.json.encode(_Change(upserts=(written,)))


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
