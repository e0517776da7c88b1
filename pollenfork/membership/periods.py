"""Protocol periods and failure detection timeouts.

Traffic and CPU grow with members / period, so periods grow with members.
"""

_HEARTBEAT_MIN_S = 0.2
_HEARTBEAT_PER_MEMBER_S = 1 / 60
_HEARTBEAT_MAX_S = 5.0
_SUMMARY_MIN_S = 1.0
_SUMMARY_PER_MEMBER_S = 0.25
_SUMMARY_MAX_S = 15.0

_SILENCE_PERIODS = 4
_SILENCE_MIN_S = 1.5
_REMOVAL_PERIODS = 3
_REMOVAL_MIN_S = 2.0


def compute_heartbeat_s(members: int) -> float:
    """Returns seconds between heartbeats inside a data centre."""
    period_s = members * _HEARTBEAT_PER_MEMBER_S
    return min(max(period_s, _HEARTBEAT_MIN_S), _HEARTBEAT_MAX_S)


def compute_summary_s(members: int) -> float:
    """Returns seconds between an instance's summary rounds."""
    period_s = members * _SUMMARY_PER_MEMBER_S
    return min(max(period_s, _SUMMARY_MIN_S), _SUMMARY_MAX_S)


def compute_silence_timeout_s(period_s: float) -> float:
    """Returns seconds of silence after which a member is suspected."""
    return max(_SILENCE_PERIODS * period_s, _SILENCE_MIN_S)


def compute_removal_timeout_s(period_s: float) -> float:
    """Returns seconds of suspicion after which a member is removed."""
    return max(_REMOVAL_PERIODS * period_s, _REMOVAL_MIN_S)
