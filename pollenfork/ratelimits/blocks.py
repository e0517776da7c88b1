"""Times until which a runner grants no permits to a tier."""

from pollenfork import ids


class Blocks:
    """Remembers until when it is no use to request permits.

    A refusal of one tier applies to all less urgent tiers too.
    """

    def __init__(self) -> None:
        self._until: dict[int, dict[ids.Tier, float]] = {}

    def block(self, runner: int, tier: ids.Tier, until: float) -> None:
        """Blocks a runner for a tier and all less urgent ones."""
        self._until.setdefault(runner, {})[tier] = until

    def find_until(self, runner: int, tier: ids.Tier, now: float) -> float:
        """Returns when to request a permit again; `now`: at once."""
        known = self._until.get(runner)
        if known is None:
            return now
        for blocked, until in list(known.items()):
            if until <= now:
                del known[blocked]
        if not known:
            del self._until[runner]
        found = [known[blocked] for blocked in known if blocked <= tier]
        return max(found, default=now)

    def forget(self, runner: int) -> None:
        """Removes the blocks of a runner whose limit has ended."""
        self._until.pop(runner, None)
