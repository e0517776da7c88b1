"""What became of a request at a runner."""

import enum


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
