"""Keeps one request's stream at the software version that began it."""

from collections.abc import Callable
import logging

from pollenfork import ids
from pollenfork import logs
from pollenfork.fleet import model as fleet
from pollenfork.fleet import signs
from pollenfork.gateway import connection
from pollenfork.gateway import messages
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.streams import runner_continuity
from pollenfork.routes import model as routes

_LOG = logging.getLogger(__name__)


class VersionPin:
    """The version at which a stream goes on, once it has begun anywhere.

    Attributes:
        version: The only version that may serve the request; None: any.
    """

    def __init__(
        self,
        directory: origin_directory.OriginDirectory,
        head: messages.RequestHead,
        digest: ids.RequestDigest,
        route: routes.Route,
        service: ids.ServiceName,
        forwarded: ids.SoftwareVersion | None,
    ) -> None:
        """Creates the pin of one request.

        Args:
            directory: Knows where streams began.
            head: Values decoded from the request's headers.
            digest: Identifies the same request when it is sent again.
            route: Its route.
            service: The service chosen for it.
            forwarded: The version named by the instance that forwards the
                request; None: it names none.
        """
        self._directory = directory
        self._head = head
        self._digest = digest
        self._route = route
        self._service = service
        self.version = forwarded
        resumable = route.kind is routes.Kind.STREAM and route.resumable
        taken_up = bool(head.resumes) or head.last_event is not None
        self._is_resumable = resumable
        self._is_open = resumable and taken_up and forwarded is None
        self._made: signs.ConnectionTimes | None = None
        # The stream, once its first event has come from a runner of this
        # instance; what was known of the runner then may turn out wrong.
        self._begun: origin_directory.StreamKey | None = None

    async def resolve(self) -> bool:
        """Finds where a stream began that the caller takes up.

        Returns:
            Whether it may go on: its version is known, or any will do.
        """
        if self._begun is not None:
            self.version = await self._directory.find_own(
                self._begun, self._service
            )
            return bool(self.version)
        if self._is_resumable:
            await self._directory.wait_until_settled()
        if not self._is_open:
            begins = self._is_resumable and self.version is None
            return not begins or await self._directory.wait_until_begins(
                self._service
            )
        stream = origin_directory.StreamKey(self._head.resumes, self._digest)
        found = await self._directory.find(stream, self._service)
        _LOG.info(
            "event=stream_taken_up request=%s resumes=%s after=%s lookup=%s "
            "version=%s",
            logs.quote_value(self._head.attempt),
            logs.quote_value(self._head.resumes or "-"),
            self._head.last_event,
            found.lookup.value,
            logs.quote_value(found.version or "-"),
        )
        self._is_open = False
        self.version = found.version
        return found.is_known

    def accepts(
        self, runner: fleet.Runner, opened: connection.Connection
    ) -> bool:
        """Returns whether a stream may begin or go on over a connection.

        To go on, it must surely lead to the stream's version.

        Args:
            runner: The runner as it was known when it was chosen.
            opened: A connection to it.
        """
        made = runner_continuity.get_times(opened)
        if not self.version:
            return not self._is_resumable or self._directory.may_begin(
                self._key, runner, made
            )
        return self._directory.is_at_version(runner, made, self.version)

    def attach(
        self,
        runner: fleet.Runner,
        opened: connection.Connection,
        is_over: Callable[[], bool],
    ) -> None:
        """Records on which connection the next events come.

        Args:
            runner: The runner as it was known when the request was sent.
            opened: The connection.
            is_over: Returns whether the answer is over.
        """
        self._made = runner_continuity.get_times(opened)
        if self.version:
            self._directory.follow(
                runner, self._made, self.version, is_over, opened.fail
            )

    @property
    def _key(self) -> origin_directory.StreamKey:
        """What identifies the stream that this request begins or goes on."""
        first = self._head.resumes or self._head.attempt
        return origin_directory.StreamKey(first, self._digest)

    def record_begun(self, runner: fleet.Runner) -> None:
        """Records that a runner has sent the caller the first event."""
        if not self._is_resumable:
            return
        keep_s = max(self._head.wait_s or 0.0, self._route.time_limit_s)
        self._begun = self._key
        self.version = self._directory.record_begun(
            self._begun, runner, keep_s, self._made
        )

    def record_whole(self) -> None:
        """Records that the caller has the whole stream."""
        if self._begun is not None:
            self._directory.record_ended(self._begun)
