"""Signs that a runner's process may have ended."""

import enum
import math

import msgspec

from pollenfork.fleet import model

# A connection made this shortly before another instance's report arrived, in
# seconds, may have been made after the end that it reports. What is observed
# here is known before a new process listens.
_REPORTED_LATE_S = 0.3
# A runner that ends listens again after this long at the earliest, in seconds.
RESTART_S = 0.2
# A runner refuses connections for up to this long after its start, in seconds.
_STARTUP_S = 1.0
# The clocks of a runner and of this host may differ by this much, in seconds.
CLOCK_SKEW_S = 0.25


class Observation(enum.Enum):
    """What showed that a runner's process may have ended."""

    CLOSED = "closed"  # It closed a connection just now.
    CLOSED_BEFORE = "closed_before"  # It closed one, maybe long ago.
    # No connection could be made, or another runner answered at its address.
    REFUSED = "refused"
    REPORTED = "reported"  # Another instance observed the same.


class ConnectionTimes(msgspec.Struct, frozen=True):
    """When a connection was made.

    Attributes:
        monotonic: Monotonic seconds.
        unix: Unix time of the same moment, in seconds.
    """

    monotonic: float
    unix: float

    def is_since_start(self, runner: model.Runner) -> bool:
        """Returns whether it was made since a runner's known start."""
        return runner.start is not None and self.unix * 1000.0 >= runner.start


class Sign(msgspec.Struct):
    """A sign that a runner's process may have ended.

    Attributes:
        observation: What was observed.
        at: Monotonic seconds at which it was observed.
        before: Monotonic seconds; connections made earlier don't lead to a
            process that started after the end.
        explained_from: Unix time; the sign is explained by a start since then.
        current_since: Monotonic seconds since which the registry has been
            current without interruption.
    """

    observation: Observation
    at: float
    before: float
    explained_from: float
    current_since: float


def make_closed(made: ConnectionTimes, now: float, *, is_late: bool) -> Sign:
    """Returns what a connection shows that the runner has closed.

    Args:
        made: When the connection was made.
        now: Monotonic seconds.
        is_late: Whether that may have been long ago.
    """
    return Sign(
        Observation.CLOSED_BEFORE if is_late else Observation.CLOSED,
        now,
        now,
        made.unix + CLOCK_SKEW_S,
        now,
    )


def make_refused(now: float, now_unix: float, *, reported: bool) -> Sign:
    """Returns what a connection shows that couldn't be made.

    Args:
        now: Monotonic seconds.
        now_unix: The Unix time, in seconds.
        reported: Whether another instance has observed it.
    """
    late_s = _REPORTED_LATE_S if reported else 0.0
    return Sign(
        Observation.REPORTED if reported else Observation.REFUSED,
        now,
        now - late_s,
        now_unix - late_s - _STARTUP_S,
        now,
    )


class Doubt(msgspec.Struct, frozen=True):
    """All signs of a runner, as told to an instance that has just started.

    Attributes:
        explained_from: Unix time; they are explained by a start since then.
        age_s: How long ago the latest one was observed, in seconds.
        current_s: For how long the registry has been current since, in seconds.
    """

    explained_from: float
    age_s: float = 0.0
    current_s: float = 0.0


def make_told(doubt: Doubt, now: float) -> Sign:
    """Returns the signs of another instance, merged.

    When it observed the first one isn't told, so no connection counts as made
    before the end.

    Args:
        doubt: What it tells.
        now: Monotonic seconds.
    """
    return Sign(
        Observation.REPORTED,
        now - doubt.age_s,
        -math.inf,
        doubt.explained_from,
        now - doubt.current_s,
    )


def sum_up(signs: list[Sign], now: float) -> Doubt:
    """Returns what to tell another instance of a runner's signs.

    Args:
        signs: The signs, at least one.
        now: Monotonic seconds.
    """
    return Doubt(
        max(each.explained_from for each in signs),
        now - max(each.at for each in signs),
        now - max(each.current_since for each in signs),
    )


def merge(first: Sign, second: Sign) -> Sign:
    """Returns a sign that puts in doubt what either of two does."""
    return Sign(
        second.observation,
        second.at,
        min(first.before, second.before),
        max(first.explained_from, second.explained_from),
        second.current_since,
    )
