"""How a runner's silence is found, and how many requests leave for it."""

import pytest

from pollenfork.fleet import silence

FOUND_AT = 10.0


def make_silent() -> silence.Silence:
    known = silence.Silence()
    known.record_heard(FOUND_AT - 0.9)
    known.record_found(FOUND_AT)
    return known


def count_leaving(known: silence.Silence, now: float) -> int:
    """Returns how many of a hundred requests have left by then."""
    for _ in range(100):
        known.take_turn(now)
    return known.leaving


def test_a_runner_that_sends_on_another_connection_is_not_silent() -> None:
    known = silence.Silence()
    known.record_heard(10.0)
    assert not known.is_runner_wide(10.1)
    assert known.is_runner_wide(10.5)


def test_a_silence_is_found_once_and_ends_when_the_runner_is_heard() -> None:
    known = make_silent()
    assert known.is_known
    assert not known.record_found(FOUND_AT + 0.1)
    assert known.record_heard(FOUND_AT + 0.3)
    assert not known.is_known
    assert known.resumed_at == FOUND_AT + 0.3
    assert not known.record_heard(FOUND_AT + 0.4)


# Guards against the loss of all work at a runner that is silent for a moment.
@pytest.mark.parametrize(
    ("after_s", "left"),
    [(0.0, 1), (0.2, 2), (0.4, 4), (0.55, 100)],
)
def test_requests_leave_gradually_then_all_at_once(after_s, left) -> None:
    assert count_leaving(make_silent(), FOUND_AT + after_s) == left


def test_a_request_that_could_not_leave_gives_its_turn_to_another() -> None:
    known = make_silent()
    assert known.take_turn(FOUND_AT)
    assert not known.take_turn(FOUND_AT)
    known.return_turn()
    assert known.take_turn(FOUND_AT)


def test_a_later_silence_begins_anew() -> None:
    known = make_silent()
    assert count_leaving(known, FOUND_AT + 1.0) == 100
    known.record_heard(FOUND_AT + 1.1)
    assert known.record_found(FOUND_AT + 3.0)
    assert count_leaving(known, FOUND_AT + 3.0) == 1
