from hypothesis import given
from hypothesis import strategies
import pytest

from pollenfork.gateway import events


def write(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: %d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


@given(strategies.lists(strategies.integers(1, 9), max_size=60))
def test_reads_of_any_size_give_the_same_events(sizes) -> None:
    whole = write(0, 12)
    splitter = events.EventSplitter()
    passed = b""
    rest = whole
    for size in sizes:
        passed += splitter.feed(rest[:size])
        rest = rest[size:]
    passed += splitter.feed(rest)
    assert passed == whole
    assert (splitter.last, splitter.forwarded) == (12, 13)
    assert not splitter.partial


def test_an_incomplete_event_is_buffered() -> None:
    splitter = events.EventSplitter()
    assert splitter.feed(b"id: 0\nda") == b""
    assert splitter.partial
    assert splitter.feed(b"ta: x\n\nid: 1") == b"id: 0\ndata: x\n\n"


def test_a_missing_event_is_an_error() -> None:
    splitter = events.EventSplitter()
    splitter.feed(write(0, 2))
    with pytest.raises(events.StreamError):
        splitter.feed(write(4, 4))


def test_events_already_forwarded_are_dropped_after_a_restart() -> None:
    splitter = events.EventSplitter()
    splitter.feed(write(0, 2) + b"id: 3\nda")
    splitter.restart()
    assert splitter.feed(write(1, 3)) == write(3, 3)


def test_an_event_above_the_size_limit_is_an_error() -> None:
    splitter = events.EventSplitter()
    with pytest.raises(events.StreamError):
        for _ in range(20):
            splitter.feed(b"a" * 100_000)


def test_crlf_line_ends_are_accepted() -> None:
    splitter = events.EventSplitter()
    text = b"id: 0\r\ndata: x\r\n\r\n"
    assert splitter.feed(text) == text
    assert splitter.last == 0
