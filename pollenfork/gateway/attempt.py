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
    FLOWING = "flowing"
    ENDED = "ended"


class Ended(msgspec.Struct, frozen=True):
    """How an attempt ended.

    Attributes:
        end: How.
        head: The runner's head, if any came.
        body: The body of a plain answer.
        breach: What broke it.
        nobody: Whether nobody listens at the runner's address.
    """

    end: End
    head: messages.AnswerHead | None = None
    body: bytes = b""
    breach: connection.Breach | None = None
    nobody: bool = False

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended before the answer did."""
        cuts = connection.Breach.CLOSED, connection.Breach.RESET
        return self.end is End.BROKEN and self.breach in cuts

    @property
    def sign(self) -> loads.Symptom | None:
        """What it shows of the runner's address, for other instances too."""
        if self.end is End.DISPLACED:
            return loads.Symptom.DISPLACED
        if self.end is not End.UNSENT:
            return None
        return loads.Symptom.REFUSED if self.nobody else loads.Symptom.SILENT


class Relay(msgspec.Struct):
    """The caller's side of a stream, across its attempts.

    Attributes:
        cutter: Knows which events have been passed on.
        begin: Called with the runner's head before the first event.
        write: Called with whole events.
        begun: Whether the caller has the head.
    """

    cutter: events.EventCutter
    begin: Callable[[messages.AnswerHead], None]
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
        call: messages.CallHead,
        relay: Relay | None,
        on_first: Callable[[], None],
        on_head: Callable[[messages.AnswerHead], None] | None = None,
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._call = call
        self._relay = relay
        self._on_first = on_first
        self._on_head = on_head
        self._head: messages.AnswerHead | None = None
        self._body: list[bytes] = []
        self._size = 0
        self.done: asyncio.Future[Ended] = loop.create_future()
        self.phase = Phase.WAITING
        self.heard_at = loop.time()

    def take_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Takes the head; one that answers another request is left out."""
        head = self._codec.read_answer(status, headers)
        if head.attempt and head.attempt != self._call.attempt:
            return False
        self._head = head
        self.phase = Phase.HEAD
        self.heard_at = self._loop.time()
        if self._on_head is not None:
            self._on_head(head)
        return True

    def take_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        if self.done.done():
            return
        if not self._flows:
            self._size += len(data)
            if self._size > _LARGEST_ANSWER:
                self._break(connection.Breach.GARBAGE)
            else:
                self._body.append(data)
            return
        assert self._relay is not None
        try:
            whole = self._relay.cutter.feed(data)
        except events.Gap:
            self._break(connection.Breach.GARBAGE)
            return
        if whole:
            self._pass_on(whole)

    def take_end(self) -> None:
        """Judges a whole answer."""
        head = self._head
        assert head is not None
        self.phase = Phase.ENDED
        if head.displaced:
            self._finish(Ended(End.DISPLACED, head))
        elif head.not_run:
            self._finish(Ended(End.REFUSED, head))
        elif not head.sealed or not head.attempt:
            self._break(connection.Breach.GARBAGE)
        elif not self._flows:
            self._on_first()
            self._finish(Ended(End.WHOLE, head, b"".join(self._body)))
        else:
            self._end_stream(head)

    def take_breach(self, breach: connection.Breach) -> None:
        """Notes that no more comes."""
        self._break(breach)

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
        if self.phase is not Phase.FLOWING:
            self.phase = Phase.FLOWING
            self._on_first()
        self._begin_relay()
        self._relay.write(whole)

    def _end_stream(self, head: messages.AnswerHead) -> None:
        assert self._relay is not None
        if self._relay.cutter.partial:
            self._break(connection.Breach.CLOSED)
            return
        self._on_first()
        self._begin_relay()
        self._finish(Ended(End.WHOLE, head))

    def _begin_relay(self) -> None:
        assert self._relay is not None and self._head is not None
        if not self._relay.begun:
            self._relay.begun = True
            self._relay.begin(self._head)

    def _break(self, breach: connection.Breach) -> None:
        self.phase = Phase.ENDED
        self._finish(Ended(End.BROKEN, self._head, breach=breach))

    def _finish(self, ended: Ended) -> None:
        if not self.done.done():
            self.done.set_result(ended)
