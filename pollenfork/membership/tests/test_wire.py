"""Golden bytes of format 1, and bytes that decoding rejects."""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.membership import errors
from pollenfork.membership import messages
from pollenfork.membership import wire

_STATUS = messages.MemberStatus
_UPDATE = wire.MemberUpdate(
    ids.InstanceId("entry-2"),
    ids.Incarnation(1_700_000_000_002),
    41,
    _STATUS.SUSPECTED,
    "10.0.0.2:7001",
)
_HEARTBEAT = wire.Heartbeat(
    format=1,
    instance=ids.InstanceId("entry-1"),
    data_centre=ids.DataCentre("amman-1"),
    incarnation=ids.Incarnation(1_700_000_000_001),
    sequence=70_000,
    period_ms=200,
    status=_STATUS.LIVE,
    revision=ids.Revision(7),
    pressure=b"\x01\x02",
    updates=(_UPDATE,),
    leaving=(ids.EndpointId("runner-9"),),
)
_SUMMARY = wire.Summary(
    format=1,
    instance=ids.InstanceId("entry-1"),
    data_centre=ids.DataCentre("amman-1"),
    entries=(wire.Entry(_UPDATE, ids.Revision(6)),),
    leaving=(ids.EndpointId("runner-9"),),
    corrections=(_UPDATE,),
)
_UPDATE_HEX = (
    "95a7656e7472792d32cf0000018bcfe568022"
    "9a9737573706563746564ad31302e302e302e323a37303031"
)
_HEARTBEAT_HEX = (
    "9b01a7656e7472792d31a7616d6d616e2d31cf0000018bcfe56801ce00011170ccc8"
    f"a46c69766507c402010291{_UPDATE_HEX}91a872756e6e65722d39"
)
_SUMMARY_HEX = (
    f"9601a7656e7472792d31a7616d6d616e2d319192{_UPDATE_HEX}0691a872756e6e65"
    f"722d3991{_UPDATE_HEX}"
)


@pytest.mark.parametrize(
    ("message", "golden", "decode"),
    [
        (_HEARTBEAT, _HEARTBEAT_HEX, wire.decode_heartbeat),
        (_SUMMARY, _SUMMARY_HEX, wire.decode_summary),
    ],
)
def test_format_one_matches_golden_bytes(message, golden, decode):
    assert wire.encode(message).hex() == golden
    assert decode(bytes.fromhex(golden)).unwrap() == message


def test_appended_fields_of_later_version_are_skipped():
    longer = msgspec.msgpack.encode(
        [*msgspec.msgpack.decode(wire.encode(_HEARTBEAT)), "new"]
    )
    assert wire.decode_heartbeat(longer).unwrap() == _HEARTBEAT


def _replace(**fields):
    return wire.encode(msgspec.structs.replace(_HEARTBEAT, **fields))


@pytest.mark.parametrize(
    ("body", "failure"),
    [
        (b"", errors.Undecodable),
        (b"\x00", errors.Undecodable),
        (b"\xff" * 100, errors.Undecodable),
        (b"GET / HTTP/1.1\r\n\r\n", errors.Undecodable),
        (wire.encode(_HEARTBEAT)[:-1], errors.Undecodable),
        (wire.encode(_HEARTBEAT) + b"\x00", errors.Undecodable),
        (wire.encode(_SUMMARY), errors.Undecodable),
        (_replace(format=2), errors.UnknownFormat),
        (_replace(format=0), errors.UnknownFormat),
        (_replace(instance=5), errors.Undecodable),
        (_replace(incarnation=2**60), errors.Undecodable),
        (_replace(sequence=-1), errors.Undecodable),
        (_replace(period_ms=0), errors.Undecodable),
        (_replace(period_ms=10**9), errors.Undecodable),
        (_replace(pressure=bytes(9000)), errors.Oversized),
    ],
)
def test_invalid_bytes_are_rejected_by_type(body, failure):
    assert isinstance(wire.decode_heartbeat(body).unwrap_err(), failure)
