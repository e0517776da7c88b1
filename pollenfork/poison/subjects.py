"""What may be to blame if a runner crashes while it runs a request.

The request itself, if it comes again; or one part of its prompt, which other
requests share though no two of them are alike.
"""

from collections.abc import Sequence

import msgspec

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.poison import crashes
from pollenfork.poison import digests

# Further parts of a prompt are not considered.
_MAX_PARTS = 32
_SEVERITY = {verdict: rank for rank, verdict in enumerate(crashes.Verdict)}


class Subject(msgspec.Struct, frozen=True):
    """A request, or a part of its prompt.

    Attributes:
        digest: Identifies it at all instances.
        part: The part's name; empty: the request itself.
    """

    digest: ids.RequestDigest
    part: bytes = b""

    @property
    def is_part(self) -> bool:
        """Whether other requests may share it."""
        return bool(self.part)


class Finding(msgspec.Struct, frozen=True):
    """How a request may be dispatched, and on whose account.

    Attributes:
        verdict: The severest of its subjects' verdicts.
        subject: The first subject with that verdict.
        is_alone: Whether no other subject has it.
    """

    verdict: crashes.Verdict
    subject: Subject
    is_alone: bool = True


def list_subjects(
    digest: ids.RequestDigest,
    service: ids.ServiceName,
    shared: Sequence[model.Part],
) -> tuple[Subject, ...]:
    """Returns a request's subjects, itself first.

    Args:
        digest: The request's digest.
        service: Its service: what its runners can't bear others may.
        shared: The parts of its prompt that other requests may share.
    """
    names = dict.fromkeys(part.name for part in shared[:_MAX_PARTS])
    parts = (Subject(digests.compute_part(service, n), n) for n in names if n)
    return Subject(digest), *parts


def find_severest(
    verdicts: Sequence[tuple[Subject, crashes.Verdict]],
) -> Finding:
    """Returns the severest of several verdicts.

    Args:
        verdicts: At least one subject with its verdict.
    """
    severest = max(
        (verdict for _, verdict in verdicts), key=_SEVERITY.__getitem__
    )
    blamed = [each for each, verdict in verdicts if verdict is severest]
    return Finding(severest, blamed[0], len(blamed) == 1)
