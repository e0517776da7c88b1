"""Formats of the stored data: a row for each key, an object for its answer.

Both consist of a format number and MessagePack data. Fields may be appended
without a new number. Any other change needs a new number, and the decoder of
the old one stays. The golden files are in `tests/golden`.
"""

import enum
import hashlib
from typing import TypeVar

import msgspec
import result

from pollenfork import failures
from pollenfork import ids

RECORD_FORMAT = 1
ANSWER_FORMAT = 1

_T = TypeVar("_T")


class State(enum.Enum):
    """Known state of the request under a key."""

    OPEN = 1  # Claimed; it may be running.
    DONE = 2
    NOT_RUN = 3  # Certainly not run; the next claim overwrites the row.
    UNKNOWN = 4


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The record under one key. Times are Unix milliseconds.

    Attributes:
        account: The account that the key belongs to, for operators.
        fingerprint: Digest of the method, path and body.
        attempt: Id of the claim; part of the key of the answer's object.
        owner: The instance that made the claim, with its `incarnation`.
        changed_ms: When the state was last written.
        answer_digest: SHA-256 of the answer's object; empty if the answer was
            too large to store.
    """

    state: State
    account: ids.AccountId
    fingerprint: bytes
    attempt: ids.AttemptId
    owner: ids.InstanceId
    incarnation: ids.Incarnation
    claimed_ms: int
    changed_ms: int
    answer_digest: bytes = b""


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """The stored answer, which is replayed byte for byte to retries."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class UnreadableRecord(failures.Failure, frozen=True, kw_only=True):
    """The data has another format number or is corrupt."""


_RECORDS = msgspec.msgpack.Decoder(Record)
_ANSWERS = msgspec.msgpack.Decoder(Answer)


def encode_record(record: Record) -> bytes:
    """Returns the row's value."""
    return bytes([RECORD_FORMAT]) + msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> result.Result[Record, UnreadableRecord]:
    """Returns the record of a row's value."""
    return _decode(value, RECORD_FORMAT, _RECORDS)


def encode_answer(answer: Answer) -> bytes:
    """Returns the object's bytes."""
    return bytes([ANSWER_FORMAT]) + msgspec.msgpack.encode(answer)


def decode_answer(value: bytes) -> result.Result[Answer, UnreadableRecord]:
    """Returns the answer of an object's bytes."""
    return _decode(value, ANSWER_FORMAT, _ANSWERS)


def compute_digest(value: bytes) -> bytes:
    """Returns the digest with which a record identifies its answer."""
    return hashlib.sha256(value).digest()


def _decode(
    value: bytes, number: int, decoder: msgspec.msgpack.Decoder[_T]
) -> result.Result[_T, UnreadableRecord]:
    if value[:1] != bytes([number]):
        detail = f"format {value[:1].hex() or 'missing'}, not {number}"
        return result.Err(UnreadableRecord(detail=detail))
    try:
        return result.Ok(decoder.decode(memoryview(value)[1:]))
    except msgspec.MsgspecError as error:
        return result.Err(UnreadableRecord(detail=str(error)))
