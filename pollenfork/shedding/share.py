"""The share of a service that is kept for tiers that are otherwise refused."""

import random

from pollenfork import ids

# The part of the work that a service's runners can do that its refused tiers
# keep, over all instances.
LEAST_SHARE = 0.05


class LeastShare:
    """This instance's part of the share, by service.

    Each admitted request is charged with its size and the next one is admitted
    once that has been earned again, so that large requests get the same chance
    as small ones.
    """

    def __init__(self, rng: random.Random) -> None:
        """Creates an instance that has earned nothing.

        Args:
            rng: Spreads the first admissions of many instances over time.
        """
        self._rng = rng
        self._instances = 1
        # The tokens charged that haven't been earned, and when that was.
        self._debts: dict[ids.ServiceName, tuple[float, float]] = {}

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the runners."""
        self._instances = max(1, count)

    def try_take(
        self, service: ids.ServiceName, tokens: int, rate: float, now: float
    ) -> bool:
        """Returns whether a refused tier's request may begin nevertheless.

        Args:
            service: The service.
            tokens: The request's size in tokens.
            rate: Tokens per second that the service's runners process.
            now: Monotonic seconds.
        """
        known = self._debts.get(service)
        if known is None:
            self._debts[service] = self._rng.random() * tokens, now
            return False
        owed, charged_at = known
        earned = rate * LEAST_SHARE / self._instances * (now - charged_at)
        owed = max(0.0, owed - earned)
        if owed > 0.0:
            self._debts[service] = owed, now
            return False
        self._debts[service] = float(tokens), now
        return True
