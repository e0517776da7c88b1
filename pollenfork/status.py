"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """What the process reports to its caller."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3  # The system answered, and said no.
    UNREACHABLE = 4  # Nothing answered at the address.
    CONFLICT = 5  # Another operator was first.
    BELOW_TARGET = 6  # A load run missed the attainment asked for.
