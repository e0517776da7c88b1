"""How long other runners are preferred to one that failed."""

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
