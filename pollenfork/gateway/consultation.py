"""Decides when an instance that was away may rely on the store's word.

It reads the store before it hears what its peers have in force, which may be
newer than what a restored store shows.
"""


class Consultation:
    """Holds proof of the store back until peers have been heard.

    An instance whose peers stay silent relies on the store alone.
    """

    # Relays that run answer one that starts within a few ticks.
    RELAY_START_LIMIT_S = 0.3
    # Instances that were lost greet each other every 0.5 s, and send what they
    # have in force 0.3 s later at most. One that reports to a relay hears of it
    # last.
    LIMIT_S = 1.0

    def __init__(self, now: float) -> None:
        """Begins as the instance starts.

        Args:
            now: Monotonic seconds.
        """
        self._is_open = True
        self._starts = True
        self._since: float | None = now
        self._moment: float | None = None

    @property
    def holds_proof(self) -> bool:
        """Whether there is proof to be released."""
        return self._moment is not None

    def begin(self) -> None:
        """Holds proof back from now on, as the store didn't answer."""
        self._is_open = True
        self._starts = False
        self._since = None
        self._moment = None

    def offer(self, moment: float, now: float) -> None:
        """Adds proof.

        Args:
            moment: The time up to which it holds, in monotonic seconds.
            now: Monotonic seconds.
        """
        if self._since is None:
            self._since = now
        self._moment = max(moment, self._moment or moment)

    def release(
        self, now: float, in_touch: bool, expects_relays: bool
    ) -> float | None:
        """Returns the time up to which proof counts; None: not yet.

        Args:
            now: Monotonic seconds.
            in_touch: Whether peers have been heard.
            expects_relays: Whether other relays that run answer this instance
                at once.
        """
        if self._moment is None or self._since is None:
            return None
        brief = self._starts and expects_relays
        limit_s = self.RELAY_START_LIMIT_S if brief else self.LIMIT_S
        if self._is_open and not in_touch and now - self._since < limit_s:
            return None
        self._is_open = False
        moment, self._moment = self._moment, None
        return moment
