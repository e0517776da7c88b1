"""Relay of one answer from its endpoint to the caller."""

from collections.abc import Iterator
import concurrent.futures
from typing import Any, Protocol

import result
import urllib3

from pollenfork import clock
from pollenfork import failures
from pollenfork.admission import messages as admission_messages
from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.dispatch import messages as dispatch_messages

_READ_BYTES = 65536
_CONNECT_S = 1.0
_READ_S = 60.0
_FINISH_MARK = b"data: [DONE]"


class Slots(Protocol):
    """Where attempts are granted and their course is reported."""

    def ask_again(
        self, again: dispatch_messages.AskAgain
    ) -> concurrent.futures.Future[
        dispatch_messages.Grant | admission_messages.Refused
    ]:
        """Asks for another endpoint."""

    def report(self, event: Any) -> None:
        """Tells of the attempt's course."""


class Answer:
    """An answer whose head has arrived.

    Attributes:
        status: HTTP status.
        headers: To pass on to the caller.
        chunks: The body; closing the iterator means the caller is gone.
    """

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        chunks: Iterator[bytes],
    ) -> None:
        self.status = status
        self.headers = headers
        self.chunks = chunks


class Relay:
    """Opens answers at endpoints."""

    def __init__(self, slots: Slots, now: clock.Clock) -> None:
        self._slots = slots
        self._clock = now
        self._pool = urllib3.PoolManager(
            maxsize=64, retries=False, num_pools=64
        )

    def open(
        self, call: messages.Call, grant: dispatch_messages.Grant
    ) -> result.Result[Answer, errors.AnswerFailure]:
        """Sends the call and returns once the answer's head is there."""
        headers = dict(call.headers)
        headers["X-Request-Id"] = grant.attempt
        headers["X-Priority"] = str(grant.priority)
        try:
            response = self._pool.request(
                call.method,
                f"http://{grant.address}{call.path}",
                body=call.body,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(connect=_CONNECT_S, read=_READ_S),
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            self._end(grant, dispatch_messages.AttemptEnd.NEVER_SENT, 0)
            outcome = failures.Outcome.NOT_RUN
            return result.Err(
                errors.EndpointLost(detail=str(error), outcome=outcome)
            )
        except urllib3.exceptions.HTTPError as error:
            how = dispatch_messages.AttemptEnd.BROKEN_BEFORE_FIRST
            self._end(grant, how, 0)
            outcome = failures.Outcome.UNKNOWN
            return result.Err(
                errors.EndpointLost(detail=str(error), outcome=outcome)
            )
        passed = ("content-type", "content-length")
        kept = [
            (name, value)
            for name, value in response.headers.items()
            if name.lower() in passed
        ]
        chunks = self._relay(response, call, grant)
        return result.Ok(Answer(response.status, kept, chunks))

    def _relay(
        self,
        response: urllib3.BaseHTTPResponse,
        call: messages.Call,
        grant: dispatch_messages.Grant,
    ) -> Iterator[bytes]:
        how = dispatch_messages.AttemptEnd.CANCELLED
        tokens = 0
        tail = b""
        try:
            while chunk := response.read1(_READ_BYTES):
                if not tokens:
                    self._note_first(grant)
                tokens += chunk.count(b"\n\n")
                tail = (tail + chunk)[-len(_FINISH_MARK) - 2 :]
                yield chunk
            how = dispatch_messages.AttemptEnd.FINISHED
            if call.streamed and _FINISH_MARK not in tail:
                how = dispatch_messages.AttemptEnd.BROKEN_MIDWAY
                yield _write_error_event()
        except urllib3.exceptions.HTTPError:
            how = dispatch_messages.AttemptEnd.BROKEN_MIDWAY
            yield _write_error_event()
        finally:
            response.close()
            self._end(grant, how, tokens)

    def _note_first(self, grant: dispatch_messages.Grant) -> None:
        at = self._clock.monotonic()
        self._slots.report(
            dispatch_messages.FirstToken(attempt=grant.attempt, at=at)
        )

    def _end(
        self,
        grant: dispatch_messages.Grant,
        how: dispatch_messages.AttemptEnd,
        tokens: int,
    ) -> None:
        ended = dispatch_messages.AttemptEnded(
            attempt=grant.attempt,
            how=how,
            tokens=tokens,
            at=self._clock.monotonic(),
        )
        self._slots.report(ended)


def _write_error_event() -> bytes:
    return (
        b'data: {"error": {"code": "answer_broken", "type": "server_error",'
        b' "message": "The answer broke off; it is not whole."}}\n\n'
    )
