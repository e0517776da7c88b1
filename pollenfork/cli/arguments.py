"""Arguments and help texts that several commands share."""

import enum
from typing import Annotated

import cappa


class Format(enum.Enum):
    """Output format of results."""

    TABLE = "table"
    JSON = "json"


OutputFormat = Annotated[
    Format,
    cappa.Arg(
        long="--format",
        help="A table for people, or JSON.",
        show_default=False,
    ),
]


def make_examples(*lines: str) -> str:
    """Returns the examples that end a command's help text."""
    shown = "\n".join(f"    pollenfork {line}" for line in lines)
    return f"Examples:\n\n{shown}"
