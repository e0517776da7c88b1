"""Behaviour of `load`, and of whatever else shows a load run."""

import urllib.parse

import msgspec
import urllib3

from pollenfork import clock
from pollenfork import config
from pollenfork import context
from pollenfork import status
from pollenfork.cli import definition
from pollenfork.cli import progress
from pollenfork.load import report as reports
from pollenfork.load import runner
from pollenfork.load import scenario as scenarios
from pollenfork.load import table


def run_load(
    command: definition.Load, env: context.Environment
) -> status.ExitStatus:
    """Sends a scenario's load and writes its report."""
    read = config.read_file(command.scenario, scenarios.Scenario)
    if read.is_err():
        env.fail(read.unwrap_err().detail)
        return status.ExitStatus.USAGE
    unusable = [
        url for url in (*command.to, *command.engine) if not _has_port(url)
    ]
    if unusable:
        env.fail(f"{unusable[0]!r} is no URL like http://127.0.0.1:8000")
        return status.ExitStatus.USAGE
    try:
        report = send(read.unwrap(), command.to, command.engine, env)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
        env.fail(f"an engine doesn't tell its runs: {error}")
        return status.ExitStatus.UNREACHABLE
    write(report, command.format, env)
    reached = min(
        (figures.attainment for figures in report.classes.values()), default=0.0
    )
    if reached < command.expect:
        return status.ExitStatus.BELOW_TARGET
    return status.ExitStatus.SUCCESS


def send(
    scenario: scenarios.Scenario,
    entries: list[str],
    engines: list[str],
    env: context.Environment,
) -> reports.Report:
    """Sends a scenario's load, with its progress on the error stream."""
    with progress.show_progress(env, "requests ended") as show:
        return runner.run(
            scenario,
            tuple(_read_address(url) for url in entries),
            tuple(_read_address(url) for url in engines),
            clock.SystemClock(),
            show,
        )


def write(
    report: reports.Report,
    output_format: definition.Format,
    env: context.Environment,
) -> None:
    """Writes a report as a table or as JSON."""
    if output_format is definition.Format.JSON:
        body = msgspec.json.format(msgspec.json.encode(report))
        env.stdout.write(body.decode() + "\n")
    else:
        table.write_report(report, env.stdout, env.stdout_is_terminal)


def _has_port(url: str) -> bool:
    """Returns whether the URL, or bare address, names a host and a port."""
    try:
        parts = urllib.parse.urlsplit(f"//{_read_address(url)}")
        return bool(parts.hostname and parts.port)
    except ValueError:
        return False


def _read_address(url: str) -> str:
    """Returns `host:port` of a URL, or of a bare address."""
    return urllib.parse.urlsplit(url).netloc or url
