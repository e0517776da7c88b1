"""Encodes quarantined requests as rows of the store.

Whatever instances exchange in memory is lost if all of them lose power at once.
Without these rows, each quarantined request could then crash three more runners
every time.
"""

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import trials

_MS = 1000.0
_LARGEST_DIGEST = 1 << 64
# The time of the last answer isn't stored, only that there was one. It is set
# to this many seconds before the first crash.
_ANSWERED_BEFORE_S = 1.0


class BadRecord(failures.Failure, frozen=True, kw_only=True):
    """A stored row can't be decoded as a quarantined request."""


class _End(msgspec.Struct, frozen=True):
    """A crash; times are in Unix milliseconds.

    Attributes:
        place: The hash of the runner.
        sent_ms: When the request was sent to it.
        ended_ms: When it crashed.
        witness: The hash of the host of the instance that sent the request.
        made_ms: When the connection was opened; None in rows of earlier
            versions.
    """

    place: int
    sent_ms: int
    ended_ms: int
    witness: int
    made_ms: int | None = None


class _Record(msgspec.Struct, frozen=True):
    """The crashes under a request, and whether it was ever answered."""

    ends: tuple[_End, ...]
    answered: bool = False


def format_key(digest: ids.RequestDigest) -> str:
    """Returns the key of a request's row."""
    return f"{digest:016x}"


def format_trial_key(digest: ids.RequestDigest, number: int) -> str:
    """Returns the key of the row that claims a request's trial."""
    return f"{format_key(digest)}-{number}"


def list_trial_keys(digest: ids.RequestDigest) -> tuple[str, ...]:
    """Returns the keys of all trials that a request may have."""
    numbers = range(1, trials.MAX_TRIALS + 1)
    return tuple(format_trial_key(digest, number) for number in numbers)


def encode(history: crashes.CrashHistory, now: float, wall: float) -> bytes:
    """Returns the row of a quarantined request.

    Args:
        history: The request's crash history.
        now: Monotonic seconds.
        wall: The time of day in Unix seconds.
    """
    ends = tuple(
        _End(
            each.runner_hash,
            int((wall - now + each.sent_at) * _MS),
            int((wall - now + each.crashed_at) * _MS),
            each.sender,
            int((wall - now + each.latest_connected_at) * _MS),
        )
        for each in history.crashes
    )
    return msgspec.json.encode(_Record(ends, history.answered))


def decode(
    key: str, value: bytes, now: float, wall: float
) -> result.Result[crashes.CrashHistory, BadRecord]:
    """Decodes a request's row, which may hold anything."""
    try:
        record = msgspec.json.decode(value, type=_Record)
        digest = int(key, 16)
    except (msgspec.MsgspecError, ValueError) as error:
        return result.Err(BadRecord(detail=str(error)))
    if not 0 <= digest < _LARGEST_DIGEST or not record.ends:
        return result.Err(BadRecord(detail="digest out of range or no crashes"))
    decoded = [
        crashes.Crash(
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
    history = crashes.CrashHistory(
        ids.RequestDigest(digest), decoded, updated_at=now
    )
    if record.answered:
        history.answered = True
        history.cleared_at = (
            min(each.sent_at for each in decoded) - _ANSWERED_BEFORE_S
        )
    return result.Ok(history)
