"""The messages between entry instances as versioned MessagePack bytes."""

from typing import Annotated, TypeVar

import msgspec
import result

from pollenfork import ids
from pollenfork.membership import errors
from pollenfork.membership import messages

FORMAT = 1
DATAGRAM_LIMIT = 8 * 1024
SUMMARY_LIMIT = 256 * 1024

T = TypeVar("T")
# Bounds keep a peer's nonsense from growing into numbers that can't be sent.
_COUNT_LIMIT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=_COUNT_LIMIT)]
_Incarnation = Annotated[ids.Incarnation, msgspec.Meta(ge=0, le=_COUNT_LIMIT)]
_Revision = Annotated[ids.Revision, msgspec.Meta(ge=0, le=_COUNT_LIMIT)]
_PeriodMs = Annotated[int, msgspec.Meta(gt=0, le=60_000)]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What the sender believes of a member of its own data centre.

    Attributes:
        sequence: The highest heartbeat it knows that member to have sent.
        address: Tells two processes of one name apart.
    """

    instance: ids.InstanceId
    incarnation: _Incarnation
    sequence: _Count
    status: messages.MemberStatus
    address: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """One instance's sign of life towards its own data centre.

    Attributes:
        instance: Empty towards members that know the sender's address, to
            save bytes; so is `data_centre`.
        sequence: Grows by one with each heartbeat of the incarnation.
        period_ms: Time to the next heartbeat.
        status: `LIVE`, or `LEFT` in the last heartbeats.
        revision: The settings revision in force at the sender.
        pressure: A `pressures.Delta`; empty for none.
        notes: Suspicions, refutations and departures.
        leaving: Endpoints that another data centre says are leaving.
    """

    format: int
    instance: ids.InstanceId
    data_centre: ids.DataCentre
    incarnation: _Incarnation
    sequence: _Count
    period_ms: _PeriodMs
    status: messages.MemberStatus
    revision: _Revision
    pressure: bytes = b""
    notes: tuple[MemberUpdate, ...] = ()
    leaving: tuple[ids.EndpointId, ...] = ()


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One member of the data centre that a summary is about."""

    note: MemberUpdate
    revision: _Revision


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """What one data centre tells another, sent by any of its instances.

    Attributes:
        leaving: Endpoints that the data centre says are leaving.
        corrections: Members of other data centres that this one knows in a
            later incarnation than they claim.
    """

    format: int
    instance: ids.InstanceId
    data_centre: ids.DataCentre
    entries: tuple[Entry, ...]
    leaving: tuple[ids.EndpointId, ...] = ()
    corrections: tuple[MemberUpdate, ...] = ()


_HEARTBEAT = msgspec.msgpack.Decoder(Heartbeat)
_SUMMARY = msgspec.msgpack.Decoder(Summary)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Heartbeat | Summary) -> bytes:
    """Returns the message's bytes."""
    return _ENCODER.encode(message)


def decode_heartbeat(
    body: bytes,
) -> result.Result[Heartbeat, errors.PeerFailure]:
    """Returns the heartbeat in `body`."""
    return _decode(body, _HEARTBEAT, DATAGRAM_LIMIT)


def decode_summary(body: bytes) -> result.Result[Summary, errors.PeerFailure]:
    """Returns the summary in `body`."""
    return _decode(body, _SUMMARY, SUMMARY_LIMIT)


def _decode(
    body: bytes, decoder: msgspec.msgpack.Decoder[T], limit: int
) -> result.Result[T, errors.PeerFailure]:
    if len(body) > limit:
        detail = f"{len(body)} bytes, at most {limit}"
        return result.Err(errors.Oversized(detail=detail))
    # The number comes first, so that a later layout is named and not guessed.
    number = body[1] if len(body) > 1 else None
    if _is_short_array(body) and number != FORMAT:
        detail = f"format {number}, this version reads {FORMAT}"
        return result.Err(errors.UnknownFormat(detail=detail))
    try:
        return result.Ok(decoder.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(errors.Undecodable(detail=str(error)))


def _is_short_array(body: bytes) -> bool:
    return len(body) > 1 and body[0] >> 4 == 0x9 and body[1] < 0x80
