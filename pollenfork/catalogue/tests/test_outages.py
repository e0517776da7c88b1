from hypothesis import given
from hypothesis import strategies

from pollenfork.catalogue import outages

_HEARTBEAT_S = 1.2


def make_outages(answered_at: float = 100.0) -> outages.Outages:
    made = outages.Outages(_HEARTBEAT_S)
    assert made.record_answer(answered_at) is None
    return made


def test_an_outage_for_all_may_have_removed_entries() -> None:
    tracked = make_outages()
    tracked.record_failure(101.0)
    tracked.record_failure(104.5)
    assert tracked.record_answer(105.0) == 107.0
    assert tracked.record_answer(105.6) is None


def test_failed_calls_are_no_outage_while_others_are_answered() -> None:
    tracked = make_outages()
    for second in range(101, 120):
        tracked.record_failure(second)
        assert tracked.record_answer(second + 0.5) is None


def test_an_outage_too_short_for_entries_to_end_is_ignored() -> None:
    tracked = make_outages()
    tracked.record_failure(101.0)
    assert tracked.record_answer(102.3) is None


def test_an_instance_without_peers_detects_no_outage() -> None:
    tracked = make_outages()
    tracked.record_failure(99.0)
    assert tracked.record_answer(110.0) is None


def test_a_late_message_of_an_older_answer_changes_nothing() -> None:
    tracked = make_outages()
    tracked.record_failure(101.0)
    assert tracked.record_answer(99.0) is None
    assert tracked.record_answer(105.0) is not None


def test_the_first_answer_after_the_start_ends_no_outage() -> None:
    tracked = outages.Outages(_HEARTBEAT_S)
    tracked.record_failure(90.0)
    assert tracked.record_answer(100.0) is None


@given(
    answers=strategies.lists(
        strategies.floats(0.0, 60.0, allow_nan=False), max_size=30
    ),
    failures=strategies.lists(
        strategies.floats(0.0, 60.0, allow_nan=False), max_size=30
    ),
)
def test_no_entry_is_kept_once_the_store_s_list_is_final(
    answers: list[float], failures: list[float]
) -> None:
    tracked = outages.Outages(_HEARTBEAT_S)
    events = [(at, True) for at in answers] + [(at, False) for at in failures]
    answered: list[float] = []
    failed: list[float] = []
    for at, is_answer in sorted(events):
        if not is_answer:
            tracked.record_failure(at)
            failed.append(at)
            continue
        until = tracked.record_answer(at)
        if until is not None:
            # The store returned after the last failed call at the earliest.
            assert until < failed[-1] + 3.0
            assert at - answered[-1] >= 2 * _HEARTBEAT_S
            assert any(each >= answered[-1] for each in failed)
        answered.append(at)
