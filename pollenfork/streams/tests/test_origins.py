"""What is kept of streams, and for how long."""

import hypothesis
from hypothesis import strategies
import msgspec

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.loads import stream_messages
from pollenfork.streams import origins

STREAM = origins.hash_stream(ids.AttemptId("4f2a"))
SERVICE = origins.hash_service(ids.ServiceName("model"))
OTHER = origins.hash_service(ids.ServiceName("other"))
V1, V2 = ids.SoftwareVersion("v1"), ids.SoftwareVersion("v2")


def test_a_stream_is_known_until_its_caller_returns_no_more() -> None:
    kept = origins.Origins()
    kept.record(STREAM, SERVICE, V1, 0.0, 8.0)
    assert kept.find(STREAM, 8.0) == {SERVICE: V1}
    assert kept.find(STREAM, 8.1) == {}
    kept.expire(8.1)
    assert kept.size == 0


# Guards against believing either of two instances that contradict each other.
def test_a_stream_said_to_have_begun_at_two_versions_is_unknown() -> None:
    kept = origins.Origins()
    for version in (V1, V2, V1):
        kept.record(STREAM, SERVICE, version, 0.0, 8.0)
    assert kept.find(STREAM, 1.0) == {SERVICE: origins.UNKNOWN}


def test_a_stream_may_have_begun_at_several_services() -> None:
    kept = origins.Origins()
    kept.record(STREAM, SERVICE, V1, 0.0, 8.0)
    kept.record(STREAM, OTHER, V2, 0.0, 8.0)
    assert kept.find(STREAM, 1.0) == {SERVICE: V1, OTHER: V2}


def test_the_oldest_streams_are_dropped_first() -> None:
    kept = origins.Origins()
    for number in range(20_000):
        kept.record(number, SERVICE, V1, 0.0, 8.0)
    assert kept.size == 16_384
    assert not kept.find(0, 0.0)
    assert kept.find(19_999, 0.0)


def test_what_is_told_is_kept_as_long_as_at_the_teller() -> None:
    teller, told = origins.Origins(), origins.Origins()
    teller.record(STREAM, SERVICE, V1, 0.0, 8.0)
    for each in teller.describe(STREAM, 3.0):
        told.receive(each, 100.0)
    assert told.find(STREAM, 104.9) == {SERVICE: V1}
    assert told.find(STREAM, 105.1) == {}


@hypothesis.given(strategies.text(max_size=80), strategies.integers())
def test_any_told_origin_is_survived(version: str, keep_ms: int) -> None:
    kept = origins.Origins()
    told = stream_messages.Origin(STREAM, SERVICE, version, keep_ms)
    kept.receive(told, 0.0)
    assert len(kept.find(STREAM, 0.0).get(SERVICE, "")) <= 64


def test_messages_are_read_as_they_were_written() -> None:
    origin = stream_messages.Origin(STREAM, SERVICE, "v1", 13_000)
    for message in (
        stream_messages.OriginNotice("a", (origin,)),
        stream_messages.OriginQuery("a", STREAM),
        stream_messages.OriginAnswer("a", STREAM, (origin,)),
    ):
        assert messages.decode(messages.encode(message)) == message


# Guards against refusing a stream for good because its runner's version wasn't
# known yet when it began.
def test_a_version_may_become_known_later() -> None:
    kept = origins.Origins()
    kept.record(STREAM, SERVICE, origins.UNKNOWN, 0.0, 8.0, is_open=True)
    assert kept.find(STREAM, 1.0) == {SERVICE: origins.UNKNOWN}
    assert kept.is_pending(STREAM, SERVICE)
    kept.record(STREAM, SERVICE, V2, 1.0, 8.0)
    assert kept.find(STREAM, 1.0) == {SERVICE: V2}
    assert not kept.is_pending(STREAM, SERVICE)


# Guards against replacing a version that was told by one that contradicts it.
def test_a_version_in_doubt_is_confirmed_or_unknown() -> None:
    for later, found in ((V1, V1), (V2, origins.UNKNOWN)):
        kept = origins.Origins()
        kept.record(STREAM, SERVICE, V1, 0.0, 8.0)
        kept.record(STREAM, SERVICE, origins.UNKNOWN, 1.0, 8.0, is_open=True)
        assert kept.find(STREAM, 1.0) == {SERVICE: origins.UNKNOWN}
        kept.record(STREAM, SERVICE, later, 2.0, 8.0)
        assert kept.find(STREAM, 2.0) == {SERVICE: found}


def test_what_can_not_be_known_stays_unknown() -> None:
    kept = origins.Origins()
    kept.record(STREAM, SERVICE, origins.UNKNOWN, 0.0, 8.0)
    kept.record(STREAM, SERVICE, origins.UNKNOWN, 1.0, 8.0, is_open=True)
    kept.record(STREAM, SERVICE, V1, 2.0, 8.0)
    assert kept.find(STREAM, 2.0) == {SERVICE: origins.UNKNOWN}


# Guards against builds that can't read each other's notices: an earlier one
# takes a version that may become known for one that can't.
def test_builds_read_each_others_origins() -> None:
    told = stream_messages.Origin(STREAM, SERVICE, "", 5, is_open=True)
    notice = stream_messages.OriginNotice("a", (told,))
    assert messages.decode(messages.encode(notice)) == notice
    earlier = msgspec.msgpack.encode(["n", "a", [[STREAM, SERVICE, "v1", 5]]])
    assert messages.decode(earlier) == stream_messages.OriginNotice(
        "a", (stream_messages.Origin(STREAM, SERVICE, "v1", 5),)
    )

    class EarlierOrigin(msgspec.Struct, array_like=True):
        stream: int
        service: int
        version: str
        keep_ms: int

    read = msgspec.msgpack.decode(
        msgspec.msgpack.encode(told), type=EarlierOrigin
    )
    assert (read.stream, read.version, read.keep_ms) == (STREAM, "", 5)
