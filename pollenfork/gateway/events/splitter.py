"""Splits the bytes of an event stream into events.

The grammar is that of server-sent events (WHATWG HTML, 9.2.5) with lines that
end in LF or CRLF, and stricter in two points: each event has a position, and
lines with other fields than the known ones are refused instead of ignored, as
they may be anything that a failing process prints.
"""

import enum
import re

import msgspec

# Events hold a few tokens. The limit keeps an unterminated event from
# exhausting the memory.
MAX_EVENT_BYTES = 256 * 1024
_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})
# Longer numbers are no positions.
_MAX_DIGITS = 18
# A whole event of the usual fields, and blocks of comments and empty lines.
# Both are matched at once to save time.
_USUAL = re.compile(
    rb"id: ?(\d{1,%d})\r?\n(?:data:[^\r\n]*+\r?\n)++\r?\n" % _MAX_DIGITS
)
_COMMENTS = re.compile(rb"(?:(?::[^\r\n]*+\r?\n)*+\r?\n)++")


class Breach(enum.Enum):
    """Why the rest of a stream can't be forwarded."""

    FOREIGN = "foreign"
    OUT_OF_ORDER = "out_of_order"
    TOO_LARGE = "too_large"


class Block(msgspec.Struct, frozen=True):
    """An event or comments, up to and with the empty line at their end.

    Attributes:
        data: The bytes.
        position: The event's position; None: there are comments alone, or a
            time to reconnect.
    """

    data: bytes
    position: int | None


class EventSplitter:
    """Turns reads of any size into whole blocks.

    The work is in proportion to the bytes, also where each read is one byte.

    Attributes:
        breach: Why the bytes that follow the last block are no event; None:
            they are, as far as is known.
    """

    def __init__(self, further_fields: frozenset[bytes] = frozenset()) -> None:
        """Creates a splitter that has read nothing.

        Args:
            further_fields: Names of fields that events may have besides those
                of the standard.
        """
        self.breach: Breach | None = None
        self._fields = _FIELDS | further_fields
        self._buffer = bytearray()
        # The offset of the current line in the buffer.
        self._line_at = 0
        self._has_fields = False
        self._position: int | None = None

    @property
    def partial(self) -> bool:
        """Whether an incomplete block is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Block]:
        """Returns the blocks that are whole after a read.

        After a breach there are none; those before it are returned.
        """
        blocks: list[Block] = []
        at = 0
        while at < len(data) and self.breach is None:
            found = None
            if not self._buffer:
                found = _USUAL.match(data, at)
                position = int(found.group(1)) if found else None
                found = found or _COMMENTS.match(data, at)
            if found:
                blocks.append(Block(found.group(), position))
                at = found.end()
            else:
                at = self._take_line(data, at, blocks)
        return blocks

    def _take_line(self, data: bytes, at: int, blocks: list[Block]) -> int:
        """Buffers a line, or a part of one; returns the offset behind it."""
        end = data.find(b"\n", at) + 1
        self._buffer += data[at : end or len(data)]
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.breach = Breach.TOO_LARGE
        elif end:
            line = bytes(self._buffer[self._line_at : -1])
            self._line_at = len(self._buffer)
            if self._read_line(line.removesuffix(b"\r")):
                blocks.append(Block(bytes(self._buffer), self._position))
                self._buffer.clear()
                self._line_at = 0
                self._position, self._has_fields = None, False
        return end or len(data)

    def _read_line(self, line: bytes) -> bool:
        """Reads a line without its end; returns whether it ends a block."""
        if not line:
            if self._has_fields and self._position is None:
                self.breach = Breach.FOREIGN
            return self.breach is None
        # Readers of the standard take a lone CR for the end of a line.
        if b"\r" in line:
            self.breach = Breach.FOREIGN
        elif not line.startswith(b":"):
            self._read_field(line)
        return False

    def _read_field(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        # A block of this field alone is a setting, and no event.
        self._has_fields = self._has_fields or name != b"retry"
        if name not in self._fields:
            self.breach = Breach.FOREIGN
        elif name == b"id":
            number = value.removeprefix(b" ")
            is_valid = number.isdigit() and len(number) <= _MAX_DIGITS
            if not is_valid or self._position is not None:
                self.breach = Breach.FOREIGN
            else:
                self._position = int(number)
