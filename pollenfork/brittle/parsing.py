"""Parses what a runner states about its brittleness."""

import math

import msgspec


class ParsedLimit(msgspec.Struct, frozen=True):
    """What one answer states.

    Attributes:
        refusals: Requests that the runner can refuse in a second for want of
            room; one more makes it fall over. None: it isn't brittle.
        well_formed: Whether the statement has the agreed form.
    """

    refusals: float | None = None
    well_formed: bool = True


NOT_BRITTLE = ParsedLimit()


def parse(stated: tuple[float | None, ...]) -> ParsedLimit:
    """Returns what one answer states.

    The lowest of several figures applies, 0 included: then the first refusal
    makes the runner fall over. A runner whose figures are all negative,
    infinite or no numbers is taken for one that states 0.

    Args:
        stated: The figures; None for one that isn't a number.
    """
    if not stated:
        return NOT_BRITTLE
    valid = [
        each
        for each in stated
        if each is not None and math.isfinite(each) and each >= 0.0
    ]
    well_formed = len(stated) == 1 == len(valid)
    return ParsedLimit(min(valid, default=0.0), well_formed)
