"""Decides which findings about runners to pass on, and how often."""

import msgspec

from pollenfork.loads import messages

# Ticks in which a finding is passed on; `gossip` decides to how many hosts.
_ROUNDS = 3
# An equal finding this much later, in seconds, is passed on again: an instance
# that retries a runner after a pause reports the new result.
_REPEAT_AFTER_S = 0.4
# Older findings are of no use to other instances, in seconds.
_EXPIRY_S = 3.0
# Observers of silence to pass on for each runner; two may suffice as evidence.
_MAX_OBSERVERS = 3
# Findings in one datagram, 25 bytes each; the next tick sends the rest.
_MAX_PER_DATAGRAM = 40


class _Entry(msgspec.Struct):
    """A finding to pass on.

    Attributes:
        finding: The finding.
        moment: Monotonic seconds at which it was made.
        rounds_left: Ticks in which it is still to be sent.
    """

    finding: messages.Finding
    moment: float
    rounds_left: int = _ROUNDS


class Outbox:
    """Collects recent findings of this instance and of others."""

    def __init__(self) -> None:
        self._entries: dict[tuple[int, messages.Symptom, int], _Entry] = {}

    def take(self, finding: messages.Finding, now: float) -> bool:
        """Adds a finding; returns whether it was new."""
        moment = now - max(0.0, finding.age_s)
        if finding.age_s > _EXPIRY_S:
            return False
        silent = finding.symptom is messages.Symptom.SILENT
        key = (
            finding.runner_hash,
            finding.symptom,
            finding.observer if silent else 0,
        )
        known = self._entries.get(key)
        if known is not None and moment < known.moment + _REPEAT_AFTER_S:
            return False
        if (
            silent
            and known is None
            and self._has_enough_observers(finding.runner_hash)
        ):
            return False
        self._entries[key] = _Entry(finding, moment)
        return True

    def choose(self, now: float) -> tuple[messages.Finding, ...]:
        """Returns the findings to send in this tick."""
        for key, entry in list(self._entries.items()):
            if now - entry.moment > _EXPIRY_S:
                del self._entries[key]
        due = [each for each in self._entries.values() if each.rounds_left][
            :_MAX_PER_DATAGRAM
        ]
        for each in due:
            each.rounds_left -= 1
        return tuple(
            msgspec.structs.replace(
                each.finding, age_s=round(now - each.moment, 3)
            )
            for each in due
        )

    def _has_enough_observers(self, runner_hash: int) -> bool:
        """Returns whether enough instances found a runner silent."""
        silent = messages.Symptom.SILENT
        known = [
            key for key in self._entries if key[:2] == (runner_hash, silent)
        ]
        return len(known) >= _MAX_OBSERVERS
