"""The results of attempts at runners, and runners' own cache reports."""

import enum

import msgspec

from pollenfork import ids


class End(enum.Enum):
    """How an attempt at a runner ended, and what that proves.

    All but `WHOLE`, `BROKEN` and `SILENT` prove that the request hasn't run.
    `DISPLACED` also proves that the runner is gone, because another runner
    answers at its address. `PAUSED` is a refusal that asks for a pause.
    `WITHHELD` shows nothing about the runner: the request wasn't sent because
    the runner stopped accepting work after it had been chosen.
    """

    WHOLE = "whole"
    UNSENT = "unsent"
    WITHHELD = "withheld"
    REFUSED = "refused"
    PAUSED = "paused"
    DISPLACED = "displaced"
    BROKEN = "broken"
    SILENT = "silent"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request is certain not to have run on the runner."""
        return self not in (End.WHOLE, End.BROKEN, End.SILENT)

    @property
    def reached_runner(self) -> bool:
        """Whether the request was sent."""
        return self not in (End.UNSENT, End.WITHHELD)


class CacheChange(msgspec.Struct, frozen=True):
    """A runner has added a prompt part to its cache or evicted it.

    Attributes:
        part: The name that identifies the part's text.
        kept: Whether the part is in the cache now.
        sequence: The number of the change, which later ones exceed; 0 in the
            list of a whole cache.
    """

    part: bytes
    kept: bool
    sequence: int = 0


class CacheReport(msgspec.Struct, frozen=True):
    """A runner's report of the prompt parts in its cache.

    Attributes:
        changes: The changes, as they arrived.
        last_sequence: The sequence number of the last change, from which the
            next report continues.
        complete: Whether `changes` lists the whole cache rather than changes
            to it.
        gap: Whether earlier changes are missing.
        epoch: An identifier that changes when the numbering restarts.
        start: When the runner started; None if it doesn't say.
    """

    changes: tuple[CacheChange, ...]
    last_sequence: int
    complete: bool = False
    gap: bool = False
    epoch: str = ""
    start: ids.RunnerStart | None = None


class Utilization(msgspec.Struct):
    """The total load of a service's runners.

    Attributes:
        runners: Runners that accept work.
        slots: Requests that they can run concurrently.
        active: Requests that they are running.
        pending_tokens: Prompt tokens that they have yet to process.
        prefilling: Runners that have prompt tokens to process.
    """

    runners: int = 0
    slots: int = 0
    active: int = 0
    pending_tokens: float = 0.0
    prefilling: int = 0
