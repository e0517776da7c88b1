"""Answers are complete, and runs go on, only with proof."""

import asyncio

import pytest

from pollenfork import ids
from pollenfork.gateway.failover.tests import pausing
from pollenfork.gateway.tests import support
from pollenfork.routes import model

STREAM = pausing.make_stream_route()
HALF_EVENT = support.write_events(3, 4)[:8]


def write_unframed(body: bytes, events: bool = True) -> bytes:
    """Returns an answer without a length or chunks."""
    kind = "content-type: text/events\r\n" if events else ""
    head = f"HTTP/1.1 200 OK\r\nx-id: q\r\nx-seal: z\r\n{kind}\r\n"
    return head.encode() + body


class LateRunner(support.Runner):
    """Answers after a while, and closes the connection."""

    def __init__(self, name: str, after_s: float, answer: bytes) -> None:
        super().__init__(name)
        self.after_s = after_s
        self.answer = answer

    async def _serve(self, reader, writer) -> None:
        try:
            self.got.append(await reader.readuntil(b"\r\n\r\n"))
            await asyncio.sleep(self.after_s)
            writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class CrashingRunner(support.Runner):
    """Listens no more from its first request on, which it answers."""

    async def _serve(self, reader, writer) -> None:
        self.stop()
        await super()._serve(reader, writer)


class DroppingRunner(support.Runner):
    """Drops all connections but the first one, as an ending process does."""

    async def _serve(self, reader, writer) -> None:
        if self.connections:
            self.connections += 1
            writer.transport.abort()
            return
        await super()._serve(reader, writer)


# Guards against a silent runner that is left for one which sends no event: the
# caller's stream was cut, though the silent runner went on.
@pytest.mark.parametrize(
    "answer",
    [
        write_unframed(HALF_EVENT),
        write_unframed(b""),
        support.write_stream(HALF_EVENT, whole=True),
        support.write_stream(HALF_EVENT, whole=False),
        support.write_stream(b"thread: 1\n\n", whole=True),
    ],
)
@pytest.mark.parametrize("begun", [True, False])
def test_a_run_without_an_event_replaces_no_silent_one(answer, begun) -> None:
    async def run():
        empty = support.write_stream(b"", whole=False).removesuffix(
            b"0\r\n\r\n"
        )
        silent = pausing.PausingRunner(
            "r0",
            pausing.write_first(2) if begun else empty,
            pausing.write_rest(3 if begun else 0),
        )
        sent = answer if begun else answer.replace(b"id: 3", b"id: 0")
        other = support.Runner("r1", sent)
        async with support.run_gateway(STREAM, silent, other) as gateway:
            asking = asyncio.create_task(support.ask(gateway))
            await pausing.wait_until(lambda: other.got)
            await asyncio.sleep(0.6)
            silent.goes_on.set()
            return await asking, silent.cut

    answer, cut = asyncio.run(run())
    assert (pausing.is_whole(answer), cut) == (True, 0)


# Guards against a silent runner that is left for one which was killed.
def test_an_unproven_answer_replaces_no_silent_run() -> None:
    async def run():
        silent = pausing.PausingRunner("r0", b"", support.write_answer(b"good"))
        other = CrashingRunner("r1", write_unframed(b"go", events=False))
        route = support.make_route(model.Kind.REPEATABLE)
        async with support.run_gateway(route, silent, other) as gateway:
            asking = asyncio.create_task(support.ask(gateway))
            await pausing.wait_until(lambda: other.got)
            await asyncio.sleep(0.6)
            silent.goes_on.set()
            return await asking

    assert asyncio.run(run()).endswith(b"good")


# Guards against a begun stream that ends as complete though the runner that it
# went on at sent a head alone, and closed the connection.
def test_an_unframed_run_without_events_ends_no_stream() -> None:
    async def run():
        begun = support.write_stream(support.write_events(0, 2), whole=False)
        rest = support.write_stream(support.write_events(3, 4), whole=True)
        runners = (
            support.Runner("r0", begun),
            support.Runner("r1", write_unframed(b"")),
            support.Runner("r2", rest),
        )
        route = pausing.make_stream_route(attempts=3)
        async with support.run_gateway(route, *runners) as gateway:
            return await support.ask(gateway)

    assert pausing.is_whole(asyncio.run(run()))


# Guards against a crash that stays unknown if the caller leaves too early.
@pytest.mark.parametrize("leaves", [False, True])
def test_a_crash_is_known_though_its_caller_leaves(leaves) -> None:
    async def run():
        runner = DroppingRunner("r0", write_unframed(b"good", events=False))
        route = support.make_route(model.Kind.AT_MOST_ONCE)
        async with support.run_gateway(route, runner) as gateway:
            _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writer.write(b"GET /p HTTP/1.1\r\nx-id: q\r\n\r\n")
            await pausing.wait_until(lambda: runner.got)
            await asyncio.sleep(0.03)
            if leaves:
                writer.transport.abort()
            await asyncio.sleep(0.8)
            kept = gateway.deps.request_quarantine
            writer.close()
            return kept.tracker.counts["ends"] + len(kept._detector._broken)

    assert asyncio.run(run()) == 1


# Guards against evidence against a runner whose answer came just too late to be
# proven.
def test_a_deadline_before_the_proof_shows_nothing_about_the_runner() -> None:
    async def run():
        answer = write_unframed(b"good", events=False)
        runner = LateRunner("r0", 0.45, answer)
        route = support.make_route(model.Kind.AT_MOST_ONCE, time_limit_s=0.5)
        async with support.run_gateway(route, runner) as gateway:
            await support.ask(gateway)
            state = gateway.deps.chooser.get_state(ids.EndpointId("r0"))
            await asyncio.sleep(0.4)
            kept = gateway.deps.request_quarantine
            return state.failures, len(kept._detector._broken)

    assert asyncio.run(run()) == (0, 0)
