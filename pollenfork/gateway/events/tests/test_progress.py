"""Whatever runners send, callers get each event once, in order."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from pollenfork.gateway.events import progress
from pollenfork.gateway.events import splitter

EVENTS = 12
OUT_OF_ORDER = splitter.Breach.OUT_OF_ORDER


def make_event(run: int, position: int) -> bytes:
    """Returns an event that names the run that made it."""
    return b"id: %d\ndata: %d.%d\n\n" % (position, run, position)


def write(first: int, end: int, run: int = 0) -> bytes:
    return b"".join(make_event(run, position) for position in range(first, end))


def read(run: progress.StreamRun, data: bytes) -> bytes:
    run.read(data)
    return run.take() if run.ready else b""


@pytest.mark.parametrize("first", [0, 1])
def test_a_stream_begins_at_either_first_position(first) -> None:
    stream = progress.StreamProgress()
    run = stream.begin_run()
    assert read(run, write(first, 4)) == write(first, 4)
    assert (stream.position, stream.forwarded) == (3, 4 - first)
    assert str(run) == f":{first}-3/{4 - first}"


@pytest.mark.parametrize("first", [2, 7, 4711])
def test_a_stream_that_begins_later_is_refused(first) -> None:
    run = progress.StreamProgress().begin_run()
    assert read(run, write(first, first + 3)) == b""
    assert run.breach is OUT_OF_ORDER


# Guards against numbers that go back: a runner ignored the position asked.
@pytest.mark.parametrize("first", [0, 1, 3, 5])
def test_a_stream_that_is_taken_up_goes_on_at_the_position_asked(first) -> None:
    run = progress.StreamProgress(asked=3, may_begin=False).begin_run()
    assert read(run, write(first, 9)) == b""
    assert run.breach is OUT_OF_ORDER
    other = progress.StreamProgress(asked=3, may_begin=False).begin_run()
    assert read(other, write(4, 9)) == write(4, 9)


@pytest.mark.parametrize("first", [0, 1, 4])
def test_a_route_that_does_not_resume_may_ignore_the_position(first) -> None:
    run = progress.StreamProgress(asked=3).begin_run()
    assert read(run, write(first, 9)) == write(first, 9)


# Guards against events that count as forwarded though they weren't.
def test_events_before_a_breach_are_forwarded_and_no_others() -> None:
    stream = progress.StreamProgress()
    first = stream.begin_run()
    assert read(first, write(0, 5) + b"id: 4711\n\n") == write(0, 5)
    assert first.breach is OUT_OF_ORDER
    assert first.state is progress.RunState.BROKEN
    assert read(first, write(5, 6)) == b""
    second = stream.begin_run()
    assert second.asked == 4
    assert read(second, write(5, 9)) == write(5, 9)


@pytest.mark.parametrize("position", [0, 3, 4, 6])
def test_a_number_that_goes_back_or_skips_ends_the_run(position) -> None:
    run = progress.StreamProgress().begin_run()
    assert read(run, write(0, 5) + make_event(0, position)) == write(0, 5)
    assert run.breach is OUT_OF_ORDER


# Guards against a run that repeats what another one has sent: what follows may
# be the continuation of another text.
def test_a_run_that_repeats_events_is_refused() -> None:
    stream = progress.StreamProgress()
    first = stream.begin_run()
    assert read(first, write(0, 3) + b"id: 3\nda") == write(0, 3)
    second = stream.begin_run()
    assert read(second, write(1, 4)) == b""
    assert second.breach is OUT_OF_ORDER
    assert stream.position == 2


def test_comments_before_the_first_event_wait_for_it() -> None:
    run = progress.StreamProgress().begin_run()
    assert read(run, b": alive\n\n") == b""
    assert run.state is progress.RunState.AWAITED
    assert read(run, write(0, 1)) == b": alive\n\n" + write(0, 1)
    assert read(run, b": alive\n\n") == b": alive\n\n"


def test_endless_comments_before_the_first_event_are_refused() -> None:
    run = progress.StreamProgress().begin_run()
    for _ in range(3):
        run.read(b": alive\n\n" * 10_000)
    assert run.breach is splitter.Breach.TOO_LARGE


def test_a_run_that_another_one_has_overtaken_forwards_nothing() -> None:
    stream = progress.StreamProgress()
    first, second = stream.begin_run(), stream.begin_run()
    second.read(write(0, 2))
    assert read(first, write(0, 2)) == write(0, 2)
    assert second.take() == b""
    assert second.breach is OUT_OF_ORDER


SPOILED = [
    b"fatal error: out of memory\nthread\nid: 4711\n\n",
    b"thread 7\n\n",
    b"id: 99\ndata: foreign\n\n",
    b"ix: 3\ndata: foreign\n\n",
    b"id: 98\ndata: fore",
    b"\r",
]


class Stream(stateful.RuleBasedStateMachine):
    """Runs follow each other; a judge knows which run made each event."""

    @stateful.initialize(
        asked=st.none() | st.integers(0, 4), first=st.booleans()
    )
    def begin(self, asked, first) -> None:
        self.asked = asked
        self.origin = int(first)
        self.stream = progress.StreamProgress(asked, may_begin=asked is None)
        self.got = b""
        self.number = 0
        self.start_run()

    @stateful.rule()
    def start_run(self) -> None:
        """The last run ends; another one is asked for what is missing."""
        self.number += 1
        self.run = self.stream.begin_run()
        self.pending = b""
        asked = self.run.asked
        self.next = self.origin if asked is None else asked + 1

    @stateful.rule(count=st.integers(1, 4))
    def make_events(self, count) -> None:
        """The runner makes further events."""
        end = min(self.next + count, EVENTS)
        self.pending += write(self.next, end, self.number)
        self.next = max(self.next, end)

    @stateful.rule(text=st.sampled_from([b": alive\n\n", b"\n"]))
    def make_comment(self, text) -> None:
        self.pending += text

    @stateful.rule(text=st.sampled_from(SPOILED))
    def spoil(self, text) -> None:
        """The runner writes bytes that are no event, or not the next one."""
        self.pending += text

    @stateful.rule(size=st.integers(1, 40))
    def send(self, size) -> None:
        """The gateway reads some of what the runner has written."""
        self.got += read(self.run, self.pending[:size])
        self.pending = self.pending[size:]

    @stateful.rule()
    def send_all(self) -> None:
        self.got += read(self.run, self.pending)
        self.pending = b""

    @stateful.invariant()
    def the_caller_has_the_events_in_order(self) -> None:
        events = [
            block
            for block in self.got.split(b"\n\n")
            if block.strip() and not block.strip().startswith(b":")
        ]
        first = self.origin if self.asked is None else self.asked + 1
        last_run = 0
        for place, event in enumerate(events):
            lines = event.strip().split(b"\n")
            assert len(lines) == 2 and lines[1].startswith(b"data: "), event
            run, position = map(int, lines[1][6:].split(b"."))
            assert position == first + place, events
            assert lines[0] == b"id: %d" % position
            # A run never goes on after a later one has.
            assert run >= last_run
            last_run = run
        assert self.stream.forwarded == len(events)
        if events:
            assert self.stream.position == first + len(events) - 1


Stream.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestAnyStream = Stream.TestCase
