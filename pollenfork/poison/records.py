"""Requests that are kept back, as they are stored.

What instances tell each other is lost where all of them lose power at once; a
request that was kept back would end three more runners then, each time.
"""

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.poison import cases
from pollenfork.poison import trials

_MS = 1000.0
_LARGEST_DIGEST = 1 << 64
# When a request was answered isn't stored, but that it was, before its ends.
_BEFORE_S = 1.0


class BadRecord(failures.Failure, frozen=True, kw_only=True):
    """A stored row is no request that is kept back."""


class _End(msgspec.Struct, frozen=True):
    """An end; moments in Unix milliseconds."""

    place: int
    sent_ms: int
    ended_ms: int
    witness: int
    made_ms: int | None = None


class _Record(msgspec.Struct, frozen=True):
    """What speaks against a request; whether it was ever answered before."""

    ends: tuple[_End, ...]
    answered: bool = False


def write_key(digest: ids.RequestDigest) -> str:
    """Returns the key of a request's row."""
    return f"{digest:016x}"


def write_trial_key(digest: ids.RequestDigest, number: int) -> str:
    """Returns the key of the row that claims a request's trial."""
    return f"{write_key(digest)}-{number}"


def list_trial_keys(digest: ids.RequestDigest) -> tuple[str, ...]:
    """Returns the keys of all trials that a request may have."""
    numbers = range(1, trials.TRIALS_LIMIT + 1)
    return tuple(write_trial_key(digest, number) for number in numbers)


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
            int((wall - now + each.connected_at) * _MS),
        )
        for each in case.ends
    )
    return msgspec.json.encode(_Record(ends, case.answered))


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
            None
            if each.made_ms is None
            else min(now, now - wall + each.made_ms / _MS),
        )
        for each in record.ends
    ]
    case = cases.Case(ids.RequestDigest(digest), ends, moved_at=now)
    if record.answered:
        case.answered = True
        case.cleared_at = min(each.sent_at for each in ends) - _BEFORE_S
    return result.Ok(case)
