"""Writes this instance's record of where streams begin, and reads all."""

import asyncio
import collections
from collections.abc import Callable, Iterable
import logging

import result

from pollenfork import ids
from pollenfork import versions
from pollenfork.catalogue import changes
from pollenfork.fleet import model as fleet
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.gateway import settings
from pollenfork.gateway.version_records import row_reader
from pollenfork.streams import origins
from pollenfork.streams import version_records

_LOG = logging.getLogger(__name__)

_TABLE = changes.Table.STREAM_VERSIONS
# The timeout of a call, in seconds. It usually takes some milliseconds.
_CALL_TIMEOUT_S = 1.0
# Pauses after failed calls, in seconds; they double.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
# How long a stream that begins waits for its version to be recorded, in
# seconds.
_MAX_WAIT_S = 0.3
# Writes of all instances together in a second while a service has several
# versions, and the least time between two of one instance, in seconds. The
# store takes 300 transactions a second in one part.
_WRITES_PER_S = 200.0
_MIN_INTERVAL_S = 0.1
# The same where streams wait to begin, in seconds.
_LEAST_REST_S = 0.02
# The same once a service's runners have been of one version for so long, in
# seconds.
_CALM_INTERVAL_S = 1.0
_CALM_S = 60.0
# Streams listed in a row, 20 bytes each; the oldest go first. A stream that
# hasn't ended is listed for as long as callers usually return, in seconds.
_MAX_STREAMS = 1_000
_LISTED_S = 60.0


