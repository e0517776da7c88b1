"""The share of a service that is kept for requests that would be refused.

The least urgent tier has a share of its own; the others have another one
together.
"""

import random

from pollenfork import ids

# The part of the work that a service's runners can do that each share takes,
# over all instances.
LEAST_SHARE = 0.05

_Key = tuple[ids.ServiceName, bool]


class LeastShare:
    """This instance's part of the shares, by service.

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
        self._debts: dict[_Key, tuple[float, float]] = {}

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the runners."""
        self._instances = max(1, count)

    def try_take(
        self,
        service: ids.ServiceName,
        is_least_urgent: bool,
        tokens: int,
        rate: float,
        now: float,
    ) -> bool:
        """Returns whether a request may begin that would be refused.

        Args:
            service: The service.
            is_least_urgent: Whether it is of the service's least urgent tier.
            tokens: The request's size in tokens.
            rate: Tokens per second that the service's runners process.
            now: Monotonic seconds.
        """
        key = service, is_least_urgent
        known = self._debts.get(key)
        if known is None:
            self._debts[key] = self._rng.random() * tokens, now
            return False
        owed, charged_at = known
        earned = rate * LEAST_SHARE / self._instances * (now - charged_at)
        owed = max(0.0, owed - earned)
        if owed > 0.0:
            self._debts[key] = owed, now
            return False
        self._debts[key] = float(tokens), now
        return True
