"""A popular request isn't quarantined for crashes that others cause.

It is in flight wherever a runner crashes, is sent to runners that have just
crashed, and stays unanswered while none is up.
"""

import pytest

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import tracker

POISON = ids.RequestDigest(0xB989)
POPULAR = ids.RequestDigest(0x169E)
FIRST, SECOND, THIRD = 0x2984, 0x8469, 0x009A


def make_tracker() -> tracker.RequestTracker:
    return tracker.RequestTracker(lambda crash, history, now: True)


def record(
    tracked: tracker.RequestTracker,
    digest: ids.RequestDigest,
    runner_hash: int,
    crashed_at: float,
    ran_s: float,
    connected_at: float = 1.0,
) -> None:
    crash = crashes.Crash(
        runner_hash,
        crashed_at - ran_s,
        crashed_at,
        runner_hash % 3,
        connected_at,
    )
    tracked.record_crash(digest, crash, crashed_at + 0.01)


# Guards against a popular request being quarantined for good at all three
# instances, though it had been answered for two seconds. All four runners had
# crashed within 0.36 s under one poison request; the popular one was in flight
# at some, and was sent to others up to 340 ms after their crash, on connections
# not yet seen to be closed. Each such send counted as a successive crash. The
# crashes below are those of the log.
def test_ends_under_another_request_and_sends_after_them_are_not_its_own() -> (
    None
):
    tracked = make_tracker()
    tracked.record_answer(POPULAR, 7.6)
    record(tracked, POISON, FIRST, 7.679, 0.052)
    record(tracked, POISON, SECOND, 7.732, 0.051)
    record(tracked, POPULAR, SECOND, 7.733, 0.040)
    record(tracked, POPULAR, FIRST, 7.735, 0.001)
    record(tracked, POPULAR, FIRST, 8.020, 0.000)
    record(tracked, POPULAR, SECOND, 8.026, 0.001)
    record(tracked, POISON, THIRD, 8.037, 0.050)
    record(tracked, POPULAR, THIRD, 8.038, 0.023)
    assert tracked.evaluate(POISON, 8.05) is crashes.Verdict.QUARANTINED
    assert tracked.evaluate(POPULAR, 8.05) is not crashes.Verdict.QUARANTINED


def test_it_is_released_once_later_reports_explain_its_crashes() -> None:
    tracked = make_tracker()
    tracked.record_answer(POPULAR, 7.0)
    for number, runner_hash in enumerate((FIRST, SECOND, THIRD)):
        record(tracked, POPULAR, runner_hash, 8.0 + number, 0.04)
    assert tracked.evaluate(POPULAR, 10.1) is crashes.Verdict.QUARANTINED
    for number, runner_hash in enumerate((FIRST, SECOND, THIRD)):
        record(tracked, POISON, runner_hash, 8.001 + number, 0.05)
    tracked.sweep(10.6)
    assert tracked.evaluate(POPULAR, 10.6) is not crashes.Verdict.QUARANTINED
    assert tracked.evaluate(POISON, 10.6) is crashes.Verdict.QUARANTINED


@pytest.mark.parametrize("ran_s", [0.0, 0.005, 0.2])
def test_a_send_to_a_crashed_runner_counts_no_crash(ran_s) -> None:
    tracked = make_tracker()
    tracked.record_answer(POPULAR, 5.0)
    for number, runner_hash in enumerate((FIRST, SECOND, THIRD)):
        other = ids.RequestDigest(100 + number)
        record(tracked, other, runner_hash, 6.0 + number, 0.1)
        record(tracked, POPULAR, runner_hash, 6.3 + number, ran_s)
    assert tracked.evaluate(POPULAR, 9.0) is not crashes.Verdict.QUARANTINED


def test_a_request_answered_before_that_crashes_runners_is_quarantined() -> (
    None
):
    tracked = make_tracker()
    tracked.record_answer(POISON, 5.0)
    for number, runner_hash in enumerate((FIRST, SECOND, THIRD)):
        record(
            tracked,
            ids.RequestDigest(100 + number),
            runner_hash,
            6.0 + number,
            0.9,
        )
        record(tracked, POISON, runner_hash, 6.001 + number, 0.05)
    assert tracked.evaluate(POISON, 8.1) is crashes.Verdict.QUARANTINED


def test_a_runner_that_is_connected_to_again_may_crash_again() -> None:
    tracked = make_tracker()
    tracked.record_answer(POISON, 5.0)
    for number in range(3):
        moment = 6.0 + number
        record(tracked, POISON, FIRST, moment, 0.05, connected_at=moment - 0.05)
    assert tracked.evaluate(POISON, 8.1) is crashes.Verdict.QUARANTINED


def test_a_crash_in_the_future_is_rejected() -> None:
    tracked = make_tracker()
    ahead = crashes.Crash(FIRST, 9.9, 10.1, 1)
    assert not tracked.record_crash(POISON, ahead, 10.0)


# This test and the next guard against a stale index of crashes by runner. It
# was rebuilt after crashes reported by other instances, but neither after those
# read from the store nor after histories were forgotten.
def test_a_stored_history_explains_the_crashes_of_a_popular_request() -> None:
    tracked = make_tracker()
    tracked.record_answer(POPULAR, 7.0)
    for number, runner_hash in enumerate((FIRST, SECOND, THIRD)):
        record(tracked, POPULAR, runner_hash, 8.0 + number, 0.04)
    assert tracked.evaluate(POPULAR, 10.1) is crashes.Verdict.QUARANTINED
    stored = [
        crashes.Crash(runner_hash, 7.95 + number, 8.001 + number, 1, 1.0)
        for number, runner_hash in enumerate((FIRST, SECOND, THIRD))
    ]
    tracked.restore(crashes.CrashHistory(POISON, stored), 10.2)
    tracked.sweep(10.6)
    assert tracked.evaluate(POPULAR, 10.6) is not crashes.Verdict.QUARANTINED


def test_a_forgotten_history_explains_no_crash() -> None:
    tracked = make_tracker()
    tracked.record_answer(POPULAR, 1.0)
    record(tracked, POISON, FIRST, 2.0, 0.05)
    tracked.sweep(2.1)
    assert tracked._index_by_runner()
    tracked.sweep(2.0 + 2 * crashes.EXPIRY_S)
    assert not tracked._index_by_runner()
