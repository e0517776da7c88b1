"""The body of an answer, as an iterator for the WSGI server."""

from collections.abc import Callable, Iterator

import msgspec

from pollenfork.answers import attempt
from pollenfork.answers import errors
from pollenfork.answers import pump


class AnswerBody(Iterator[bytes]):
    """The answer's bytes; closing it before the end cancels the attempt."""

    def __init__(
        self, attempts: attempt.AttemptSequence, first: bytes, complete: bool
    ) -> None:
        self._attempts = attempts
        self._first: bytes | None = first
        self._complete = complete
        self._complete_tokens = _count_tokens(first) if complete else None
        self._ended = False
        self._write: Callable[[bytes], object] | None = None

    def attach(self, write: Callable[[bytes], object]) -> None:
        """Lets the relay write later bytes directly, from its own thread.

        Args:
            write: Writes to the caller, like PEP 3333's `write`.
        """
        self._write = write

    def __next__(self) -> bytes:
        """Returns the next bytes, after recovering the stream if it broke."""
        if self._ended:
            raise StopIteration
        if self._first is not None:
            first, self._first = self._first, None
            return first
        if self._complete or self._attempts.reader.done:
            self._finish()
            raise StopIteration
        while True:
            data_or_cause = self._read_next()
            if isinstance(data_or_cause, errors.Cause):
                data_or_cause = self._recover(data_or_cause)
            if data_or_cause:
                return data_or_cause
            if self._attempts.reader.done:
                self._finish()
                raise StopIteration

    def close(self) -> None:
        """Ends the request; before the answer's end, this cancels it."""
        if not self._ended:
            self._ended = True
            self._attempts.abandon()

    def _finish(self) -> None:
        self._ended = True
        self._attempts.finish(self._complete_tokens)

    def _recover(self, cause: errors.Cause) -> bytes:
        recovered = self._attempts.recover(cause)
        if recovered.is_ok():
            return b""
        self._ended = True
        return encode_error_event(recovered.unwrap_err())

    def _read_next(self) -> bytes | errors.Cause:
        """Returns the next bytes, or why there are none."""
        attempts = self._attempts
        if attempts.reader.fault:
            return attempts.reader.fault
        data = attempts.exchange.take_buffered()
        if not data:
            if self._can_forward():
                return self._forward()
            try:
                data = attempts.exchange.read()
            except TimeoutError:
                return errors.Cause.STALLED
        reader = attempts.reader
        accepted = reader.feed(data) if data else reader.end()
        if accepted:
            attempts.slot.report_first_token()
            attempts.buffer.add(accepted)
            return accepted
        if reader.fault:
            return reader.fault
        if not data and not reader.done:
            return errors.Cause.CLOSED
        return b""

    def _can_forward(self) -> bool:
        attempts = self._attempts
        return (
            self._write is not None
            and attempts.slot.first_seen
            and not attempts.caller.count_unsent()
        )

    def _forward(self) -> bytes | errors.Cause:
        attempts = self._attempts
        assert self._write
        pumped = pump.PumpedStream(
            attempts.exchange.socket,
            attempts.reader,
            attempts.buffer,
            self._write,
            attempts.caller.count_unsent,
            attempts.report_progress,
        )
        if not attempts.deps.pump.forward(pumped):
            self._write = None
            return b""
        if pumped.error:
            raise pumped.error
        return pumped.cause or b""


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: int = 0


class _Completion(msgspec.Struct, frozen=True):
    usage: _Usage | None = None


def _count_tokens(body: bytes) -> int:
    """Returns the token count stated in an answer that isn't streamed."""
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


def encode_error_event(failure: errors.AnswerFailure) -> bytes:
    """Returns the event that ends an incomplete answer."""
    error = _Error(
        message=failure.detail,
        code="answer_broken",
        cause=failure.cause.value,
        outcome=failure.outcome.value,
    )
    return b"data: %b\n\n" % msgspec.json.encode(_ErrorEvent(error))
