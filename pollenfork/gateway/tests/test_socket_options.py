"""Options of real sockets that decide when a dead connection is known.

Neither this project nor a library sets any: docs/design/unreachable-runners.md
lists the time-outs of its own that decide it.
"""

import asyncio
import socket

import pytest

from pollenfork.gateway import client
from pollenfork.gateway import pool
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.routes import model

SAFE = support.make_route(model.Kind.REPEATABLE)
OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
]


async def open_runner(gateway, address, sockets) -> None:
    runner = gateway.runners.list_all()[0]
    opened = await pool.Pool(gateway.deps.loop).open(runner, 1.0)
    sockets.append(opened.ok_value._transport.get_extra_info("socket"))


async def open_caller(gateway, address, sockets) -> None:
    await asyncio.open_connection("127.0.0.1", gateway.port)
    while not gateway.callers.connections:
        await asyncio.sleep(0.01)
    (caller,) = gateway.callers.connections
    sockets.append(caller._transport.get_extra_info("socket"))


async def open_client(gateway, address, sockets) -> None:
    """Opens a connection as to the store, the platform or another instance."""
    opened = await client.Client(loads.Address(*address))._connect()
    sockets.append(opened._transport.get_extra_info("socket"))


# Guards against a TCP_USER_TIMEOUT that a library sets: it would also decide
# when keep-alive probes give up, and abort connections to slow readers.
@pytest.mark.parametrize("open_one", [open_runner, open_caller, open_client])
@pytest.mark.parametrize(("level", "option"), OPTIONS)
def test_no_option_cuts_a_connection_that_is_slow(
    open_one, level, option
) -> None:
    async def read() -> int:
        runner = support.Runner("a")
        async with support.run_gateway(SAFE, runner) as gateway:
            entry = gateway.runners.list_all()[0]
            sockets: list = []
            await open_one(gateway, entry.address, sockets)
            return sockets[0].getsockopt(level, option)

    assert asyncio.run(read()) == 0
