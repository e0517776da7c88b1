"""Tells other instances at which version streams began, and asks them."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Sequence
import enum
import logging

import msgspec

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.gateway.streams import origin_searches
from pollenfork.gateway.streams import stream_records
from pollenfork.loads import stream_messages
from pollenfork.streams import holders
from pollenfork.streams import origins
from pollenfork.streams import version_records

_LOG = logging.getLogger(__name__)

# How long a request waits for the version of a stream that broke here while its
# runner is in doubt, which ends 0.3 s after the last sign, or as an entry is
# written, in seconds.
_MAX_OWN_WAIT_S = 1.5
# A caller may return this long after its time limit, in seconds: it measures
# from when it sent its request.
_KEEP_MARGIN_S = 5.0
# A runner that has restarted may have written events of its new version for
# this long before the registry tells of it, in seconds: its entry lasts for
# three renewals while it can't write, and news takes a second or two.
_RESTART_NEWS_S = 8.0


class Lookup(enum.Enum):
    """How the version of a stream that a caller takes up was found."""

    HERE = "here"
    PEER = "peer"
    RECORD = "record"
    ONLY_VERSION = "only_version"
    OTHER_SERVICE = "other_service"
    UNKNOWN = "unknown"


class LookupResult(msgspec.Struct, frozen=True):
    """Where a stream began that a caller takes up.

    Attributes:
        lookup: How that was found.
        version: The only version at which it may go on; None: any, if it began
            at another service, or none, if nothing is known.
    """

    lookup: Lookup
    version: ids.SoftwareVersion | None = None

    @property
    def is_known(self) -> bool:
        """Whether the stream may go on."""
        return self.lookup is not Lookup.UNKNOWN


class StreamKey(msgspec.Struct, frozen=True):
    """What identifies a stream when its caller takes it up.

    Attributes:
        first: The attempt that brought its first event; empty: the caller
            doesn't name it. The request then identifies the stream, unless the
            same one began several.
        digest: The request, which is the same each time.
    """

    first: ids.AttemptId
    digest: ids.RequestDigest

    @property
    def hash(self) -> int:
        """What identifies it in datagrams."""
        if not self.first:
            return self.digest
        return origins.hash_stream(self.first)


class _Recent(msgspec.Struct, frozen=True):
    """A stream that has just begun at one of the runners.

    Attributes:
        at: When, in monotonic seconds.
        runner: The runner as it was known then.
        digest: The request.
        told: What was told of the stream.
        made: When the connection was made that its first event came on; None:
            unknown.
    """

    at: float
    runner: fleet.Runner
    digest: ids.RequestDigest
    told: tuple[stream_messages.Origin, ...]
    made: signs.ConnectionTimes | None

    @property
    def version(self) -> ids.SoftwareVersion:
        """The version that was told."""
        return ids.SoftwareVersion(self.told[0].version)

    @property
    def is_open(self) -> bool:
        """Whether the version may become known."""
        return self.told[0].is_open


class _Followed(msgspec.Struct, frozen=True):
    """An answer that goes on with a stream.

    Attributes:
        runner: The runner as it was known when the request was sent.
        made: When its connection was made.
        version: The version that began the stream.
        is_over: Returns whether the answer is over.
        end: Ends the answer.
    """

    runner: fleet.Runner
    made: signs.ConnectionTimes
    version: ids.SoftwareVersion
    is_over: Callable[[], bool]
    end: Callable[[], None]


class OriginDirectory:
    """Where streams began, as far as this instance and its peers know.

    Attributes:
        counts: How the versions of streams taken up were found.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        runners: registry.Registry,
        host: str,
        data_centre: ids.DataCentre,
        judged: continuity.Continuity | None = None,
        records: stream_records.Records | None = None,
    ) -> None:
        """Creates a directory that knows no stream and no peer.

        Args:
            loop: Provides the clock.
            runners: The registered runners.
            host: This instance's host.
            data_centre: Where it runs.
            judged: Tells which runners may have started again unnoticed; None:
                their entries are believed.
            records: Outlasts a loss of all instances; None: nothing does.
        """
        self._loop = loop
        self._runners = runners
        self._host = host
        self._data_centre = data_centre
        self._records = records
        self._origins = origins.Origins()
        self._peers: origin_searches.Peers | None = None
        self._wait_until_settled: Callable[[], Awaitable[None]] | None = None
        self._judged = judged or continuity.Continuity(runners, 0.0)
        self._recent: collections.deque[_Recent] = collections.deque()
        self._followed: list[_Followed] = []
        self._searches = origin_searches.OriginSearches(loop, host, data_centre)
        self.counts = dict.fromkeys(Lookup, 0)
        runners.when_listed(lambda _: self._observe_versions())
        runners.when_restarted(lambda _: self._observe_versions())
        runners.when_described(lambda _: self._observe_versions())
        runners.when_restarted(lambda runner: self._judge_again(runner.id))
        runners.when_described(lambda runner: self._judge_again(runner.id))
        self._judged.when_doubted(self._judge_again)
        self._judged.when_confirmed(self._judge_again)

    def join(
        self,
        peers: origin_searches.Peers,
        wait_until_settled: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Sets the other instances.

        Args:
            peers: The other instances.
            wait_until_settled: Waits, for a short time, until they have told
                which runners are in doubt; None: they needn't.
        """
        self._peers = peers
        self._wait_until_settled = wait_until_settled

    def sweep(self) -> None:
        """Drops what is out of date; called regularly."""
        self._origins.expire(self._loop.time())
        self._observe_versions()

    def is_recorded(self, runner: fleet.Runner) -> bool:
        """Returns whether streams may begin at the version of a runner's entry.

        After a loss of all instances, no stream is believed to have begun at
        one that isn't recorded.
        """
        # A stream of an unknown author is recorded by itself.
        if self._records is None or not runner.version:
            return True
        if self._records.is_recorded(runner.service, runner.version):
            return True
        self._records.note(runner.service, runner.version)
        return False

    def may_begin(
        self,
        stream: StreamKey,
        runner: fleet.Runner,
        made: signs.ConnectionTimes,
    ) -> bool:
        """Returns whether a stream may begin over a connection to a runner.

        If its author won't be known, the stream itself must be recorded first.

        Args:
            stream: The stream.
            runner: The runner as it was known when it was chosen.
            made: When the connection was made.
        """
        if self._records is None or not self.is_recorded(runner):
            return self._records is None
        version, _ = self._judge(runner, made)
        is_recorded = self._records.is_recorded(runner.service, version)
        if version or is_recorded:
            return is_recorded
        keys = (stream.hash, stream.digest)
        if all(map(self._records.is_listed_unknown, keys)):
            return True
        for key in keys:
            self._records.record_begun(key, runner.service, origins.UNKNOWN)
        return False

    async def wait_until_begins(self, service: ids.ServiceName) -> bool:
        """Waits, for a short time, until streams may begin at a service.

        Returns:
            Whether they may.
        """
        if self._records is None:
            return True
        self._observe_versions()
        return await self._records.wait_until_recorded(service)

    def record_ended(self, stream: StreamKey) -> None:
        """Records that the caller has a stream whole."""
        if self._records is not None:
            for key in (stream.hash, stream.digest):
                self._records.record_ended(key)

    def record_begun(
        self,
        stream: StreamKey,
        runner: fleet.Runner,
        keep_s: float,
        made: signs.ConnectionTimes | None = None,
    ) -> ids.SoftwareVersion:
        """Records that a runner has sent the first event of an answer.

        Args:
            stream: The stream.
            runner: The runner, as it was known when the request was sent.
            keep_s: Seconds for which the caller waits.
            made: When the connection was made that it came on; None: unknown.

        Returns:
            The version that began it; unknown if the runner may have another
            one by now.
        """
        version, is_open = self._judge(runner, made)
        service = origins.hash_service(runner.service)
        keep_ms = int((keep_s + _KEEP_MARGIN_S) * 1000)
        told = tuple(
            stream_messages.Origin(key, service, version, keep_ms, is_open)
            for key in (stream.hash, stream.digest)
        )
        now = self._loop.time()
        self._recent.append(_Recent(now, runner, stream.digest, told, made))
        while now - self._recent[0].at > _RESTART_NEWS_S:
            self._recent.popleft()
        self._publish(stream.digest, told)
        if self._records is not None:
            for each in told:
                self._records.record_begun(each.stream, runner.service, version)
        return version

    def follow(
        self,
        runner: fleet.Runner,
        made: signs.ConnectionTimes,
        version: ids.SoftwareVersion,
        is_over: Callable[[], bool],
        end: Callable[[], None],
    ) -> None:
        """Ends an answer once it may come from another version than its stream.

        Args:
            runner: The runner as it was known when the request was sent.
            made: When its connection was made.
            version: The version that began the stream.
            is_over: Returns whether the answer is over.
            end: Ends the answer.
        """
        followed = _Followed(runner, made, version, is_over, end)
        self._followed = [each for each in self._followed if not each.is_over()]
        self._followed.append(followed)
        self._end_if_doubted(followed)

    def is_at_version(
        self,
        runner: fleet.Runner,
        made: signs.ConnectionTimes,
        version: ids.SoftwareVersion,
    ) -> bool:
        """Returns whether a connection surely leads to a software version.

        Args:
            runner: The runner as it was known when it was chosen.
            made: When the connection was made.
            version: The version.
        """
        return self._judge(runner, made)[0] == version

    async def find_own(
        self, stream: StreamKey, service: ids.ServiceName
    ) -> ids.SoftwareVersion:
        """Returns the version of a stream that began here; it may be unknown.

        Args:
            stream: The stream.
            service: The service that it goes on at.
        """
        until = self._loop.time() + _MAX_OWN_WAIT_S
        while True:
            found = await self._find(stream, service)
            is_pending = self._peers is not None and self._origins.is_pending(
                stream.hash, origins.hash_service(service)
            )
            if found.version or not is_pending or self._loop.time() >= until:
                return found.version or origins.UNKNOWN

    async def find(
        self, stream: StreamKey, service: ids.ServiceName
    ) -> LookupResult:
        """Returns where a stream began that a caller takes up.

        Args:
            stream: The stream.
            service: The service that it goes on at.
        """
        found = await self._find(stream, service)
        self.counts[found.lookup] += 1
        return found

    async def wait_until_settled(self) -> None:
        """Waits until it is known at which runners streams may begin or go on.

        Only an instance that has just started doesn't know, for a short time.
        """
        if self._wait_until_settled is not None:
            await self._wait_until_settled()

    def receive(
        self, message: stream_messages.StreamMessage, host: str
    ) -> None:
        """Processes another instance's message."""
        now = self._loop.time()
        match message:
            case stream_messages.OriginNotice():
                for told in message.origins:
                    self._origins.receive(told, now)
            case stream_messages.OriginQuery():
                known = self._origins.describe(message.stream, now)
                answer = stream_messages.OriginAnswer(
                    self._data_centre, message.stream, known
                )
                self._send([host], answer)
            case stream_messages.OriginAnswer():
                self._receive_answer(message)

    def _receive_answer(self, answer: stream_messages.OriginAnswer) -> None:
        if not self._searches.is_awaited(answer.stream):
            return
        for told in answer.origins:
            if told.stream == answer.stream:
                self._origins.receive(told, self._loop.time())
        self._searches.record_answer(answer.stream)

    async def _find(
        self, stream: StreamKey, service: ids.ServiceName
    ) -> LookupResult:
        known = self._look_up(stream.hash, service, Lookup.HERE)
        if self._peers is None or self._is_final(known, stream, service):
            return known or await self._find_recorded(stream, service)

        def is_known() -> bool:
            told = self._look_up(stream.hash, service, Lookup.PEER)
            return self._is_final(told, stream, service)

        vouched = await self._searches.ask(
            self._peers, stream.hash, stream.digest, is_known
        )
        known = self._look_up(stream.hash, service, Lookup.PEER)
        return known or await self._find_recorded(stream, service, vouched)

    def _look_up(
        self, stream: int, service: ids.ServiceName, lookup: Lookup
    ) -> LookupResult | None:
        versions = self._origins.find(stream, self._loop.time())
        if not versions:
            return None
        version = versions.get(origins.hash_service(service))
        if version is None:
            return LookupResult(Lookup.OTHER_SERVICE)
        if version == origins.UNKNOWN:
            return LookupResult(Lookup.UNKNOWN)
        return LookupResult(lookup, version)

    async def _find_recorded(
        self,
        stream: StreamKey,
        service: ids.ServiceName,
        vouched: bool = True,
    ) -> LookupResult:
        """Returns the version that the records prove.

        Args:
            stream: The stream.
            service: The service that it goes on at.
            vouched: Whether another instance is in reach, if there is any: one
                that is cut off doesn't know which of them record nothing.
        """
        if self._records is None:
            return LookupResult(Lookup.UNKNOWN)
        found = await self._records.find(stream.hash, service)
        match found.verdict:
            case version_records.Verdict.LISTED:
                return LookupResult(Lookup.RECORD, found.version)
            case version_records.Verdict.ONLY if vouched:
                return LookupResult(Lookup.ONLY_VERSION, found.version)
        return LookupResult(Lookup.UNKNOWN)

    def _observe_versions(self) -> None:
        if self._records is not None:
            self._records.observe(self._runners.list_all())

    def _is_final(
        self,
        found: LookupResult | None,
        stream: StreamKey,
        service: ids.ServiceName,
    ) -> bool:
        """Returns whether no more can become known of a stream soon.

        One that began at another service may have gone on at this one since.
        """
        if found is None or found.lookup is Lookup.OTHER_SERVICE:
            return False
        return found.is_known or not self._origins.is_pending(
            stream.hash, origins.hash_service(service)
        )

    def _judge(
        self, runner: fleet.Runner, made: signs.ConnectionTimes | None
    ) -> tuple[ids.SoftwareVersion, bool]:
        """Returns the version that wrote an event, and if it may become known.

        Args:
            runner: The runner as it was known when the request was sent.
            made: When its connection was made; None: unknown.
        """
        if made is not None:
            version = self._judged.find_version(runner, made)
            is_replaced = self._judged.is_replaced(runner, made)
            return version, not version and not is_replaced
        known = self._runners.find(runner.id) or runner
        is_current = known.version == runner.version
        return known.version if is_current else origins.UNKNOWN, False

    def _judge_again(self, runner: ids.EndpointId) -> None:
        """Tells what has become known, or doubtful, of a runner's streams."""
        for number, each in enumerate(self._recent):
            if each.runner.id != runner:
                continue
            version, is_open = self._judge(each.runner, each.made)
            if (version, is_open) == (each.version, each.is_open):
                continue
            told = tuple(
                msgspec.structs.replace(
                    origin, version=version, is_open=is_open
                )
                for origin in each.told
            )
            self._recent[number] = msgspec.structs.replace(each, told=told)
            self._publish(each.digest, told)
            if self._records is not None:
                for origin in told:
                    self._records.correct(origin.stream, version)
        for followed in list(self._followed):
            if followed.runner.id == runner:
                self._end_if_doubted(followed)

    def _end_if_doubted(self, followed: _Followed) -> None:
        if followed.is_over():
            return
        if not self.is_at_version(
            followed.runner, followed.made, followed.version
        ):
            self._followed.remove(followed)
            _LOG.info(
                "event=stream_version_doubted runner=%s version=%s",
                followed.runner.id,
                followed.version,
            )
            followed.end()

    def _publish(
        self,
        digest: ids.RequestDigest,
        told: tuple[stream_messages.Origin, ...],
    ) -> None:
        """Records where a stream began, here and at its holders."""
        for each in told:
            self._origins.receive(each, self._loop.time())
        if self._peers is None:
            return
        hosts = holders.choose_told(
            digest,
            self._peers.list_members(),
            self._host,
            self._data_centre,
        )
        notice = stream_messages.OriginNotice(self._data_centre, told)
        self._send(hosts, notice)

    def _send(
        self, hosts: Sequence[str], message: stream_messages.StreamMessage
    ) -> None:
        if self._peers is not None:
            for host in hosts:
                self._peers.send(host, message)
