"""Cuts one gateway off from all runners; everybody else still reaches it.

The gateway's process makes no new connections to runners, and the runners'
proxies harm its open ones.
"""

import asyncio
import enum
import os
import pathlib

# Runners have addresses that end in this number or a higher one.
FIRST_RUNNER = 100
_HOST = "SOAK_HOST"
_FILE = "SOAK_CUT"


class Cut(enum.Enum):
    """What happens to a gateway's connections to runners."""

    HANG = "hang"  # Neither open nor new ones pass anything.
    RESET = "reset"  # Open ones are reset, new ones refused.
    LIVE = "live"  # Open ones live on, new ones are refused.
    DROP = "drop"  # Open ones are reset, new ones accepted and reset.


def make_environment(host: str, cut: pathlib.Path) -> dict[str, str]:
    """Returns the variables that `install` reads in the gateway's process."""
    return {_HOST: host, _FILE: str(cut)}


def install() -> None:
    """Lets this process connect from its own address, unless it is cut off."""
    host = os.environ[_HOST]
    cut = pathlib.Path(os.environ[_FILE])
    connect = asyncio.BaseEventLoop.create_connection

    async def create_connection(loop, factory, to=None, port=None, **given):
        if to is not None and int(to.rpartition(".")[2]) >= FIRST_RUNNER:
            await _pass_cut(cut)
        given.setdefault("local_addr", (host, 0))
        return await connect(loop, factory, to, port, **given)

    asyncio.BaseEventLoop.create_connection = create_connection


async def _pass_cut(cut: pathlib.Path) -> None:
    kind = cut.read_text() if cut.exists() else ""
    if kind == Cut.HANG.value:
        await asyncio.sleep(3600.0)
    if kind in (Cut.RESET.value, Cut.LIVE.value):
        raise ConnectionRefusedError
