"""Versions of the store's rows, in an order that holds across restorations.

A store that is restored from a copy gives versions out again. Each restoration
begins a new epoch. Here a version contains its epoch in the upper bits, so that
every version of a later epoch is newer.
"""

_NUMBER_BITS = 44
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def combine(epoch: int, number: int) -> int:
    """Returns the version that the store numbered in an epoch."""
    return epoch << _NUMBER_BITS | number


def get_epoch(version: int) -> int:
    """Returns the epoch of a version; 0 if the store doesn't name epochs."""
    return version >> _NUMBER_BITS


def get_number(version: int) -> int:
    """Returns the number that the store gave a version in its epoch."""
    return version & _NUMBER_MASK


def is_same_epoch(version: int, other: int) -> bool:
    """Returns whether two versions belong to the same epoch."""
    return get_epoch(version) == get_epoch(other)
