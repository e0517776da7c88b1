"""Behaviour of `explain`, `losses`, `news` and `duties`."""

import pathlib

import msgspec

from pollenfork import context
from pollenfork import status
from pollenfork.cli import definition
from pollenfork.logbook import causes
from pollenfork.logbook import duties
from pollenfork.logbook import lines
from pollenfork.logbook import losses
from pollenfork.logbook import losses_report
from pollenfork.logbook import propagation
from pollenfork.logbook import propagation_report
from pollenfork.logbook import trace
from pollenfork.logbook import trace_report

_INPUT = pathlib.Path("-")


def run_explain(
    command: definition.Explain, env: context.Environment
) -> status.ExitStatus:
    """Writes one request's course through the logs, and its cause."""
    log = _read_all(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    found = trace.collect(command.request, log)
    if command.format is definition.Format.JSON:
        told = {"course": found, "cause": causes.explain(found)}
        body = msgspec.json.format(msgspec.json.encode(told))
        env.stdout.write(body.decode() + "\n")
    else:
        trace_report.write(found, env.stdout)
    return status.ExitStatus.SUCCESS if found.lines else status.ExitStatus.ERROR


def run_losses(
    command: definition.Losses, env: context.Environment
) -> status.ExitStatus:
    """Writes how all requests in the logs ended."""
    log = _read_all(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    losses_report.write(losses.count(log), env.stdout)
    return status.ExitStatus.SUCCESS


def run_news(
    command: definition.News, env: context.Environment
) -> status.ExitStatus:
    """Writes when each instance had each change."""
    log = _read_all(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    propagation_report.write(propagation.list_changes(log), env.stdout)
    return status.ExitStatus.SUCCESS


def run_duties(
    command: definition.Duties, env: context.Environment
) -> status.ExitStatus:
    """Writes what one instance at a time did for all."""
    log = _read_all(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    events = duties.list_events(log)
    for event in events:
        mark = "!" if event.is_problem else " "
        after_s = event.at - events[0].at
        env.stdout.write(
            f"{mark} {after_s:8.1f} s  {event.instance}  {event.text}\n"
        )
    return status.ExitStatus.SUCCESS


def _read_all(
    files: list[pathlib.Path], env: context.Environment
) -> list[lines.Line] | None:
    """Returns the lines of all files; None where that was told to fail."""
    log: list[lines.Line] = []
    for path in files:
        try:
            log += _read(path, env)
        except OSError as error:
            env.fail(f"{path} can't be read: {error.strerror}")
            return None
    if not log:
        env.fail("these files hold no log lines; give what an instance wrote")
        return None
    return log


def _read(path: pathlib.Path, env: context.Environment) -> list[lines.Line]:
    if path == _INPUT:
        return list(lines.parse(env.stdin, "-"))
    with path.open(errors="replace") as source:
        return list(lines.parse(source, path.stem))
