"""What is held for slow callers and runners stays within its bound."""

import asyncio
import contextlib
import logging
import random
import socket

import pytest

from pollenfork.gateway import attempt
from pollenfork.gateway import buffers
from pollenfork.gateway import callers
from pollenfork.gateway import connection
from pollenfork.gateway import timeouts
from pollenfork.gateway.tests import support
from pollenfork.routes import model as routes

MEMORY = 200_000_000
BOUND = MEMORY // 4
SHARE = buffers.CALLER_SHARE_BYTES


class Caller:
    """A caller's connection with buffers of a given size."""

    def __init__(self) -> None:
        self.unread = 0
        self.received = 0

    def count_unread(self) -> int:
        return self.unread

    def count_received(self) -> int:
        return self.received


class Runner:
    """A connection to a runner that counts how often it was paused."""

    def __init__(self) -> None:
        self.unsent = 0
        self.is_paused = False
        self.pauses = 0

    def count_unsent(self) -> int:
        return self.unsent

    def pause(self) -> None:
        self.is_paused = True
        self.pauses += 1

    def resume(self) -> None:
        self.is_paused = False


class Link:
    """A caller, the runner that answers it, and their buffers."""

    def __init__(self, account: buffers.Account) -> None:
        self.caller = Caller()
        self.runner = Runner()
        self.told: list[bool] = []
        self.buffers = buffers.CallerBuffers(account, self.caller)
        self.buffers.open()
        self.buffers.attach(self.runner, self.told.append)

    def write(self, size: int) -> None:
        self.caller.unread += size
        self.buffers.update()

    def read(self, size: int) -> None:
        self.caller.unread = max(0, self.caller.unread - size)

    def end(self) -> None:
        self.buffers.detach()
        self.buffers.end()


def make_account(memory: int | None = MEMORY, forecast: bool = True):
    account = buffers.Account(memory)
    account.set_forecast(forecast)
    return account


def test_500_slow_readers_stay_within_the_bound() -> None:
    # Guards against a process that is killed because each slow caller alone is
    # within its share, and against pausing callers that read.
    rng = random.Random(5)
    account = make_account()
    slow = [Link(account) for _ in range(500)]
    quick = [Link(account) for _ in range(50)]
    most = 0
    for turn in range(400):
        for link in rng.sample(slow + quick, 550):
            if not link.runner.is_paused:
                link.write(rng.randrange(1_000, 10_000))
            if link in quick:
                link.read(10_000)
        for link in slow[:250]:
            link.read(rng.randrange(2_000))
        if turn % 10 == 0:
            account.refresh()
        most = max(most, sum(each.caller.unread for each in slow + quick))
    assert BOUND * 0.8 < most <= BOUND
    assert all(link.runner.pauses for link in slow)
    assert not any(link.runner.pauses for link in quick)


