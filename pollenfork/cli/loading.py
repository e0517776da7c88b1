"""Implements `load`; `trial` uses its functions too."""

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
    """Runs a load scenario and writes its report."""
    read = config.read_file(command.scenario, scenarios.Scenario)
    if read.is_err():
        env.fail(read.unwrap_err().detail)
        return status.ExitStatus.USAGE
    invalid_urls = [
        url for url in (*command.to, *command.engine) if not _has_port(url)
    ]
    if invalid_urls:
        env.fail(f"{invalid_urls[0]!r} is no URL like http://127.0.0.1:8000")
        return status.ExitStatus.USAGE
    try:
        report = send(read.unwrap(), command.to, command.engine, env)
    except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
        env.fail(f"an engine doesn't tell its runs: {error}")
        return status.ExitStatus.UNREACHABLE
    write(report, command.format, env)
    lowest = min(
        (results.attainment for results in report.classes.values()), default=0.0
    )
    if lowest < command.expect:
        return status.ExitStatus.BELOW_TARGET
    return status.ExitStatus.SUCCESS


def send(
    scenario: scenarios.Scenario,
    entries: list[str],
    engines: list[str],
    env: context.Environment,
) -> reports.Report:
    """Runs a load scenario with its progress shown on stderr."""
    with progress.show_progress(env, "requests ended") as report_progress:
        return runner.run(
            scenario,
            tuple(_parse_address(url) for url in entries),
            tuple(_parse_address(url) for url in engines),
            clock.SystemClock(),
            report_progress,
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
    """Returns whether a URL or `host:port` has both a host and a port."""
    try:
        parts = urllib.parse.urlsplit(f"//{_parse_address(url)}")
        return bool(parts.hostname and parts.port)
    except ValueError:
        return False


def _parse_address(url: str) -> str:
    """Returns `host:port` of a URL or of an address without a scheme."""
    return urllib.parse.urlsplit(url).netloc or url
