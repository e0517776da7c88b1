"""One attempt to have a request answered by one runner."""

import asyncio
from collections.abc import Callable
import enum

import msgspec

from pollenfork.fleet import messages as fleet_messages
from pollenfork.gateway import connection
from pollenfork.gateway import edges
from pollenfork.gateway import messages
from pollenfork.gateway.bounds import pieces
from pollenfork.gateway.events import progress
from pollenfork.gateway.events import splitter
from pollenfork.loads import messages as loads

# Answers that aren't streamed are buffered whole before they are forwarded.
_MAX_ANSWER_BYTES = 16 << 20
# The body of a refusal isn't passed on.
_MAX_REFUSAL_BYTES = 64 * 1024
_SERVER_ERROR = 500

End = fleet_messages.End

_FAILURES = {
    splitter.Breach.FOREIGN: connection.ResponseFailure.FOREIGN,
    splitter.Breach.OUT_OF_ORDER: connection.ResponseFailure.OUT_OF_ORDER,
    splitter.Breach.TOO_LARGE: connection.ResponseFailure.TOO_LARGE,
}


class Phase(enum.Enum):
    """How much of the answer has arrived."""

    WAITING = "waiting"
    HEAD = "head"
    STREAMING = "flowing"
    ENDED = "ended"


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
    run: progress.StreamRun | None = None

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
        progress: What the caller has of the stream.
        begin: Called with the runner's response head before the first event.
        write: Called with complete events.
        begun: Whether the head has been sent to the caller.
    """

    progress: progress.StreamProgress
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
        awaits_proof: Whether its end is to be proven by its runner's survival.
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
        check_survival: Callable[[Callable[[bool], None]], None] | None = None,
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
            check_survival: Finds out whether the runner lives, and calls back;
                None: an answer that isn't framed is never complete.
        """
        self._loop = loop
        self._codec = codec
        self._request = request
        self._relay = relay
        self._on_first_output = on_first_output
        self._on_head = on_head
        self._on_any_head = on_any_head
        self._on_buffered = on_buffered
        self._check_survival = check_survival
        self._head: messages.ResponseHead | None = None
        self._body = pieces.Pieces()
        self._refused_bytes = 0
        self.done: asyncio.Future[AttemptResult] = loop.create_future()
        self.phase = Phase.WAITING
        self.last_data_at = loop.time()
        self.paused = False
        self.claim: Callable[[], bool] | None = None
        self._run = relay.progress.begin_run() if relay else None
        self.awaits_proof = False

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
        return True

    def on_body(self, data: bytes) -> bool:
        """Buffers or forwards a piece; returns False if it is too large."""
        if self.done.done():
            return True
        if not self.is_streamed:
            return self._buffer(data)
        assert self._run is not None
        self._run.read(data)
        if self._run.ready:
            # An attempt goes on with an event, not with a part of one.
            if not self._may_answer():
                return True
            self._forward(self._run.take())
        if self._run.breach is splitter.Breach.TOO_LARGE:
            return False
        if self._run.breach is not None:
            self._fail(_FAILURES[self._run.breach])
        return True

    def _buffer(self, data: bytes) -> bool:
        """Keeps a piece of an answer; returns False if it is too large."""
        assert self._head is not None
        if self._head.displaced or self._head.not_run:
            # The head alone tells what became of the request.
            self._refused_bytes += len(data)
            return self._refused_bytes <= _MAX_REFUSAL_BYTES
        if len(self._body) + len(data) > _MAX_ANSWER_BYTES:
            return False
        self._body.append(data)
        return self._on_buffered is None or self._on_buffered(len(data))

    def on_end(self, proof: connection.EndProof) -> None:
        """Determines the result of the attempt from a complete answer."""
        head = self._head
        assert head is not None
        self.phase = Phase.ENDED
        if self.done.done():
            return  # The end came in the same read as what broke the stream.
        if self._finish_refused():
            return
        if not head.sealed or not head.attempt:
            self._fail(connection.ResponseFailure.INVALID)
        elif head.status < _SERVER_ERROR and not self.can_follow:
            self._fail(connection.ResponseFailure.OUT_OF_ORDER)
        elif self._is_cut(proof):
            self._fail(connection.ResponseFailure.CLOSED)
        elif proof is connection.EndProof.FRAMING:
            self._complete(head, proof)
        else:
            self._await_proof(head)

    def on_failure(self, failure: connection.ResponseFailure) -> None:
        """Ends the attempt with an incomplete answer."""
        is_too_large = failure is connection.ResponseFailure.TOO_LARGE
        if not is_too_large or not self._finish_refused():
            self._fail(failure)

    @property
    def run(self) -> progress.StreamRun | None:
        """What was asked and forwarded, of an answer that is streamed."""
        return self._run if self.is_streamed else None

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
        """Returns whether its answer is the caller's; a claim may end it."""
        claimed = self.claim is None or self.claim()
        return claimed and not self.done.done()

    def _forward(self, complete: bytes) -> None:
        assert self._relay is not None and self._head is not None
        if not complete:
            return
        self.last_data_at = self._loop.time()
        if self.phase is not Phase.STREAMING:
            self.phase = Phase.STREAMING
            self._on_first_output()
        self._begin_relay()
        self._relay.write(complete)

    def _is_cut(self, proof: connection.EndProof) -> bool:
        """Returns whether the answer has ended too soon for any complete one.

        Without framing, a stream that ends before its first event is no stream,
        even if its runner lives.
        """
        is_framed = proof is connection.EndProof.FRAMING
        if not is_framed and self._check_survival is None:
            return True
        run = self.run
        return run is not None and (
            run.partial or (not run.events and not is_framed)
        )

    def _await_proof(self, head: messages.ResponseHead) -> None:
        assert self._check_survival is not None
        self.awaits_proof = True
        self.last_data_at = self._loop.time()

        def record(has_survived: bool) -> None:
            self.awaits_proof = False
            if self.done.done():
                return
            if has_survived:
                self._complete(head, connection.EndProof.SURVIVAL)
            else:
                self._fail(connection.ResponseFailure.CLOSED)

        self._check_survival(record)

    def _complete(
        self, head: messages.ResponseHead, proof: connection.EndProof
    ) -> None:
        """Ends the attempt with a complete answer, if it may answer."""
        if head.status < _SERVER_ERROR and not self._may_answer():
            return
        self._on_first_output()
        body = b""
        if self.is_streamed:
            self._begin_relay()
        else:
            body = self._body.take()
        self._finish(
            AttemptResult(End.WHOLE, head, body, proof=proof, run=self.run)
        )

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
