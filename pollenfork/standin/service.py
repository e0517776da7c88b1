"""A stand-in for a plain service beside the engines.

`POST /postings` records a posting and is not idempotent; `GET` only reads.
It counts each run, so that a test can tell at most once from twice, and each
call that arrives, so that a test can act while a call is under way.
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
    """What goes wrong with a call."""

    REFUSE = "refuse"  # 503 with `X-Outcome: not_run`.
    FAIL = "fail"  # 500 after the effect, which proves nothing.
    LOSE_BEFORE = "lose_before"  # The connection breaks before the effect.
    LOSE_AFTER = "lose_after"  # The connection breaks after the effect.


class ServiceFaults(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Faults of the service; all of them can change at run time.

    Attributes:
        fault: What happens to calls.
        times: To how many; None means every one.
        delay_s: Time that each call takes.
    """

    fault: ServiceFault | None = None
    times: Positive | None = None
    delay_s: Time = 0.0


class Posting(msgspec.Struct, frozen=True):
    """One recorded call; `key` is its `Idempotency-Key`, if any."""

    number: int
    path: str
    body: str
    key: str


class ServiceStandin:
    """One plain service, serving in a thread of its own.

    Attributes:
        postings: What was recorded, oldest first.
        arrivals: Calls that reached it, whatever became of them.
    """

    def __init__(
        self,
        listen: str,
        clock: clocks.Clock,
        faults: ServiceFaults = ServiceFaults(),
    ) -> None:
        del clock  # It has no time of its own; the signature is the engines'.
        self.postings: list[Posting] = []
        self.arrivals = 0
        self._faults = faults
        self._left = faults.times
        self._server = http.Server(listen, self._handle)

    def start(self) -> str:
        """Listens; returns the address as `host:port`."""
        return self._server.start()

    def stop(self) -> None:
        """Breaks every connection and ends the thread."""
        self._server.stop()

    def set_faults(self, faults: ServiceFaults) -> None:
        """Puts faults in force for the calls to come."""
        self._faults = faults
        self._left = faults.times

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
        fault = self._take_fault()
        if fault is ServiceFault.REFUSE:
            exchange.send(503, b"{}", (("X-Outcome", "not_run"),))
        elif fault is ServiceFault.LOSE_BEFORE:
            exchange.drop()
        else:
            status, body = self._run(request)
            self._answer(exchange, fault, status, body)

    def _answer(
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

    def _take_fault(self) -> ServiceFault | None:
        if self._left is None:
            return self._faults.fault
        if self._left == 0:
            return None
        self._left -= 1
        return self._faults.fault
