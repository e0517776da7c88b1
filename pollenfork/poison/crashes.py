"""Crashes counted against one request, and the verdict they lead to.

A poison request crashes every runner that starts to process it. Other requests
on the same runner fail with it and are retried too, so being in flight during a
crash is weak evidence; what sets other requests apart is that they succeed
eventually. Crashes therefore count only since the request was last answered,
and simultaneous crashes, such as when a quarter of the fleet loses power, count
less than successive ones.
"""

import enum

import msgspec

from pollenfork import ids

# Crashes after which a request may be quarantined. A lower limit would
# quarantine requests that ran on two runners that crashed for other reasons.
CRASH_LIMIT = 3
# Crashes that aren't successive lead to quarantine only after this many seconds
# without an answer: by then, a request sent by many clients at once has been
# answered elsewhere. Sends are limited from 3 s after the third crash on, which
# leaves a margin of 1 s.
CONCURRENT_WAIT_S = 2.0
# Successive crashes required of a request that was answered before, and of one
# that never was. The former may simply be in flight on every runner while
# runners crash for other reasons.
_SUCCESSIVE_IF_ANSWERED = 3
_SUCCESSIVE = 2
# Each hop between instances shifts the reported time of an answer by some
# milliseconds. Times within this many seconds are taken for the same answer;
# otherwise instances would forward it to each other forever.
_CLEARANCE_TOLERANCE_S = 0.25
# The shortest time in which a crashed runner is back, in seconds.
_MIN_RESTART_S = 0.1
# A connection that breaks within this many seconds of the send, where a runner
# crashed at most `_UNSERVED_S` earlier, was never served by a runner.
_MIN_RUN_S = 0.01
_UNSERVED_S = 1.0
# Crashes are forgotten after this many seconds without anything new.
EXPIRY_S = 600.0
# Crashes kept per request; more would not change the verdict. The limit per
# reporting instance leaves room for genuine crashes when one instance makes
# some up.
_MAX_CRASHES = 8
_MAX_CRASHES_PER_SENDER = 4


