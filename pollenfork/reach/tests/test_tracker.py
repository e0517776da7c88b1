"""When an instance takes the runners of a service for lost."""

import hypothesis
from hypothesis import strategies

from pollenfork import ids
from pollenfork.reach import tracker

SERVICE = ids.ServiceName("s")
RUNNERS = [ids.EndpointId(f"r{number}") for number in range(9)]
State = tracker.State


def probe(tracked: tracker.Tracker, works, now: float) -> float:
    """Plays one round of probes; returns the time after it."""
    count = min(len(RUNNERS), tracked.start_probes(SERVICE, now))
    probed = RUNNERS[-count:]
    held = [each for each in probed if works(each)]
    for each in held:
        tracked.record_connected(SERVICE, each, now)
    failed = set(probed) - set(held)
    now += 0.25
    tracked.finish_probes(SERVICE, failed, len(RUNNERS), now)
    return now


def lose(tracked: tracker.Tracker, now: float) -> float:
    """Lets all probes after one failure fail; returns the time after them."""
    tracked.record_unconnected(SERVICE, RUNNERS[0], now)
    while not tracked.is_lost(SERVICE):
        assert tracked.is_due(SERVICE, now)
        now = probe(tracked, lambda runner: False, now)
    return now


# Guards against an instance that finds out with each caller's request anew that
# it can't connect to any runner.
def test_a_service_is_lost_within_half_a_second_of_a_failure() -> None:
    tracked = tracker.Tracker()
    assert lose(tracked, 10.0) - 10.0 <= 0.5


def test_a_runner_that_has_crashed_is_no_cut() -> None:
    tracked = tracker.Tracker()
    tracked.record_unconnected(SERVICE, RUNNERS[0], 10.0)
    now = probe(tracked, lambda runner: runner != RUNNERS[0], 10.0)
    assert tracked.get_state(SERVICE) is State.CONNECTED
    assert not tracked.is_due(SERVICE, now)


# A sound runner may send nothing for a second.
def test_a_silent_runner_is_no_cut_if_another_can_be_connected_to() -> None:
    tracked = tracker.Tracker()
    tracked.record_sent(SERVICE, 10.0)
    assert not tracked.is_due(SERVICE, 10.15)
    assert tracked.is_due(SERVICE, 10.25)
    now = probe(tracked, lambda runner: True, 10.25)
    assert tracked.get_state(SERVICE) is State.CONNECTED
    assert not tracked.is_due(SERVICE, now)


# Guards against noticing hanging connections only by requests' time limits.
def test_silence_after_a_request_leads_to_loss_within_a_second() -> None:
    tracked = tracker.Tracker()
    tracked.record_heard(SERVICE, 9.9)
    tracked.record_sent(SERVICE, 10.0)
    now = 10.0
    while not tracked.is_due(SERVICE, now):
        now += 0.05
    while not tracked.is_lost(SERVICE):
        now = probe(tracked, lambda runner: False, now)
    assert now <= 11.0


def test_an_unused_service_is_not_probed() -> None:
    tracked = tracker.Tracker()
    tracked.record_sent(SERVICE, 10.0)
    tracked.record_heard(SERVICE, 10.1)
    assert not tracked.is_due(SERVICE, 10.4)
    assert tracked.is_due(SERVICE, 10.7)
    assert not tracked.is_due(SERVICE, 13.0)


# Open connections live on while new ones are refused.
def test_answers_on_open_connections_do_not_end_a_loss() -> None:
    tracked = tracker.Tracker()
    now = lose(tracked, 10.0)
    tracked.record_heard(SERVICE, now)
    tracked.record_connected(SERVICE, RUNNERS[1], 9.0)
    assert tracked.is_lost(SERVICE)


def test_a_connection_made_since_ends_a_loss() -> None:
    tracked = tracker.Tracker()
    now = lose(tracked, 10.0)
    tracked.record_connected(SERVICE, RUNNERS[1], now + 0.1)
    assert not tracked.is_lost(SERVICE)
    assert tracked.list_lost() == []


# Guards against sending requests, which may then have run, to connections that
# hold for a moment but pass nothing.
def test_a_break_before_any_answer_after_a_return_is_a_loss() -> None:
    tracked = tracker.Tracker()
    now = lose(tracked, 10.0)
    tracked.record_connected(SERVICE, RUNNERS[1], now + 0.1)
    tracked.record_unconnected(SERVICE, RUNNERS[2], now + 0.2)
    assert tracked.is_lost(SERVICE)


def test_a_break_after_an_answer_is_none() -> None:
    tracked = tracker.Tracker()
    now = lose(tracked, 10.0)
    tracked.record_connected(SERVICE, RUNNERS[1], now + 0.1)
    tracked.record_heard(SERVICE, now + 0.15)
    tracked.record_unconnected(SERVICE, RUNNERS[2], now + 0.2)
    assert not tracked.is_lost(SERVICE)


def test_another_service_is_not_lost_with_the_first() -> None:
    tracked = tracker.Tracker()
    lose(tracked, 10.0)
    assert tracked.list_lost() == [SERVICE]
    assert not tracked.is_lost(ids.ServiceName("other"))


# While any runner can be connected to, a service is never lost for longer than
# it takes to probe all of nine runners by chance.
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(["fail", "heard", "sent", "probe"]),
        max_size=60,
    )
)
def test_a_service_with_reachable_runners_is_not_lost(steps) -> None:
    tracked = tracker.Tracker()
    now = 10.0
    for step in steps:
        now += 0.05
        match step:
            case "fail":
                tracked.record_unconnected(SERVICE, RUNNERS[0], now)
            case "heard":
                tracked.record_heard(SERVICE, now)
            case "sent":
                tracked.record_sent(SERVICE, now)
            case "probe":
                if tracked.is_due(SERVICE, now):
                    now = probe(tracked, lambda runner: True, now)
        assert not tracked.is_lost(SERVICE)
