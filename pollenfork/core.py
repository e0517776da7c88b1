"""Parses a command line and calls the function of its command."""

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
    """Runs the command given by `args`, which exclude the program name."""
    try:
        parsed = cappa.parse(
            definition.Pollenfork,
            argv=list(args),
            version=__version__,
            completion=False,
            output=_make_output(env),
        )
    except cappa.Exit as exit_request:
        return (
            status.ExitStatus.USAGE
            if exit_request.code
            else status.ExitStatus.SUCCESS
        )
    logs.configure(env.stderr)
    command = _find_command(parsed)
    run = pkgutil.resolve_name(command.BEHAVIOUR)
    try:
        return status.ExitStatus(run(command, env))
    except KeyboardInterrupt:
        return status.ExitStatus.ERROR


def _find_command(parsed: Any) -> Any:
    """Returns the innermost subcommand."""
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
