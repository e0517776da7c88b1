"""Implements the commands that serve until SIGTERM or SIGINT."""

from typing import Protocol

from pollenfork import clock
from pollenfork import config
from pollenfork import context
from pollenfork import status
from pollenfork.cli import definition
from pollenfork.cli import signals


class _Standin(Protocol):
    def start(self) -> str:
        """Starts listening and returns the address."""

    def stop(self) -> None:
        """Stops listening."""


def run_entry(
    command: definition.Entry, env: context.Environment
) -> status.ExitStatus:
    """Runs one entry instance."""
    from pollenfork import instance

    return instance.run_entry(command.settings, env.stdout, env.stderr)


def run_platform(
    command: definition.StandinPlatform, env: context.Environment
) -> status.ExitStatus:
    """Runs the platform stand-in."""
    from pollenfork.standin.platform import config as configs
    from pollenfork.standin.platform import front

    read = config.read_file(command.settings, configs.PlatformConfig)
    if read.is_err():
        return _report_bad_settings(read.unwrap_err(), env)
    standin = front.PlatformStandin(read.unwrap(), clock.SystemClock())
    return _run_until_stopped(standin, env)


def run_engine(
    command: definition.StandinEngine, env: context.Environment
) -> status.ExitStatus:
    """Runs one engine stand-in."""
    from pollenfork.standin.engine import config as configs
    from pollenfork.standin.engine import front

    read = config.read_file(command.settings, configs.EngineConfig)
    if read.is_err():
        return _report_bad_settings(read.unwrap_err(), env)
    standin = front.EngineStandin(read.unwrap(), clock.SystemClock())
    return _run_until_stopped(standin, env)


def run_service(
    command: definition.StandinService, env: context.Environment
) -> status.ExitStatus:
    """Runs one plain-service stand-in."""
    from pollenfork.standin import service

    standin = service.ServiceStandin(command.listen, clock.SystemClock())
    return _run_until_stopped(standin, env)


def _report_bad_settings(
    failure: config.BadSettingsFile, env: context.Environment
) -> status.ExitStatus:
    env.fail(failure.detail)
    return status.ExitStatus.USAGE


def _run_until_stopped(
    standin: _Standin, env: context.Environment
) -> status.ExitStatus:
    try:
        address = standin.start()
    except (OSError, ValueError) as error:
        env.fail(f"can't listen: {error}")
        return status.ExitStatus.ERROR
    env.stdout.write(f"listening on {address}\n")
    env.stdout.flush()
    signals.wait_for_stop()
    standin.stop()
    return status.ExitStatus.SUCCESS
