"""Metrics and log lines of each caller's request."""

from collections.abc import Callable
import enum
import logging
import math
import uuid

from pollenfork import clock
from pollenfork import ids
from pollenfork import metrics
from pollenfork.entry import errors
from pollenfork.settings import snapshot

_LOG = logging.getLogger(__name__)
_MS = 1000


class AnswerEnd(enum.Enum):
    """How sending an answer to the caller ended."""

    ENDED = "ended"  # Every byte was passed on.
    CALLER_GONE = "caller_gone"


def make_request_id() -> str:
    """Returns a new, unique request id."""
    return uuid.uuid4().hex


class RequestLog:
    """Counts and logs the steps of one request.

    The number of label values is bounded: teams and classes come from the
    settings, and accounts are never a label.

    Attributes:
        request: The request's id.
        arrived_at: Monotonic time of arrival, in seconds.
        team: Empty until the caller's key is checked.
        account: Empty until the caller's key is checked.
        service_class: Empty until the class is chosen.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        now: clock.Clock,
        request: ids.RequestId,
    ) -> None:
        self.request = request
        self.arrived_at = now.monotonic()
        self.team = ids.Team("")
        self.account = ids.AccountId("")
        self.service_class = ids.ClassName("")
        self._metrics = counters
        self._clock = now

    def set_caller(self, caller: snapshot.Caller) -> None:
        """Sets the team and account that the request's key belongs to."""
        self.team = caller.team
        self.account = caller.account

    def record_refused(self, refusal: errors.Refusal) -> None:
        """Counts and logs a refused request."""
        reason = refusal.reason or refusal.code.value
        self._metrics.count(
            "pollenfork_refusals_total",
            code=refusal.code.value,
            reason=reason,
            outcome=refusal.outcome.value,
            team=self.team,
            service_class=self.service_class,
        )
        _LOG.info(
            "event=refused request=%s team=%s account=%s class=%s code=%s"
            " reason=%s outcome=%s status=%d after_ms=%d",
            self.request,
            self.team,
            self.account,
            self.service_class,
            refusal.code.value,
            reason,
            refusal.outcome.value,
            refusal.status,
            self._measure_ms(),
        )

    def record_granted(self, endpoint: ids.EndpointId) -> None:
        """Observes the queueing time and logs the granted endpoint."""
        self._observe("pollenfork_request_wait_seconds")
        _LOG.info(
            "event=granted request=%s team=%s class=%s endpoint=%s wait_ms=%d",
            self.request,
            self.team,
            self.service_class,
            endpoint,
            self._measure_ms(),
        )

    def record_first_bytes(self) -> None:
        """Observes the time until the first bytes of the answer."""
        self._observe("pollenfork_first_token_seconds")

    def record_end(self, status: int, ended: bool) -> None:
        """Counts and logs an answer that was sent whole or broken off."""
        end = AnswerEnd.ENDED if ended else AnswerEnd.CALLER_GONE
        self._metrics.count(
            "pollenfork_answers_total",
            team=self.team,
            service_class=self.service_class,
            status=f"{status // 100}xx",
            end=end.value,
        )
        if ended:
            self._observe("pollenfork_answer_seconds")
        _LOG.info(
            "event=answered request=%s team=%s account=%s class=%s status=%d"
            " end=%s after_ms=%d",
            self.request,
            self.team,
            self.account,
            self.service_class,
            status,
            end.value,
            self._measure_ms(),
        )

    def _observe(self, name: str) -> None:
        self._metrics.observe(
            name,
            self._clock.monotonic() - self.arrived_at,
            team=self.team,
            service_class=self.service_class,
        )

    def _measure_ms(self) -> int:
        return math.floor((self._clock.monotonic() - self.arrived_at) * _MS)


class RequestLogFactory:
    """Creates the logs of requests; thread-safe."""

    def __init__(
        self,
        counters: metrics.Metrics,
        now: clock.Clock,
        make_id: Callable[[], str],
    ) -> None:
        self._metrics = counters
        self._clock = now
        self._make_id = make_id

    def start(self) -> RequestLog:
        """Returns the log of a request that has just arrived."""
        request = ids.RequestId(self._make_id())
        return RequestLog(self._metrics, self._clock, request)
