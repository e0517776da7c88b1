"""Chooses which of an instance's samples are sent to other instances."""

from collections.abc import Callable

from pollenfork.loads import messages
from pollenfork.loads import updates

# Samples that all instances together send in a second, at most. 600 runners
# then get one sample each in 3 s.
_TOTAL_PER_S = 200.0
# What an instance may send in any case, also in very large deployments.
_LEAST_PER_S = 0.5
# Unused allowance is kept for this long, in seconds, but at least one sample.
_BURST_S = 0.5
# A sample that has waited longer is dropped, in seconds: receivers take the
# time of arrival for the time of the answer.
_MAX_WAIT_S = 2.0


class Outbox:
    """The latest unsent sample of each runner, sent at a limited rate.

    While there are more samples than may be sent, those of the runners with
    the fewest known samples are sent first.
    """

    def __init__(self, count_samples: Callable[[int], int]) -> None:
        """Starts with the least rate, until the number of instances is known.

        Args:
            count_samples: Returns how many recent samples of a runner are
                known here.
        """
        self._count_samples = count_samples
        self._waiting: dict[int, tuple[float, messages.PaceSample]] = {}
        self._rate = _LEAST_PER_S
        self._allowance = 1.0
        self._updated_at: float | None = None

    def set_instances(self, count: int) -> None:
        """Sets among how many instances the total is divided."""
        self._rate = max(_LEAST_PER_S, _TOTAL_PER_S / max(1, count))

    def add(self, sample: messages.PaceSample, now: float) -> None:
        """Replaces the runner's waiting sample."""
        self._waiting[sample.runner] = now, updates.shorten(sample)

    def take(self, now: float) -> tuple[messages.PaceSample, ...]:
        """Returns the samples to send now."""
        self._refill(now)
        for runner, (added_at, _) in list(self._waiting.items()):
            if now - added_at > _MAX_WAIT_S:
                del self._waiting[runner]
        count = min(int(self._allowance), len(self._waiting))
        if not count:
            return ()
        self._allowance -= count
        chosen = sorted(self._waiting, key=self._count_samples)[:count]
        return tuple(self._waiting.pop(runner)[1] for runner in chosen)

    def retain(self, runners: set[int]) -> None:
        """Drops the samples of all other runners."""
        for runner in self._waiting.keys() - runners:
            del self._waiting[runner]

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            self._allowance += self._rate * (now - self._updated_at)
            most = max(1.0, self._rate * _BURST_S)
            self._allowance = min(self._allowance, most)
        self._updated_at = now
