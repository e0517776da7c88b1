"""What instances record, for after a loss of all, of where streams began.

Each instance has one row. It names a software version before the first stream
begins at it there, so what no row names has begun no stream. While a service
has several versions, the row also lists the streams that haven't ended.
"""

from collections.abc import Collection, Mapping
import enum

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.streams import origins

# How long a version stays recorded after its last runner was listed, and how
# long a record must be complete to prove anything, in seconds. Callers return
# within minutes, but nothing bounds that.
KEEP_S = 86_400.0


class BadRecord(failures.Failure, frozen=True, kw_only=True):
    """A row can't be decoded."""


class Record(msgspec.Struct, frozen=True, rename="kebab"):
    """What one instance records.

    Attributes:
        era: The era of the store in which it was written. A store that was
            restored since may have lost a later one.
        since_ms: Unix milliseconds since which it is complete; 0: no stream
            began before.
        versions: By service, the versions at which streams may have begun;
            `UNKNOWN` among them: also at others.
        streams: By service and version, the streams that haven't ended, as
            hexadecimal hashes.
    """

    era: int
    since_ms: int
    versions: dict[str, list[str]] = {}
    streams: dict[str, dict[str, list[str]]] = {}


class Verdict(enum.Enum):
    """How a stream's version was found in the records."""

    LISTED = "listed"  # A row lists the stream.
    ONLY = "only"  # No row names another version of the service.
    UNKNOWN = "unknown"


class Finding(msgspec.Struct, frozen=True):
    """What the records tell of a stream.

    Attributes:
        verdict: How it was found.
        version: The version that began it.
    """

    verdict: Verdict
    version: ids.SoftwareVersion = origins.UNKNOWN


_NOTHING = Finding(Verdict.UNKNOWN)
_DECODER = msgspec.json.Decoder(Record)


def encode(record: Record) -> bytes:
    """Returns the value of a row."""
    return msgspec.json.encode(record)


def decode(value: bytes) -> result.Result[Record, BadRecord]:
    """Decodes the value of a row."""
    try:
        return result.Ok(_DECODER.decode(value))
    except msgspec.MsgspecError as error:
        return result.Err(BadRecord(detail=str(error)))


def format_stream(stream: int) -> str:
    """Returns the form in which a row lists a stream."""
    return f"{stream:x}"


def find(
    records: Mapping[str, Record | None],
    members: Collection[str],
    stream: int,
    service: ids.ServiceName,
    era: int,
    now_ms: float,
) -> Finding:
    """Returns the version that began a stream, if the records prove it.

    Args:
        records: All rows by host; None: one that can't be decoded.
        members: The hosts of the instances that are known now. Those of earlier
            builds record nothing.
        stream: Identifies the stream.
        service: The service that it goes on at.
        era: The store's era.
        now_ms: Unix milliseconds.
    """
    known = [each for each in records.values() if each is not None]
    key = format_stream(stream)
    listed = {
        version
        for record in known
        for version, streams in record.streams.get(service, {}).items()
        if key in streams
    }
    if listed:
        version = ids.SoftwareVersion(next(iter(listed)))
        if len(listed) > 1 or not version:
            return _NOTHING
        return Finding(Verdict.LISTED, version)
    versions = list_versions(records.values(), service)
    if len(versions) != 1 or origins.UNKNOWN in versions:
        return _NOTHING
    is_complete = (
        len(known) == len(records)
        and records.keys() >= set(members)
        and all(
            each.era == era and each.since_ms <= now_ms - KEEP_S * 1000.0
            for each in known
        )
    )
    if not is_complete:
        return _NOTHING
    return Finding(Verdict.ONLY, ids.SoftwareVersion(versions.pop()))


def list_versions(
    records: Collection[Record | None], service: ids.ServiceName
) -> set[str]:
    """Returns the versions of a service that any row names."""
    return {
        version
        for record in records
        if record is not None
        for version in record.versions.get(service, ())
    }
