"""Bytes that arrive in pieces, held in proportion to their number.

An object for each piece takes 40 bytes and more beside its content, so a list
of pieces of a few bytes holds many times what the limits on size count.
"""

import io


class Pieces:
    """Joins pieces as they arrive.

    It holds at most an eighth more than the bytes, and taking them copies none.
    """

    def __init__(self) -> None:
        self._buffer = io.BytesIO()

    def __len__(self) -> int:
        """Returns the number of bytes."""
        return self._buffer.tell()

    def append(self, data: bytes) -> None:
        """Adds a piece at the end."""
        self._buffer.write(data)

    def clear(self) -> None:
        """Drops all bytes."""
        self._buffer = io.BytesIO()

    def take(self) -> bytes:
        """Returns all bytes and drops them."""
        data = self._buffer.getvalue()
        self.clear()
        return data
