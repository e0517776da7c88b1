"""Runs a gateway on the operations platform."""

import asyncio
import os
import pathlib
import random
import sys

import result

from pollenfork import logs
from pollenfork import status
from pollenfork.gateway import application
from pollenfork.gateway import settings
from pollenfork.platform import boot
from pollenfork.platform import heads
from pollenfork.platform import names
from pollenfork.platform import store


def main() -> int:
    """Runs until told to stop; returns the exit status."""
    path = os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH)
    read = boot.read(pathlib.Path(path))
    if isinstance(read, result.Err):
        sys.stderr.write(f"pollenfork: {read.err_value.detail}\n")
        return status.ExitStatus.ERROR
    logs.configure_bounded(sys.stdout)
    asyncio.run(_serve(read.ok_value))
    return status.ExitStatus.SUCCESS


async def _serve(told: settings.GatewaySettings) -> None:
    rows = store.Store(f"{told.store.host}:{told.store.port}")
    await application.Application(told, heads, rows, random.Random()).run()


if __name__ == "__main__":
    sys.exit(main())