class Recorder:
    """Keeps this instance's row, and finds streams in those of all.

    Attributes:
        counts: How often a stream was looked for, by what was found.
    """

    def __init__(
        self,
        address: settings.Address,
        store: edges.Store,
        host: str,
        read_wall: Callable[[], float],
    ) -> None:
        """Creates a recorder that has recorded nothing; `run` makes the calls.

        Args:
            address: The store's address.
            store: Encodes and decodes the store's calls.
            host: This instance's host, the key of its row.
            read_wall: Returns the Unix time in seconds.
        """
        self._loop = asyncio.get_running_loop()
        self._client = client.Client(address)
        self._reader = row_reader.RowReader(address, store, host)
        self._store = store
        self._host = host
        self._read_wall = read_wall
        self._list_members: Callable[[], Iterable[str]] = lambda: (host,)
        self._since_ms: int | None = None
        self._row_version = changes.ABSENT
        self._era = 0
        # When each version of each service was last listed or begun at.
        self._used: dict[ids.ServiceName, dict[str, float]] = {}
        self._recorded: set[tuple[ids.ServiceName, str]] = set()
        self._streams: collections.OrderedDict[
            int, tuple[ids.ServiceName, str, float]
        ] = collections.OrderedDict()
        self._seen: dict[str, float] = {}
        # Streams of unknown authors in the row that is written.
        self._unknown: set[int] = set()
        self._changed = asyncio.Event()
        # Set if streams wait for a write.
        self._awaited = asyncio.Event()
        self._written = asyncio.Event()
        self.started = asyncio.Event()
        self.counts = dict.fromkeys(version_records.Verdict, 0)

    def join(self, list_members: Callable[[], Iterable[str]]) -> None:
        """Sets what lists the hosts of all known instances, this one too."""
        self._list_members = list_members

    # What is recorded.

    def observe(self, runners: Iterable[fleet.Runner]) -> None:
        """Records the versions of runners that are listed; called regularly."""
        for runner in runners:
            if runner.version:
                self.note(runner.service, runner.version)

    def note(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> None:
        """Records that streams may begin at a version.

        Args:
            service: The service.
            version: The version; `UNKNOWN`: any.
        """
        self._used.setdefault(service, {})[version] = self._loop.time()
        if (service, version) not in self._recorded:
            self._changed.set()
            self._awaited.set()

    def is_recorded(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> bool:
        """Returns whether streams may begin at a version."""
        return (service, version) in self._recorded

    async def wait_until_recorded(self, service: ids.ServiceName) -> bool:
        """Waits, for a short time, until all used versions are recorded.

        Returns:
            Whether streams may begin at any.
        """
        try:
            async with asyncio.timeout(_MAX_WAIT_S):
                while not self._is_complete(service):
                    self._written.clear()
                    await self._written.wait()
        except TimeoutError:
            pass
        used = self._used.get(service, {})
        return not used or any(
            (service, version) in self._recorded for version in used
        )

    def record_begun(
        self,
        stream: int,
        service: ids.ServiceName,
        version: ids.SoftwareVersion,
    ) -> None:
        """Lists a stream that has begun here, or gone on.

        Args:
            stream: Identifies the stream.
            service: The service.
            version: The version; `UNKNOWN`: it isn't known, or not yet. Such a
                stream is listed before it begins, and until it is known.
        """
        listed_s = _LISTED_S if version else version_records.KEEP_S
        until = self._loop.time() + listed_s
        self._streams[stream] = (service, version, until)
        if len(self._streams) > _MAX_STREAMS:
            _, (dropped_at, dropped, _) = self._streams.popitem(last=False)
            if not dropped:
                self.note(dropped_at, origins.UNKNOWN)
        if not version and stream not in self._unknown:
            self._awaited.set()
        if self._has_several(service) or stream in self._unknown or not version:
            self._changed.set()

    def is_listed_unknown(self, stream: int) -> bool:
        """Returns whether a stream is recorded as one of an unknown author."""
        return stream in self._unknown

    def correct(self, stream: int, version: ids.SoftwareVersion) -> None:
        """Changes the version of a stream that is listed."""
        if stream in self._streams:
            service, _, _ = self._streams[stream]
            self.record_begun(stream, service, version)

    def record_ended(self, stream: int) -> None:
        """Drops a stream that its caller has whole."""
        self._streams.pop(stream, None)

    # What is found.

    async def find(
        self, stream: int, service: ids.ServiceName
    ) -> version_records.Finding:
        """Returns the version that began a stream, if the rows prove it.

        They are read after the call, so no stream that has begun by then began
        at a version that none of them names.

        Args:
            stream: Identifies the stream.
            service: The service that it goes on at.
        """
        read = await self._reader.read_since(self._loop.time())
        if read is None:
            finding = version_records.Finding(version_records.Verdict.UNKNOWN)
        else:
            finding = version_records.find(
                self._select(read.rows),
                set(self._list_members()),
                stream,
                service,
                read.era,
                self._read_wall() * 1000.0,
            )
        self.counts[finding.verdict] += 1
        return finding

    # The calls.

    async def run(self) -> None:
        """Reads all rows, then writes this instance's until cancelled."""
        pause_s = _FIRST_PAUSE_S
        while not await self._start():
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
        self.started.set()
        pause_s = _FIRST_PAUSE_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._awaited.clear()
            if await self._write():
                pause_s = _FIRST_PAUSE_S
                await self._rest()
                continue
            self._changed.set()
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)

    async def _rest(self) -> None:
        """Lets changes gather, unless streams wait for them."""
        await asyncio.sleep(_LEAST_REST_S)
        try:
            async with asyncio.timeout(self._interval_s):
                await self._awaited.wait()
        except TimeoutError:
            return

    def rewrite(self) -> None:
        """Writes the row again, as the store may have lost it."""
        self._recorded.clear()
        self._changed.set()

    def close(self) -> None:
        """Closes the connections to the store."""
        self._client.close()
        self._reader.close()

    @property
    def _interval_s(self) -> float:
        members = sum(1 for _ in self._list_members())
        since = self._loop.time() - _CALM_S
        is_calm = all(
            sum(at >= since for at in used.values()) <= 1
            for used in self._used.values()
        )
        least_s = _CALM_INTERVAL_S if is_calm else _MIN_INTERVAL_S
        return max(least_s, members / _WRITES_PER_S)

    async def _start(self) -> bool:
        """Takes over this instance's own row, or begins one."""
        read = await self._reader.read()
        if read is None:
            return False
        own = read.rows.get(self._host)
        if own is not None and own.era == read.era:
            self._since_ms = own.since_ms
            self._take_over(own)
        elif read.found != changes.ABSENT:
            self._since_ms = round(self._read_wall() * 1000.0)
        else:
            is_first = await self._is_first(read)
            if is_first is None:
                return False
            self._since_ms = (
                0 if is_first else round(self._read_wall() * 1000.0)
            )
        self._row_version = read.found
        self._era = read.era
        _LOG.info(
            "event=version_records_read rows=%d since_ms=%d",
            len(read.rows),
            self._since_ms,
        )
        self._changed.set()
        return True

    def _take_over(self, own: version_records.Record) -> None:
        now = self._loop.time()
        for service, names in own.versions.items():
            used = self._used.setdefault(ids.ServiceName(service), {})
            for version in names:
                used.setdefault(version, now)
                self._recorded.add((ids.ServiceName(service), version))
        for service, listed in own.streams.items():
            for version, streams in listed.items():
                for stream in streams:
                    self.record_begun(
                        int(stream, 16),
                        ids.ServiceName(service),
                        ids.SoftwareVersion(version),
                    )

    async def _is_first(self, read: row_reader.AllRows) -> bool | None:
        """Returns whether no instance has ever served; None: no answer.

        A row of a system that began with this build says so. Before there is
        any, the other tables are empty, too.
        """
        if read.rows:
            return all(
                each is not None and each.since_ms == 0
                for each in read.rows.values()
            )
        for table in (changes.Table.DUTIES, changes.Table.KEPT_REQUESTS):
            rows = await self._reader.read_page(table)
            if rows is None:
                return None
            if rows.rows:
                return False
        return True

    async def _write(self) -> bool:
        """Returns whether the row was written."""
        now = self._loop.time()
        self._expire(now)
        record = self._make_record()
        unknown = {key for key, each in self._streams.items() if not each[1]}
        put = changes.Put(
            _TABLE,
            self._host,
            version_records.encode(record),
            self._row_version,
        )
        call = self._store.encode_change(changes.Change((put,)))
        answer = await self._client.call(call, _CALL_TIMEOUT_S)
        written: result.Result[int, changes.WriteFailure]
        written = result.Err(changes.WriteFailure.NO_ANSWER)
        if answer is not None:
            written = self._store.decode_change_result(*answer)
        if isinstance(written, result.Err):
            _LOG.warning(
                "event=version_record_not_written trouble=%s",
                written.err_value.value,
            )
            if written.err_value is changes.WriteFailure.CONFLICT:
                await self._read_own()
            return False
        version = written.ok_value
        self._row_version = version
        if versions.get_epoch(version) != record.era:
            # The store was restored meanwhile.
            self._era = versions.get_epoch(version)
            return False
        self._recorded = {
            (ids.ServiceName(service), each)
            for service, names in record.versions.items()
            for each in names
        }
        self._unknown = unknown
        self._written.set()
        return True

    async def _read_own(self) -> None:
        """Reads the version that the row has, as a write may have been late."""
        read = await self._reader.read()
        if read is not None:
            self._row_version = read.found
            self._era = read.era

    def _make_record(self) -> version_records.Record:
        streams: dict[str, dict[str, list[str]]] = {}
        for stream, (service, version, _) in self._streams.items():
            if self._has_several(service) or not version:
                of_service = streams.setdefault(service, {})
                of_service.setdefault(version, []).append(
                    version_records.format_stream(stream)
                )
        return version_records.Record(
            self._era,
            self._since_ms or 0,
            {service: list(used) for service, used in self._used.items()},
            streams,
        )

    def _expire(self, now: float) -> None:
        for used in self._used.values():
            for version, at in list(used.items()):
                if now - at > version_records.KEEP_S:
                    del used[version]
        for stream, (_, _, until) in list(self._streams.items()):
            if until < now:
                del self._streams[stream]

    def _select(self, rows: row_reader.Rows) -> row_reader.Rows:
        """Drops the rows of instances that have been gone for long."""
        now = self._loop.time()
        self._seen.update(dict.fromkeys(self._list_members(), now))
        return {
            host: record
            for host, record in rows.items()
            if now - self._seen.setdefault(host, now) < version_records.KEEP_S
        }

    def _is_complete(self, service: ids.ServiceName) -> bool:
        return (
            self.started.is_set()
            and all(
                (service, version) in self._recorded
                for version in self._used.get(service, {})
            )
            and all(
                stream in self._unknown
                for stream, (at, version, _) in self._streams.items()
                if at == service and not version
            )
        )

    def _has_several(self, service: ids.ServiceName) -> bool:
        used = self._used.get(service, {})
        return len(used) > 1 or origins.UNKNOWN in used
