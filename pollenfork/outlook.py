"""What a request may expect: its wait, whether it is hopeless, a return."""

import random

from pollenfork.admission import core as admission_core
from pollenfork.admission import forecast
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import core as dispatch_core

_Reason = admission_messages.RefusalReason

_TYPICAL = 0.5
_NO_ENDPOINT_RETRY_S = 2.0
_LEAST_RETRY_S = 0.5
_JITTER = 0.5


class Outlook:
    """Joins what admission and dispatch know into predictions."""

    def __init__(
        self,
        admission: admission_core.Admission,
        dispatch: dispatch_core.Dispatch,
        learned: forecast.Forecast,
        rng: random.Random,
    ) -> None:
        self._admission = admission
        self._dispatch = dispatch
        self._forecast = learned
        self._rng = rng

    def predict_wait(
        self, ask: admission_messages.Ask, now: float
    ) -> forecast.Wait:
        """Returns the wait that a request has before it now."""
        pool = admission_messages.pool_key(ask)
        claims = self._dispatch.get_slot_usage(pool)
        if claims is None:
            return forecast.Wait(0.0, 1.0)
        in_flight = [
            own + peers
            for own, peers in zip(
                claims.own_in_flight, claims.peer_in_flight, strict=True
            )
        ]
        supply = forecast.PoolLoad(
            self._dispatch.count_free(pool, ask.tier),
            in_flight,
            claims.own_waiting,
            claims.peer_waiting,
            claims.instances,
        )
        ahead = self._admission.estimate_ahead(ask)
        return self._forecast.predict_wait(ask, ahead, supply, now)

    def is_hopeless(
        self, ask: admission_messages.Ask, wait: forecast.Wait, now: float
    ) -> bool:
        """Returns whether a target can't be met any more."""
        first = self._forecast.predict_first_token(ask, _TYPICAL)
        if wait.is_longer_than(ask.first_token_due - now - first):
            return True
        if ask.answer_due is None:
            return False
        answer = self._forecast.predict_answer(ask, _TYPICAL)
        return wait.is_longer_than(ask.answer_due - now - answer)

    def find_expiry(self, ask: admission_messages.Ask) -> float:
        """Returns when a waiting request is given up (monotonic seconds)."""
        if not ask.late_refused:
            return ask.give_up_at
        first = self._forecast.predict_first_token(ask, _TYPICAL)
        return min(ask.give_up_at, ask.first_token_due - first)

    def predict_return(
        self, ask: admission_messages.Ask, reason: _Reason, now: float
    ) -> float:
        """Returns the seconds after which to ask again.

        By then a new request is likely to meet its target. The value is
        spread, so that those refused together don't return together.
        """
        wait = self._predict_relief(ask, reason, now)
        spread = 1.0 + _JITTER * self._rng.random()
        return max(wait, _LEAST_RETRY_S) * spread

    def _predict_relief(
        self, ask: admission_messages.Ask, reason: _Reason, now: float
    ) -> float:
        if reason is _Reason.NO_ENDPOINT:
            return _NO_ENDPOINT_RETRY_S
        if reason in (_Reason.ACCOUNT_LIMIT, _Reason.TEAM_LIMIT):
            pool = admission_messages.pool_key(ask)
            key = admission_messages.class_key(ask)
            hold = self._forecast.predict_hold(key, pool, ask.tier)
            return hold / ask.account_limit
        target = ask.first_token_due - ask.arrived
        return self.predict_wait(ask, now).seconds - target
