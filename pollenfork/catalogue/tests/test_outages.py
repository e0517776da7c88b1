from hypothesis import given
from hypothesis import strategies

from pollenfork.catalogue import outages

_HEARTBEAT_S = 1.2


def make_outages(answered_at: float = 100.0) -> outages.Outages:
    made = outages.Outages(_HEARTBEAT_S)
    assert made.note_answer(answered_at) is None
    return made


def test_a_store_that_was_away_from_all_may_have_lost_entries() -> None:
    seen = make_outages()
    seen.note_failure(101.0)
    seen.note_failure(104.5)
    assert seen.note_answer(105.0) == 107.0
    assert seen.note_answer(105.6) is None


def test_calls_that_fail_here_while_others_are_answered_show_nothing() -> None:
    seen = make_outages()
    for second in range(101, 120):
        seen.note_failure(second)
        assert seen.note_answer(second + 0.5) is None


def test_an_outage_too_short_for_entries_to_end_shows_nothing() -> None:
    seen = make_outages()
    seen.note_failure(101.0)
    assert seen.note_answer(102.3) is None


def test_an_instance_that_merely_heard_nobody_has_seen_no_outage() -> None:
    seen = make_outages()
    seen.note_failure(99.0)
    assert seen.note_answer(110.0) is None


def test_a_late_word_of_an_older_answer_changes_nothing() -> None:
    seen = make_outages()
    seen.note_failure(101.0)
    assert seen.note_answer(99.0) is None
    assert seen.note_answer(105.0) is not None


def test_the_first_answer_after_the_start_ends_no_outage() -> None:
    seen = outages.Outages(_HEARTBEAT_S)
    seen.note_failure(90.0)
    assert seen.note_answer(100.0) is None


@given(
    answers=strategies.lists(
        strategies.floats(0.0, 60.0, allow_nan=False), max_size=30
    ),
    failures=strategies.lists(
        strategies.floats(0.0, 60.0, allow_nan=False), max_size=30
    ),
)
def test_nothing_is_kept_once_the_store_s_word_is_final(
    answers: list[float], failures: list[float]
) -> None:
    seen = outages.Outages(_HEARTBEAT_S)
    events = [(at, True) for at in answers] + [(at, False) for at in failures]
    answered: list[float] = []
    failed: list[float] = []
    for at, is_answer in sorted(events):
        if not is_answer:
            seen.note_failure(at)
            failed.append(at)
            continue
        until = seen.note_answer(at)
        if until is not None:
            # The store may be back since the last failure at the earliest.
            assert until < failed[-1] + 3.0
            assert at - answered[-1] >= 2 * _HEARTBEAT_S
            assert any(each >= answered[-1] for each in failed)
        answered.append(at)
