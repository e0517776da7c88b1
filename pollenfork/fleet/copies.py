"""From whom a runner can copy shared parts of a prompt instead of reading.

A copy takes a fraction of the time of reading, but it fills the copier's
memory all the same and pushes other prompts out. So copies replace reading
where a prompt goes anyway; they don't make prompts go elsewhere.
"""

from collections.abc import Sequence

from pollenfork.fleet import model
from pollenfork.fleet import offers

# A copy of fewer tokens than this saves less than its own handshake takes.
_LEAST_TOKENS = 1000
# Where a copy takes more than this part of the time of reading, the link
# between runners is too slow for it to be worth its bytes.
_LARGEST_PART = 0.5


def find_sources(
    demand: offers.Demand,
    found: list[offers.Offer],
    now: float,
    leavers: Sequence[offers.Offer] = (),
) -> None:
    """Notes for each offer from whom its runner would copy.

    Args:
        demand: What is asked.
        found: Offers of all runners that take work.
        now: Monotonic seconds.
        leavers: Those that take none any more and keep the shared parts; asked
            where no other one does.
    """
    if demand.copy_s is None:
        return
    part = demand.copy_s * offers.READ_RATE
    if part > _LARGEST_PART:
        return
    holders = [offer for offer in found if _is_source(offer, now)]
    holders = holders or [each for each in leavers if _is_source(each, now)]
    for offer in found:
        if holders and offer.unread >= _LEAST_TOKENS:
            offer.source = _choose_source(offer, holders)
            offer.anew = offer.unread * part


def _is_source(offer: offers.Offer, now: float) -> bool:
    """Returns whether a runner has the shared parts and can be relied on."""
    seen = offer.standing
    return not offer.unread and not seen.failures and now >= seen.shunned_until


def _choose_source(
    offer: offers.Offer, holders: list[offers.Offer]
) -> model.Runner:
    """Returns the least loaded holder, of the same data centre if any is."""
    data_centre = offer.runner.data_centre
    near = [
        holder for holder in holders if holder.runner.data_centre == data_centre
    ]
    return min(near or holders, key=lambda holder: holder.reading).runner
