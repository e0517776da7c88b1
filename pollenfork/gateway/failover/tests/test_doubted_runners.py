"""Streams that go on at a runner whose process comes into doubt meanwhile."""

import asyncio
import time

from pollenfork import ids
from pollenfork.fleet import signs
from pollenfork.gateway.failover.tests import pausing
from pollenfork.gateway.tests import support

STREAM = pausing.make_stream_route(attempts=3)
FOREIGN = b"id: 3\ndata: of another version\n\n"
REST = support.write_stream(support.write_events(3, pausing.LAST), whole=True)
R1 = ids.EndpointId("r1")


def doubt(gateway: support.Gateway) -> None:
    """Lets another instance report that the second runner has ended."""
    now = gateway.deps.loop.time()
    gateway.judged.record_refused(R1, now, time.time(), reported=True)


# Guards against streams of two versions: an attempt that is ended as it takes
# the place of a silent one, since its runner is in doubt, was still forwarded.
def test_nothing_is_forwarded_of_a_successor_that_is_in_doubt() -> None:
    async def run():
        silent = pausing.PausingRunner("r0", pausing.write_first(2), b"")
        foreign = support.write_stream(FOREIGN, whole=False)
        doubted = pausing.PausingRunner("r1", b"", foreign)
        certain = support.Runner("r2", REST)
        async with support.run_gateway(STREAM, silent) as gateway:
            asking = asyncio.create_task(support.ask(gateway))
            await pausing.wait_until(lambda: silent.got)
            gateway.runners.put(await doubted.start())
            await pausing.wait_until(lambda: doubted.got)
            gateway.runners.put(await certain.start())
            doubt(gateway)
            doubted.goes_on.set()
            answer = await asking
            doubted.stop()
            certain.stop()
            return answer

    answer = asyncio.run(run())
    assert b"of another version" not in answer
    assert pausing.is_whole(answer)
