"""What the entry counts and logs of each request."""

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
    """How the passing on of an answer ended."""

    ENDED = "ended"  # The caller got its last byte.
    CALLER_GONE = "caller_gone"


def make_request_id() -> str:
    """Returns an id that no other request has."""
    return uuid.uuid4().hex


class RequestLog:
    """The course of one request: counts and logs each step.

    Labels are bounded: teams and classes are the settings', and an account
    is never a label.

    Attributes:
        request: Its id.
        arrived: Monotonic seconds.
        team: Empty until the key is known; likewise the next two.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        now: clock.Clock,
        request: ids.RequestId,
    ) -> None:
        self.request = request
        self.arrived = now.monotonic()
        self.team = ids.Team("")
        self.account = ids.AccountId("")
        self.service_class = ids.ClassName("")
        self._metrics = counters
        self._clock = now

    def note_caller(self, caller: snapshot.Caller) -> None:
        """Notes whose key the request carries."""
        self.team = caller.team
        self.account = caller.account

    def note_refused(self, refusal: errors.Refusal) -> None:
        """Counts and logs a request that gets no answer."""
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

    def note_granted(self, endpoint: ids.EndpointId) -> None:
        """Counts and logs that a request may go to an endpoint."""
        self._observe("pollenfork_request_wait_seconds")
        _LOG.info(
            "event=granted request=%s team=%s class=%s endpoint=%s wait_ms=%d",
            self.request,
            self.team,
            self.service_class,
            endpoint,
            self._measure_ms(),
        )

    def note_first(self) -> None:
        """Counts the first bytes of an answer on their way to the caller."""
        self._observe("pollenfork_first_token_seconds")

    def note_end(self, status: int, ended: bool) -> None:
        """Counts and logs an answer that is passed on, or given up."""
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
            self._clock.monotonic() - self.arrived,
            team=self.team,
            service_class=self.service_class,
        )

    def _measure_ms(self) -> int:
        return math.floor((self._clock.monotonic() - self.arrived) * _MS)


class RequestLogFactory:
    """Opens the records of requests; safe from any thread."""

    def __init__(
        self,
        counters: metrics.Metrics,
        now: clock.Clock,
        make_id: Callable[[], str],
    ) -> None:
        self._metrics = counters
        self._clock = now
        self._make_id = make_id

    def begin(self) -> RequestLog:
        """Opens the record of a request that has just arrived."""
        request = ids.RequestId(self._make_id())
        return RequestLog(self._metrics, self._clock, request)
