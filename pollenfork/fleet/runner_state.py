"""One instance's own observations of a runner's health and load."""

import msgspec

from pollenfork.fleet import messages
from pollenfork.fleet import silence as silences

# The back-off after a runner's first failure, in seconds; it doubles with each
# consecutive failure. A crashed runner is back after 2 to 4 s.
_INITIAL_BACKOFF_S = 0.4
_MAX_BACKOFF_S = 3.0
# Consecutive connection failures after which a runner counts as unreachable. A
# single one may be caused by a full accept queue.
_UNREACHABLE_FAILURES = 2
# The weight of the newest answer in the failure rate's moving average: about
# ten answers tell a runner that fails 40 % from one that fails 1 %.
_EWMA_WEIGHT = 0.15
# An answer in flight when its runner ended may arrive up to this much later,
# in seconds.
_IN_FLIGHT_S = 0.3


class RunnerState(msgspec.Struct):
    """One instance's own observations of a runner.

    Attributes:
        incarnation_hash: The hash that identifies the runner's incarnation in
            datagrams.
        active: This instance's requests that the runner is running.
        top_tier: Those of them that are of the most urgent tier.
        pending_tokens: This instance's prompt tokens that the runner has yet
            to process.
        failures: Consecutive failures.
        unsent: Consecutive failures to connect.
        failure_rate: Moving average of failed answers, 0 to 1.
        avoid_until: Monotonic seconds until which other runners are preferred.
        displaced_from: The address at which another runner answers instead.
        answered_at: Monotonic seconds of its last whole answer.
        reached_at: Monotonic seconds at which a new connection to it held.
        silence: When it last sent anything, and its last silence.
    """

    incarnation_hash: int
    active: int = 0
    top_tier: int = 0
    pending_tokens: float = 0.0
    failures: int = 0
    unsent: int = 0
    failure_rate: float = 0.0
    avoid_until: float = 0.0
    displaced_from: tuple[str, int] | None = None
    answered_at: float = 0.0
    reached_at: float = 0.0
    silence: silences.Silence = msgspec.field(default_factory=silences.Silence)

    @property
    def reachable(self) -> bool:
        """Whether the runner is believed to accept connections."""
        return self.unsent < _UNREACHABLE_FAILURES

    def is_alive_since(self, moment: float) -> bool:
        """Returns whether the runner has shown signs of life since a time."""
        answered = self.answered_at > moment + _IN_FLIGHT_S
        return answered or self.reached_at >= moment

    def record_heard(self, now: float) -> bool:
        """Records that the runner has sent something, on any connection.

        Returns:
            Whether that ended a silence, which then doesn't count as a failure.
        """
        resumed = self.silence.record_heard(now)
        if resumed:
            self.failures = max(0, self.failures - 1)
            if not self.failures:
                self.avoid_until = min(self.avoid_until, now)
        return resumed

    def record_silence(self, since: float, now: float) -> bool:
        """Records that the runner sends nothing, on any connection.

        A silence is one failure, however many requests it concerns. The runner
        is avoided for as long as it has lasted.

        Args:
            since: Monotonic seconds since which a request has waited.
            now: Monotonic seconds.

        Returns:
            Whether the silence wasn't known before.
        """
        is_new = self.silence.record_found(now)
        if is_new:
            self.failure_rate += (1.0 - self.failure_rate) * _EWMA_WEIGHT
            self.failures += 1
        backoff_s = max(self._find_backoff(), min(now - since, _MAX_BACKOFF_S))
        self.avoid_until = max(self.avoid_until, now + backoff_s)
        return is_new

    def record_connected(self) -> None:
        """Records a successful connection, which ends the back-off."""
        self.unsent = 0
        self.failures = 0
        self.avoid_until = 0.0

    def record_end(self, end: messages.End, failed: bool, now: float) -> None:
        """Records the end of an attempt.

        Args:
            end: How the attempt ended.
            failed: Whether the answer was complete but an error.
            now: Monotonic seconds.
        """
        if end is messages.End.WITHHELD:
            return
        self.unsent = self.unsent + 1 if end is messages.End.UNSENT else 0
        if end is messages.End.PAUSED:
            return
        if end is messages.End.SILENT and self.silence.is_known:
            return
        if end is messages.End.WHOLE:
            self.answered_at = now
        if end is messages.End.WHOLE and failed:
            self.failure_rate += (1.0 - self.failure_rate) * _EWMA_WEIGHT
            return
        if end is messages.End.WHOLE:
            # It was only silent, or one of its connections was at fault.
            self.avoid_until = min(self.avoid_until, now)
            self.failures = 0
            self.failure_rate *= 1.0 - _EWMA_WEIGHT
            return
        self.failure_rate += (1.0 - self.failure_rate) * _EWMA_WEIGHT
        if end is messages.End.REFUSED:
            return
        self.failures += 1
        if end is messages.End.DISPLACED:
            self.avoid_until = now + _MAX_BACKOFF_S
            return
        self.avoid_until = now + self._find_backoff()

    def _find_backoff(self) -> float:
        """Returns the back-off after the consecutive failures, in seconds."""
        backoff_s = _INITIAL_BACKOFF_S * 2 ** min(self.failures - 1, 6)
        return min(backoff_s, _MAX_BACKOFF_S)
