"""Runs a gateway on the operations platform."""

import signal

# News of changed settings may come while the modules below load, for a third
# of a second, and would end a process that doesn't expect it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import asyncio  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402

import result  # noqa: E402

from pollenfork import logs  # noqa: E402
from pollenfork import status  # noqa: E402
from pollenfork.gateway import application  # noqa: E402
from pollenfork.gateway import eventloop  # noqa: E402
from pollenfork.gateway import settings  # noqa: E402
from pollenfork.platform import boot  # noqa: E402
from pollenfork.platform import caches  # noqa: E402
from pollenfork.platform import cloud  # noqa: E402
from pollenfork.platform import heads  # noqa: E402
from pollenfork.platform import names  # noqa: E402
from pollenfork.platform import store  # noqa: E402


def main() -> int:
    """Runs until told to stop; returns the exit status."""
    read = _read_settings()
    if isinstance(read, result.Err):
        sys.stderr.write(f"pollenfork: {read.err_value.detail}\n")
        return status.ExitStatus.ERROR
    told = read.ok_value
    handler = logs.configure_bounded(sys.stdout, told.instance)
    with asyncio.Runner(loop_factory=eventloop.EventLoop) as runner:
        runner.run(_serve(told, handler))
    return status.ExitStatus.SUCCESS


def _read_settings() -> result.Result[
    settings.GatewaySettings, boot.BadSettings
]:
    path = os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH)
    return boot.read(pathlib.Path(path))


async def _serve(
    told: settings.GatewaySettings, handler: logs.BoundedHandler
) -> None:
    rows = store.Store(f"{told.store.host}:{told.store.port}")
    made = application.Application(
        told,
        heads,
        rows,
        caches,
        lambda duties: cloud.Cloud(
            f"{duties.platform.host}:{duties.platform.port}", told.instance
        ),
        random.Random(),
        _read_settings,
    )
    made.counters.when_scraped(
        lambda shown: shown.set_count(
            "pollenfork_log_lines_missing_total", handler.missing
        )
    )
    await made.run()


if __name__ == "__main__":
    sys.exit(main())
