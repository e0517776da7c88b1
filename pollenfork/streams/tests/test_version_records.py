"""What the records of all instances prove of where a stream began."""

import msgspec
import pytest

from pollenfork import ids
from pollenfork.streams import version_records

SERVICE = ids.ServiceName("s")
STREAM = 0x4F2A
NOW_MS = 1_800_000_000_000.0
ERA = 2
MEMBERS = ("a", "b")
Verdict = version_records.Verdict


def make(*versions: str, listed: str | None = None, **given):
    """Returns a record from the system's beginning; one stream is listed."""
    key = version_records.format_stream(STREAM)
    streams = {} if listed is None else {SERVICE: {listed: [key]}}
    fields = {"era": ERA, "since_ms": 0, "streams": streams, **given}
    return version_records.Record(versions={SERVICE: [*versions]}, **fields)


def find(members=MEMBERS, **records):
    return version_records.find(records, members, STREAM, SERVICE, ERA, NOW_MS)


def test_the_only_version_ever_recorded_began_every_stream() -> None:
    found = find(a=make("v1"), b=make("v1"))
    assert (found.verdict, found.version) == (Verdict.ONLY, "v1")


# Guards against taking what isn't recorded for what didn't happen.
@pytest.mark.parametrize(
    ("records", "members"),
    [
        ({"a": make("v1"), "b": make("v2")}, MEMBERS),
        ({"a": make("v1", "v2"), "b": make("v1")}, MEMBERS),
        ({"a": make("v1", ""), "b": make("v1")}, MEMBERS),
        ({"a": make(""), "b": make("")}, MEMBERS),
        ({"a": make("v1")}, MEMBERS),
        ({"a": make("v1"), "b": None}, MEMBERS),
        ({"a": make("v1"), "b": make("v1", era=ERA - 1)}, MEMBERS),
        ({"a": make("v1"), "b": make("v1", since_ms=int(NOW_MS))}, MEMBERS),
        ({"a": make(), "b": make()}, MEMBERS),
        ({}, ()),
    ],
    ids=[
        "two versions",
        "an earlier version",
        "an unknown author",
        "unknown authors alone",
        "a member without a row, as of an earlier build",
        "a row that can't be read",
        "a row that the store may have restored",
        "a row that began too late",
        "no version",
        "no row",
    ],
)
def test_what_the_records_do_not_prove_is_unknown(records, members) -> None:
    assert find(members, **records).verdict is Verdict.UNKNOWN


def test_a_stream_that_is_listed_is_known_among_two_versions() -> None:
    found = find(a=make("v1", "v2", listed="v1"), b=make("v2", era=ERA - 1))
    assert (found.verdict, found.version) == (Verdict.LISTED, "v1")


@pytest.mark.parametrize("other", ["v2", ""])
def test_a_stream_that_is_listed_at_two_versions_is_unknown(other) -> None:
    found = find(a=make("v1", listed="v1"), b=make("v1", listed=other))
    assert found.verdict is Verdict.UNKNOWN


def test_a_stream_of_an_unknown_author_is_unknown() -> None:
    found = find(a=make("v1", listed=""), b=make("v1"))
    assert found.verdict is Verdict.UNKNOWN


def test_a_record_is_decoded_as_it_was_encoded() -> None:
    record = make("v1", "v2", listed="v2", since_ms=7)
    value = version_records.encode(record)
    assert version_records.decode(value).ok_value == record


# Guards against builds that can't read each other's rows.
def test_fields_of_other_builds_are_ignored_and_may_be_missing() -> None:
    value = msgspec.json.encode({"era": 1, "since-ms": 0, "later": [1]})
    assert version_records.decode(value).ok_value == version_records.Record(
        1, 0
    )


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"era": "x"}', b"\xff"])
def test_a_row_of_another_writer_is_refused(value) -> None:
    assert version_records.decode(value).is_err()
