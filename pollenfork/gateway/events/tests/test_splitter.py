from hypothesis import given
from hypothesis import strategies
import pytest

from pollenfork.gateway.events import splitter

FOREIGN = splitter.Breach.FOREIGN


def write(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


def join(blocks: list[splitter.Block]) -> bytes:
    return b"".join(block.data for block in blocks)


@given(strategies.lists(strategies.integers(1, 9), max_size=60))
def test_reads_of_any_size_give_the_same_events(sizes) -> None:
    whole = write(0, 12)
    events = splitter.EventSplitter()
    blocks = []
    rest = whole
    for size in sizes:
        blocks += events.feed(rest[:size])
        rest = rest[size:]
    blocks += events.feed(rest)
    assert join(blocks) == whole
    assert [block.position for block in blocks] == list(range(13))
    assert not events.partial and events.breach is None


def test_an_incomplete_event_is_buffered() -> None:
    events = splitter.EventSplitter()
    assert events.feed(b"id: 0\nda") == []
    assert events.partial
    blocks = events.feed(b"ta: x\n\nid: 1")
    assert join(blocks) == b"id: 0\ndata: x\n\n"


def test_an_event_above_the_size_limit_is_an_error() -> None:
    events = splitter.EventSplitter()
    for _ in range(20):
        assert events.feed(b"a" * 100_000) == []
    assert events.breach is splitter.Breach.TOO_LARGE


@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("size", [1, 2, 100])
def test_both_line_ends_are_accepted(end, size) -> None:
    events = splitter.EventSplitter()
    text = end.join([b"id: 0", b"data: x", b"", b"id:1", b"data", b"", b""])
    blocks = []
    for at in range(0, len(text), size):
        blocks += events.feed(text[at : at + size])
    assert join(blocks) == text
    assert [block.position for block in blocks] == [0, 1]


# Guards against bytes that are no event but are passed on as one.
@pytest.mark.parametrize(
    "text",
    [
        b"fatal error: out of memory\n\n",
        b"thread 7\nid: 5\ndata: x\n\n",
        b"id: 5\nstate: waiting\n\n",
        b"ix: 5\ndata: x\n\n",
        b"id: 5\nid: 6\ndata: x\n\n",
        b"id: five\ndata: x\n\n",
        b"id: -5\ndata: x\n\n",
        b"id:\ndata: x\n\n",
        b"id: %d\ndata: x\n\n" % 10**18,
        b"data: x\n\n",
        b"id: 5\ndata: x\rid: 7\n\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"\x00\xff\n\n",
    ],
)
@pytest.mark.parametrize("size", [1, 1000])
def test_bytes_that_are_no_event_end_the_stream(text, size) -> None:
    events = splitter.EventSplitter()
    blocks = []
    data = write(3, 4) + text + write(5, 6)
    for at in range(0, len(data), size):
        blocks += events.feed(data[at : at + size])
    assert join(blocks) == write(3, 4)
    assert events.breach is FOREIGN


def test_foreign_bytes_are_refused_before_their_block_ends() -> None:
    events = splitter.EventSplitter()
    events.feed(b"fatal error: out of memory\n")
    assert events.breach is FOREIGN


def test_comments_have_no_position() -> None:
    events = splitter.EventSplitter()
    text = b": alive\n\n" + write(0, 0) + b"\n" + b":\nid: 1\n: x\ndata\n\n"
    blocks = events.feed(text)
    assert join(blocks) == text
    assert [block.position for block in blocks] == [None, 0, None, 1]


def test_a_time_to_reconnect_has_no_position() -> None:
    events = splitter.EventSplitter()
    text = b"retry: 100\n\n" + write(0, 0)
    blocks = events.feed(text)
    assert join(blocks) == text
    assert [block.position for block in blocks] == [None, 0]


def test_further_fields_are_accepted() -> None:
    events = splitter.EventSplitter(frozenset({b"x-version"}))
    text = b"x-version: 4\nid: 1\nevent: a\nretry: 9\ndata: x\n\n"
    assert join(events.feed(text)) == text


LINES = strategies.sampled_from(
    [
        b"id: 1",
        b"id:2",
        b"id: 03",
        b"id",
        b"data: x",
        b"data:",
        b"data",
        b"event: e",
        b": c",
        b"",
        b"",
        b"",
        b"words",
        b"da\rta: x",
    ]
)
ENDS = strategies.sampled_from([b"\n", b"\n", b"\r\n"])


# Guards against usual events that are matched at once by other rules than those
# that are read line by line.
@given(strategies.lists(strategies.tuples(LINES, ENDS), max_size=14))
def test_a_read_gives_the_same_blocks_whole_or_by_bytes(lines) -> None:
    text = b"".join(line + end for line, end in lines)
    at_once, by_bytes = splitter.EventSplitter(), splitter.EventSplitter()
    blocks = at_once.feed(text)
    single = [
        block
        for at in range(len(text))
        for block in by_bytes.feed(text[at : at + 1])
    ]
    assert join(blocks) == join(single)
    assert list_positions(blocks) == list_positions(single)
    assert at_once.breach is by_bytes.breach
    if at_once.breach is None:
        assert at_once.partial is by_bytes.partial


def list_positions(blocks: list[splitter.Block]) -> list[int]:
    """Returns the positions of events; comments may be joined."""
    return [each.position for each in blocks if each.position is not None]


class CountingRead(bytes):
    """Counts the bytes that are searched for the end of a line."""

    work = 0

    def find(self, what, start):
        found = super().find(what, start)
        CountingRead.work += (found if found >= 0 else len(self)) - start
        return found


class CountingBuffer(bytearray):
    """Counts the bytes that are copied out of it."""

    work = 0

    def __getitem__(self, part):
        found = super().__getitem__(part)
        self.work += len(found)
        return found


# Guards against one endless line in small pieces that stops a gateway: all that
# was held was searched again at each piece.
@pytest.mark.parametrize("size", [1, 10, 50, 200])
def test_the_work_is_in_proportion_to_the_bytes(size) -> None:
    events = splitter.EventSplitter()
    buffer = events._buffer = CountingBuffer()
    total = 100_000
    CountingRead.work = 0
    for _ in range(total // size):
        events.feed(CountingRead(b"a" * size))
    events.feed(CountingRead(b"\n"))
    assert total <= CountingRead.work <= total + 2
    assert buffer.work == total


# Guards against comments and empty lines that are each an object and a search.
@pytest.mark.parametrize("line", [b"\n", b"\r\n", b":\n\n", b": alive\n\n"])
def test_many_comments_are_one_block_of_a_read(line) -> None:
    events = splitter.EventSplitter()
    text = line * 10_000
    blocks = events.feed(b": ali")
    blocks += events.feed(b"ve\n\n" + text + write(0, 0) + text)
    assert join(blocks) == b": alive\n\n" + text + write(0, 0) + text
    assert [block.position for block in blocks] == [None, None, 0, None]
