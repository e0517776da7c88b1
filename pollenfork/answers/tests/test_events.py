"""Events are returned complete, in order and once, wherever reads split."""

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork.answers import answer_buffer
from pollenfork.answers import core
from pollenfork.answers import errors
from pollenfork.answers import events
from pollenfork.answers import messages
from pollenfork.answers.tests import fakes
from pollenfork.dispatch import messages as dispatch_messages

RetryReason = dispatch_messages.RetryReason
EVENT = fakes.encode_event
Cause = errors.Cause
LIMIT = 4096
TOKENS = 8
WHOLE = fakes.encode_stream(TOKENS)


@strategies.composite
def draw_connections(draw) -> list[tuple[int, int, list[int]]]:
    """Draws repeats, bytes until the break and read sizes per connection."""
    connections = []
    for _ in range(draw(strategies.integers(1, 6))):
        repeats = draw(strategies.integers(0, 3))
        until = draw(strategies.integers(0, len(WHOLE)))
        sizes = draw(strategies.lists(strategies.integers(1, 200), max_size=40))
        connections.append((repeats, until, sizes))
    return connections


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    reads = []
    for size in sizes:
        reads.append(data[:size])
        data = data[size:]
    return [read for read in [*reads, data] if read]


@hypothesis.given(connections=draw_connections())
def test_any_cuts_and_reads_give_the_original_or_a_typed_error(
    connections: list[tuple[int, int, list[int]]],
) -> None:
    reader = events.EventReader(LIMIT)
    recovery = core.Recovery(
        streamed=True,
        idempotent=True,
        give_up_at=1.0,
        limits=messages.Limits(),
    )
    accepted = b""
    action: core.Action = core.Restart(RetryReason.NEVER_SENT)
    for repeats, until, sizes in connections:
        expected, before = reader.position, accepted
        start = expected
        if isinstance(action, core.Resume):
            start = max(0, start - repeats)
        data = fakes.encode_events(start, TOKENS) + fakes.DONE
        for read in split(data[:until], sizes):
            accepted += reader.feed(read)
        accepted += reader.end()
        assert WHOLE.startswith(accepted)
        if start == expected:
            assert reader.fault is None
        else:
            assert accepted == before
            assert reader.fault in (None, Cause.NOT_CONTINUED)
        if reader.done:
            break
        progress = core.Progress(
            relayed=bool(accepted),
            position=reader.position,
            numbered=reader.numbered,
            text_available=True,
        )
        cause = reader.fault or Cause.CLOSED
        action = recovery.decide(cause, progress, now=0.0)
        if isinstance(action, core.GiveUp):
            break
        if isinstance(action, core.Restart):
            assert not accepted
            reader = events.EventReader(LIMIT)
        else:
            assert action.position == reader.position
            resumed = isinstance(action, core.Resume)
            reader.reconnect(resumed=resumed)
    assert reader.done == (accepted == WHOLE)
    assert reader.events == accepted.count(b"\n\n") - reader.done


@pytest.mark.parametrize(
    ("data", "accepted", "fault"),
    [
        (EVENT(1), b"", Cause.GAP),
        (EVENT(0) + EVENT(2), EVENT(0), Cause.GAP),
        (EVENT(0) + EVENT(0) + EVENT(1), EVENT(0) + EVENT(1), None),
        (EVENT(0) + EVENT(2) + EVENT(1) + EVENT(3), EVENT(0), Cause.GAP),
        (EVENT(0) + EVENT(1)[:-1], EVENT(0), None),
        (b'data: {"error": {}}\n\n', b"", Cause.ERROR_EVENT),
        (b"data: " + b"x" * LIMIT, b"", Cause.OVERSIZE),
        (b": ping\n\n" + EVENT(0), b": ping\n\n" + EVENT(0), None),
        (b"data: {}\nid: 0\n\n", b"data: {}\nid: 0\n\n", None),
        (WHOLE + EVENT(9), WHOLE, None),
        # Guards against a caller whose position, the last id, isn't the one
        # that was checked.
        (b"id: 0\nid: 5\ndata: {}\n\n", b"", Cause.GAP),
        (b"id: 0\ndata: {}\nid: 5\n\n", b"", Cause.GAP),
        (b"id: 0\nid\ndata: {}\n\n", b"", Cause.GAP),
        (b"id: 0\ndata: {}\ndata: {}\n\n",) * 2 + (None,),
        # Guards against a failing program's words that reach the caller.
        (EVENT(0) + b"Traceback\n\n" + EVENT(1), EVENT(0), Cause.FOREIGN),
        (EVENT(0) + b"id: 1\nTraceback:\n\n", EVENT(0), Cause.FOREIGN),
        (b"id: 0\ndata: {}\rid: 7\n\n", b"", Cause.FOREIGN),
        (EVENT(0) + b": ping\nevent: u\nretry: 1\ndata\n\n",) * 2 + (None,),
    ],
)
def test_feed_returns_only_expected_events(
    data: bytes, accepted: bytes, fault: errors.Cause | None
) -> None:
    reader = events.EventReader(LIMIT)
    assert reader.feed(data) == accepted
    assert reader.fault is fault


