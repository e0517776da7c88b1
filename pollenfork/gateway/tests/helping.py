"""Stand-ins of other instances that a gateway may ask for help."""

import asyncio
import random

import msgspec

from pollenfork import ids
from pollenfork.gateway import forwarding
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.loads import reach_messages
from pollenfork.reach import helpers

ACCEPT = b"HTTP/1.1 100 Continue\r\n\r\n"


class Helper:
    """Another instance: asks for the body, or not, and then answers.

    Attributes:
        heads: The heads received.
        bodies: The bodies received, in chunked encoding.
        gone: Set once its connection is closed.
    """

    def __init__(self, answer: bytes | None, *, accepts: bool = True) -> None:
        self.answer = answer
        self.accepts = accepts
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.gone = asyncio.Event()

    async def start(self) -> loads.Address:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.server = server
        return loads.Address(*server.sockets[0].getsockname()[:2])

    async def _serve(self, reader, writer) -> None:
        try:
            self.heads.append(await reader.readuntil(b"\r\n\r\n"))
            if not self.accepts:
                await reader.read()
                return
            writer.write(ACCEPT)
            self.bodies.append(await reader.readuntil(b"0\r\n\r\n"))
            if self.answer is None:
                await reader.read()
                return
            writer.write(self.answer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.gone.set()
            writer.close()


async def join_helpers(gateway: support.Gateway, *given: Helper) -> None:
    """Lets a gateway forward requests to helpers, the first one preferred."""
    known = helpers.Helpers(ids.DataCentre("a"), random.Random(1))
    addresses = {}
    for number, helper in enumerate(given):
        addresses[f"h{number}"] = await helper.start()
    forwarder = forwarding.Forwarder(
        gateway.deps.loop,
        gateway.deps.codec,
        known,
        ids.InstanceId("me"),
        ids.DataCentre("a"),
    )
    forwarder.join(
        forwarding.Peers(
            lambda data_centre: list(addresses),
            addresses.get,
            lambda host, query: None,
        )
    )
    # The first is preferred: the others are busy.
    for number, host in enumerate(addresses):
        offer = reach_messages.HelpOffer("a", 50 * number, keeps_versions=True)
        known.record_offer(host, offer, gateway.deps.loop.time())
    gateway.deps = msgspec.structs.replace(gateway.deps, forwarder=forwarder)
