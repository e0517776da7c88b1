"""A runner that falls silent within an answer until a test lets it go on."""

import asyncio

from pollenfork.gateway.tests import support
from pollenfork.routes import model

LAST = 4


def make_stream_route(**given) -> model.Route:
    """Returns the route of streams that may be taken up."""
    return support.make_route(model.Kind.STREAM, resumable=True, **given)


def write_first(last: int) -> bytes:
    """Returns the head of a stream and its events up to one of them."""
    return support.write_stream(support.write_events(0, last), whole=False)


def write_rest(first: int) -> bytes:
    """Returns the events of a stream from one on, and its end."""
    body = support.write_events(first, LAST)
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


WHOLE = support.write_events(0, LAST)


def is_whole(answer: bytes) -> bool:
    """Returns whether a caller has got each event once, and the end."""
    body = answer.partition(b"\r\n\r\n")[2]
    events = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return events == WHOLE
        events += body[:length]
        body = body[length + 2 :]
    return False


class PausingRunner(support.Runner):
    """Sends the first part of each answer, and the rest once it goes on.

    Attributes:
        goes_on: Set by a test.
        cut: Attempts whose connection was closed before their end.
    """

    def __init__(self, name: str, first: bytes, rest: bytes) -> None:
        super().__init__(name)
        self.first = first
        self.rest = rest
        self.goes_on = asyncio.Event()
        self.cut = 0

    async def _serve(self, reader, writer) -> None:
        try:
            self.got.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.first)
            left = asyncio.create_task(reader.read())
            resumed = asyncio.create_task(self.goes_on.wait())
            done, _ = await asyncio.wait(
                {left, resumed}, return_when=asyncio.FIRST_COMPLETED
            )
            if left in done:
                self.cut += 1
                return
            left.cancel()
            writer.write(self.rest)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.cut += 1
        finally:
            self.closed.set()
            writer.close()


async def wait_until(is_true) -> None:
    """Returns once something holds."""
    async with asyncio.timeout(10):
        while not is_true():
            await asyncio.sleep(0.01)