# Guards against two texts joined by their numbers, as when an engine that was
# started anew begins a resumed answer again.
@pytest.mark.parametrize("resumed", [False, True])
@pytest.mark.parametrize("start", [0, 2])
def test_a_further_run_must_begin_at_the_expected_position(
    start: int, resumed: bool
) -> None:
    reader = events.EventReader(LIMIT)
    reader.feed(fakes.encode_events(0, 3))
    reader.reconnect(resumed=resumed)
    assert reader.feed(fakes.encode_events(start, 5)) == b""
    assert reader.fault is Cause.NOT_CONTINUED


# Guards against unnumbered events that are lost after a resumption, as they
# were counted, not compared with those that were relayed.
@pytest.mark.parametrize(
    ("before", "after", "accepted", "fault"),
    [
        (b"data: u\n\n", b"data: u\n\ndata: v\n\n", b"data: v\n\n", None),
        (b"data: u\n\n", b"data: v\n\n", b"", Cause.NOT_CONTINUED),
        (b": ping\n\n", b"data: v\n\n", b"data: v\n\n", None),
        (b": p\ndata: u\n\n", b": p\ndata: u\n\n", b"", None),
        (b"data: u\n\n" * LIMIT, b"data: u\n\n", b"", Cause.NOT_CONTINUED),
        (b"data: u\n\n", EVENT(1), EVENT(1), None),
    ],
    ids=["repeats", "differs", "comment", "data_too", "over_limit", "omits"],
)
def test_a_resumed_run_repeats_unnumbered_events_or_is_refused(
    before: bytes, after: bytes, accepted: bytes, fault: errors.Cause | None
) -> None:
    reader = events.EventReader(LIMIT)
    assert reader.feed(EVENT(0)) + reader.feed(before) == EVENT(0) + before
    reader.reconnect(resumed=True)
    assert reader.feed(after) == accepted
    assert reader.fault is fault


# Guards against an incomplete answer that ends as complete: events before a gap
# in the same read are relayed first, and the run was read on.
@pytest.mark.parametrize("data", [EVENT(1), b"data: [DONE]", fakes.DONE])
def test_nothing_of_a_run_is_taken_after_its_fault(data: bytes) -> None:
    reader = events.EventReader(LIMIT)
    assert reader.feed(EVENT(0) + EVENT(2)) == EVENT(0)
    assert reader.feed(data) + reader.end() == b""
    assert not reader.done


class CountedRead(bytes):
    """Counts the bytes to which reads were joined."""

    joined = 0

    def __radd__(self, before) -> bytes:
        CountedRead.joined += len(before) + len(self)
        return bytes(before) + bytes(self)


# Guards against an engine whose event never ends and that occupies a thread,
# as all that was kept of the event was copied and searched at each read.
@pytest.mark.parametrize("size", [1, 10, 200])
def test_work_grows_with_the_bytes_of_an_event_not_its_reads(size: int) -> None:
    total = 100_000
    data = (b"data: " + b"t" * 43 + b"\n") * (total // 50)
    reader = events.EventReader(total)
    CountedRead.joined = 0
    for start in range(0, total, size):
        assert reader.feed(CountedRead(data[start : start + size])) == b""
    assert reader.fault is None
    assert CountedRead.joined <= 3 * total
    assert reader.feed(b"\n") == data + b"\n"


@pytest.mark.parametrize("tokens", [1, 2000])
def test_buffer_returns_the_answers_text(tokens: int) -> None:
    buffer = answer_buffer.AnswerBuffer(1 << 20)
    for position in range(tokens):
        buffer.add(EVENT(position))
    buffer.add(b": ping\n\n")
    expected = "".join(f"t{position} " for position in range(tokens))
    assert buffer.read_text() == expected


@pytest.mark.parametrize(
    ("limit", "data"),
    [
        (0, EVENT(0)),
        (100, fakes.encode_events(0, 2000)),
        (1 << 20, b'data: {"choices":[{"index":1,"text":"b"}]}\n\n'),
        (1 << 20, b'data: {"choices":[{"delta":{"tool_calls":[{}]}}]}\n\n'),
        (1 << 20, b"data: plain\n\n"),
    ],
    ids=["not_kept", "over_limit", "two_choices", "tools", "not_json"],
)
def test_answer_that_cannot_be_continued_has_no_text(
    limit: int, data: bytes
) -> None:
    buffer = answer_buffer.AnswerBuffer(limit)
    buffer.add(data)
    assert buffer.read_text() is None
