"""Log lines and counters of one request's progress."""

import asyncio
from collections.abc import Callable, Mapping
import logging

from pollenfork import ids
from pollenfork import logs
from pollenfork.fleet import outcomes
from pollenfork.gateway import attempt
from pollenfork.gateway import context
from pollenfork.gateway import counters
from pollenfork.gateway import replies
from pollenfork.gateway import retries
from pollenfork.gateway.shedding import limits as shedding_limits

_LOG = logging.getLogger(__name__)

# Further parts of a prompt are left out of a line.
_MAX_LOGGED_PARTS = 8


class RequestLog:
    """Logs the decisions on a request, with their inputs and age."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counted: counters.Counters,
        read_loads_age: Callable[[], float | None],
        admitted: context.AdmittedRequest,
    ) -> None:
        """Creates the log of one request.

        Args:
            loop: The event loop, for its clock.
            counted: The counters of requests.
            read_loads_age: Returns the age of the other instances' loads in
                seconds.
            admitted: The request.
        """
        self._loop = loop
        self._counters = counted
        self._read_loads_age = read_loads_age
        self._admitted = admitted
        self._request = logs.quote_value(admitted.head.attempt)

    @property
    def took_s(self) -> float:
        """Seconds since the request arrived."""
        return self._loop.time() - self._admitted.call.arrived

    def log_choice(
        self,
        grant: outcomes.Grant,
        history: retries.AttemptHistory,
        admission: shedding_limits.Admission,
    ) -> None:
        """Logs which runner was chosen and why.

        Args:
            grant: The runner.
            history: The request's attempts.
            admission: Why the request may be sent.
        """
        admitted = self._admitted
        if not history.runners_tried and not history.sent:
            self._counters.record_wait(admitted.route, self.took_s)
            self._counters.record_admission(admitted.tier, admission)
        loads_age_s = self._read_loads_age()
        _LOG.info(
            "event=chosen request=%s route=%s tier=%d configuration=%d "
            "age_ms=%d runner=%s waited_ms=%d cost_ms=%d unread=%d source=%s "
            "holders=%d kept_cost_ms=%d crowd_ms=%d own=%d parts=%d "
            "loads_age_ms=%s left_ms=%d forecast_ms=%s version=%s resumes=%s "
            "after=%s admission=%s limit_ms=%s",
            self._request,
            admitted.route.name,
            admitted.tier,
            admitted.version,
            admitted.age_s * 1000,
            grant.runner.id,
            self.took_s * 1000,
            grant.cost * 1000,
            grant.uncached_tokens,
            grant.source.id if grant.source else "-",
            grant.holders,
            grant.holder_cost * 1000,
            grant.mean_backlog_s * 1000,
            grant.pending_tokens - grant.uncached_tokens,
            len(admitted.head.parts),
            _format_ms(loads_age_s),
            self._left_s * 1000,
            _format_ms(grant.forecast_s),
            logs.quote_value(grant.runner.version),
            logs.quote_value(admitted.head.resumes or "-"),
            _format_position(admitted.head.last_event),
            admission.value,
            _format_ms(admitted.prefill_limit_s),
            extra=logs.ORDINARY,
        )

    def log_failed_attempt(
        self,
        grant: outcomes.Grant,
        ended: attempt.AttemptResult,
        decision: retries.RetryDecision,
        history: retries.AttemptHistory,
        events: int,
    ) -> None:
        """Logs how an attempt failed and what follows.

        Args:
            grant: The runner.
            ended: The result of the attempt.
            decision: What follows.
            history: The request's attempts.
            events: Events of the stream that the caller has been sent.
        """
        if decision is retries.RetryDecision.RETRIED:
            self._counters.record_retry(ended.end)
        else:
            self._counters.record_not_retried(decision)
        _LOG.warning(
            "event=attempt_failed request=%s digest=%016x runner=%s end=%s "
            "breach=%s unsent=%s status=%s route=%s took_ms=%d left_ms=%d "
            "sent=%d sequel=%s version=%s events=%d account=%s parts=%s "
            "runner_silent_ms=%d run=%s",
            self._request,
            self._admitted.digest,
            grant.runner.id,
            ended.end.value,
            ended.failure.value if ended.failure else "-",
            ended.symptom.name.lower() if ended.symptom else "-",
            ended.head.status if ended.head else "-",
            self._admitted.route.name,
            self.took_s * 1000,
            self._left_s * 1000,
            history.sent,
            decision.value,
            logs.quote_value(grant.runner.version),
            events,
            self._admitted.account.id if self._admitted.account else "-",
            self._format_parts(),
            (self._loop.time() - grant.state.silence.heard_at) * 1000,
            ended.run or "-",
        )

    def log_state_change(
        self, grant: outcomes.Grant, ended: attempt.AttemptResult, failures: int
    ) -> None:
        """Logs a change in the number of a runner's consecutive failures.

        Args:
            grant: The runner, with its current state.
            ended: The result of the last attempt.
            failures: Its consecutive failures before that attempt.
        """
        state = grant.state
        if state.failures > failures:
            _LOG.warning(
                "event=runner_shunned runner=%s request=%s end=%s failures=%d "
                "pause_ms=%d",
                grant.runner.id,
                self._request,
                ended.end.value,
                state.failures,
                (state.avoid_until - self._loop.time()) * 1000,
            )
        elif state.failures < failures:
            _LOG.info(
                "event=runner_trusted runner=%s request=%s failures=%d",
                grant.runner.id,
                self._request,
                failures,
            )

    def log_answer(
        self,
        runner: ids.EndpointId | None,
        status: int,
        served: counters.AnswerLatency,
        history: retries.AttemptHistory,
        ended: attempt.AttemptResult,
    ) -> None:
        """Logs that a runner's answer was delivered to the caller.

        Args:
            runner: The runner.
            status: The answer's status.
            served: The answer's latencies.
            history: The request's attempts.
            ended: The result of the last one.
        """
        route = self._admitted.route
        self._counters.record_served(route, served)
        _LOG.info(
            "event=answered request=%s route=%s runner=%s status=%d "
            "took_ms=%d first_ms=%d target_ms=%d gap_ms=%d gap_target_ms=%d "
            "sent=%d run=%s proof=%s",
            self._request,
            route.name,
            runner,
            status,
            served.whole_s * 1000,
            served.first_s * 1000,
            route.target_s * 1000,
            served.gap_s * 1000,
            route.gap_s * 1000,
            history.sent,
            ended.run or "-",
            ended.proof.value,
            extra=logs.ORDINARY if served.meets(route) else None,
        )

    def log_preemption(
        self, runner: ids.EndpointId, gap_s: float, held: int
    ) -> None:
        """Logs a pause that suggests that a runner preempted the request.

        Args:
            runner: The runner.
            gap_s: The pause in seconds.
            held: KV cache tokens that requests of all instances hold there.
        """
        self._counters.record_preemption()
        _LOG.info(
            "event=preemption_suspected request=%s route=%s runner=%s "
            "gap_ms=%d held=%d capacity=%d",
            self._request,
            self._admitted.route.name,
            runner,
            gap_s * 1000,
            held,
            self._admitted.demand.cache_tokens,
        )

    def log_refusal(
        self,
        reason: replies.Reason,
        may_have_run: bool,
        history: retries.AttemptHistory,
        begun: bool,
    ) -> None:
        """Logs the gateway's own final response, or the end of a stream.

        Args:
            reason: Why the request isn't served.
            may_have_run: Whether a runner may have run it.
            history: The request's attempts.
            begun: Whether its stream had begun, which is cut off now.
        """
        self._counters.record_refused(reason, self._admitted.tier)
        if begun:
            self._counters.record_cut(reason)
        _LOG.warning(
            "event=given_up request=%s digest=%016x route=%s reason=%s "
            "may_have_run=%s sent=%d configuration=%d took_ms=%d left_ms=%d "
            "begun=%s",
            self._request,
            self._admitted.digest,
            self._admitted.route.name,
            reason.value,
            may_have_run,
            history.sent,
            self._admitted.version,
            self.took_s * 1000,
            self._left_s * 1000,
            begun,
        )

    def log_shed(
        self,
        found: outcomes.Overloaded | outcomes.Closed,
        pressed: Mapping[ids.Tier, float],
    ) -> None:
        """Logs which limit refused the request, and the other tiers' state.

        Args:
            found: Why no runner was chosen.
            pressed: The pressed tiers of its service, and for how long.
        """
        admitted = self._admitted
        overloaded = found if isinstance(found, outcomes.Overloaded) else None
        _LOG.info(
            "event=shed request=%s service=%s tier=%d limit=%s limit_ms=%s "
            "wait_ms=%d least_wait_ms=%s least_backlog_ms=%s backlog_ms=%s "
            "runner=%s own=%d tier_limits_ms=%s pressed_ms=%s",
            self._request,
            admitted.demand.service,
            admitted.tier,
            "prefill" if overloaded else "tier",
            _format_ms(admitted.prefill_limit_s),
            found.wait_s * 1000,
            _format_ms(overloaded.least_wait_s if overloaded else None),
            _format_ms(overloaded.least_backlog_s if overloaded else None),
            _format_ms(overloaded.mean_backlog_s if overloaded else None),
            (overloaded and overloaded.runner) or "-",
            admitted.demand.unshared_tokens,
            shedding_limits.format_limits(admitted.tier_targets),
            ",".join(
                f"{tier}:{seconds * 1000:.0f}"
                for tier, seconds in sorted(pressed.items())
            )
            or "-",
            extra=logs.ORDINARY,
        )

    def log_caller_gone(
        self,
        runner: ids.EndpointId | None,
        begun: bool,
        history: retries.AttemptHistory,
    ) -> None:
        """Logs that the caller disconnected, which cancelled its request."""
        self._counters.record_disconnect()
        _LOG.info(
            "event=caller_gone request=%s route=%s runner=%s sent=%d begun=%s "
            "took_ms=%d left_ms=%d",
            self._request,
            self._admitted.route.name,
            runner or "-",
            history.sent,
            begun,
            self.took_s * 1000,
            self._left_s * 1000,
        )

    def log_internal_error(self) -> None:
        """Logs an internal error with its traceback."""
        _LOG.exception("event=request_failed request=%s", self._request)

    def _format_parts(self) -> str:
        """Returns the names of the prompt's shared parts."""
        names = [each.name for each in self._admitted.head.parts[:-1]]
        joined = b",".join(names[:_MAX_LOGGED_PARTS]).decode("latin-1")
        return logs.quote_value(joined or "-")

    @property
    def _left_s(self) -> float:
        return self._admitted.deadline - self._loop.time()


def _format_position(position: int | None) -> str:
    return "-" if position is None else str(position)


def _format_ms(seconds: float | None) -> str:
    return "-" if seconds is None else str(int(seconds * 1000))
