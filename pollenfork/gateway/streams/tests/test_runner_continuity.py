"""What connections that break show of the processes at their ends."""

import asyncio
import socket
import struct

from pollenfork.gateway.failover.tests import pausing
from pollenfork.gateway.tests import support
from pollenfork.routes import model

SAFE = support.make_route(model.Kind.REPEATABLE)
# Closing a socket that doesn't linger sends a reset.
NO_LINGER = struct.pack("ii", 1, 0)
# Longer than the time after which a reset may come from an earlier process.
IDLE_S = 0.3


class ResettingRunner(support.Runner):
    """Keeps its connections, until it resets them all."""

    def __init__(self, *script: bytes) -> None:
        super().__init__("r0", *script)
        self.keeps = True
        self.writers: list[asyncio.StreamWriter] = []

    async def _serve(self, reader, writer) -> None:
        self.writers.append(writer)
        await super()._serve(reader, writer)

    def reset_connections(self) -> None:
        for writer in self.writers:
            opened = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
        self.writers.clear()


# Guards against a runner in doubt for seconds, whose streams can't be taken up
# meanwhile, because it has reset connections that nobody used.
def test_a_runner_that_resets_idle_connections_is_certain_soon() -> None:
    async def run() -> bool:
        runner = ResettingRunner(support.write_answer(b"good"))
        async with support.run_gateway(SAFE, runner) as gateway:
            assert (await support.ask(gateway)).endswith(b"good")
            await asyncio.sleep(IDLE_S)
            runner.reset_connections()
            await pausing.wait_until(lambda: gateway.judged.counts)
            (known,) = gateway.runners.list_all()
            assert not gateway.judged.is_certain(known)
            await asyncio.sleep(2 * IDLE_S)
            return gateway.judged.is_certain(known)

    assert asyncio.run(run())
