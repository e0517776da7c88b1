"""Relays answers from endpoints to callers."""

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
    """An answer whose first bytes have been received.

    Attributes:
        status: HTTP status.
        headers: Headers to send to the caller.
        chunks: The body; closing it early cancels the request.
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
    """Sends requests to endpoints and relays their answers.

    Attributes:
        counters: The relay's counters, for the metrics.
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
        """Starts the thread that forwards running streams."""
        self._pump.start()

    def stop(self) -> None:
        """Stops the thread and waits for running cancels."""
        self._pump.stop()
        self._canceller.stop()

    def open(
        self,
        call: messages.Call,
        grant: dispatch_messages.Grant,
        caller: edges.Caller | None = None,
    ) -> result.Result[Answer, errors.AnswerFailure]:
        """Sends the call and returns once the first bytes have arrived.

        Tries other endpoints if the request may safely run twice. On failure
        the request is reported as closed.
        """
        attempts = attempt.AttemptSequence(
            call,
            grant,
            caller or edges.PresentCaller(),
            slot.Dependencies(
                slots=self._slots,
                clock=self._clock,
                limits=self._limits,
                counters=self.counters,
                canceller=self._canceller,
                pump=self._pump,
            ),
        )
        opened = attempts.open()
        if opened.is_err():
            return result.Err(opened.unwrap_err())
        start = opened.unwrap()
        head = start.head
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in _HOP_BY_HOP
        ]
        if start.complete:
            headers.append(("Content-Length", str(len(start.body))))
        chunks = stream.AnswerBody(attempts, start.body, start.complete)
        return result.Ok(Answer(head.status, headers, chunks))
