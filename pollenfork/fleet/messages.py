"""What became of a request at a runner, and what runners say they keep."""

import enum

import msgspec

from pollenfork import ids


class End(enum.Enum):
    """How an attempt at a runner ended, and what that proves.

    `UNSENT`, `REFUSED` and `DISPLACED` prove that the request hasn't run;
    after `BROKEN` and `SILENT` it may have. `DISPLACED` proves besides that
    the runner is gone: another one answers at its address.
    """

    WHOLE = "whole"
    UNSENT = "unsent"
    REFUSED = "refused"
    DISPLACED = "displaced"
    BROKEN = "broken"
    SILENT = "silent"

    @property
    def proves_not_run(self) -> bool:
        """Whether the request surely hasn't run there."""
        return self in (End.UNSENT, End.REFUSED, End.DISPLACED)


class CacheChange(msgspec.Struct, frozen=True):
    """A runner keeps a part of a prompt, or has lost it.

    Attributes:
        part: What identifies the part's text.
        kept: Whether it is kept now.
    """

    part: bytes
    kept: bool


class CacheNews(msgspec.Struct, frozen=True):
    """What a runner says of the parts of prompts in its memory.

    Attributes:
        changes: In the order in which they came about.
        through: The number of the last change, from which to go on.
        whole: Whether these are all parts kept, not changes.
        gap: Whether changes before these are missing.
        epoch: Another one where its numbers begin anew, as it does itself.
        start: When it started; None where it doesn't say.
    """

    changes: tuple[CacheChange, ...]
    through: int
    whole: bool = False
    gap: bool = False
    epoch: str = ""
    start: ids.RunnerStart | None = None


class Use(msgspec.Struct):
    """What the runners of a service have under way in all.

    Attributes:
        runners: Those that take work.
        places: Requests that they work on at once.
        active: Requests that they work on.
        reading: Prompt tokens that they have yet to read.
    """

    runners: int = 0
    places: int = 0
    active: int = 0
    reading: float = 0.0
