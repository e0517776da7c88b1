"""Implements the log commands `explain`, `losses`, `news`, `duties`."""

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

_STDIN_PATH = pathlib.Path("-")


def run_explain(
    command: definition.Explain, env: context.Environment
) -> status.ExitStatus:
    """Writes the trace of one request in the logs and why it ended so."""
    log = _read_logs(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    collected = trace.collect(command.request, log)
    if command.format is definition.Format.JSON:
        output = {"course": collected, "cause": causes.explain(collected)}
        body = msgspec.json.format(msgspec.json.encode(output))
        env.stdout.write(body.decode() + "\n")
    else:
        trace_report.write(collected, env.stdout)
    return (
        status.ExitStatus.SUCCESS
        if collected.lines
        else status.ExitStatus.ERROR
    )


def run_losses(
    command: definition.Losses, env: context.Environment
) -> status.ExitStatus:
    """Writes counts of how the requests in the logs ended."""
    log = _read_logs(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    losses_report.write(losses.count(log), env.stdout)
    return status.ExitStatus.SUCCESS


def run_news(
    command: definition.News, env: context.Environment
) -> status.ExitStatus:
    """Writes when each instance received each change."""
    log = _read_logs(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    propagation_report.write(propagation.list_changes(log), env.stdout)
    return status.ExitStatus.SUCCESS


def run_duties(
    command: definition.Duties, env: context.Environment
) -> status.ExitStatus:
    """Writes the cluster-wide work of the instances that held the duties."""
    log = _read_logs(command.file, env)
    if log is None:
        return status.ExitStatus.USAGE
    events = duties.list_events(log)
    for event in events:
        marker = "!" if event.is_problem else " "
        elapsed_s = event.at - events[0].at
        env.stdout.write(
            f"{marker} {elapsed_s:8.1f} s  {event.instance}  {event.text}\n"
        )
    return status.ExitStatus.SUCCESS


def _read_logs(
    files: list[pathlib.Path], env: context.Environment
) -> list[lines.Line] | None:
    """Returns the lines of all files; reports an error and returns None."""
    log: list[lines.Line] = []
    for path in files:
        try:
            log += _parse_log(path, env)
        except OSError as error:
            env.fail(f"{path} can't be read: {error.strerror}")
            return None
    if not log:
        env.fail("these files hold no log lines; give what an instance wrote")
        return None
    return log


def _parse_log(
    path: pathlib.Path, env: context.Environment
) -> list[lines.Line]:
    if path == _STDIN_PATH:
        return list(lines.parse(env.stdin, "-"))
    with path.open(errors="replace") as source:
        return list(lines.parse(source, path.stem))
