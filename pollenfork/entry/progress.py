"""Tracks requests in progress, so that a shutdown can wait for them."""

from collections.abc import Callable, Iterable, Iterator
import itertools
import threading


class InProgress:
    """An exact count of the requests in progress; thread-safe."""

    def __init__(self) -> None:
        self._idle = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Accepted requests whose answer isn't handed to the server yet."""
        with self._idle:
            return self._count

    def enter(self) -> None:
        """Adds a request."""
        with self._idle:
            self._count += 1

    def leave(self) -> None:
        """Removes a request.

        Raises:
            RuntimeError: No request is in progress.
        """
        with self._idle:
            if not self._count:
                raise RuntimeError("leave() without enter()")
            self._count -= 1
            if not self._count:
                self._idle.notify_all()

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Returns True once no request is in progress, False on timeout."""
        with self._idle:
            return self._idle.wait_for(lambda: not self._count, timeout_s)


class ObservedChunks:
    """An answer's chunks, with callbacks before the first one and on close.

    The chunks after the first are iterated directly, without any overhead.

    Attributes:
        attach: The chunks' own `attach`, if they can write to the caller
            directly; else None.
    """

    def __init__(
        self,
        chunks: Iterable[bytes],
        on_first: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        """Wraps the chunks.

        Args:
            chunks: The answer's body.
            on_first: Called before the first chunk is returned.
            on_end: Called on close with True if the chunks were read to
                the end.
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
            self._iterate_first(chunks), chunks, self._mark_ended()
        )

    def close(self) -> None:
        """Closes the chunks and calls `on_end`; must be called only once."""
        try:
            close_chunks(self._chunks)
        finally:
            self._on_end(self._ended)

    def _iterate_first(self, chunks: Iterator[bytes]) -> Iterator[bytes]:
        for chunk in itertools.islice(chunks, 1):
            self._on_first()
            yield chunk

    def _mark_ended(self) -> Iterator[bytes]:
        self._ended = True
        return
        yield


class CloseOnceChunks:
    """A WSGI response body whose `close` takes effect only once.

    Attributes:
        attach: The chunks' own `attach`, if they can write to the caller
            directly; else None.
    """

    def __init__(
        self, chunks: Iterable[bytes], on_closed: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._on_closed = on_closed
        self._closed = False
        self.attach = getattr(chunks, "attach", None)

    def __iter__(self) -> Iterator[bytes]:
        """Returns the chunks' own iterator, which adds no overhead."""
        return iter(self._chunks)

    def close(self) -> None:
        """Closes the chunks and calls `on_closed`; idempotent."""
        if self._closed:
            return
        self._closed = True
        try:
            close_chunks(self._chunks)
        finally:
            self._on_closed()


def close_chunks(chunks: Iterable[bytes]) -> None:
    """Closes the chunks if they have a `close` method."""
    close = getattr(chunks, "close", None)
    if close:
        close()
