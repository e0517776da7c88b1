"""Runs a gateway on the operations platform."""

import signal

# SIGHUP, which announces changed settings, may arrive while the modules below
# load (a third of a second) and would end the process by default.
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
    """Runs the gateway until it is stopped; returns the exit status."""
    loaded = _read_settings()
    if isinstance(loaded, result.Err):
        sys.stderr.write(f"pollenfork: {loaded.err_value.detail}\n")
        return status.ExitStatus.ERROR
    config = loaded.ok_value
    handler = logs.configure_bounded(sys.stdout, config.instance)
    with asyncio.Runner(loop_factory=eventloop.EventLoop) as runner:
        runner.run(_serve(config, handler))
    return status.ExitStatus.SUCCESS


def _read_settings() -> boot.Loaded:
    path = os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH)
    return boot.load(pathlib.Path(path))


async def _serve(
    config: settings.GatewaySettings, handler: logs.BoundedHandler
) -> None:
    row_store = store.Store(f"{config.store.host}:{config.store.port}")
    gateway = application.Application(
        config,
        heads,
        row_store,
        caches,
        lambda duties: cloud.Cloud(
            f"{duties.platform.host}:{duties.platform.port}", config.instance
        ),
        random.Random(),
        _read_settings,
    )
    gateway.counters.when_scraped(
        lambda metrics: metrics.set_count(
            "pollenfork_log_lines_missing_total", handler.missing
        )
    )
    await gateway.run()


if __name__ == "__main__":
    sys.exit(main())
