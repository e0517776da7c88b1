"""What speaks against one request, and what follows from it.

A poison request ends each runner that begins to run it. Whatever else runs
there ends with it, and comes again too, so being under way at an end proves
little; what tells them apart is that others are answered in the end. So ends
count from the last answer on, and several at one moment, as when a quarter of a
fleet loses power, count less than one after the other.
"""

import enum

import msgspec

from pollenfork import ids

# Runners that a request may end before it is kept back. Fewer would keep back
# what ran at two runners that crashed for reasons of their own.
ENDS_ALLOWED = 3
# Ends that aren't one after the other need this long without an answer, in
# seconds: a request that many send at once is answered elsewhere by then, and
# sends are bounded only from 3 s after the third end, so 1 s is left.
SETTLING_S = 2.0
# One after the other for a request that was ever answered, and for one that
# never was. The first may run everywhere when runners end for other reasons.
_ROUNDS_AFTER_ANSWERS = 3
_ROUNDS = 2
# An answer told by another instance seems some milliseconds later with each
# way; within this, in seconds, it is the one that is known. Else it would be
# news for ever.
_SAME_S = 0.25
# The least time in which a runner is back after its end, in seconds.
_RESTART_S = 0.1
# A connection that breaks sooner than this after the sending, in seconds, at a
# place where a runner ended within `_GONE_S` before, met nobody.
_SHORTEST_RUN_S = 0.01
_GONE_S = 1.0
# An end that nothing followed says nothing after this long, in seconds.
LAPSE_S = 600.0
# Ends kept of each request; further ones change nothing. Of them, those that
# one instance tells of: what it makes up must leave room for what others saw.
_ENDS_KEPT = 8
_ENDS_EACH = 4


