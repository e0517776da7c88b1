"""What is known of each runner's rate limit, from answers and from others."""

import math

import msgspec

from pollenfork.loads import limit_messages

# A limit of a runner that isn't known here, or one that has ended, is kept for
# this long, in seconds: an older word of it may still be under way.
_KEPT_S = 60.0


class Limit(msgspec.Struct, frozen=True):
    """What one answer said, and the time in which it can have been said.

    Attributes:
        rate: Requests a second from all instances together; None: no limit.
        asked_at: Monotonic seconds at which the request was sent.
        heard_at: The same of the answer's arrival.
    """

    rate: float | None
    asked_at: float
    heard_at: float

    @property
    def strictness(self) -> float:
        """Orders limits; the larger one allows less."""
        return -math.inf if self.rate is None else -self.rate


class Table:
    """Limits by a hash of the runner's start.

    Two answers whose times overlap may have been written in either order, so
    the stricter one of them stays until an answer to a later request decides.
    """

    def __init__(self) -> None:
        self._limits: dict[int, Limit] = {}

    def find(self, runner: int) -> float | None:
        """Returns the rate in force; None where there is no limit."""
        known = self._limits.get(runner)
        return None if known is None else known.rate

    def take(self, runner: int, said: Limit) -> bool:
        """Takes what an answer said; returns whether the rate has changed."""
        known = self._limits.get(runner)
        if known is None:
            if said.rate is None:
                return False
            self._limits[runner] = said
            return True
        if said.heard_at < known.asked_at:
            return False
        if said.rate == known.rate:
            self._limits[runner] = Limit(
                known.rate,
                max(known.asked_at, said.asked_at),
                max(known.heard_at, said.heard_at),
            )
            return False
        newer = said.asked_at > known.heard_at
        if not newer and said.strictness < known.strictness:
            return False
        self._limits[runner] = said
        return True

    def write(self, runner: int, now: float) -> limit_messages.RateLimit | None:
        """Returns what is known of a runner as other instances are told."""
        known = self._limits.get(runner)
        if known is None:
            return None
        return limit_messages.RateLimit(
            runner,
            known.rate,
            _to_ms(now - known.asked_at),
            _to_ms(now - known.heard_at),
        )

    def list_runners(self) -> list[int]:
        """Returns all runners of which something is known."""
        return list(self._limits)

    def retain(self, runners: set[int], now: float) -> None:
        """Forgets ended limits, and those of runners unknown for long."""
        for runner, known in list(self._limits.items()):
            idle = now - known.heard_at > _KEPT_S
            if idle and (known.rate is None or runner not in runners):
                del self._limits[runner]


def read(told: limit_messages.RateLimit, now: float) -> Limit:
    """Returns what another instance has told; its ages count from now on."""
    return Limit(
        told.rate,
        now - told.request_age_ms / 1000.0,
        now - told.answer_age_ms / 1000.0,
    )


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
