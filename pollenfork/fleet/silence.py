"""One instance's observations of a runner's silences.

A runner may send nothing for a moment and then go on with all its work. All of
its requests see that at once. Moving them all would lose their work and burden
the other runners, so they leave gradually, until the runner is heard again.
"""

import math

import msgspec

# A runner is silent if it has sent nothing on any connection for this long, in
# seconds. Otherwise only the connection of a waiting request is.
_RUNNER_SILENT_S = 0.3
# The number of requests that may leave doubles in this time, in seconds.
_DOUBLING_S = 0.15
# All may leave a runner that is still silent after this time, in seconds.
# Callers give up a stream that has paused for 2 s.
_ALL_LEAVE_S = 0.5


class Silence(msgspec.Struct):
    """The last silence of one runner.

    Attributes:
        heard_at: Monotonic seconds at which the runner last sent anything.
        found_at: Monotonic seconds at which its last silence was found.
        resumed_at: Monotonic seconds at which it was heard after a silence.
        leaving: Requests that leave, or have left, because of that silence.
    """

    heard_at: float = 0.0
    found_at: float = -math.inf
    resumed_at: float = 0.0
    leaving: int = 0

    @property
    def is_known(self) -> bool:
        """Whether the runner was found silent and hasn't been heard since."""
        return self.found_at > self.heard_at

    def is_runner_wide(self, now: float) -> bool:
        """Returns whether the runner, not one connection, is silent."""
        return now - self.heard_at >= _RUNNER_SILENT_S

    def record_heard(self, now: float) -> bool:
        """Records that the runner sends; returns whether a silence ended."""
        resumed = self.is_known
        if resumed:
            self.resumed_at = now
        self.heard_at = now
        return resumed

    def record_found(self, now: float) -> bool:
        """Records that the runner is silent; returns whether that is new."""
        if self.is_known:
            return False
        self.found_at = now
        self.leaving = 0
        return True

    def take_turn(self, now: float) -> bool:
        """Returns whether one more request may leave the runner now."""
        known_s = now - self.found_at
        doublings = int(known_s / _DOUBLING_S)
        if known_s < _ALL_LEAVE_S and self.leaving >= 2**doublings:
            return False
        self.leaving += 1
        return True

    def return_turn(self) -> None:
        """Gives back the turn of a request that couldn't leave."""
        self.leaving = max(0, self.leaving - 1)