def test_the_callers_that_hold_most_are_paused_first() -> None:
    # Guards against pausing all callers alike when the bound is near.
    account = make_account(16 * SHARE)
    large, small, upload = (Link(account) for _ in range(3))
    small.write(SHARE // 20)
    large.write(SHARE // 2)
    assert not large.runner.is_paused
    upload.caller.received = SHARE * 26 // 10
    upload.buffers.update()
    assert (large.runner.is_paused, small.runner.is_paused) == (True, False)


def test_one_caller_that_never_reads_pauses_only_its_runner(caplog) -> None:
    # Guards against an unbounded buffer for one caller.
    caplog.set_level(logging.INFO)
    account = make_account()
    stuck, other = Link(account), Link(account)
    while not stuck.runner.is_paused:
        stuck.write(10_000)
        other.write(10_000)
        other.read(10_000)
    assert SHARE < stuck.caller.unread <= SHARE + 10_000
    assert not other.runner.pauses
    stuck.read(SHARE // 2)
    account.refresh()
    assert not stuck.runner.is_paused
    assert stuck.told == [True, False]
    events = [
        f"event=reading_paused unread_bytes=270000 caller_bytes=270000 "
        f"held_bytes={280_000} bound_bytes={BOUND} callers=2",
        f"event=reading_resumed unread_bytes={270_000 - SHARE // 2} "
        f"caller_bytes={270_000 - SHARE // 2} "
        f"held_bytes={270_000 - SHARE // 2} bound_bytes={BOUND} callers=2",
    ]
    assert caplog.messages == events


def test_an_answer_of_a_slow_caller_is_read_while_its_share_lasts() -> None:
    # Guards against a runner that cuts off an answer which isn't read though
    # only a few KB are left.
    link = Link(make_account())
    link.buffers.record_full(True)
    link.write(SHARE)
    assert not link.runner.pauses


def test_a_request_that_its_runner_reads_slowly_is_counted() -> None:
    # Guards against bodies and their unsent copies that nobody counts.
    account = make_account(8_000_000)
    link = Link(account)
    assert link.buffers.begin(900_000)
    link.runner.unsent = 700_000
    link.buffers.update()
    assert account.total == 1_600_000
    other = Link(account)
    assert not other.buffers.begin(200_000)
    assert other.buffers.begin(100_000)
    link.runner.unsent = 0
    assert other.buffers.begin(400_000)


def test_pieces_of_an_answer_that_is_sent_whole_are_counted() -> None:
    # Guards against a plain answer that is never read to its end.
    account = make_account(1_000_000)
    link = Link(account)
    link.buffers.record_answer(300_000)
    assert account.total == 300_000
    assert not link.runner.pauses
    link.end()
    assert account.total == 0


def test_a_connection_is_read_again_before_another_request_uses_it() -> None:
    # Guards against a pooled connection whose next answer is never read.
    link = Link(make_account())
    link.write(2 * SHARE)
    assert link.runner.is_paused
    link.end()
    assert not link.runner.is_paused


@pytest.mark.parametrize(
    ("memory", "forecast"), [(None, True), (MEMORY, False)]
)
def test_otherwise_reading_follows_the_write_buffer(
    memory, forecast, caplog
) -> None:
    # Guards against a change for deployments without the setting or without a
    # forecast service.
    caplog.set_level(logging.INFO)
    account = make_account(memory, forecast)
    link = Link(account)
    link.write(10 * BOUND)
    assert not link.runner.pauses
    assert link.buffers.begin(10 * BOUND)
    assert account.has_room(10 * BOUND)
    link.buffers.record_full(True)
    assert link.runner.is_paused
    link.buffers.record_full(False)
    assert not link.runner.is_paused
    assert (account.total, caplog.messages) == (0, [])
    assert link.told == [True, False]


def test_a_new_configuration_switches_the_bound() -> None:
    # Guards against readers that stay paused, or that nothing pauses, after
    # the first forecast service appears or the last one goes.
    account = make_account(forecast=False)
    full, large = Link(account), Link(account)
    full.write(SHARE // 2)
    full.buffers.record_full(True)
    large.write(2 * SHARE)
    account.set_forecast(True)
    assert account.total == SHARE // 2 + 2 * SHARE
    assert (full.runner.is_paused, large.runner.is_paused) == (False, True)
    account.set_forecast(False)
    assert account.total == 0
    assert (full.runner.is_paused, large.runner.is_paused) == (True, False)


def test_a_runner_that_is_not_read_is_not_called_silent() -> None:
    # Guards against abandoning a healthy runner for a slow caller.
    async def run() -> None:
        loop = asyncio.get_running_loop()
        route = support.make_route(routes.Kind.STREAM)
        running = attempt.Attempt(loop, support.Codec(), None, None, print)
        limits = timeouts.AttemptTimeouts(1e9, 1.0, route.gap_s)
        running.phase = attempt.Phase.STREAMING
        running.last_data_at = 100.0
        assert limits.find_limit(running, 500.0) == pytest.approx(100.1)
        running.record_paused(True)
        assert limits.find_limit(running, 500.0) == pytest.approx(500.1)

    asyncio.run(run())


# Guards against leaving a healthy runner for a slow caller on services without
# a forecast: its attempt wasn't told that the gateway didn't read.
@pytest.mark.parametrize("forecast", [False, True])
def test_an_attempt_is_told_that_its_answer_is_not_read(forecast) -> None:
    account = make_account(forecast=forecast)
    link = Link(account)
    link.write(SHARE + 1)
    link.buffers.record_full(True)
    assert link.runner.is_paused
    assert link.told == [True]
    link.read(SHARE + 1)
    link.buffers.record_full(False)
    assert not link.runner.is_paused
    assert link.told == [True, False]


# With connections on the loopback.


@contextlib.asynccontextmanager
async def run_gateway(kind, memory, *runners, **given):
    """Runs a gateway whose callers' sockets buffer little."""
    route = support.make_route(kind, **given)
    async with support.run_gateway(route, *runners) as gateway:
        gateway.callers.buffers = make_account(memory)
        for each in gateway._server.sockets:
            each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        yield gateway


async def connect(gateway, request: bytes) -> socket.socket:
    """Sends a request on a connection that nothing reads."""
    loop = asyncio.get_running_loop()
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    opened.setblocking(False)
    await loop.sock_connect(opened, ("127.0.0.1", gateway.port))
    await loop.sock_sendall(opened, request)
    return opened


async def wait_until(check) -> None:
    async with asyncio.timeout(10):
        while not check():
            await asyncio.sleep(0.005)


async def read_all(opened: socket.socket, end: bytes) -> bytes:
    loop = asyncio.get_running_loop()
    got = b""
    async with asyncio.timeout(10):
        while not got.endswith(end):
            got += await loop.sock_recv(opened, 65536)
    return got


ASK = (
    b"POST /p HTTP/1.1\r\nx-id: q\r\ncontent-length: 50000\r\n\r\n"
    + b"x" * 50_000
)
EVENTS = support.write_events(1, 9_000)  # 165 KB


@pytest.fixture
def pauses(monkeypatch):
    counted: list[connection.Connection] = []
    pause = connection.Connection.pause

    def count(self) -> None:
        counted.append(self)
        pause(self)

    monkeypatch.setattr(connection.Connection, "pause", count)
    return counted


def run_unread(memory) -> tuple[bytes, int, int]:
    """Lets a caller read only after the gateway has read what it will.

    Returns:
        The answer, the bytes held before the caller reads, and afterwards.
    """

    async def run():
        runner = support.Runner("r0", support.write_stream(EVENTS, True))
        async with run_gateway(routes.Kind.STREAM, memory, runner) as gateway:
            account = gateway.callers.buffers
            opened = await connect(gateway, ASK)
            served = gateway.callers.counters
            await wait_until(lambda: served.requests and account_is_done())
            held = account.total
            answer = await read_all(opened, b"0\r\n\r\n")
            account.refresh()
            after = account.total
            opened.close()
            return answer, held, after

    def account_is_done() -> bool:
        return all(
            task.get_coro().__qualname__ != "Gateway._serve"
            for task in asyncio.all_tasks()
        )

    return asyncio.run(run())


def test_an_answer_is_read_whole_before_its_caller_reads(pauses) -> None:
    # Guards against a runner's response that stays unread for one caller, and
    # against bytes that stay in the account after a whole answer.
    answer, held, after = run_unread(MEMORY)
    assert len(EVENTS) > 2 * 64 * 1024
    assert held > 64 * 1024
    assert answer.count(b"data: ") == 9_000
    assert (after, pauses) == (0, [])


def test_without_the_setting_the_answer_pauses_as_before(pauses) -> None:
    # Guards against a change for the earlier deployments.
    async def run() -> int:
        runner = support.Runner("r0", support.write_stream(EVENTS, True))
        async with run_gateway(routes.Kind.STREAM, None, runner) as gateway:
            opened = await connect(gateway, ASK)
            await wait_until(lambda: pauses)
            opened.close()
            await wait_until(lambda: not gateway.callers.connections)
            return gateway.callers.buffers.total

    assert asyncio.run(run()) == 0


@pytest.mark.parametrize("end", ["cancelled", "cut"])
def test_the_account_returns_to_0(end) -> None:
    # Guards against bytes that stay in the account and in the end refuse all
    # bodies.
    async def run() -> tuple[int, tuple[int, int]]:
        stream = support.write_stream(EVENTS, whole=False)
        if end == "cancelled":
            runner = HoldingRunner("r0", stream)
        else:
            runner = support.Runner("r0", stream)
        async with run_gateway(
            routes.Kind.STREAM, MEMORY, runner, attempts=1
        ) as gateway:
            account = gateway.callers.buffers
            opened = await connect(gateway, ASK)
            if end == "cancelled":
                await wait_until(lambda: account.total > 100_000)
                most = account.total
                opened.close()
            else:
                served = gateway.callers.counters
                await wait_until(lambda: served.requests)
                most = len(ASK)  # It may already be cut.
            await wait_until(lambda: not gateway.callers.connections)
            opened.close()
            left = account.total, len(account.callers)
            account.refresh()
            assert account.total == 0
            return most, left

    most, left = asyncio.run(run())
    assert most and left == (0, 0)


class HoldingRunner(support.Runner):
    """Answers with the start of a stream and keeps the connection open."""

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            self.got.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.script.pop(0))
            await reader.read()
        writer.close()


def test_a_body_that_does_not_fit_is_refused_before_it_is_sent() -> None:
    # Guards against requests accepted beyond the memory while a runner reads
    # slowly, and against a 503 for a request that has been sent.
    async def run():
        body = b"x" * 100_000
        post = b"POST /p HTTP/1.1\r\nx-id: q\r\ncontent-length: 100000\r\n\r\n"
        runner = support.Runner("r0", support.HANG)
        async with run_gateway(
            routes.Kind.AT_MOST_ONCE, 1_000_000, runner
        ) as gateway:
            account = gateway.callers.buffers
            first = await connect(gateway, post + body)
            await wait_until(lambda: runner.got and account.total == 100_000)
            answer = await support.ask(gateway, post + body)
            sent = len(runner.got)
            refused = dict(gateway.deps.counters._refused)
            first.close()
            await wait_until(lambda: not gateway.callers.connections)
            return answer, sent, refused, account.total

    answer, sent, refused, left = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0.50\r\n" in answer
    assert answer.endswith(b'{"error":"memory"}')
    assert sent == 1
    assert [(each.value, count) for each, count in refused.items()] == [
        ("memory", 1)
    ]
    assert left == 0


def test_a_body_that_does_not_fit_is_refused_as_it_arrives() -> None:
    # Guards against callers that upload slowly and together fill the memory.
    async def run():
        head = b"POST /p HTTP/1.1\r\nx-id: q\r\ncontent-length: 900000\r\n\r\n"
        async with run_gateway(routes.Kind.AT_MOST_ONCE, 1_000_000) as gateway:
            account = gateway.callers.buffers
            opened = await connect(gateway, head + b"x" * 400_000)
            answer = await read_all(opened, b'"}')
            opened.close()
            await wait_until(lambda: not gateway.callers.connections)
            return answer, gateway.callers.counters.refused, account.total

    answer, refused, left = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0.50\r\n" in answer
    assert refused == {callers.Fault.MEMORY.value: 1}
    assert left == 0
