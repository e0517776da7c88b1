"""Pauses that runners request of this instance when they refuse a request."""

import math

import msgspec

# Longer pauses are considered invalid, in seconds.
MAX_PAUSE_S = 3600.0


class ParsedPause(msgspec.Struct, frozen=True):
    """What one answer states about a pause.

    Attributes:
        seconds: The length of the pause; None: none is requested.
        well_formed: Whether it has the agreed form.
    """

    seconds: float | None = None
    well_formed: bool = True


NO_PAUSE = ParsedPause()


def parse(stated: tuple[float | None, ...]) -> ParsedPause:
    """Returns the pause that one answer requests.

    The longest of several applies. Values that aren't numbers, are negative or
    exceed `MAX_PAUSE_S` are ignored.

    Args:
        stated: The values in seconds; None for one that isn't a number.
    """
    if not stated:
        return NO_PAUSE
    valid = [each for each in stated if each is not None and _is_valid(each)]
    well_formed = len(stated) == 1 == len(valid)
    return ParsedPause(max(valid, default=None), well_formed)


def _is_valid(seconds: float) -> bool:
    return math.isfinite(seconds) and 0.0 <= seconds <= MAX_PAUSE_S
