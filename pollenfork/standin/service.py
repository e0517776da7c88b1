"""A stand-in for a plain HTTP service, which isn't an engine.

`POST /postings` records a posting and is not idempotent; `GET` only reads.
The stand-in counts executions, so that a test can detect a call that ran
twice, and arrivals, so that a test can act while a call is in progress.
"""

import asyncio
import enum
from typing import Annotated

import msgspec

from pollenfork import clock as clocks
from pollenfork.standin import http

Time = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]

_POSTINGS = "/postings"


class ServiceFault(enum.Enum):
    """A fault to inject into a call."""

    REFUSE = "refuse"  # 503 with `X-Outcome: not_run`.
    FAIL = "fail"  # 500 after the effect; does not show whether it ran.
    LOSE_BEFORE = "lose_before"  # Connection broken before the effect.
    LOSE_AFTER = "lose_after"  # Connection broken after the effect.


class ServiceFaults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults of the service; all can be changed at run time.

    Attributes:
        fault: The fault to inject; None means none.
        times: Number of calls that get the fault; None means all.
        delay_s: Delay added to each call.
    """

    fault: ServiceFault | None = None
    times: Positive | None = None
    delay_s: Time = 0.0


class Posting(msgspec.Struct, frozen=True):
    """One recorded call; `key` is its `Idempotency-Key`, or empty."""

    number: int
    path: str
    body: str
    key: str


class ServiceStandin:
    """One plain service with its own server thread.

    Attributes:
        postings: The recorded postings, oldest first.
        arrivals: Number of calls that arrived, whatever their outcome.
    """

    def __init__(
        self,
        listen: str,
        clock: clocks.Clock,
        faults: ServiceFaults = ServiceFaults(),
    ) -> None:
        del clock  # Unused; the signature is that of the engine stand-in.
        self.postings: list[Posting] = []
        self.arrivals = 0
        self._faults = faults
        self._faults_left = faults.times
        self._server = http.Server(listen, self._handle)

    def start(self) -> str:
        """Starts listening; returns the address as `host:port`."""
        return self._server.start()

    def stop(self) -> None:
        """Aborts all connections and stops the thread."""
        self._server.stop()

    def set_faults(self, faults: ServiceFaults) -> None:
        """Replaces the faults for subsequent calls."""
        self._faults = faults
        self._faults_left = faults.times

    async def _handle(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        if request.path == "/healthz":
            exchange.send(200, b"{}")
        elif request.path == "/runs":
            exchange.send(200, msgspec.json.encode(self.postings))
        elif request.path == "/arrivals":
            exchange.send(200, msgspec.json.encode(self.arrivals))
        elif request.path == "/faults" and request.method == "POST":
            self.set_faults(
                msgspec.json.decode(request.body, type=ServiceFaults)
            )
            exchange.send(200, b"{}")
        else:
            await self._serve(request, exchange)

    async def _serve(
        self, request: http.Request, exchange: http.Exchange
    ) -> None:
        self.arrivals += 1
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        fault = self._next_fault()
        if fault is ServiceFault.REFUSE:
            exchange.send(503, b"{}", (("X-Outcome", "not_run"),))
        elif fault is ServiceFault.LOSE_BEFORE:
            exchange.drop()
        else:
            status, body = self._run(request)
            self._send_reply(exchange, fault, status, body)

    def _send_reply(
        self,
        exchange: http.Exchange,
        fault: ServiceFault | None,
        status: int,
        body: bytes,
    ) -> None:
        if fault is ServiceFault.LOSE_AFTER:
            exchange.drop()
        elif fault is ServiceFault.FAIL:
            exchange.send(500, b"{}")
        else:
            exchange.send(status, body)

    def _run(self, request: http.Request) -> tuple[int, bytes]:
        if request.method in ("GET", "HEAD"):
            count = msgspec.json.encode({"postings": len(self.postings)})
            return 200, count
        if not request.path.endswith(_POSTINGS):
            return 404, b"{}"
        posting = Posting(
            number=len(self.postings) + 1,
            path=request.path,
            body=request.body.decode("utf-8", "replace"),
            key=request.headers.get("idempotency-key", ""),
        )
        self.postings.append(posting)
        return 201, msgspec.json.encode({"number": posting.number})

    def _next_fault(self) -> ServiceFault | None:
        if self._faults_left is None:
            return self._faults.fault
        if self._faults_left == 0:
            return None
        self._faults_left -= 1
        return self._faults.fault
