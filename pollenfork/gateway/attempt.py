"""One attempt to have a request answered by one runner."""

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

# Answers that aren't streamed are buffered whole before they are forwarded.
_MAX_ANSWER_BYTES = 16 << 20
# The body of a refusal isn't passed on.
_MAX_REFUSAL_BYTES = 64 * 1024
_SERVER_ERROR = 500

End = fleet_messages.End


class Phase(enum.Enum):
    """How much of the answer has arrived."""

    WAITING = "waiting"
    HEAD = "head"
    STREAMING = "flowing"
    ENDED = "ended"


class StreamRun(msgspec.Struct):
    """What one runner was asked for, and what of its stream was forwarded.

    Attributes:
        asked: The position after which the stream was asked for; None: from
            its beginning.
        first: The position of the first event forwarded; None: there is none.
        last: The same of the last one.
        events: Their number.
    """

    asked: int | None
    first: int | None = None
    last: int | None = None
    events: int = 0

    def __str__(self) -> str:
        """Returns the form of log lines: asked:first-last/events."""
        asked, first, last = (
            "" if each is None else str(each)
            for each in (self.asked, self.first, self.last)
        )
        return f"{asked}:{first}-{last}/{self.events}"


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Attributes:
        end: The kind of end.
        head: The head of the runner's answer, if one arrived.
        body: The body of an answer that isn't streamed.
        failure: Why the answer is incomplete.
        connection_refused: Whether the runner's host refused the connection.
        proof: What shows that a whole answer is complete.
        run: What was asked and forwarded, of an answer that is streamed.
    """

    end: End
    head: messages.ResponseHead | None = None
    body: bytes = b""
    failure: connection.ResponseFailure | None = None
    connection_refused: bool = False
    proof: connection.EndProof = connection.EndProof.FRAMING
    run: StreamRun | None = None

    @property
    def is_error(self) -> bool:
        """Whether it is a complete answer that is a server error."""
        return (
            self.end is End.WHOLE
            and self.head is not None
            and self.head.status >= _SERVER_ERROR
        )

    @property
    def connection_lost(self) -> bool:
        """Whether the connection was closed before the answer was complete."""
        losses = (
            connection.ResponseFailure.CLOSED,
            connection.ResponseFailure.RESET,
        )
        return self.end is End.BROKEN and self.failure in losses

    @property
    def is_unframed(self) -> bool:
        """Whether it is whole only if its runner meant to end it there."""
        return (
            self.end is End.WHOLE
            and self.head is not None
            and not self.head.framed
        )

    @property
    def symptom(self) -> loads.Symptom | None:
        """What it shows about the runner's address, for all instances."""
        if self.end is End.DISPLACED:
            return loads.Symptom.DISPLACED
        if self.end is not End.UNSENT:
            return None
        return (
            loads.Symptom.REFUSED
            if self.connection_refused
            else loads.Symptom.SILENT
        )


class StreamRelay(msgspec.Struct):
    """Forwards a stream to the caller; kept across the request's attempts.

    Attributes:
        splitter: Tracks which events have been forwarded.
        begin: Called with the runner's response head before the first event.
        write: Called with complete events.
        begun: Whether the head has been sent to the caller.
    """

    splitter: events.EventSplitter
    begin: Callable[[messages.ResponseHead], None]
    write: Callable[[bytes], None]
    begun: bool = False


