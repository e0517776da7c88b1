"""Requests that are kept back, as they are stored.

What instances tell each other is lost where all of them lose power at once; a
request that was kept back would end three more runners then, each time.
"""

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.poison import cases

_MS = 1000.0
_LARGEST_DIGEST = 1 << 64


class BadRecord(failures.Failure, frozen=True, kw_only=True):
    """A stored row is no request that is kept back."""


class _End(msgspec.Struct, frozen=True):
    """An end; moments in Unix milliseconds."""

    place: int
    sent_ms: int
    ended_ms: int
    witness: int


class _Record(msgspec.Struct, frozen=True):
    ends: tuple[_End, ...]


def write_key(digest: ids.RequestDigest) -> str:
    """Returns the key of a request's row."""
    return f"{digest:016x}"


def write(case: cases.Case, now: float, wall: float) -> bytes:
    """Returns a request's row.

    Args:
        case: What speaks against it.
        now: Monotonic seconds.
        wall: The time of day in Unix seconds.
    """
    ends = tuple(
        _End(
            each.place,
            int((wall - now + each.sent_at) * _MS),
            int((wall - now + each.ended_at) * _MS),
            each.witness,
        )
        for each in case.ends
    )
    return msgspec.json.encode(_Record(ends))


def read(
    key: str, value: bytes, now: float, wall: float
) -> result.Result[cases.Case, BadRecord]:
    """Decodes a request's row; another writer may leave anything there."""
    try:
        record = msgspec.json.decode(value, type=_Record)
        digest = int(key, 16)
    except (msgspec.MsgspecError, ValueError) as error:
        return result.Err(BadRecord(detail=str(error)))
    if not 0 <= digest < _LARGEST_DIGEST or not record.ends:
        return result.Err(BadRecord(detail="out of range"))
    ends = [
        cases.End(
            each.place,
            min(now, now - wall + each.sent_ms / _MS),
            min(now, now - wall + each.ended_ms / _MS),
            each.witness,
        )
        for each in record.ends
    ]
    return result.Ok(cases.Case(ids.RequestDigest(digest), ends, moved_at=now))
