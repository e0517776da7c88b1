"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the process."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3  # The server refused the request.
    UNREACHABLE = 4  # No response from the address.
    CONFLICT = 5  # Another operator wrote first.
    BELOW_TARGET = 6  # A load run missed its required attainment.
