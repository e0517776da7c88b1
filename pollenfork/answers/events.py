"""Wholeness of a stream of server-sent events, judged by its bytes.

Nothing here parses JSON: a read that holds exactly the event expected next
costs one comparison and one search.
"""

import re

from pollenfork.answers import errors

_END = b"\n\n"
_FINISH = b"data: [DONE]"
_ERROR = (b'data: {"error"', b'data:{"error"', b"event: error")
_POSITION = re.compile(rb"^id: ?(\d+)$", re.MULTILINE)


class EventReader:
    """Takes reads of any size, gives whole events in order, once each.

    Attributes:
        position: The position expected next.
        unnumbered: Events without a position since the last with one.
        events: Events passed on.
        duplicates: Events dropped because they had been passed on.
        done: The finish marker has been passed on.
        fault: Why nothing more can be taken from this connection.
    """

    __slots__ = (
        "_expected",
        "_limit",
        "_may_repeat",
        "_skip",
        "_tail",
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
        self._tail = b""
        self._skip = 0
        self._may_repeat = True
        self._expected = b"id: 0\n"

    @property
    def numbered(self) -> bool:
        """Whether the engine numbers its events."""
        return self.position > 0

    @property
    def tokens(self) -> int:
        """Tokens seen so far, one to an event."""
        return self.position or self.unnumbered

    def feed(self, data: bytes) -> bytes:
        """Returns what can be passed on: whole events only."""
        if self._tail:
            data = self._tail + data
            self._tail = b""
        # The usual read: one whole event, the one expected.
        if (
            data.startswith(self._expected)
            and data.find(_END) == len(data) - 2
            and not self.done
        ):
            self._advance()
            return data
        return self._feed_events(data)

    def end(self) -> bytes:
        """Returns a finish marker that lacks only its line ends, if any."""
        tail, self._tail = self._tail, b""
        if self.done or tail.strip() != _FINISH:
            return b""
        self.done = True
        return _FINISH + _END

    def restart(self, *, resumed: bool) -> None:
        """Prepares for another connection that goes on at `position`.

        Args:
            resumed: The same engine's stream; it may repeat events. Another
                engine must begin exactly at `position`.
        """
        self._tail = b""
        self.fault = None
        self._skip = self.unnumbered
        self._may_repeat = resumed

    def _feed_events(self, data: bytes) -> bytes:
        end = data.rfind(_END) + len(_END)
        if end < len(_END):
            end = 0
        self._tail = data[end:]
        if len(self._tail) > self._limit:
            self.fault = errors.Cause.OVERSIZE
        passed = []
        for event in data[:end].split(_END)[:-1]:
            event = event.lstrip(b"\n")
            if self.done or self.fault:
                break
            if event and self._admit(event):
                passed.append(event + _END)
        return b"".join(passed)

    def _admit(self, event: bytes) -> bool:
        found = _POSITION.search(event)
        if found:
            return self._admit_position(int(found[1]))
        if event == _FINISH:
            self.done = True
            return True
        if event.startswith(_ERROR):
            self.fault = errors.Cause.ERROR_EVENT
            return False
        if self._skip:
            self._skip -= 1
            return False
        self.unnumbered += 1
        self.events += 1
        return True

    def _admit_position(self, position: int) -> bool:
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
        self.unnumbered = 0
        self._skip = 0
        self._may_repeat = True
        self._expected = b"id: %d\n" % self.position
