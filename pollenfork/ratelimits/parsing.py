"""Interprets the rate limits stated in a runner's answer."""

import math

import msgspec

# Used where a runner states 0 or less, in requests a second: only the answer to
# an occasional request can show that the limit has ended.
MIN_RATE = 0.25
# Larger rates count as no limit.
_MAX_RATE = 1e5


class ParsedLimit(msgspec.Struct, frozen=True):
    """What one answer states about its runner's rate limit.

    Attributes:
        rate: Requests a second from all instances together; None: no limit.
        readable: Whether it states anything; if not, the known limit stays.
        well_formed: Whether it has the agreed form.
    """

    rate: float | None = None
    readable: bool = True
    well_formed: bool = True


NO_LIMIT = ParsedLimit()


def parse(rates: tuple[float | None, ...]) -> ParsedLimit:
    """Returns the limit that the rates of one answer state.

    The lowest of several rates applies. If none is a number, the answer counts
    as unreadable.

    Args:
        rates: The rates stated; None for one that isn't a number.
    """
    if not rates:
        return NO_LIMIT
    known = [
        rate for rate in rates if rate is not None and not math.isnan(rate)
    ]
    well_formed = len(rates) == 1 == len(known)
    if not known:
        return ParsedLimit(readable=False, well_formed=False)
    least = min(known)
    if least > _MAX_RATE:
        return ParsedLimit(well_formed=False)
    if least <= 0.0:
        return ParsedLimit(MIN_RATE, well_formed=False)
    return ParsedLimit(least, well_formed=well_formed)
