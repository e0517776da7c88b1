"""Relay of answers from their endpoints to the callers."""

from collections.abc import Iterator

import result

from pollenfork import clock
from pollenfork.answers import attempt
from pollenfork.answers import cancels
from pollenfork.answers import counters
from pollenfork.answers import edges
from pollenfork.answers import errors
from pollenfork.answers import messages
from pollenfork.answers import pump
from pollenfork.answers import slot
from pollenfork.answers import stream
from pollenfork.dispatch import messages as dispatch_messages

Slots = edges.Slots
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)


class Answer:
    """An answer whose first bytes are there.

    Attributes:
        status: HTTP status.
        headers: To pass on to the caller.
        chunks: The body; closing it means that the caller is gone.
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
    """Opens answers at endpoints and sees them through.

    Attributes:
        counters: What happened so far; for the metrics.
    """

    def __init__(
        self,
        slots: edges.Slots,
        now: clock.Clock,
        limits: messages.Limits | None = None,
    ) -> None:
        self._slots = slots
        self._clock = now
        self._limits = limits or messages.Limits()
        self.counters = counters.Counters()
        self._pump = pump.Pump(now, self._limits.stall_s)
        self._canceller = cancels.Canceller(self._limits, self.counters)

    def start(self) -> None:
        """Starts the thread that moves running streams."""
        self._pump.start()

    def stop(self) -> None:
        """Ends the thread and finishes the cancels under way."""
        self._pump.stop()
        self._canceller.stop()

    def open(
        self,
        call: messages.Call,
        grant: dispatch_messages.Grant,
        caller: edges.Caller | None = None,
    ) -> result.Result[Answer, errors.AnswerFailure]:
        """Sends the call and returns once its first bytes are there.

        Tries other endpoints where a second run can do no harm. On failure
        the request is closed towards the slots.
        """
        work = attempt.Attempts(
            call,
            grant,
            caller or edges.PresentCaller(),
            slot.Tools(
                slots=self._slots,
                clock=self._clock,
                limits=self._limits,
                counters=self.counters,
                canceller=self._canceller,
                pump=self._pump,
            ),
        )
        opened = work.open()
        if opened.is_err():
            return result.Err(opened.unwrap_err())
        first = opened.unwrap()
        head = first.head
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in _HOP_BY_HOP
        ]
        if first.whole:
            headers.append(("Content-Length", str(len(first.body))))
        chunks = stream.Chunks(work, first.body, first.whole)
        return result.Ok(Answer(head.status, headers, chunks))
