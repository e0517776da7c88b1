"""The count of requests in progress, for every way that they end."""

from collections.abc import Iterator
import contextlib
import threading

from hypothesis import stateful
import hypothesis.strategies as st
import pytest

from pollenfork.entry import progress


class Chunks:
    """Two chunks; counts the calls of `close` and may fail."""

    def __init__(self, breaks: bool = False, close_fails: bool = False) -> None:
        self.closed = 0
        self._breaks = breaks
        self._close_fails = close_fails

    def __iter__(self) -> Iterator[bytes]:
        yield b"a"
        if self._breaks:
            raise ConnectionError
        yield b"b"

    def close(self) -> None:
        self.closed += 1
        if self._close_fails:
            raise OSError


class InProgressMachine(stateful.RuleBasedStateMachine):
    """The count matches the open requests; it is idle only at zero."""

    def __init__(self) -> None:
        super().__init__()
        self.in_progress = progress.InProgress()
        self.open: list[progress.CloseOnceChunks] = []
        self.chunks: list[Chunks] = []

    @stateful.rule(breaks=st.booleans(), close_fails=st.booleans())
    def accept(self, breaks: bool, close_fails: bool) -> None:
        self.in_progress.enter()
        chunks = Chunks(breaks, close_fails)
        self.chunks.append(chunks)
        self.open.append(
            progress.CloseOnceChunks(chunks, self.in_progress.leave)
        )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(read=st.integers(0, 3), closes=st.integers(1, 3))
    def finish(self, read: int, closes: int) -> None:
        body = self.open.pop(0)
        chunks = iter(body)
        with contextlib.suppress(ConnectionError):
            for _ in range(read):
                next(chunks, None)
        for _ in range(closes):
            with contextlib.suppress(OSError):
                body.close()

    @stateful.invariant()
    def count_is_exact(self) -> None:
        assert self.in_progress.count == len(self.open)
        assert self.in_progress.wait_until_idle(0) == (not self.open)
        closed = [chunks.closed for chunks in self.chunks]
        finished = len(self.chunks) - len(self.open)
        assert closed == [1] * finished + [0] * len(self.open)


TestInProgress = InProgressMachine.TestCase


def test_leave_without_enter_raises() -> None:
    with pytest.raises(RuntimeError):
        progress.InProgress().leave()


def test_waiter_wakes_when_the_last_request_leaves() -> None:
    in_progress = progress.InProgress()
    in_progress.enter()
    in_progress.enter()
    idle: list[bool] = []
    waiter = threading.Thread(
        target=lambda: idle.append(in_progress.wait_until_idle(60))
    )
    waiter.start()
    in_progress.leave()
    assert not idle
    in_progress.leave()
    waiter.join(60)
    assert idle == [True]


class Attachable:
    def __init__(self) -> None:
        self.writes: list[object] = []

    def __iter__(self) -> Iterator[bytes]:
        return iter([b"whole"])

    def attach(self, write: object) -> None:
        self.writes.append(write)


def test_attach_of_the_chunks_is_passed_through() -> None:
    chunks = Attachable()
    body = progress.CloseOnceChunks(chunks, lambda: None)
    assert body.attach
    body.attach(print)
    assert chunks.writes == [print]
