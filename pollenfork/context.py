"""The environment that a command runs in."""

from collections.abc import Mapping
import dataclasses
import os
import sys
from typing import TextIO


@dataclasses.dataclass
class Environment:
    """Streams and variables of one run; tests replace them.

    Attributes:
        variables: Environment variables.
        stdout_is_terminal: Whether to format results for people.
        stderr_is_terminal: Whether to show progress.
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
        """Writes a one-line error message to stderr."""
        self.stderr.write(f"pollenfork: {detail}\n")
