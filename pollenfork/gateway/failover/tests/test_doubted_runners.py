"""Streams that go on at a runner whose process comes into doubt meanwhile."""

import asyncio
import time

from pollenfork import ids
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


# Guards against spending an attempt, and giving up a silent one for it, at a
# runner that comes into doubt while it is connected to.
def test_nothing_is_sent_to_a_runner_that_comes_into_doubt() -> None:
    async def run():
        silent = pausing.PausingRunner("r0", pausing.write_first(2), b"")
        other = support.Runner("r1", REST)
        async with support.run_gateway(STREAM, silent) as gateway:
            connect = gateway.deps.pool.open
            sent_in_doubt = []

            async def open_in_doubt(runner, limit_s):
                if runner.id == R1 and not gateway.judged.counts:
                    doubt(gateway)
                    gateway.deps.loop.call_later(0.15, confirm)
                return await connect(runner, limit_s)

            def confirm() -> None:
                sent_in_doubt.extend(other.got)
                later = gateway.deps.loop.time() + 10.0
                gateway.judged.sweep(later, is_current=True)

            gateway.deps.pool.open = open_in_doubt
            asking = asyncio.create_task(support.ask(gateway))
            await pausing.wait_until(lambda: silent.got)
            gateway.runners.put(await other.start())
            answer = await asking
            other.stop()
            return answer, sent_in_doubt, gateway.judged.counts

    answer, sent_in_doubt, counts = asyncio.run(run())
    assert counts
    assert not sent_in_doubt
    assert pausing.is_whole(answer)


# Guards against cutting a stream whose runner broke while the only other one
# of its version is in doubt for a moment, as runners that live on are.
def test_a_broken_stream_waits_for_a_runner_to_be_certain() -> None:
    async def run():
        broken = support.write_stream(support.write_events(0, 2), whole=False)
        breaking = pausing.PausingRunner("r0", broken, b"")
        other = support.Runner("r1", REST)
        async with support.run_gateway(STREAM, breaking) as gateway:
            asking = asyncio.create_task(support.ask(gateway))
            await pausing.wait_until(lambda: breaking.got)
            gateway.runners.put(await other.start())
            doubt(gateway)
            breaking.goes_on.set()
            await asyncio.sleep(0.2)
            sent_in_doubt = list(other.got)
            later = gateway.deps.loop.time() + 10.0
            gateway.judged.sweep(later, is_current=True)
            answer = await asking
            other.stop()
            return answer, sent_in_doubt

    answer, sent_in_doubt = asyncio.run(run())
    assert not sent_in_doubt
    assert pausing.is_whole(answer)
