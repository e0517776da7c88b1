"""What a command may touch of its surroundings."""

from collections.abc import Mapping
import dataclasses
import os
import sys
from typing import TextIO


@dataclasses.dataclass
class Environment:
    """Streams and variables of one run; tests put their own in.

    Attributes:
        variables: Environment variables.
        stdout_is_terminal: Results are read by a person.
        stderr_is_terminal: Progress is seen by a person.
    """

    stdin: TextIO = dataclasses.field(default_factory=lambda: sys.stdin)
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )
    stdout_is_terminal: bool = dataclasses.field(
        default_factory=lambda: sys.stdout.isatty()
    )
    stderr_is_terminal: bool = dataclasses.field(
        default_factory=lambda: sys.stderr.isatty()
    )

    def fail(self, detail: str) -> None:
        """Tells a person what went wrong, in one line."""
        self.stderr.write(f"pollenfork: {detail}\n")
