"""Decides when an instance that was away may rely on the store's word.

It reads the store before it hears what its peers have in force, which may be
newer than what a restored store shows.
"""


class Consultation:
    """Holds proof of the store back until peers have been heard.

    An instance whose peers stay silent relies on the store alone.
    """

    # Peers that were lost greet each other every 0.5 s, and send what they have
    # in force 0.3 s later at most.
    LIMIT_S = 1.0

    def __init__(self) -> None:
        self._is_open = True
        self._offered_at: float | None = None
        self._moment: float | None = None

    @property
    def holds_proof(self) -> bool:
        """Whether there is proof to be released."""
        return self._moment is not None

    def begin(self) -> None:
        """Holds proof back from now on, as the store didn't answer."""
        self._is_open = True
        self._offered_at = None
        self._moment = None

    def offer(self, moment: float, now: float) -> None:
        """Adds proof.

        Args:
            moment: The time up to which it holds, in monotonic seconds.
            now: Monotonic seconds.
        """
        if self._offered_at is None:
            self._offered_at = now
        self._moment = max(moment, self._moment or moment)

    def release(self, now: float, in_touch: bool) -> float | None:
        """Returns the time up to which proof counts; None: not yet.

        Args:
            now: Monotonic seconds.
            in_touch: Whether peers have been heard.
        """
        if self._moment is None or self._offered_at is None:
            return None
        waited_s = now - self._offered_at
        if self._is_open and not in_touch and waited_s < self.LIMIT_S:
            return None
        self._is_open = False
        moment, self._moment = self._moment, None
        return moment
