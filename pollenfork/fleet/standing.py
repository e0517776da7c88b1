"""How a runner fares by what its own answers show."""

import msgspec

from pollenfork.fleet import messages

# The first pause after a runner failed, in seconds; it doubles with each
# further failure in a row. A crashed runner is back after 2 to 4 s.
_FIRST_PAUSE_S = 0.4
_LONGEST_PAUSE_S = 3.0
# Connections that fail in a row until a runner counts as out of reach: one may
# be lost to a full queue of new connections.
_OUT_OF_REACH = 2
# The part that the newest answer has in the failure rate: some ten answers
# tell a runner that fails four in ten from one that fails one in a hundred.
_NEWEST = 0.15
# An answer that was on its way when its runner ended comes up to this much
# later, in seconds.
_UNDER_WAY_S = 0.3


class Standing(msgspec.Struct):
    """What one instance has seen of a runner.

    Attributes:
        mark: The hash that stands for it in datagrams.
        active: Own requests that it works on.
        quick: Those of them that are of the most urgent tier.
        reading: Own prompt tokens that it has yet to read.
        failures: Failures in a row.
        unsent: Of them, those in a row that made no connection.
        failing: Recent part of answers that failed, 0 to 1.
        shunned_until: Monotonic seconds until which others go first.
        displaced_from: The address where another runner answers instead.
        answered_at: Monotonic seconds of its last whole answer.
        reached_at: Monotonic seconds at which a new connection to it held.
    """

    mark: int
    active: int = 0
    quick: int = 0
    reading: float = 0.0
    failures: int = 0
    unsent: int = 0
    failing: float = 0.0
    shunned_until: float = 0.0
    displaced_from: tuple[str, int] | None = None
    answered_at: float = 0.0
    reached_at: float = 0.0

    @property
    def reachable(self) -> bool:
        """Whether connections to it can be made, as far as is known."""
        return self.unsent < _OUT_OF_REACH

    def lives_since(self, moment: float) -> bool:
        """Returns whether it has shown since a moment that it runs."""
        answered = self.answered_at > moment + _UNDER_WAY_S
        return answered or self.reached_at >= moment

    def note_reached(self) -> None:
        """Notes that a connection was made after some had failed."""
        self.unsent = 0
        self.failures = 0
        self.shunned_until = 0.0

    def note_end(self, end: messages.End, failed: bool, now: float) -> None:
        """Takes the end of an attempt.

        Args:
            end: How it ended.
            failed: Whether the answer, though whole, was an error.
            now: Monotonic seconds.
        """
        self.unsent = self.unsent + 1 if end is messages.End.UNSENT else 0
        if end is messages.End.WHOLE:
            self.answered_at = now
        if end is messages.End.WHOLE and failed:
            self.failing += (1.0 - self.failing) * _NEWEST
            return
        if end is messages.End.WHOLE:
            self.failures = 0
            self.failing *= 1.0 - _NEWEST
            return
        self.failing += (1.0 - self.failing) * _NEWEST
        if end is messages.End.REFUSED:
            return
        self.failures += 1
        if end is messages.End.DISPLACED:
            self.shunned_until = now + _LONGEST_PAUSE_S
            return
        pause_s = _FIRST_PAUSE_S * 2 ** min(self.failures - 1, 6)
        self.shunned_until = now + min(pause_s, _LONGEST_PAUSE_S)