class Verdict(enum.Enum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # It goes where it can end least.
    DOUBTED = "doubted"  # It goes to no runner until proof has had its time.
    KEPT_BACK = "kept_back"  # It goes to no runner.


class End(msgspec.Struct, frozen=True):
    """The end of a runner that ran a request.

    Attributes:
        place: A hash of the runner's start and its address.
        sent_at: When the request was sent there, in monotonic seconds.
        ended_at: When the runner ended.
        witness: A hash of the host of the instance that had sent it.
        made_at: When the connection was made on which it was sent; None where
            the teller doesn't say, as earlier versions don't.
    """

    place: int
    sent_at: float
    ended_at: float
    witness: int
    made_at: float | None = None

    @property
    def connected_at(self) -> float:
        """When the connection was made, at the latest."""
        return self.sent_at if self.made_at is None else self.made_at

    def is_after(self, other: "End") -> bool:
        """Returns whether its runner had ended before it could begin.

        Args:
            other: An end at the same place, under another request.
        """
        if self.place != other.place or self.sent_at < other.ended_at:
            return False
        if self.connected_at < other.ended_at:
            return True  # A connection doesn't outlive its runner.
        # A new connection may be taken where nobody is left to serve it.
        unserved = self.ended_at - self.sent_at < _SHORTEST_RUN_S
        return unserved and self.sent_at < other.ended_at + _GONE_S

    def is_beside(self, other: "End") -> bool:
        """Returns whether both ran at one runner when it ended."""
        near = abs(self.ended_at - other.ended_at) < _RESTART_S
        return self.place == other.place and near


class Case(msgspec.Struct):
    """What is known of one request.

    Attributes:
        digest: The request's.
        ends: Ends of runners under it since it was last answered.
        cleared_at: When a runner last answered it, or an operator vouched for
            it; None: never, as far as is known.
        answered: Whether a runner has ever answered it, as far as is known.
        kept_since: Since when it is kept back; None while it isn't.
        moved_at: When anything was last learned of it.
        vouchers: Other instances that keep it back themselves.
        reporters: Other instances that told of ends that they saw themselves.
    """

    digest: ids.RequestDigest
    ends: list[End] = msgspec.field(default_factory=list)
    cleared_at: float | None = None
    answered: bool = False
    kept_since: float | None = None
    moved_at: float = 0.0
    vouchers: set[str] = msgspec.field(default_factory=set)
    reporters: set[str] = msgspec.field(default_factory=set)

    def add(self, end: End, now: float) -> bool:
        """Takes an end; returns whether it is news."""
        if self.is_before_clearance(end):
            return False
        told = sum(each.witness == end.witness for each in self.ends)
        if len(self.ends) >= _ENDS_KEPT or told >= _ENDS_EACH:
            return False
        if any(_is_same(end, known) for known in self.ends):
            return False
        self.ends.append(end)
        self.ends.sort(key=lambda each: each.ended_at)
        self.moved_at = now
        return True

    def clear(self, at: float, now: float) -> bool:
        """Takes an answer or a word for it; returns whether it is news."""
        left = [each for each in self.ends if each.ended_at > at]
        known = self.cleared_at is not None and at < self.cleared_at + _SAME_S
        if known and len(left) == len(self.ends):
            return False
        self.cleared_at = max(at, self.cleared_at or at)
        self.moved_at = now
        self.ends = left
        if not left:
            self.reporters.clear()
        # An answer that was told late may leave too few ends, or too few
        # rounds of what was answered before.
        if self.judge(self.ends, now) is not Verdict.KEPT_BACK:
            self.kept_since = None
            self.vouchers.clear()
        return True

    def is_before_clearance(self, end: End) -> bool:
        """Returns whether a runner has answered since an end."""
        return self.cleared_at is not None and end.ended_at <= self.cleared_at

    @property
    def has_followed(self) -> bool:
        """Whether one of its ends followed another one."""
        return count_rounds(self.ends) >= _ROUNDS

    @property
    def is_guilty(self) -> bool:
        """Whether its ends are its own doing, as far as is known."""
        unanswered = self.cleared_at is None and self.has_followed
        return unanswered or self.kept_since is not None

    @property
    def is_serious(self) -> bool:
        """Whether one more end may keep it back, or it is kept back."""
        return len(self.ends) > 1 or self.kept_since is not None

    def judge(self, ends: list[End], now: float) -> Verdict:
        """Returns what may be done with the request.

        Args:
            ends: Those of its ends that are believed.
            now: Monotonic seconds.
        """
        if not ends:
            return Verdict.CLEAR
        rounds = count_rounds(ends)
        answered = self.cleared_at is not None
        wanted = _ROUNDS_AFTER_ANSWERS if answered else _ROUNDS
        if len(ends) >= ENDS_ALLOWED:
            if rounds >= wanted:
                return Verdict.KEPT_BACK
            third_at = ends[ENDS_ALLOWED - 1].ended_at
            if not answered and now - third_at >= SETTLING_S:
                return Verdict.KEPT_BACK
        if answered and rounds < _ROUNDS:
            return Verdict.CLEAR
        return Verdict.SUSPECT


def count_rounds(ends: list[End]) -> int:
    """Returns how many ends there are of which each follows another one.

    One follows another if its request was sent after the other's runner had
    ended. What runs at many runners when they end together makes one round.

    Args:
        ends: In the order of their moments.
    """
    rounds = 0
    last_at = float("-inf")
    for end in ends:
        if end.sent_at >= last_at:
            rounds += 1
            last_at = end.ended_at
    return rounds


def _is_same(one: End, other: End) -> bool:
    """Returns whether two attempts tell of one end.

    One may have been sent when the runner had just ended, on a connection that
    nobody had seen closed yet: counted as a run, such sends kept a popular text
    back. A runner that starts again may be taken for the one before, and ends a
    second time at its place, but not so soon.
    """
    if one.place != other.place:
        return False
    first, second = sorted((one, other), key=lambda each: each.sent_at)
    return (
        second.sent_at < first.ended_at + _RESTART_S
        or second.connected_at < first.ended_at
    )