class Attempt:
    """Receives the answer of one attempt from its connection.

    Attributes:
        done: Resolves with the result of the attempt.
        phase: How much of the answer has arrived.
        last_data_at: Monotonic seconds of the last head or event received.
        paused: Whether the gateway doesn't read the answer for now.
        claim: Asks whether this attempt may answer, while another one may too;
            None: it is the only one.
        run: What was asked and forwarded, of an answer that is streamed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        codec: edges.Codec,
        request: messages.RequestHead,
        relay: StreamRelay | None,
        on_first_output: Callable[[], None],
        on_head: Callable[[messages.ResponseHead], None] | None = None,
        on_any_head: Callable[[messages.ResponseHead], None] | None = None,
        on_buffered: Callable[[int], bool] | None = None,
    ) -> None:
        """Creates an attempt that waits for its answer.

        Args:
            loop: Provides the clock and the result's future.
            codec: Decodes response heads.
            request: The request's head.
            relay: Forwards a stream to the caller; None if it isn't streamed.
            on_first_output: Called when the runner has started to answer.
            on_head: Called with the head of the answer.
            on_any_head: Called with every head that arrives on the connection,
                also those of answers to earlier requests.
            on_buffered: Called with the size of each piece that is kept until
                the answer is whole; returns whether there is room for it.
        """
        self._loop = loop
        self._codec = codec
        self._request = request
        self._relay = relay
        self._on_first_output = on_first_output
        self._on_head = on_head
        self._on_any_head = on_any_head
        self._on_buffered = on_buffered
        self._head: messages.ResponseHead | None = None
        self._body: list[bytes] = []
        self._size = 0
        self.done: asyncio.Future[AttemptResult] = loop.create_future()
        self.phase = Phase.WAITING
        self.last_data_at = loop.time()
        self.paused = False
        self.claim: Callable[[], bool] | None = None
        self._has_taken_over = False
        self.run: StreamRun | None = None
        self._proof = connection.EndProof.FRAMING

    def record_paused(self, paused: bool) -> None:
        """Records that reading was paused or resumed."""
        self.paused = paused
        self.last_data_at = self._loop.time()

    def on_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Handles the head; returns False if it answers another request."""
        head = self._codec.decode_response(status, headers)
        if self._on_any_head is not None:
            self._on_any_head(head)
        if head.attempt and head.attempt != self._request.attempt:
            return False
        self._head = head
        self.phase = Phase.HEAD
        self.last_data_at = self._loop.time()
        if self._on_head is not None:
            self._on_head(head)
        if self.is_streamed:
            assert self._relay is not None
            asked = self._relay.splitter.last
            self.run = StreamRun(
                asked if self._relay.begun else self._request.last_event
            )
        return True

    def on_body(self, data: bytes) -> bool:
        """Buffers or forwards a piece; returns False if it is too large."""
        if self.done.done():
            return True
        if not self.is_streamed:
            return self._buffer(data)
        assert self._relay is not None
        if not self._may_answer():
            return True
        self._take_over()
        try:
            complete = self._relay.splitter.feed(data)
        except events.EventTooLarge:
            return False
        except events.StreamError:
            self._fail(connection.ResponseFailure.INVALID)
            return True
        if complete:
            self._forward(complete)
        return True

    def _buffer(self, data: bytes) -> bool:
        """Keeps a piece of an answer; returns False if it is too large."""
        assert self._head is not None
        self._size += len(data)
        if self._head.displaced or self._head.not_run:
            # The head alone tells what became of the request.
            return self._size <= _MAX_REFUSAL_BYTES
        if self._size > _MAX_ANSWER_BYTES:
            return False
        self._body.append(data)
        return self._on_buffered is None or self._on_buffered(len(data))

    def on_end(self, proof: connection.EndProof) -> None:
        """Determines the result of the attempt from a complete answer."""
        self._proof = proof
        head = self._head
        assert head is not None
        self.phase = Phase.ENDED
        if self._finish_refused():
            return
        if not head.sealed or not head.attempt:
            self._fail(connection.ResponseFailure.INVALID)
        elif head.status < _SERVER_ERROR and not self._may_answer():
            return
        elif not self.is_streamed:
            self._on_first_output()
            body = b"".join(self._body)
            self._finish(
                AttemptResult(End.WHOLE, head, body, proof=self._proof)
            )
        else:
            self._end_stream(head)

    def on_failure(self, failure: connection.ResponseFailure) -> None:
        """Ends the attempt with an incomplete answer."""
        is_too_large = failure is connection.ResponseFailure.TOO_LARGE
        if not is_too_large or not self._finish_refused():
            self._fail(failure)

    @property
    def can_follow(self) -> bool:
        """Whether its answer may follow what the caller has been sent."""
        relay = self._relay
        return relay is None or not relay.begun or self.is_streamed

    @property
    def is_streamed(self) -> bool:
        """Whether its events are forwarded as they arrive."""
        head = self._head
        return (
            self._relay is not None
            and head is not None
            and head.events
            and head.sealed
            and bool(head.attempt)
            and head.status == 200
        )

    def _finish_refused(self) -> bool:
        """Ends an attempt that the runner didn't run; returns if it is one."""
        head = self._head
        if head is None:
            return False
        if head.displaced:
            self._finish(AttemptResult(End.DISPLACED, head))
            return True
        if head.not_run:
            end = End.PAUSED if head.pause.seconds else End.REFUSED
            self._finish(AttemptResult(end, head))
            return True
        return False

    def _may_answer(self) -> bool:
        return self.claim is None or self.claim()

    def _take_over(self) -> None:
        """Drops what another attempt has left of an incomplete event."""
        assert self._relay is not None
        if not self._has_taken_over:
            self._has_taken_over = True
            self._relay.splitter.restart()

    def _forward(self, complete: bytes) -> None:
        assert self._relay is not None and self._head is not None
        self.last_data_at = self._loop.time()
        if self.phase is not Phase.STREAMING:
            self.phase = Phase.STREAMING
            self._on_first_output()
        self._begin_relay()
        self._trace(complete)
        self._relay.write(complete)

    def _end_stream(self, head: messages.ResponseHead) -> None:
        assert self._relay is not None
        self._take_over()
        # Without framing, a runner that ends before its first event looks as if
        # it had nothing to say.
        is_new = not self._relay.begun and self._request.last_event is None
        if self._relay.splitter.partial or (is_new and not head.framed):
            self._fail(connection.ResponseFailure.CLOSED)
            return
        self._on_first_output()
        self._begin_relay()
        self._finish(
            AttemptResult(End.WHOLE, head, proof=self._proof, run=self.run)
        )

    def _trace(self, complete: bytes) -> None:
        """Records which events are forwarded."""
        assert self.run is not None
        positions = events.list_positions(complete)
        if positions:
            if self.run.first is None:
                self.run.first = positions[0]
            self.run.last = positions[-1]
            self.run.events += len(positions)

    def _begin_relay(self) -> None:
        assert self._relay is not None and self._head is not None
        if not self._relay.begun:
            self._relay.begun = True
            self._relay.begin(self._head)

    def _fail(self, failure: connection.ResponseFailure) -> None:
        self.phase = Phase.ENDED
        self._finish(
            AttemptResult(End.BROKEN, self._head, failure=failure, run=self.run)
        )

    def _finish(self, ended: AttemptResult) -> None:
        if not self.done.done():
            self.done.set_result(ended)
