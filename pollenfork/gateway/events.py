"""Cuts a stream into whole events, each passed on once and in order."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_POSITION = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
# An event holds a few tokens; one that never ends must not fill the memory.
_LARGEST = 1 << 20


class StreamError(Exception):
    """The stream left events out, or an event doesn't end."""


class EventSplitter:
    """Takes reads of any size, gives whole events.

    Attributes:
        last: The position of the last event passed on; None before the first.
        passed: Events passed on.
    """

    def __init__(self) -> None:
        self.last: int | None = None
        self.forwarded = 0
        self._tail = b""

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._tail)

    def restart(self) -> None:
        """Goes on with the stream of another run, after what was passed on."""
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Returns what can be passed on.

        Raises:
            Gap: An event is missing or too large.
        """
        data = self._tail + data
        whole = []
        start = 0
        for match in _END.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            if self._admit(event):
                whole.append(event)
        self._tail = data[start:]
        if len(self._tail) > _LARGEST:
            raise StreamError
        return b"".join(whole)

    def _admit(self, event: bytes) -> bool:
        found = _POSITION.search(event)
        if found is not None:
            position = int(found.group(1))
            if self.last is not None:
                if position <= self.last:
                    return False
                if position != self.last + 1:
                    raise StreamError
            self.last = position
        self.forwarded += 1
        return True
