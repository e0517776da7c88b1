"""The body of an answer as the caller's side iterates over it."""

from collections.abc import Callable, Iterator

import msgspec

from pollenfork.answers import attempt
from pollenfork.answers import errors
from pollenfork.answers import pump


class Chunks(Iterator[bytes]):
    """The answer's bytes; closing it before the end cancels the attempt."""

    def __init__(
        self, attempts: attempt.Attempts, first: bytes, whole: bool
    ) -> None:
        self._attempts = attempts
        self._first: bytes | None = first
        self._whole = whole
        self._whole_tokens = _count_tokens(first) if whole else None
        self._ended = False
        self._write: Callable[[bytes], object] | None = None

    def attach(self, write: Callable[[bytes], object]) -> None:
        """Lets the relay write later bytes itself, from its own thread.

        Args:
            write: Writes to the caller, as PEP 3333's `write`.
        """
        self._write = write

    def __next__(self) -> bytes:
        """Returns the next bytes, recovered where the stream broke."""
        if self._ended:
            raise StopIteration
        if self._first is not None:
            first, self._first = self._first, None
            return first
        if self._whole or self._attempts.reader.done:
            self._finish()
            raise StopIteration
        while True:
            moved = self._move()
            if isinstance(moved, errors.Cause):
                moved = self._recover(moved)
            if moved:
                return moved
            if self._attempts.reader.done:
                self._finish()
                raise StopIteration

    def close(self) -> None:
        """Ends the request; before the end the caller counts as gone."""
        if not self._ended:
            self._ended = True
            self._attempts.abandon()

    def _finish(self) -> None:
        self._ended = True
        self._attempts.finish(self._whole_tokens)

    def _recover(self, cause: errors.Cause) -> bytes:
        recovered = self._attempts.recover(cause)
        if recovered.is_ok():
            return b""
        self._ended = True
        return write_error_event(recovered.unwrap_err())

    def _move(self) -> bytes | errors.Cause:
        """Moves bytes until there is something to say about them."""
        attempts = self._attempts
        if attempts.reader.fault:
            return attempts.reader.fault
        data = attempts.exchange.take_buffered()
        if not data:
            if self._may_carry():
                return self._carry()
            try:
                data = attempts.exchange.read()
            except TimeoutError:
                return errors.Cause.STALLED
        reader = attempts.reader
        passed = reader.feed(data) if data else reader.end()
        if passed:
            attempts.slot.note_first()
            attempts.kept.add(passed)
            return passed
        if reader.fault:
            return reader.fault
        if not data and not reader.done:
            return errors.Cause.CLOSED
        return b""

    def _may_carry(self) -> bool:
        attempts = self._attempts
        return (
            self._write is not None
            and attempts.slot.first_seen
            and not attempts.caller.count_unsent()
        )

    def _carry(self) -> bytes | errors.Cause:
        attempts = self._attempts
        assert self._write
        flow = pump.Flow(
            attempts.exchange.socket,
            attempts.reader,
            attempts.kept,
            self._write,
            attempts.caller.count_unsent,
            attempts.note_progress,
        )
        if not attempts.tools.pump.carry(flow):
            self._write = None
            return b""
        if flow.error:
            raise flow.error
        return flow.cause or b""


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int = 0


class _Completion(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


def _count_tokens(body: bytes) -> int:
    """Returns what an answer that isn't streamed says of its length."""
    try:
        usage = msgspec.json.decode(body, type=_Completion).usage
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return 0
    return usage.completion_tokens if usage else 0


class _Error(msgspec.Struct, frozen=True):
    message: str
    code: str
    cause: str
    outcome: str
    type: str = "server_error"
    param: str | None = None


class _ErrorEvent(msgspec.Struct, frozen=True):
    error: _Error


def write_error_event(failure: errors.AnswerFailure) -> bytes:
    """Returns the event that ends an answer which isn't whole."""
    error = _Error(
        message=failure.detail,
        code="answer_broken",
        cause=failure.cause.value,
        outcome=failure.outcome.value,
    )
    return b"data: %b\n\n" % msgspec.json.encode(_ErrorEvent(error))
