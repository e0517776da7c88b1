"""Encodes and decodes the rows of leases.

Every format stays readable: later versions only add fields with defaults.
"""

from typing import TypeVar

import msgspec
import result

from pollenfork import failures

FORMAT = 1

T = TypeVar("T", bound=msgspec.Struct)


class BadRow(failures.Failure, frozen=True, kw_only=True):
    """A row that this version can't decode, and leaves unchanged."""


def encode(row: msgspec.Struct) -> bytes:
    """Returns a row as bytes."""
    return msgspec.json.encode(row)


def decode(value: bytes, kind: type[T]) -> result.Result[T, BadRow]:
    """Returns a row, or why this version can't decode it."""
    try:
        row = msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        return result.Err(BadRow(detail=str(error)))
    row_format = getattr(row, "format", FORMAT)
    if row_format > FORMAT:
        return result.Err(BadRow(detail=f"format {row_format} is too new"))
    return result.Ok(row)
