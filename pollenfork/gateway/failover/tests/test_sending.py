"""When a runner should have sent something, by what it sent others."""

import asyncio
import types

import pytest

from pollenfork.fleet import runner_state
from pollenfork.gateway import attempt
from pollenfork.gateway import timeouts
from pollenfork.gateway.failover import sending
from pollenfork.gateway.tests import support

GAP_S = 0.9


def find_limit(state: runner_state.RunnerState, now: float) -> float:
    """Returns the limit of a stream whose last event came at 10 s."""

    async def run() -> float:
        loop = asyncio.get_running_loop()
        receiver = attempt.Attempt(loop, support.Codec(), None, None, print)
        receiver.phase = attempt.Phase.STREAMING
        receiver.last_data_at = 10.0
        sent = sending.SentAttempt(
            types.SimpleNamespace(loop=loop),
            types.SimpleNamespace(state=state),
            None,
            receiver,
            timeouts.AttemptTimeouts(20.0, 1.0, GAP_S),
            9.0,
        )
        return sent.find_limit(now)

    return asyncio.run(run())


def test_a_silent_connection_counts_from_its_own_last_event() -> None:
    state = runner_state.RunnerState(1)
    state.record_heard(10.85)
    assert find_limit(state, 10.9) == pytest.approx(10.9)


# Guards against finding a runner silent sooner than it is, as its streams have
# their events at different times.
def test_a_silent_runner_counts_from_when_it_was_last_heard() -> None:
    state = runner_state.RunnerState(1)
    state.record_heard(10.2)
    assert find_limit(state, 10.9) == pytest.approx(11.1)


def test_a_runner_that_goes_on_is_given_the_same_time_again() -> None:
    state = runner_state.RunnerState(1)
    state.record_heard(10.0)
    state.record_silence(10.0, 10.9)
    state.record_heard(11.2)
    assert find_limit(state, 11.3) == pytest.approx(12.1)
