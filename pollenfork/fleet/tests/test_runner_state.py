"""How long other runners are preferred to one that failed."""

import pytest

from pollenfork.fleet import messages
from pollenfork.fleet import runner_state

End = messages.End


def make_silent(times: int, now: float) -> runner_state.RunnerState:
    """Returns a runner that didn't answer several requests in time."""
    state = runner_state.RunnerState(1)
    for _ in range(times):
        state.record_end(End.SILENT, failed=False, now=now)
    return state


def test_a_silent_runner_is_avoided_for_longer_with_each_failure() -> None:
    assert make_silent(1, 10.0).avoid_until == 10.4
    assert make_silent(2, 10.0).avoid_until == 10.8


# Guards against avoiding a runner for seconds that was silent for one: several
# requests time out at once, and each counted as a further failure.
def test_an_answer_ends_the_time_in_which_a_runner_is_avoided() -> None:
    state = make_silent(4, 10.0)
    assert state.avoid_until == 13.0
    state.record_end(End.WHOLE, failed=False, now=11.0)
    assert state.avoid_until == 11.0


def test_an_error_of_the_runner_does_not() -> None:
    state = make_silent(4, 10.0)
    state.record_end(End.WHOLE, failed=True, now=11.0)
    assert state.avoid_until == 13.0


def make_silent_as_a_whole(requests: int) -> runner_state.RunnerState:
    """Returns a runner that sends nothing from 9.1 s on, found at 10 s."""
    state = runner_state.RunnerState(1)
    state.record_heard(9.1)
    for _ in range(requests):
        state.record_silence(9.1, 10.0)
        state.record_end(End.SILENT, failed=False, now=10.0)
    return state


# Guards against sixty failures where sixty requests saw one silence.
def test_one_silence_is_one_failure() -> None:
    state = make_silent_as_a_whole(60)
    assert state.failures == 1
    assert state.failure_rate == make_silent_as_a_whole(1).failure_rate


def test_a_silent_runner_is_avoided_for_as_long_as_it_has_been_silent() -> None:
    state = make_silent_as_a_whole(2)
    assert state.avoid_until == pytest.approx(10.9)
    state.record_silence(9.1, 11.1)
    assert state.avoid_until == pytest.approx(13.1)
    state.record_silence(9.1, 18.1)
    assert state.avoid_until == pytest.approx(21.1)


def test_a_runner_that_is_heard_again_is_not_avoided() -> None:
    state = make_silent_as_a_whole(60)
    assert state.record_heard(10.3)
    assert (state.failures, state.avoid_until) == (0, 10.3)


def test_a_silence_does_not_excuse_earlier_failures() -> None:
    state = runner_state.RunnerState(1)
    state.record_end(End.BROKEN, failed=False, now=9.0)
    state.record_silence(9.1, 10.0)
    state.record_heard(10.3)
    assert state.failures == 1
    assert state.avoid_until > 10.3
