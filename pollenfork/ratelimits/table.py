"""The known rate limits, from runners' answers and from other instances."""

import math

import msgspec

from pollenfork.loads import limit_messages

# How long the limit of a runner that isn't known here, or an ended limit, is
# kept, in seconds: an older message about it may still be in transit.
_KEPT_S = 60.0


class Limit(msgspec.Struct, frozen=True):
    """A limit stated by one answer, and the time in which it was stated.

    Attributes:
        rate: Requests a second from all instances together; None: no limit.
        requested_at: Monotonic seconds at which the request was sent.
        answered_at: Monotonic seconds at which the answer arrived.
    """

    rate: float | None
    requested_at: float
    answered_at: float

    @property
    def strictness(self) -> float:
        """Orders limits; the larger one allows less."""
        return -math.inf if self.rate is None else -self.rate


class LimitTable:
    """Limits by a hash of the runner's incarnation.

    Two answers whose time spans overlap may have been written in either order,
    so the stricter limit applies until a later request is answered.
    """

    def __init__(self) -> None:
        self._limits: dict[int, Limit] = {}

    def find(self, runner: int) -> float | None:
        """Returns the rate in force; None where there is no limit."""
        known = self._limits.get(runner)
        return None if known is None else known.rate

    def update(self, runner: int, limit: Limit) -> bool:
        """Applies a stated limit; returns whether the rate has changed."""
        known = self._limits.get(runner)
        if known is None:
            if limit.rate is None:
                return False
            self._limits[runner] = limit
            return True
        if limit.answered_at < known.requested_at:
            return False
        if limit.rate == known.rate:
            self._limits[runner] = Limit(
                known.rate,
                max(known.requested_at, limit.requested_at),
                max(known.answered_at, limit.answered_at),
            )
            return False
        newer = limit.requested_at > known.answered_at
        if not newer and limit.strictness < known.strictness:
            return False
        self._limits[runner] = limit
        return True

    def export(
        self, runner: int, now: float
    ) -> limit_messages.RateLimit | None:
        """Returns a runner's limit in the form sent to other instances."""
        known = self._limits.get(runner)
        if known is None:
            return None
        return limit_messages.RateLimit(
            runner,
            known.rate,
            _to_ms(now - known.requested_at),
            _to_ms(now - known.answered_at),
        )

    def list_runners(self) -> list[int]:
        """Returns all runners with a known limit, ended ones included."""
        return list(self._limits)

    def retain(self, runners: set[int], now: float) -> None:
        """Drops old entries that have ended or whose runner isn't known."""
        for runner, known in list(self._limits.items()):
            idle = now - known.answered_at > _KEPT_S
            if idle and (known.rate is None or runner not in runners):
                del self._limits[runner]


def from_message(message: limit_messages.RateLimit, now: float) -> Limit:
    """Returns another instance's limit; its ages count from `now`."""
    return Limit(
        message.rate,
        now - message.request_age_ms / 1000.0,
        now - message.answer_age_ms / 1000.0,
    )


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
