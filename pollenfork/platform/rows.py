"""Encodes paths and bodies of store calls and decodes the responses."""

import base64
from collections.abc import Iterable
import urllib.parse

import msgspec
import result

from pollenfork import failures
from pollenfork import versions
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages
from pollenfork.platform import names

CONFIGURATION = "op"
RUNNERS = "servers"
CONFIGURATION_KEY = "config"


class BadRows(failures.Failure, frozen=True, kw_only=True):
    """The store's response can't be decoded."""


class _Row(msgspec.Struct, rename="kebab"):
    key: str
    value: str = ""
    row_version: int = 0
    removed: bool = False


class _Reply(msgspec.Struct, rename="kebab"):
    row_version: int
    rows: list[_Row] = []
    has_more: bool = False


class _RowKey(msgspec.Struct):
    table: str
    part: str
    key: str


class _Upsert(_RowKey):
    value: str


class _Precondition(_RowKey, rename="kebab"):
    row_version: int


class _Transaction(msgspec.Struct):
    precondition: list[_Precondition] = []
    upserts: list[_Upsert] = []
    remove: list[_RowKey] = []


_DECODER = msgspec.json.Decoder(_Reply)


def format_read_path(table: str, call: messages.ReadCall) -> str:
    """Returns the path and query of a read call."""
    if call.after is None:
        return format_range_path(table, call.start)
    query = {
        "table": table,
        "after-revision": versions.get_number(call.after),
        "wait-ms": int(call.wait_s * 1000),
    }
    return f"{names.FEED_PATH}?{urllib.parse.urlencode(query)}"


def format_range_path(table: str, start: str) -> str:
    """Returns the path and query that read a table, starting at a key."""
    query = {"table": table, "part": ""}
    if start:
        query["from"] = start
    return f"{names.TABLE_PATH}?{urllib.parse.urlencode(query)}"


def encode_change(change: changes.Change) -> bytes:
    """Returns the body of the transaction that writes and removes rows."""
    body = _Transaction()
    for put in change.written:
        text = base64.b64encode(put.value).decode()
        body.upserts.append(_Upsert(put.table.value, "", put.key, text))
    for key, version in change.list_conditions():
        row = key.table.value, "", key.key, versions.get_number(version)
        body.precondition.append(_Precondition(*row))
    for removal in change.removed:
        body.remove.append(_RowKey(removal.table.value, "", removal.key))
    return msgspec.json.encode(body)


def decode(
    body: bytes, headers: Iterable[tuple[bytes, bytes]] = ()
) -> result.Result[messages.Rows, BadRows]:
    """Decodes the response to a read or a transaction."""
    try:
        epoch = int(dict(headers).get(names.STORE_EPOCH, b"0"))
        reply = _DECODER.decode(body)
        rows = tuple(
            messages.Row(
                row.key,
                _decode_value(row.value),
                versions.combine(epoch, row.row_version),
                row.removed,
            )
            for row in reply.rows
        )
    except (msgspec.MsgspecError, ValueError) as error:
        return result.Err(BadRows(detail=str(error)))
    version = versions.combine(epoch, reply.row_version)
    return result.Ok(messages.Rows(rows, version, reply.has_more))


def _decode_value(text: str) -> bytes:
    """Returns a row's bytes; empty bytes if the text isn't valid base64.

    A bad value of one writer must not hide the other rows, and no valid
    document is empty.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""
