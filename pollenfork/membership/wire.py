"""Versioned MessagePack encoding of messages between instances."""

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
# Limits values from peers to what can be encoded again: an incarnation above
# a received one must still fit.
_MAX_COUNT = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Incarnation = Annotated[ids.Incarnation, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_Revision = Annotated[ids.Revision, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_PeriodMs = Annotated[int, msgspec.Meta(gt=0, le=60_000)]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A member's state, as the sender knows it.

    Attributes:
        sequence: Of the member's latest heartbeat that the sender knows of.
        address: Distinguishes two processes of the same name.
    """

    instance: ids.InstanceId
    incarnation: _Incarnation
    sequence: _Count
    status: messages.MemberStatus
    address: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat from one instance to its own data centre.

    Attributes:
        instance: Empty, like `data_centre`, for members that know the
            sender's address, to save bytes.
        sequence: Incremented with each heartbeat of the incarnation.
        period_ms: Time to the next heartbeat.
        status: `LIVE`, or `LEFT` in the last heartbeats.
        revision: The settings revision in force at the sender.
        pressure: A `pressures.Delta`; empty for none.
        updates: Suspicions, refutations and departures.
        leaving: Endpoints that another data centre reports as leaving.
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
    updates: tuple[MemberUpdate, ...] = ()
    leaving: tuple[ids.EndpointId, ...] = ()


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One member of the data centre that sends a summary."""

    update: MemberUpdate
    revision: _Revision


class Summary(msgspec.Struct, frozen=True, array_like=True):
    """State of one data centre for another, sent by any of its instances.

    Attributes:
        leaving: Endpoints that the data centre reports as leaving.
        corrections: Members of other data centres of which this one knows
            a later incarnation than they announce.
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
    # The format number comes first, so that an unknown format is recognized
    # before the rest is decoded.
    format_number = body[1] if len(body) > 1 else None
    if _is_short_array(body) and format_number != FORMAT:
        detail = f"format {format_number}, this version reads {FORMAT}"
        return result.Err(errors.UnknownFormat(detail=detail))
    try:
        return result.Ok(decoder.decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return result.Err(errors.Undecodable(detail=str(error)))


def _is_short_array(body: bytes) -> bool:
    return len(body) > 1 and body[0] >> 4 == 0x9 and body[1] < 0x80
