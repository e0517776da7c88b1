"""Splits a server-sent event stream into events, each forwarded once."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_POSITION = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
# Events hold a few tokens. The limit keeps an unterminated event from
# exhausting the memory.
_MAX_EVENT_BYTES = 256 * 1024


def list_positions(events: bytes) -> list[int]:
    """Returns the positions of whole events, in order."""
    return [int(found) for found in _POSITION.findall(events)]


class StreamError(Exception):
    """The stream skipped events."""


class EventTooLarge(StreamError):  # noqa: N818
    """An event exceeds the size limit."""


class EventSplitter:
    """Turns reads of any size into complete events, in order.

    Attributes:
        last: The position of the last event forwarded; None before the first.
        forwarded: Number of events forwarded.
    """

    def __init__(self) -> None:
        self.last: int | None = None
        self.forwarded = 0
        self._tail = b""

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._tail)

    def restart(self) -> None:
        """Continues with the stream of another run, after the last event."""
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Returns the events to forward after a read.

        Raises:
            StreamError: An event is missing.
            EventTooLarge: An event is too large.
        """
        data = self._tail + data
        whole = []
        start = 0
        for match in _END.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            if self._is_new(event):
                whole.append(event)
        self._tail = data[start:]
        if len(self._tail) > _MAX_EVENT_BYTES:
            raise EventTooLarge
        return b"".join(whole)

    def _is_new(self, event: bytes) -> bool:
        """Returns whether to forward an event; counts it if so."""
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
