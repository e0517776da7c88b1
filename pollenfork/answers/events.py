"""Checks the order and completeness of a stream of server-sent events.

JSON isn't parsed: a read that holds exactly the event expected next costs one
comparison and one search.
"""

import collections
import re

from pollenfork.answers import errors

_END = b"\n\n"
_FINISH = b"data: [DONE]"
_ERROR = (b'data: {"error"', b'data:{"error"', b"event: error")
_POSITION = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)
# A line that has none of the standard's fields and is no comment, or a carriage
# return, which readers take for the end of a line.
_FOREIGN = re.compile(rb"^(?!(?:id|data|event|retry)?(?::|$))|\r", re.MULTILINE)
_ID = re.compile(rb"^id(?::|$)", re.MULTILINE)


class EventReader:
    """Turns reads of any size into complete events, each once and in order.

    Attributes:
        position: The position expected next.
        unnumbered: Events without a position since the last with one.
        events: Events returned so far.
        duplicates: Events dropped because they were already returned.
        done: The finish marker has been returned.
        fault: Why this connection's stream is unusable from here on.
    """

    __slots__ = (
        "_expected",
        "_limit",
        "_may_repeat",
        "_repeatable",
        "_skip",
        "_tail",
        "_unnumbered",
        "_unnumbered_bytes",
        "done",
        "duplicates",
        "events",
        "fault",
        "position",
        "unnumbered",
    )

    def __init__(self, limit: int) -> None:
        self.position = 0
        self.unnumbered = 0
        self.events = 0
        self.duplicates = 0
        self.done = False
        self.fault: errors.Cause | None = None
        self._limit = limit
        self._tail = bytearray()
        self._skip = 0
        # The unnumbered events since the last numbered one, and those of them
        # that a resumed run may repeat.
        self._unnumbered: list[bytes] = []
        self._unnumbered_bytes = 0
        self._repeatable: collections.deque[bytes] = collections.deque()
        self._may_repeat = True
        self._expected = b"id: 0\ndata:"

    @property
    def numbered(self) -> bool:
        """Whether the engine numbers its events."""
        return self.position > 0

    @property
    def tokens(self) -> int:
        """Tokens received so far, counting one per event."""
        return self.position or self.unnumbered

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes and returns the complete events to relay."""
        if self.fault:
            return b""
        if self._tail:
            # Only the new bytes are searched until they end an event, so that
            # the work grows with the bytes, not with the square of the reads.
            if _END not in self._tail[-1:] + data:
                self._keep(data)
                return b""
            data = bytes(self._tail) + data
            self._tail.clear()
        # Fast path: the read is exactly the expected event, its number followed
        # by one line of data.
        if (
            data.startswith(self._expected)
            and data.find(b"\n", len(self._expected)) == len(data) - 2
            and data.endswith(_END)
            and b"\r" not in data
            and not self.done
        ):
            self._advance()
            return data
        return self._feed_events(data)

    def end(self) -> bytes:
        """Returns the finish marker if only its line ends are missing."""
        tail, self._tail = self._tail, bytearray()
        if self.done or self.fault or tail.strip() != _FINISH:
            return b""
        self.done = True
        return _FINISH + _END

    def reconnect(self, *, resumed: bool) -> None:
        """Prepares for another connection, which must begin at `position`.

        Args:
            resumed: Whether the same engine's stream is resumed. It may repeat
                unnumbered events after `position` with the same bytes only,
                whereas another engine names itself in them.
        """
        self._tail.clear()
        self.fault = None
        self._skip = 0 if resumed else self.unnumbered
        self._repeatable.clear()
        if resumed:
            self._repeatable.extend(self._unnumbered)
        # A run that begins elsewhere, such as one of an engine that was started
        # anew, may be of another text, also from `position` on.
        self._may_repeat = False

    def _feed_events(self, data: bytes) -> bytes:
        end = data.rfind(_END) + len(_END)
        if end < len(_END):
            end = 0
        self._keep(data[end:])
        accepted = []
        for event in data[:end].split(_END)[:-1]:
            event = event.lstrip(b"\n")
            if self.done or self.fault:
                break
            if event and self._accept(event):
                accepted.append(event + _END)
        return b"".join(accepted)

    def _keep(self, data: bytes) -> None:
        """Keeps the start of an event until the rest arrives."""
        self._tail.extend(data)
        if len(self._tail) > self._limit:
            self.fault = errors.Cause.OVERSIZE

    def _accept(self, event: bytes) -> bool:
        match = _POSITION.search(event)
        if (match or self.numbered) and _FOREIGN.search(event):
            self.fault = errors.Cause.FOREIGN
            return False
        if match and len(_ID.findall(event)) > 1:
            # Readers take the last one.
            self.fault = errors.Cause.GAP
            return False
        if match:
            return self._accept_position(int(match[1]))
        if event == _FINISH:
            self.done = True
            return True
        if event.startswith(_ERROR):
            self.fault = errors.Cause.ERROR_EVENT
            return False
        return self._accept_unnumbered(event)

    def _accept_unnumbered(self, event: bytes) -> bool:
        if all(line.startswith(b":") for line in event.split(b"\n")):
            self.events += 1
            return True
        if self._skip:
            self._skip -= 1
            return False
        if self._repeatable:
            if event != self._repeatable.popleft():
                self.fault = errors.Cause.NOT_CONTINUED
            return False
        self.unnumbered += 1
        self.events += 1
        if self.numbered:
            self._record_unnumbered(event)
        return True

    def _record_unnumbered(self, event: bytes) -> None:
        self._unnumbered_bytes += len(event)
        if self._unnumbered_bytes <= self._limit:
            self._unnumbered.append(event)
        else:
            # Too much to compare: no event of a resumed run equals this.
            self._unnumbered = [b""]

    def _accept_position(self, position: int) -> bool:
        if position == self.position:
            self._advance()
            return True
        if position > self.position:
            self.fault = errors.Cause.GAP
        elif self._may_repeat:
            self.duplicates += 1
        else:
            self.fault = errors.Cause.NOT_CONTINUED
        return False

    def _advance(self) -> None:
        self.position += 1
        self.events += 1
        if self.unnumbered:
            self.unnumbered = 0
            self._unnumbered.clear()
            self._unnumbered_bytes = 0
        self._skip = 0
        self._repeatable.clear()
        self._may_repeat = True
        self._expected = b"id: %d\ndata:" % self.position
