"""Bounds the bytes of HTTP messages that aren't their body.

The parser keeps a field until it is whole and has no limit of its own; the
extensions of chunks, trailers and interim responses never reach the receiver.
Whatever a peer sends beside a body is therefore counted as it arrives. A long
body allows for much framing in all, but no field or extension may be longer for
it.
"""

# Heads take a few kilobytes.
MAX_HEAD_BYTES = 64 * 1024
# Bytes of framing for each byte of the body: a chunk of one byte takes five.
_MAX_FRAMING_RATIO = 16


class FramingCounter:
    """Counts what a peer sends beside the bodies of one exchange."""

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._since_body = 0

    def restart(self) -> None:
        """Starts with another exchange."""
        self._received = 0
        self._body = 0
        self._since_body = 0

    def add(self, size: int) -> None:
        """Counts bytes as they arrive."""
        self._received += size
        self._since_body += size

    def add_body(self, size: int) -> None:
        """Counts those of them that belong to a body."""
        self._body += size
        self._since_body = 0

    @property
    def exceeded(self) -> bool:
        """Whether the rest is more than any proper message takes."""
        if self._since_body > MAX_HEAD_BYTES:
            return True
        framing = self._received - self._body
        return framing > MAX_HEAD_BYTES + self._body * _MAX_FRAMING_RATIO
