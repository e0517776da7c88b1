"""The store's calls: their paths and bodies, and their answers decoded."""

import base64
import urllib.parse

import msgspec
import result

from pollenfork import failures
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages
from pollenfork.platform import names

CONFIGURATION = "op"
RUNNERS = "servers"
CONFIGURATION_KEY = "config"


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


class _Change(msgspec.Struct):
    precondition: list[_Condition] = []
    upserts: list[_Written] = []
    remove: list[_Place] = []


_DECODER = msgspec.json.Decoder(_Answer)


def write_ask(table: str, ask: messages.ReadCall) -> str:
    """Returns the path, with its query, of a reading call."""
    if ask.after is None:
        return write_range(table, ask.start)
    query = {
        "table": table,
        "after-revision": ask.after,
        "wait-ms": int(ask.wait_s * 1000),
    }
    return f"{names.FEED_PATH}?{urllib.parse.urlencode(query)}"


def write_range(table: str, start: str) -> str:
    """Returns the path, with its query, that reads a table from a key on."""
    query = {"table": table, "part": ""}
    if start:
        query["from"] = start
    return f"{names.RANGE_PATH}?{urllib.parse.urlencode(query)}"


def encode_change(change: changes.Change) -> bytes:
    """Returns the body that writes and removes rows, all or none of them."""
    made = _Change()
    for put in change.written:
        place = put.table.value, "", put.key
        text = base64.b64encode(put.value).decode()
        made.upserts.append(_Written(*place, text))
        if put.expected is not None:
            made.precondition.append(_Condition(*place, put.expected))
    for gone in change.removed:
        made.remove.append(_Place(gone.table.value, "", gone.key))
    return msgspec.json.encode(made)


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
