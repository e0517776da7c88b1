"""A text that everybody sends isn't kept back for what others end.

It is under way wherever a runner ends, is sent on where one has just ended,
and goes unanswered while none is up.
"""

import pytest

from pollenfork import ids
from pollenfork.poison import crashes
from pollenfork.poison import tracker

POISON = ids.RequestDigest(0xB989)
POPULAR = ids.RequestDigest(0x169E)
FIRST, SECOND, THIRD = 0x2984, 0x8469, 0x009A


def make_book() -> tracker.RequestTracker:
    return tracker.RequestTracker(lambda end, case, now: True)


def note(
    known: tracker.RequestTracker,
    digest: ids.RequestDigest,
    place: int,
    ended_at: float,
    ran_s: float,
    connected_at: float = 1.0,
) -> None:
    end = crashes.Crash(
        place, ended_at - ran_s, ended_at, place % 3, connected_at
    )
    known.record_crash(digest, end, ended_at + 0.01)


# What was seen: a text that had been answered for two seconds was kept back at
# all three instances, and for good. How it came about: all four runners ended
# within 0.36 s under one request; the text was under way at some, and was sent
# to others in the milliseconds, or the 340 ms, after their end, before the
# connections there were seen to be closed. Cause: each such send counted as a
# runner's end under it, one after the other. Proof: the lines of the log, which
# are the ends below.
def test_ends_under_another_request_and_sends_after_them_are_not_its_own() -> (
    None
):
    known = make_book()
    known.record_answer(POPULAR, 7.6)
    note(known, POISON, FIRST, 7.679, 0.052)
    note(known, POISON, SECOND, 7.732, 0.051)
    note(known, POPULAR, SECOND, 7.733, 0.040)
    note(known, POPULAR, FIRST, 7.735, 0.001)
    note(known, POPULAR, FIRST, 8.020, 0.000)
    note(known, POPULAR, SECOND, 8.026, 0.001)
    note(known, POISON, THIRD, 8.037, 0.050)
    note(known, POPULAR, THIRD, 8.038, 0.023)
    assert known.evaluate(POISON, 8.05) is crashes.Verdict.QUARANTINED
    assert known.evaluate(POPULAR, 8.05) is not crashes.Verdict.QUARANTINED


def test_it_is_let_go_once_news_explains_its_ends() -> None:
    known = make_book()
    known.record_answer(POPULAR, 7.0)
    for number, place in enumerate((FIRST, SECOND, THIRD)):
        note(known, POPULAR, place, 8.0 + number, 0.04)
    assert known.evaluate(POPULAR, 10.1) is crashes.Verdict.QUARANTINED
    for number, place in enumerate((FIRST, SECOND, THIRD)):
        note(known, POISON, place, 8.001 + number, 0.05)
    known.sweep(10.6)
    assert known.evaluate(POPULAR, 10.6) is not crashes.Verdict.QUARANTINED
    assert known.evaluate(POISON, 10.6) is crashes.Verdict.QUARANTINED


@pytest.mark.parametrize("ran_s", [0.0, 0.005, 0.2])
def test_what_goes_where_a_runner_had_ended_is_no_end_under_it(ran_s) -> None:
    known = make_book()
    known.record_answer(POPULAR, 5.0)
    for number, place in enumerate((FIRST, SECOND, THIRD)):
        other = ids.RequestDigest(100 + number)
        note(known, other, place, 6.0 + number, 0.1)
        note(known, POPULAR, place, 6.3 + number, ran_s)
    assert known.evaluate(POPULAR, 9.0) is not crashes.Verdict.QUARANTINED


def test_one_that_was_answered_before_and_ends_its_runners_is_kept_back() -> (
    None
):
    known = make_book()
    known.record_answer(POISON, 5.0)
    for number, place in enumerate((FIRST, SECOND, THIRD)):
        note(known, ids.RequestDigest(100 + number), place, 6.0 + number, 0.9)
        note(known, POISON, place, 6.001 + number, 0.05)
    assert known.evaluate(POISON, 8.1) is crashes.Verdict.QUARANTINED


def test_a_place_that_was_taken_again_may_end_again() -> None:
    known = make_book()
    known.record_answer(POISON, 5.0)
    for number in range(3):
        moment = 6.0 + number
        note(known, POISON, FIRST, moment, 0.05, connected_at=moment - 0.05)
    assert known.evaluate(POISON, 8.1) is crashes.Verdict.QUARANTINED


def test_an_end_that_lies_ahead_is_refused() -> None:
    known = make_book()
    ahead = crashes.Crash(FIRST, 9.9, 10.1, 1)
    assert not known.record_crash(POISON, ahead, 10.0)


# What was seen: nothing yet; found by reading. How it comes about: an instance
# that has looked its ends up by place goes on with that list. Cause: it was
# made anew for ends that were told, not for those read from the store, and not
# when cases were forgotten. Proof: the two tests below failed.
def test_what_was_stored_explains_the_ends_of_a_popular_text() -> None:
    known = make_book()
    known.record_answer(POPULAR, 7.0)
    for number, place in enumerate((FIRST, SECOND, THIRD)):
        note(known, POPULAR, place, 8.0 + number, 0.04)
    assert known.evaluate(POPULAR, 10.1) is crashes.Verdict.QUARANTINED
    ends = [
        crashes.Crash(place, 7.95 + number, 8.001 + number, 1, 1.0)
        for number, place in enumerate((FIRST, SECOND, THIRD))
    ]
    known.restore(crashes.CrashHistory(POISON, ends), 10.2)
    known.sweep(10.6)
    assert known.evaluate(POPULAR, 10.6) is not crashes.Verdict.QUARANTINED


def test_what_was_forgotten_explains_nothing() -> None:
    known = make_book()
    known.record_answer(POPULAR, 1.0)
    note(known, POISON, FIRST, 2.0, 0.05)
    known.sweep(2.1)
    assert known._index_by_runner()
    known.sweep(2.0 + 2 * crashes.EXPIRY_S)
    assert not known._index_by_runner()
