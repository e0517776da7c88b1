"""Combines admission and dispatch into one core without I/O.

The input is events and the current time, the output grants and refusals. The
scheduler's actor drives the core in production; tests and benchmarks drive it
directly.
"""

import random
from typing import Any

from pollenfork import accrual
from pollenfork import ids
from pollenfork import outlook
from pollenfork import verdicts
from pollenfork.admission import core as admission_core
from pollenfork.admission import forecast
from pollenfork.admission import messages as admission_messages
from pollenfork.admission import queues
from pollenfork.admission import shares
from pollenfork.dispatch import budget
from pollenfork.dispatch import core as dispatch_core
from pollenfork.dispatch import messages
from pollenfork.dispatch import sharing
from pollenfork.settings import messages as settings_messages

Decision = verdicts.Decision

_Reason = admission_messages.RefusalReason
_Retry = messages.RetryReason

_HEDGE_QUANTILE = 0.95


class DecisionCore:
    """Decides which requests one instance serves, where, and when."""

    def __init__(
        self,
        instance: ids.InstanceId,
        rng: random.Random,
        waiting_limit: int,
        split: sharing.SlotSharing | None = None,
    ) -> None:
        self.counters = budget.Counters()
        self._admission = admission_core.Admission(waiting_limit)
        self._dispatch = dispatch_core.Dispatch(
            instance,
            rng,
            self._admission.depths,
            split or sharing.DemandSplit(),
        )
        self._forecast = forecast.Forecast()
        self._predictor = outlook.RequestPredictor(
            self._admission, self._dispatch, self._forecast, rng
        )
        self._shares = shares.MinimumShares()
        self._accrual = accrual.ShareAccrual(
            self._admission, self._dispatch, self._forecast, self._shares
        )
        self._budgets = budget.RetryBudgets()
        self._decisions = verdicts.DecisionBuffer(self.counters)
        self._is_draining = False

    def submit(self, ask: admission_messages.Ask, now: float) -> list[Decision]:
        """Submits a request; a later event may bring its decision."""
        self._refuse_expired(now)
        reason = self._find_refusal(ask)
        if reason is not None:
            self._refuse(ask, reason, now)
        elif not self._serve_immediately(ask, now):
            self._queue(ask, now)
        return self._decisions.take()

    def ask_again(self, again: messages.AskAgain, now: float) -> list[Decision]:
        """Requests a further attempt for an admitted request."""
        ask = self._admission.find_ask(again.request)
        if ask is None or self._admission.is_waiting(again.request):
            refused = admission_messages.Refused(
                request=again.request, reason=_Reason.CALLER_GONE
            )
            self._decisions.add_refused(refused)
            return self._decisions.take()
        if again.reason is _Retry.HEDGE:
            self._hedge(ask, again, now)
        else:
            self._retry(ask, again, now)
        return self._decide(now)

    def report(self, event: Any, now: float) -> list[Decision]:
        """Handles any other event."""
        match event:
            case messages.FirstToken():
                self._record_first_token(event)
                return []
            case messages.Progress():
                self._dispatch.record_progress(event, now)
                return []
            case messages.AttemptEnded():
                self._end_attempt(event, now)
            case messages.RequestClosed() | admission_messages.Withdrawn():
                if not self._remove_request(event, now):
                    return self._decisions.take()
            case _:
                self._apply_update(event, now)
        return self._decide(now)

    def _apply_update(self, event: Any, now: float) -> None:
        match event:
            case messages.EndpointReport():
                self._dispatch.record_report(event, now)
            case messages.EndpointNotice():
                self._dispatch.record_state(event, now)
            case messages.Pressure():
                self._dispatch.record_pressure(event, now)
            case messages.PeerLost():
                self._dispatch.record_lost(event.instance, now)
            case settings_messages.TreeInForce():
                self._dispatch.apply_tree(event.tree, now)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")

    def tick(self, now: float) -> list[Decision]:
        """Handles the passage of time; call this about every 50 ms."""
        self._dispatch.tick(now)
        self._accrual.accrue(now)
        self.counters.ejections = self._dispatch.ejections
        return self._decide(now)

    def drain(self) -> None:
        """Refuses new requests; waiting and running ones continue."""
        self._is_draining = True

    def refuse_all(self) -> list[Decision]:
        """Refuses all waiting requests because the instance is stopping."""
        self._is_draining = True
        for waiting in self._admission.pop_all():
            self._decisions.refuse(waiting.ask, _Reason.STOPPING)
        return self._decisions.take()

    def abandon(self, request: ids.RequestId) -> list[Decision]:
        """Refuses a request for which `submit` or `ask_again` raised."""
        self._admission.withdraw(request)
        refused = admission_messages.Refused(
            request=request, reason=_Reason.INSTANCE_FULL
        )
        self._decisions.add_refused(refused)
        return self._decisions.take()

    def read_pressure(self, now: float) -> messages.Pressure:
        """Returns the load of this instance, to send to its peers."""
        return self._dispatch.make_pressure(self._admission.list_waits(now))

    def count_in_flight(self) -> int:
        """Returns the number of attempts that hold a slot."""
        return self._dispatch.count_in_flight()

    def count_open(self) -> int:
        """Returns the number of requests that count against accounts."""
        return self._admission.count_open()

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return self._admission.size

    # Arrivals.

    def _find_refusal(self, ask: admission_messages.Ask) -> _Reason | None:
        if self._is_draining:
            return _Reason.STOPPING
        pool = admission_messages.pool_key(ask)
        if not self._dispatch.is_known(pool):
            return _Reason.NO_ENDPOINT
        if ask.late_refused and not self._dispatch.is_served(pool):
            return _Reason.NO_ENDPOINT
        return self._admission.find_refusal(ask)

    def _queue(self, ask: admission_messages.Ask, now: float) -> None:
        wait = self._predictor.predict_wait(ask, now)
        if ask.late_refused and self._predictor.misses_target(ask, wait, now):
            self._refuse(ask, _Reason.TARGET_UNREACHABLE, now)
            return
        waiting = self._admission.add(ask, self._predictor.compute_expiry(ask))
        waiting.predicted_s = wait.seconds
        for victim, reason in self._admission.pop_victims(ask.tier):
            self._refuse(victim.ask, reason, now)
        self._serve_next(admission_messages.pool_key(ask), ask.tier, now)

    # Further attempts.

    def _retry(
        self,
        ask: admission_messages.Ask,
        again: messages.AskAgain,
        now: float,
    ) -> None:
        sent = self._dispatch.count_attempts(ask.request)
        reason = self._budgets.charge(ask, again.reason, sent, now)
        if reason is not None:
            self._decisions.refuse(ask, reason)
            return
        self._decisions.count_retry(again.reason)
        if again.reason is _Retry.CONTINUE_ELSEWHERE:
            ask = budget.renew_deadlines(ask, now)
        expires_at = self._predictor.compute_expiry(ask)
        self._admission.add_again(ask, again.avoid, expires_at)

    def _hedge(
        self,
        ask: admission_messages.Ask,
        again: messages.AskAgain,
        now: float,
    ) -> None:
        reason = self._budgets.find_hedge_refusal(ask)
        if reason is not None:
            self._decisions.refuse(ask, reason)
            return
        rule = dispatch_core.Rule.IDLE
        grant = self._dispatch.place(ask, now, rule, again.avoid)
        if grant is None:
            self._decisions.refuse(ask, _Reason.HEDGE_UNWANTED)
            return
        self._budgets.spend(ask)
        self._decisions.count_retry(again.reason)
        self._decisions.add_grant(grant)

    # Attempt events.

    def _record_first_token(self, first: messages.FirstToken) -> None:
        attempt = self._dispatch.record_first_token(first)
        if attempt is not None:
            took = first.at - attempt.granted_at
            self._forecast.record_first_token(attempt.ask, took)

    def _end_attempt(self, ended: messages.AttemptEnded, now: float) -> None:
        attempt = self._dispatch.end(ended, now)
        if attempt is None or ended.how is not messages.AttemptEnd.FINISHED:
            return
        hold = ended.at - attempt.granted_at
        answering = ended.at - (attempt.first_at or ended.at)
        self._forecast.record_end(attempt.ask, hold, ended.tokens, answering)

    def _remove_request(
        self,
        event: messages.RequestClosed | admission_messages.Withdrawn,
        now: float,
    ) -> bool:
        """Removes the request; returns whether that freed a slot."""
        waiting = self._admission.withdraw(event.request)
        if waiting is not None:
            self._refuse(waiting.ask, _Reason.CALLER_GONE, now)
        if not isinstance(event, messages.RequestClosed):
            return False
        self._admission.close(event.request)
        return self._dispatch.close(event.request, now)

    # Decisions.

    def _decide(self, now: float) -> list[Decision]:
        self._refuse_expired(now)
        if self._admission.size:
            self._serve_shares(now)
            self._serve_tiers(now)
        return self._decisions.take()

    def _refuse_expired(self, now: float) -> None:
        for waiting, reason in self._admission.pop_expired(now):
            self._refuse(waiting.ask, reason, now)

    def _serve_immediately(
        self, ask: admission_messages.Ask, now: float
    ) -> bool:
        """Serves a request if a slot is free and none waits ahead of it."""
        pool = admission_messages.pool_key(ask)
        if self._admission.has_waiting(pool, ask.tier):
            return False
        if self._shares.list_due():
            return False
        rule = dispatch_core.Rule.AT_ONCE
        hedge = self._find_hedge_delay(ask)
        grant = self._dispatch.place(ask, now, rule, (), hedge)
        if grant is None:
            return False
        self._admission.open(ask)
        self._record_first_attempt(ask, now)
        self._decisions.add_grant(grant)
        return True

    def _serve_tiers(self, now: float) -> None:
        for pool, tier in self._admission.list_queues():
            while self._serve_next(pool, tier, now):
                pass

    def _serve_next(
        self, pool: admission_messages.PoolKey, tier: ids.Tier, now: float
    ) -> bool:
        if not self._dispatch.has_room(pool):
            return False
        waiting = self._admission.peek(pool, tier, now)
        if waiting is None:
            return False
        return self._serve(waiting, dispatch_core.Rule.SPLIT, now)

    def _serve_shares(self, now: float) -> None:
        for pool, key, tier in self._shares.list_due():
            waiting = self._admission.peek(pool, tier, now, key)
            if waiting is not None:
                self._serve(waiting, dispatch_core.Rule.SHARE, now)

    def _serve(
        self,
        waiting: queues.QueuedRequest,
        rule: dispatch_core.Rule,
        now: float,
    ) -> bool:
        ask = waiting.ask
        hedge = None if waiting.again else self._find_hedge_delay(ask)
        grant = self._dispatch.place(ask, now, rule, waiting.avoid, hedge)
        if grant is None:
            return False
        self._admission.dequeue(waiting)
        self._decisions.add_grant(grant)
        key = admission_messages.class_key(ask)
        pool = admission_messages.pool_key(ask)
        self._shares.charge(shares.WaitingClass(pool, key, ask.tier))
        if not waiting.again:
            self._record_first_attempt(ask, now)
            waited = now - ask.arrived
            self._forecast.record_wait(waiting, waited)
            self._decisions.count_prediction(waiting.predicted_s, waited)
        return True

    def _find_hedge_delay(self, ask: admission_messages.Ask) -> float | None:
        if ask.hedge and ask.idempotent:
            return self._forecast.predict_first_token(ask, _HEDGE_QUANTILE)
        return None

    def _record_first_attempt(
        self, ask: admission_messages.Ask, now: float
    ) -> None:
        self._forecast.record_grant(ask, now)
        self._budgets.earn(ask)
        self.counters.first_attempts += 1

    def _refuse(
        self, ask: admission_messages.Ask, reason: _Reason, now: float
    ) -> None:
        retry_after_s = self._predictor.estimate_retry_after(ask, reason, now)
        self._decisions.refuse(ask, reason, retry_after_s)
