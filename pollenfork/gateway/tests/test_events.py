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
    cutter = events.EventCutter()
    passed = b""
    rest = whole
    for size in sizes:
        passed += cutter.feed(rest[:size])
        rest = rest[size:]
    passed += cutter.feed(rest)
    assert passed == whole
    assert (cutter.last, cutter.passed) == (12, 13)
    assert not cutter.partial


def test_part_of_an_event_is_kept_back() -> None:
    cutter = events.EventCutter()
    assert cutter.feed(b"id: 0\nda") == b""
    assert cutter.partial
    assert cutter.feed(b"ta: x\n\nid: 1") == b"id: 0\ndata: x\n\n"


def test_an_event_that_is_left_out_is_noticed() -> None:
    cutter = events.EventCutter()
    cutter.feed(write(0, 2))
    with pytest.raises(events.Gap):
        cutter.feed(write(4, 4))


def test_after_a_restart_known_events_are_left_out() -> None:
    cutter = events.EventCutter()
    cutter.feed(write(0, 2) + b"id: 3\nda")
    cutter.restart()
    assert cutter.feed(write(1, 3)) == write(3, 3)


def test_an_event_that_never_ends_is_given_up() -> None:
    cutter = events.EventCutter()
    with pytest.raises(events.Gap):
        for _ in range(20):
            cutter.feed(b"a" * 100_000)


def test_line_ends_of_either_kind_are_known() -> None:
    cutter = events.EventCutter()
    text = b"id: 0\r\ndata: x\r\n\r\n"
    assert cutter.feed(text) == text
    assert cutter.last == 0
