"""How many requests are in progress, for a stop that cuts none off."""

from collections.abc import Callable, Iterable, Iterator
import itertools
import threading


class InProgress:
    """An exact count of the requests in progress; safe from any thread."""

    def __init__(self) -> None:
        self._idle = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Requests accepted whose answer isn't handed over yet."""
        with self._idle:
            return self._count

    def enter(self) -> None:
        """Counts one more request."""
        with self._idle:
            self._count += 1

    def leave(self) -> None:
        """Counts one request less.

        Raises:
            RuntimeError: There was no request in progress.
        """
        with self._idle:
            if not self._count:
                raise RuntimeError("leave() without enter()")
            self._count -= 1
            if not self._count:
                self._idle.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Returns True once nothing is in progress, False at the timeout."""
        with self._idle:
            return self._idle.wait_for(lambda: not self._count, timeout_s)


class ObservedChunks:
    """An answer's chunks; tells of the first one and of the end.

    Between the two nothing of this class runs.

    Attributes:
        attach: Of the chunks that can write to the caller by themselves.
    """

    def __init__(
        self,
        chunks: Iterable[bytes],
        on_first: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        """Makes the watch.

        Args:
            chunks: The answer's body.
            on_first: Called before the first chunk is passed on.
            on_end: Called once closed, with whether the chunks came to
                their end.
        """
        self._chunks = chunks
        self.attach = getattr(chunks, "attach", None)
        self._on_first = on_first
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Returns an iterator over the chunks."""
        chunks = iter(self._chunks)
        return itertools.chain(
            self._pass_first(chunks), chunks, self._note_end()
        )

    def close(self) -> None:
        """Closes the chunks; to be called once."""
        try:
            close_chunks(self._chunks)
        finally:
            self._on_end(self._ended)

    def _pass_first(self, chunks: Iterator[bytes]) -> Iterator[bytes]:
        for chunk in itertools.islice(chunks, 1):
            self._on_first()
            yield chunk

    def _note_end(self) -> Iterator[bytes]:
        self._ended = True
        return
        yield


class CloseOnceChunks:
    """A reply on its way to the server, closed exactly once.

    Attributes:
        attach: Of the chunks that can write to the caller by themselves.
    """

    def __init__(
        self, chunks: Iterable[bytes], on_closed: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_closed = on_closed
        self._closed = False
        self.attach = getattr(chunks, "attach", None)

    def __iter__(self) -> Iterator[bytes]:
        """Returns the chunks' own iterator, which costs nothing here."""
        return iter(self._chunks)

    def close(self) -> None:
        """Closes the chunks and tells `on_closed`; a repeat does nothing."""
        if self._closed:
            return
        self._closed = True
        try:
            close_chunks(self._chunks)
        finally:
            self._on_closed()


def close_chunks(chunks: Iterable[bytes]) -> None:
    """Closes the chunks where they can be closed."""
    close = getattr(chunks, "close", None)
    if close:
        close()
