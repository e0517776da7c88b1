"""Errors in a runner's registry entry."""

import enum

from pollenfork import failures


class EntryFault(enum.Enum):
    """Why a registry entry is invalid."""

    NOT_DECODABLE = "not_decodable"  # The payload isn't an object.
    MISSING_FIELD = "missing_field"
    OTHER_TYPE = "other_type"  # A field has the wrong type.
    OUT_OF_RANGE = "out_of_range"
    UNKNOWN_STATE = "unknown_state"
    NO_ADDRESS = "no_address"  # The address can't be connected to.


class BadEntry(failures.Failure, frozen=True, kw_only=True):
    """A registry entry that describes no usable runner.

    Attributes:
        fault: What is wrong with the entry.
    """

    fault: EntryFault
