"""Keeps which software version began each stream."""

import collections

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.loads import stream_messages

# What one instance keeps of its own streams and of those that it holds for
# others; about 300 bytes each. The oldest go first.
_MAX_STREAMS = 16_384
# Longer than any caller takes to return; what others tell is cut to it.
_MAX_KEEP_S = 600.0

UNKNOWN = ids.SoftwareVersion("")


class _Begun(msgspec.Struct):
    """Where a stream began.

    Attributes:
        until: Monotonic seconds until which its caller may return.
        versions: The software version by a hash of the service.
        pending: The services whose version may become known, and what was
            known of it before; `UNKNOWN`: nothing.
    """

    until: float
    versions: dict[int, ids.SoftwareVersion] = {}
    pending: dict[int, ids.SoftwareVersion] = {}

    def record(self, service: int, version: ids.SoftwareVersion) -> None:
        """Records a version, or that it can't be known."""
        if service in self.pending:
            before = self.pending.pop(service) or version
        else:
            before = self.versions.get(service, version)
        self.versions[service] = version if before == version else UNKNOWN

    def record_pending(self, service: int) -> None:
        """Records that the version isn't known yet."""
        before = self.versions.get(service)
        if before is None or before:
            self.pending[service] = before or UNKNOWN
            self.versions[service] = UNKNOWN


def hash_stream(first: ids.AttemptId) -> int:
    """Returns what identifies the stream that an attempt began."""
    return xxhash.xxh64_intdigest(first.encode())


def hash_service(service: ids.ServiceName) -> int:
    """Returns what identifies a service in datagrams about streams."""
    return xxhash.xxh32_intdigest(service.encode())


class Origins:
    """The software versions that began streams.

    Two reports of different versions for one stream and service cancel each
    other: the version isn't known then.
    """

    def __init__(self) -> None:
        self._begun: collections.OrderedDict[int, _Begun] = (
            collections.OrderedDict()
        )

    @property
    def size(self) -> int:
        """How many streams are kept."""
        return len(self._begun)

    def record(
        self,
        stream: int,
        service: int,
        version: ids.SoftwareVersion,
        now: float,
        keep_s: float,
        *,
        is_open: bool = False,
    ) -> None:
        """Records the version at which a stream began.

        Args:
            stream: Identifies the stream.
            service: A hash of the service.
            version: The version; `UNKNOWN`: it can't be known any more.
            now: Monotonic seconds.
            keep_s: Seconds for which its caller may return.
            is_open: Whether an unknown version may become known.
        """
        if len(version) > model.MAX_VERSION_CHARS:
            version = UNKNOWN
        until = now + min(keep_s, _MAX_KEEP_S)
        begun = self._begun.setdefault(stream, _Begun(until))
        begun.until = max(begun.until, until)
        if is_open and not version:
            begun.record_pending(service)
        else:
            begun.record(service, version)
        if len(self._begun) > _MAX_STREAMS:
            self._begun.popitem(last=False)

    def find(self, stream: int, now: float) -> dict[int, ids.SoftwareVersion]:
        """Returns the versions of a stream by a hash of the service."""
        begun = self._begun.get(stream)
        if begun is None or begun.until < now:
            return {}
        return begun.versions

    def is_pending(self, stream: int, service: int) -> bool:
        """Returns whether an unknown version may become known."""
        begun = self._begun.get(stream)
        return begun is not None and service in begun.pending

    def describe(
        self, stream: int, now: float
    ) -> tuple[stream_messages.Origin, ...]:
        """Returns what is known of a stream, for another instance."""
        versions = self.find(stream, now)
        if not versions:
            return ()
        keep_ms = int((self._begun[stream].until - now) * 1000)
        pending = self._begun[stream].pending
        return tuple(
            stream_messages.Origin(
                stream, service, version, keep_ms, service in pending
            )
            for service, version in versions.items()
        )

    def receive(self, told: stream_messages.Origin, now: float) -> None:
        """Records what another instance tells."""
        self.record(
            told.stream,
            told.service,
            ids.SoftwareVersion(told.version),
            now,
            max(0, told.keep_ms) / 1000.0,
            is_open=told.is_open,
        )

    def expire(self, now: float) -> None:
        """Drops the streams whose callers return no more."""
        overdue = [key for key, each in self._begun.items() if each.until < now]
        for key in overdue:
            del self._begun[key]