class Verdict(enum.Enum):
    """How a request may be dispatched."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # Sent where a crash would do the least damage.
    UNCONFIRMED = "doubted"  # Held while its crashes may yet be proven.
    QUARANTINED = "kept_back"  # Sent to no runner.


class Crash(msgspec.Struct, frozen=True):
    """The crash of a runner that was processing a request.

    Attributes:
        runner_hash: A hash of the runner's incarnation and its address.
        sent_at: When the request was sent to the runner, in monotonic seconds.
        crashed_at: When the runner crashed.
        sender: A hash of the host of the instance that sent the request.
        connected_at: When the connection used for the request was opened; None
            where the reporting instance omits it, as earlier versions do.
    """

    runner_hash: int
    sent_at: float
    crashed_at: float
    sender: int
    connected_at: float | None = None

    @property
    def latest_connected_at(self) -> float:
        """The latest time at which the connection can have been opened."""
        return self.sent_at if self.connected_at is None else self.connected_at

    def is_explained_by(self, earlier: "Crash") -> bool:
        """Returns whether the runner had crashed before it got this request.

        Args:
            earlier: A crash of the same runner under another request.
        """
        if (
            self.runner_hash != earlier.runner_hash
            or self.sent_at < earlier.crashed_at
        ):
            return False
        if self.latest_connected_at < earlier.crashed_at:
            return True  # A connection doesn't outlive its runner.
        # A new connection may be accepted though no process serves it any more.
        unserved = self.crashed_at - self.sent_at < _MIN_RUN_S
        return unserved and self.sent_at < earlier.crashed_at + _UNSERVED_S

    def coincides_with(self, other: "Crash") -> bool:
        """Returns whether both requests ran on one runner when it crashed."""
        near = abs(self.crashed_at - other.crashed_at) < _MIN_RESTART_S
        return self.runner_hash == other.runner_hash and near


class CrashHistory(msgspec.Struct):
    """The crashes and answers recorded for one request.

    Attributes:
        digest: The digest of the request.
        crashes: Crashes of runners under it since it was last answered.
        cleared_at: When a runner last answered it, or an operator released it;
            None if neither is known.
        answered: Whether a runner is known to have ever answered it.
        quarantined_at: Since when it is quarantined; None while it isn't.
        updated_at: When anything new was last learned of it.
        confirming_hosts: Other instances that quarantine it themselves.
        reporting_hosts: Other instances that reported crashes that they
            observed themselves.
    """

    digest: ids.RequestDigest
    crashes: list[Crash] = msgspec.field(default_factory=list)
    cleared_at: float | None = None
    answered: bool = False
    quarantined_at: float | None = None
    updated_at: float = 0.0
    confirming_hosts: set[str] = msgspec.field(default_factory=set)
    reporting_hosts: set[str] = msgspec.field(default_factory=set)

    def add(self, crash: Crash, now: float) -> bool:
        """Adds a crash; returns whether it was new."""
        if self.is_before_clearance(crash):
            return False
        from_sender = sum(each.sender == crash.sender for each in self.crashes)
        if (
            len(self.crashes) >= _MAX_CRASHES
            or from_sender >= _MAX_CRASHES_PER_SENDER
        ):
            return False
        if any(_is_duplicate(crash, each) for each in self.crashes):
            return False
        self.crashes.append(crash)
        self.crashes.sort(key=lambda each: each.crashed_at)
        self.updated_at = now
        return True

    def clear(self, at: float, now: float) -> bool:
        """Discards crashes up to `at`; returns whether that was new.

        Args:
            at: When a runner answered the request, or an operator released it.
            now: Monotonic seconds.
        """
        remaining = [each for each in self.crashes if each.crashed_at > at]
        already_cleared = (
            self.cleared_at is not None
            and at < self.cleared_at + _CLEARANCE_TOLERANCE_S
        )
        if already_cleared and len(remaining) == len(self.crashes):
            return False
        self.cleared_at = max(at, self.cleared_at or at)
        self.updated_at = now
        self.crashes = remaining
        if not remaining:
            self.reporting_hosts.clear()
        # An answer that is reported late may leave too few crashes, or too few
        # successive ones for a request that was answered before.
        if self.evaluate(self.crashes, now) is not Verdict.QUARANTINED:
            self.quarantined_at = None
            self.confirming_hosts.clear()
        return True

    def is_before_clearance(self, crash: Crash) -> bool:
        """Returns whether the request was cleared since a crash."""
        return (
            self.cleared_at is not None and crash.crashed_at <= self.cleared_at
        )

    @property
    def has_successive_crashes(self) -> bool:
        """Whether it was sent again after a crash, and crashed a runner."""
        return count_successive(self.crashes) >= _SUCCESSIVE

    @property
    def is_blamed(self) -> bool:
        """Whether it is held responsible for its crashes."""
        unanswered = self.cleared_at is None and self.has_successive_crashes
        return unanswered or self.quarantined_at is not None

    @property
    def is_high_risk(self) -> bool:
        """Whether it is quarantined, or one more crash may lead to that."""
        return len(self.crashes) > 1 or self.quarantined_at is not None

    def evaluate(self, crashes: list[Crash], now: float) -> Verdict:
        """Returns how the request may be dispatched.

        Args:
            crashes: Those of its crashes that are credible.
            now: Monotonic seconds.
        """
        if not crashes:
            return Verdict.CLEAR
        successive = count_successive(crashes)
        answered = self.cleared_at is not None
        required = _SUCCESSIVE_IF_ANSWERED if answered else _SUCCESSIVE
        if len(crashes) >= CRASH_LIMIT:
            if successive >= required:
                return Verdict.QUARANTINED
            third_at = crashes[CRASH_LIMIT - 1].crashed_at
            if not answered and now - third_at >= CONCURRENT_WAIT_S:
                return Verdict.QUARANTINED
        if answered and successive < _SUCCESSIVE:
            return Verdict.CLEAR
        return Verdict.SUSPECT


def count_successive(crashes: list[Crash]) -> int:
    """Returns the length of the chain of crashes that follow each other.

    One follows another if its request was sent after the other's runner had
    crashed. Requests in flight on several runners that crash at the same time
    count once.

    Args:
        crashes: In chronological order.
    """
    successive = 0
    last_at = float("-inf")
    for crash in crashes:
        if crash.sent_at >= last_at:
            successive += 1
            last_at = crash.crashed_at
    return successive


def _is_duplicate(one: Crash, other: Crash) -> bool:
    """Returns whether two attempts observed the same crash.

    One may have been sent just after the crash, on a connection that wasn't yet
    seen to be closed; counting such sends as runs got a popular request
    quarantined. A runner may be restarted and crash again under the hash of the
    previous start, but not within the minimum restart time.
    """
    if one.runner_hash != other.runner_hash:
        return False
    first, second = sorted((one, other), key=lambda each: each.sent_at)
    return (
        second.sent_at < first.crashed_at + _MIN_RESTART_S
        or second.latest_connected_at < first.crashed_at
    )
