"""One attempt: a request at one runner, and what comes back."""

import asyncio
from collections.abc import Callable
import enum

import msgspec

from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import connection
from pollenfork.gateway import edges
from pollenfork.gateway import events
from pollenfork.gateway import messages
from pollenfork.loads import messages as loads

# Plain answers are kept whole before they are passed on.
_LARGEST_ANSWER = 16 << 20

End = fleet_messages.End


class Phase(enum.Enum):
    """How far an answer has come."""

    WAITING = "waiting"
    HEAD = "head"
    STREAMING = "flowing"
    ENDED = "ended"


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Attributes:
        end: How.
        head: The runner's head, if any came.
        body: The body of a plain answer.
        breach: What broke it.
        nobody: Whether nobody listens at the runner's address.
    """

    end: End
    head: messages.ResponseHead | None = None
    body: bytes = b""
    failure: connection.ResponseFailure | None = None
    connection_refused: bool = False

    @property
    def connection_lost(self) -> bool:
        """Whether its connection ended before the answer did."""
        cuts = (
            connection.ResponseFailure.CLOSED,
            connection.ResponseFailure.RESET,
        )
        return self.end is End.BROKEN and self.failure in cuts

    @property
    def sign(self) -> loads.Sign | None:
        """What it shows of the runner's address, for other instances too."""
        if self.end is End.DISPLACED:
            return loads.Sign.DISPLACED
        if self.end is not End.UNSENT:
            return None
        return (
            loads.Sign.REFUSED if self.connection_refused else loads.Sign.SILENT
        )


class StreamRelay(msgspec.Struct):
    """The caller's side of a stream, across its attempts.

    Attributes:
        splitter: Knows which events have been passed on.
        begin: Called with the runner's head before the first event.
        write: Called with whole events.
        begun: Whether the caller has the head.
    """

    splitter: events.EventSplitter
    begin: Callable[[messages.ResponseHead], None]
    write: Callable[[bytes], None]
    begun: bool = False


class Attempt:
    """Takes the answer from the connection.

    Attributes:
        done: Resolves with how it ended.
        phase: How far it has come.
        heard_at: Monotonic seconds of the last sign of the runner's work.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        codec: edges.Codec,
        call: messages.RequestHead,
        relay: StreamRelay | None,
        on_first: Callable[[], None],
        on_head: Callable[[messages.ResponseHead], None] | None = None,
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._call = call
        self._relay = relay
        self._on_first = on_first
        self._on_head = on_head
        self._head: messages.ResponseHead | None = None
        self._body: list[bytes] = []
        self._size = 0
        self.done: asyncio.Future[AttemptResult] = loop.create_future()
        self.phase = Phase.WAITING
        self.heard_at = loop.time()

    def on_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Takes the head; one that answers another request is left out."""
        head = self._codec.decode_response(status, headers)
        if head.attempt and head.attempt != self._call.attempt:
            return False
        self._head = head
        self.phase = Phase.HEAD
        self.heard_at = self._loop.time()
        if self._on_head is not None:
            self._on_head(head)
        return True

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self.done.done():
            return
        if not self._flows:
            self._size += len(data)
            if self._size > _LARGEST_ANSWER:
                self._break(connection.ResponseFailure.INVALID)
            else:
                self._body.append(data)
            return
        assert self._relay is not None
        try:
            whole = self._relay.splitter.feed(data)
        except events.StreamError:
            self._break(connection.ResponseFailure.INVALID)
            return
        if whole:
            self._pass_on(whole)

    def on_end(self) -> None:
        """Judges a whole answer."""
        head = self._head
        assert head is not None
        self.phase = Phase.ENDED
        if head.displaced:
            self._finish(AttemptResult(End.DISPLACED, head))
        elif head.not_run:
            self._finish(AttemptResult(End.REFUSED, head))
        elif not head.sealed or not head.attempt:
            self._break(connection.ResponseFailure.INVALID)
        elif not self._flows:
            self._on_first()
            self._finish(AttemptResult(End.WHOLE, head, b"".join(self._body)))
        else:
            self._end_stream(head)

    def on_failure(self, failure: connection.ResponseFailure) -> None:
        """Notes that no more comes."""
        self._break(failure)

    @property
    def _flows(self) -> bool:
        """Whether events are passed on as they come."""
        head = self._head
        return (
            self._relay is not None
            and head is not None
            and head.events
            and head.sealed
            and bool(head.attempt)
            and head.status == 200
        )

    def _pass_on(self, whole: bytes) -> None:
        assert self._relay is not None and self._head is not None
        self.heard_at = self._loop.time()
        if self.phase is not Phase.STREAMING:
            self.phase = Phase.STREAMING
            self._on_first()
        self._begin_relay()
        self._relay.write(whole)

    def _end_stream(self, head: messages.ResponseHead) -> None:
        assert self._relay is not None
        if self._relay.splitter.partial:
            self._break(connection.ResponseFailure.CLOSED)
            return
        self._on_first()
        self._begin_relay()
        self._finish(AttemptResult(End.WHOLE, head))

    def _begin_relay(self) -> None:
        assert self._relay is not None and self._head is not None
        if not self._relay.begun:
            self._relay.begun = True
            self._relay.begin(self._head)

    def _break(self, failure: connection.ResponseFailure) -> None:
        self.phase = Phase.ENDED
        self._finish(AttemptResult(End.BROKEN, self._head, failure=failure))

    def _finish(self, ended: AttemptResult) -> None:
        if not self.done.done():
            self.done.set_result(ended)
