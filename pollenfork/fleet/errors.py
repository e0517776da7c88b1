"""What can be wrong with a runner's entry."""

import enum

from pollenfork import failures


class EntryFault(enum.Enum):
    """Why an entry names no runner."""

    NOT_DECODABLE = "not_decodable"  # Its bytes are no object.
    MISSING_FIELD = "missing_field"
    OTHER_TYPE = "other_type"  # A field holds another type than it should.
    OUT_OF_RANGE = "out_of_range"
    UNKNOWN_STATE = "unknown_state"
    NO_ADDRESS = "no_address"  # Its address is none that can be connected to.


class BadEntry(failures.Failure, frozen=True, kw_only=True):
    """An entry that names no runner to use.

    Attributes:
        fault: Why.
    """

    fault: EntryFault
