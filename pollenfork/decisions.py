"""Admission and dispatch composed into one core without I/O.

Events and the time go in, grants and refusals come out. The scheduler's
actor drives it in the program; tests and benchmarks drive it directly.
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

_HEDGE_PART = 0.95


class Decisions:
    """Who is served where and when, and who is refused, at one instance."""

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
        self._outlook = outlook.Outlook(
            self._admission, self._dispatch, self._forecast, rng
        )
        self._shares = shares.MinimumShares()
        self._accrual = accrual.Accrual(
            self._admission, self._dispatch, self._forecast, self._shares
        )
        self._budgets = budget.RetryBudgets()
        self._verdicts = verdicts.Verdicts(self.counters)
        self._is_draining = False

    def submit(self, ask: admission_messages.Ask, now: float) -> list[Decision]:
        """Takes a request; its decision may come with a later event."""
        self._give_up_expired(now)
        reason = self._find_refusal(ask)
        if reason is not None:
            self._refuse(ask, reason, now)
        elif not self._serve_at_once(ask, now):
            self._queue(ask, now)
        return self._verdicts.take()

    def ask_again(self, again: messages.AskAgain, now: float) -> list[Decision]:
        """Takes an admitted request's wish for a further attempt."""
        ask = self._admission.find_ask(again.request)
        if ask is None or self._admission.is_waiting(again.request):
            refused = admission_messages.Refused(
                request=again.request, reason=_Reason.CALLER_GONE
            )
            self._verdicts.add_refused(refused)
            return self._verdicts.take()
        if again.reason is _Retry.HEDGE:
            self._hedge(ask, again, now)
        else:
            self._retry(ask, again, now)
        return self._decide(now)

    def report(self, event: Any, now: float) -> list[Decision]:
        """Takes any other event."""
        match event:
            case messages.FirstToken():
                self._note_first(event)
                return []
            case messages.Progress():
                self._dispatch.record_progress(event, now)
                return []
            case messages.AttemptEnded():
                self._end(event, now)
            case messages.RequestClosed() | admission_messages.Withdrawn():
                if not self._leave(event, now):
                    return self._verdicts.take()
            case _:
                self._take_news(event, now)
        return self._decide(now)

    def _take_news(self, event: Any, now: float) -> None:
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
        """Lets time pass; call it about every 50 ms."""
        self._dispatch.tick(now)
        self._accrual.accrue(now)
        self.counters.ejections = self._dispatch.ejections
        return self._decide(now)

    def drain(self) -> None:
        """Refuses new requests from now on; what is here goes on."""
        self._is_draining = True

    def refuse_all(self) -> list[Decision]:
        """Refuses all that waits: the instance stops."""
        self._is_draining = True
        for waiting in self._admission.pop_all():
            self._verdicts.refuse(waiting.ask, _Reason.STOPPING)
        return self._verdicts.take()

    def abandon(self, request: ids.RequestId) -> list[Decision]:
        """Refuses a request on which deciding failed."""
        self._admission.withdraw(request)
        refused = admission_messages.Refused(
            request=request, reason=_Reason.INSTANCE_FULL
        )
        self._verdicts.add_refused(refused)
        return self._verdicts.take()

    def read_pressure(self, now: float) -> messages.Pressure:
        """Returns what peers should know of this instance."""
        return self._dispatch.make_pressure(self._admission.list_waits(now))

    def count_in_flight(self) -> int:
        """Returns the attempts that hold a slot."""
        return self._dispatch.count_in_flight()

    def count_open(self) -> int:
        """Returns the requests that count against their account."""
        return self._admission.count_open()

    def count_waiting(self) -> int:
        """Returns the requests that wait."""
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
        wait = self._outlook.predict_wait(ask, now)
        if ask.late_refused and self._outlook.is_hopeless(ask, wait, now):
            self._refuse(ask, _Reason.TARGET_UNREACHABLE, now)
            return
        waiting = self._admission.add(ask, self._outlook.find_expiry(ask))
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
            self._verdicts.refuse(ask, reason)
            return
        self._verdicts.count_retry(again.reason)
        if again.reason is _Retry.CONTINUE_ELSEWHERE:
            ask = budget.renew_deadlines(ask, now)
        expires_at = self._outlook.find_expiry(ask)
        self._admission.add_again(ask, again.avoid, expires_at)

    def _hedge(
        self,
        ask: admission_messages.Ask,
        again: messages.AskAgain,
        now: float,
    ) -> None:
        reason = self._budgets.find_hedge_refusal(ask)
        if reason is not None:
            self._verdicts.refuse(ask, reason)
            return
        rule = dispatch_core.Rule.IDLE
        grant = self._dispatch.place(ask, now, rule, again.avoid)
        if grant is None:
            self._verdicts.refuse(ask, _Reason.HEDGE_UNWANTED)
            return
        self._budgets.spend(ask)
        self._verdicts.count_retry(again.reason)
        self._verdicts.add_grant(grant)

    # The course of attempts.

    def _note_first(self, first: messages.FirstToken) -> None:
        attempt = self._dispatch.record_first_token(first)
        if attempt is not None:
            took = first.at - attempt.granted_at
            self._forecast.record_first_token(attempt.ask, took)

    def _end(self, ended: messages.AttemptEnded, now: float) -> None:
        attempt = self._dispatch.end(ended, now)
        if attempt is None or ended.how is not messages.AttemptEnd.FINISHED:
            return
        hold = ended.at - attempt.granted_at
        answering = ended.at - (attempt.first_at or ended.at)
        self._forecast.record_end(attempt.ask, hold, ended.tokens, answering)

    def _leave(
        self,
        event: messages.RequestClosed | admission_messages.Withdrawn,
        now: float,
    ) -> bool:
        """Forgets the request; returns whether that freed a slot."""
        waiting = self._admission.withdraw(event.request)
        if waiting is not None:
            self._refuse(waiting.ask, _Reason.CALLER_GONE, now)
        if not isinstance(event, messages.RequestClosed):
            return False
        self._admission.close(event.request)
        return self._dispatch.close(event.request, now)

    # Decisions.

    def _decide(self, now: float) -> list[Decision]:
        self._give_up_expired(now)
        if self._admission.size:
            self._serve_shares(now)
            self._serve_tiers(now)
        return self._verdicts.take()

    def _give_up_expired(self, now: float) -> None:
        for waiting, reason in self._admission.pop_expired(now):
            self._refuse(waiting.ask, reason, now)

    def _serve_at_once(self, ask: admission_messages.Ask, now: float) -> bool:
        """Serves a request that nothing waits before, if a slot is free."""
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
        self._note_first_attempt(ask, now)
        self._verdicts.add_grant(grant)
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
        self._verdicts.add_grant(grant)
        key = admission_messages.class_key(ask)
        pool = admission_messages.pool_key(ask)
        self._shares.charge(shares.WaitingClass(pool, key, ask.tier))
        if not waiting.again:
            self._note_first_attempt(ask, now)
            waited = now - ask.arrived
            self._forecast.record_wait(waiting, waited)
            self._verdicts.count_prediction(waiting.predicted_s, waited)
        return True

    def _find_hedge_delay(self, ask: admission_messages.Ask) -> float | None:
        if ask.hedge and ask.idempotent:
            return self._forecast.predict_first_token(ask, _HEDGE_PART)
        return None

    def _note_first_attempt(
        self, ask: admission_messages.Ask, now: float
    ) -> None:
        self._forecast.record_grant(ask, now)
        self._budgets.earn(ask)
        self.counters.first_attempts += 1

    def _refuse(
        self, ask: admission_messages.Ask, reason: _Reason, now: float
    ) -> None:
        retry_after_s = self._outlook.predict_return(ask, reason, now)
        self._verdicts.refuse(ask, reason, retry_after_s)
