"""What became of a request at a runner."""

import enum


class End(enum.Enum):
    """How an attempt at a runner ended, and what that proves.

    `UNSENT` and `REFUSED` prove that the request hasn't run; after `BROKEN`
    and `SILENT` it may have.
    """

    WHOLE = "whole"
    UNSENT = "unsent"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    ABANDONED = "abandoned"
