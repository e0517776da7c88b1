from pollenfork import ids
from pollenfork.ratelimits import coordinator

RUNNER = 7
HOSTS = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]
FIRST, SECOND, THIRD = coordinator.list_candidates(RUNNER, HOSTS)
TIER = ids.Tier(1)


def make(host: str, now: float = 0.0) -> coordinator.Coordinator:
    return coordinator.Coordinator(RUNNER, host, now)


def take_all(
    candidate, others, since: float, until: float, rate=2.0, tier=TIER
):
    """Requests a permit every 10 ms; returns when any were granted."""
    granted = []
    for step in range(round((until - since) * 100)):
        now = since + step / 100
        if candidate.decide(rate, tier, others, now).granted:
            granted.append(now)
        for host in candidate.take_calls(now):
            if host in others and host != "silent":
                candidate.record_contact(host, now)
    return granted


def test_a_single_candidate_grants_the_whole_rate() -> None:
    granted = take_all(make(FIRST), [], 0.0, 10.0)
    assert 19 <= len(granted) <= 21


def test_a_candidate_starts_without_a_burst() -> None:
    granted = take_all(make(FIRST), [], 0.0, 1.0)
    assert granted[0] >= 0.49


def test_a_candidate_grants_only_once_the_others_have_answered() -> None:
    candidate = make(FIRST)
    assert not candidate.decide(2.0, TIER, [SECOND], 0.0).granted
    assert candidate.take_calls(0.0) == [SECOND]
    assert not candidate.decide(2.0, TIER, [SECOND], 0.4).granted
    candidate.record_contact(SECOND, 0.41)
    candidate.decide(2.0, TIER, [SECOND], 0.42)
    assert candidate.decide(2.0, TIER, [SECOND], 0.95).granted


def test_a_candidate_names_an_earlier_one_that_answers() -> None:
    candidate = make(SECOND)
    candidate.decide(2.0, TIER, [FIRST], 0.0)
    candidate.record_contact(FIRST, 0.1)
    decision = candidate.decide(2.0, TIER, [FIRST], 0.2)
    assert not decision.granted
    assert decision.coordinator == FIRST


def test_while_one_of_three_is_silent_two_thirds_are_granted() -> None:
    candidate = make(FIRST)
    granted = take_all(candidate, [SECOND, "silent"], 0.0, 13.0, rate=3.0)
    assert 23 <= len([at for at in granted if at >= 1.0]) <= 25


def test_a_candidate_stops_at_once_when_an_earlier_one_calls() -> None:
    candidate = make(SECOND)
    assert take_all(candidate, [], 0.0, 3.0)
    candidate.record_contact(FIRST, 3.0)
    assert not candidate.decide(2.0, TIER, [FIRST], 3.01).granted


def test_a_suspended_candidate_grants_nothing() -> None:
    candidate = make(FIRST)
    take_all(candidate, [SECOND], 0.0, 3.0)
    candidate.suspend()
    assert not candidate.decide(2.0, TIER, [SECOND], 3.5).granted


def test_a_rate_of_one_in_four_seconds_is_used() -> None:
    granted = take_all(make(FIRST), [], 0.0, 40.0, rate=0.25)
    assert 9 <= len(granted) <= 10


def test_more_urgent_requests_come_first() -> None:
    candidate = make(FIRST)
    urgent, less_urgent = 0, 0
    for step in range(1000):
        now = step / 100
        if step % 20 == 0:
            tier = ids.Tier(0)
            urgent += candidate.decide(2.0, tier, [], now).granted
        less_urgent += candidate.decide(2.0, ids.Tier(3), [], now).granted
    assert urgent >= 17
    assert less_urgent <= 3


def test_less_urgent_requests_get_what_urgent_ones_leave() -> None:
    candidate = make(FIRST)
    urgent, less_urgent = 0, 0
    for step in range(2000):
        now = step / 100
        if step % 100 == 50:
            tier = ids.Tier(0)
            urgent += candidate.decide(4.0, tier, [], now).granted
        less_urgent += candidate.decide(4.0, ids.Tier(3), [], now).granted
    assert urgent >= 17
    assert less_urgent >= 50
