"""Keeps which events of a stream its caller has, and what may follow them.

The position of a stream comes from what its caller asked for and from what has
been forwarded since, never from what a runner sends: a runner's events either
continue it or are refused.
"""

import enum

from pollenfork.gateway.events import splitter

# Runners number the events of a stream from either on; the platform's pages
# say only that the numbers increase.
_FIRST_POSITIONS = (0, 1)


class RunState(enum.Enum):
    """How far the answer of one runner has come."""

    AWAITED = "awaited"  # None of its events has been forwarded.
    FLOWING = "flowing"
    BROKEN = "broken"  # What it sent can't follow; nothing more is taken.


class StreamProgress:
    """What the caller has of one stream, across all runs of its request.

    Attributes:
        asked: The position after which the caller asked for the stream; None:
            from its beginning.
        last: The position of the last event forwarded; None: there is none.
        forwarded: Number of events forwarded.
    """

    def __init__(
        self,
        asked: int | None = None,
        may_begin: bool = True,
        further_fields: frozenset[bytes] = frozenset(),
    ) -> None:
        """Creates the progress of a stream of which nothing is forwarded.

        Args:
            asked: The position after which the caller asked for the stream;
                None: from its beginning.
            may_begin: Whether a runner may begin the stream anew although a
                position was asked for.
            further_fields: As for the splitter.
        """
        self.asked = asked
        self.last: int | None = None
        self.forwarded = 0
        self._may_begin = may_begin or asked is None
        self._further_fields = further_fields

    @property
    def position(self) -> int | None:
        """The position after which a runner is asked to go on."""
        return self.asked if self.last is None else self.last

    def begin_run(self) -> "StreamRun":
        """Returns the state of a run that is asked for what is missing now."""
        return StreamRun(self, splitter.EventSplitter(self._further_fields))

    def accepts(self, position: int) -> bool:
        """Returns whether the event at a position may be forwarded next."""
        if self.last is not None:
            return position == self.last + 1
        if self.asked is not None and position == self.asked + 1:
            return True
        return self._may_begin and position in _FIRST_POSITIONS

    def advance(self, position: int) -> None:
        """Records that the next event is forwarded."""
        self.last = position
        self.forwarded += 1


class StreamRun:
    """The answer of one runner to the request for a stream.

    What is read is taken only once this run may answer, as two runs may be
    under way at a time.

    Attributes:
        state: How far it has come.
        breach: Why it is broken; None: it isn't.
        asked: The position after which the stream was asked for; None: from
            its beginning.
        first: The position of the first event forwarded; None: there is none.
        last: The same of the last one.
        events: Their number.
    """

    def __init__(
        self, progress: StreamProgress, events: splitter.EventSplitter
    ) -> None:
        """Creates the state of a run that has sent nothing.

        Args:
            progress: What the caller has.
            events: Splits what the runner sends.
        """
        self._progress = progress
        self._splitter = events
        self._read: list[splitter.Block] = []
        self._read_bytes = 0
        # The position of the last event read, which may not be taken yet.
        self._last_read: int | None = None
        self.state = RunState.AWAITED
        self.breach: splitter.Breach | None = None
        self.asked = progress.position
        self.first: int | None = None
        self.last: int | None = None
        self.events = 0

    def __str__(self) -> str:
        """Returns the form of log lines: asked:first-last/events."""
        asked, first, last = (
            "" if each is None else str(each)
            for each in (self.asked, self.first, self.last)
        )
        return f"{asked}:{first}-{last}/{self.events}"

    @property
    def partial(self) -> bool:
        """Whether an incomplete event has been read."""
        return self._splitter.partial

    @property
    def ready(self) -> bool:
        """Whether there is something to take.

        Comments before the first event wait for it, as a run that sends no
        event leaves nothing with the caller.
        """
        if self._last_read is None:
            return False
        return bool(self._read)

    def read(self, data: bytes) -> None:
        """Reads bytes of the runner; what can't follow breaks the run."""
        if self.breach is not None:
            return
        for block in self._splitter.feed(data):
            if block.position is not None:
                if not self._continues(block.position):
                    self.breach = splitter.Breach.OUT_OF_ORDER
                    break
                self._last_read = block.position
            self._read.append(block)
            self._read_bytes += len(block.data)
        self.breach = self.breach or self._splitter.breach
        if not self.ready and self._read_bytes > splitter.MAX_EVENT_BYTES:
            self.breach = splitter.Breach.TOO_LARGE

    def take(self) -> bytes:
        """Returns what was read, which is forwarded now."""
        taken, self._read, self._read_bytes = self._read, [], 0
        for block in taken:
            if block.position is None:
                continue
            # Another run may have gone on since this one was asked.
            if not self._progress.accepts(block.position):
                self.breach = splitter.Breach.OUT_OF_ORDER
                self.state = RunState.BROKEN
                return b""
            self._progress.advance(block.position)
            self._record(block.position)
        self.state = RunState.BROKEN if self.breach else RunState.FLOWING
        return b"".join(block.data for block in taken)

    def _continues(self, position: int) -> bool:
        if self._last_read is not None:
            return position == self._last_read + 1
        return self._progress.accepts(position)

    def _record(self, position: int) -> None:
        if self.first is None:
            self.first = position
        self.last = position
        self.events += 1
