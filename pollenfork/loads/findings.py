"""Which findings about runners an instance passes on, and how often."""

import msgspec

from pollenfork.loads import messages

# Periods in which a finding is passed on; see `gossip` for to how many.
_ROUNDS = 3
# The same is news again after this long, in seconds: whoever tries a runner
# once more after a pause tells what came of it.
_RENEWED_S = 0.4
# Older ones are of no use to anybody, in seconds.
_EXPIRY_S = 3.0
# Witnesses of silence that are told of each runner: two may prove it.
_WITNESSES = 3
# Findings in one datagram, 25 bytes each; the others follow.
_EACH = 40


class _Kept(msgspec.Struct):
    """A finding, its moment in monotonic seconds, and how often to tell it."""

    finding: messages.Finding
    moment: float
    rounds_left: int = _ROUNDS


class Outbox:
    """Keeps what was found lately, here and elsewhere."""

    def __init__(self) -> None:
        self._kept: dict[tuple[int, messages.Symptom, int], _Kept] = {}

    def take(self, finding: messages.Finding, now: float) -> bool:
        """Takes a finding; returns whether it is news here."""
        moment = now - max(0.0, finding.age_s)
        if finding.age_s > _EXPIRY_S:
            return False
        silent = finding.sign is messages.Symptom.SILENT
        key = (
            finding.runner_hash,
            finding.sign,
            finding.observer if silent else 0,
        )
        known = self._kept.get(key)
        if known is not None and moment < known.moment + _RENEWED_S:
            return False
        if silent and known is None and self._is_witnessed(finding.runner_hash):
            return False
        self._kept[key] = _Kept(finding, moment)
        return True

    def choose(self, now: float) -> tuple[messages.Finding, ...]:
        """Returns what to tell in this period."""
        for key, kept in list(self._kept.items()):
            if now - kept.moment > _EXPIRY_S:
                del self._kept[key]
        due = [each for each in self._kept.values() if each.rounds_left][:_EACH]
        for each in due:
            each.rounds_left -= 1
        return tuple(
            msgspec.structs.replace(
                each.finding, age_s=round(now - each.moment, 3)
            )
            for each in due
        )

    def _is_witnessed(self, place: int) -> bool:
        """Returns whether enough others have found a runner silent."""
        silent = messages.Symptom.SILENT
        known = [key for key in self._kept if key[:2] == (place, silent)]
        return len(known) >= _WITNESSES
