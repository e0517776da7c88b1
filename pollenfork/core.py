"""Runs one command line: parses it, then calls the command's behaviour."""

from collections.abc import Sequence
import pkgutil
from typing import Any

import cappa
import rich.console

from pollenfork import __version__
from pollenfork import context
from pollenfork import logs
from pollenfork import status
from pollenfork.cli import definition


def main(args: Sequence[str], env: context.Environment) -> status.ExitStatus:
    """Runs the command that `args` name, without the program's own name."""
    try:
        parsed = cappa.parse(
            definition.Pollenfork,
            argv=list(args),
            version=__version__,
            completion=False,
            output=_make_output(env),
        )
    except cappa.Exit as end:
        return (
            status.ExitStatus.USAGE if end.code else status.ExitStatus.SUCCESS
        )
    logs.configure(env.stderr)
    command = _find_command(parsed)
    behave = pkgutil.resolve_name(command.BEHAVIOUR)
    try:
        return status.ExitStatus(behave(command, env))
    except KeyboardInterrupt:
        return status.ExitStatus.ERROR


def _find_command(parsed: Any) -> Any:
    """Returns the innermost command chosen."""
    while hasattr(parsed, "command"):
        parsed = parsed.command
    return parsed


def _make_output(env: context.Environment) -> cappa.Output:
    return cappa.Output(
        output_console=_make_console(env.stdout),
        error_console=_make_console(env.stderr),
    )


def _make_console(stream: Any) -> rich.console.Console:
    return rich.console.Console(file=stream, theme=cappa.output.theme)
