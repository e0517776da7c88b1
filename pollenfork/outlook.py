"""Predicts the wait of a request and when a refused one may retry."""

import random

from pollenfork.admission import core as admission_core
from pollenfork.admission import forecast
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import core as dispatch_core

_Reason = admission_messages.RefusalReason

_MEDIAN = 0.5
_NO_ENDPOINT_RETRY_AFTER_S = 2.0
_MIN_RETRY_AFTER_S = 0.5
_JITTER = 0.5


class RequestPredictor:
    """Predicts from the state of both admission and dispatch."""

    def __init__(
        self,
        admission: admission_core.Admission,
        dispatch: dispatch_core.Dispatch,
        forecaster: forecast.Forecast,
        rng: random.Random,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._forecast = forecaster
        self._rng = rng

    def predict_wait(
        self, ask: admission_messages.Ask, now: float
    ) -> forecast.Wait:
        """Predicts how long a request arriving now waits for a slot."""
        pool = admission_messages.pool_key(ask)
        usage = self._dispatch.get_slot_usage(pool)
        if usage is None:
            return forecast.Wait(0.0, 1.0)
        in_flight = [
            own + peers
            for own, peers in zip(
                usage.own_in_flight, usage.peer_in_flight, strict=True
            )
        ]
        load = forecast.PoolLoad(
            self._dispatch.count_free(pool, ask.tier),
            in_flight,
            usage.own_waiting,
            usage.peer_waiting,
            usage.instances,
        )
        ahead = self._admission.estimate_ahead(ask)
        return self._forecast.predict_wait(ask, ahead, load, now)

    def misses_target(
        self, ask: admission_messages.Ask, wait: forecast.Wait, now: float
    ) -> bool:
        """Returns whether the request is predicted to miss a target."""
        first = self._forecast.predict_first_token(ask, _MEDIAN)
        if wait.is_longer_than(ask.first_token_due - now - first):
            return True
        if ask.answer_due is None:
            return False
        answer = self._forecast.predict_answer(ask, _MEDIAN)
        return wait.is_longer_than(ask.answer_due - now - answer)

    def compute_expiry(self, ask: admission_messages.Ask) -> float:
        """Returns when a waiting request expires, in monotonic seconds."""
        if not ask.late_refused:
            return ask.give_up_at
        first = self._forecast.predict_first_token(ask, _MEDIAN)
        return min(ask.give_up_at, ask.first_token_due - first)

    def estimate_retry_after(
        self, ask: admission_messages.Ask, reason: _Reason, now: float
    ) -> float:
        """Returns how many seconds a refused caller should wait to retry.

        A new request is then likely to meet its target. Random jitter keeps
        callers that were refused together from retrying together.
        """
        wait = self._estimate_delay(ask, reason, now)
        jitter = 1.0 + _JITTER * self._rng.random()
        return max(wait, _MIN_RETRY_AFTER_S) * jitter

    def _estimate_delay(
        self, ask: admission_messages.Ask, reason: _Reason, now: float
    ) -> float:
        if reason is _Reason.NO_ENDPOINT:
            return _NO_ENDPOINT_RETRY_AFTER_S
        if reason in (_Reason.ACCOUNT_LIMIT, _Reason.TEAM_LIMIT):
            pool = admission_messages.pool_key(ask)
            key = admission_messages.class_key(ask)
            hold = self._forecast.predict_hold(key, pool, ask.tier)
            return hold / ask.account_limit
        target = ask.first_token_due - ask.arrived
        return self.predict_wait(ask, now).seconds - target
