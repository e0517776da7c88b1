"""Findings are told a few times, while they are fresh, and not for ever."""

import msgspec

from pollenfork.loads import findings
from pollenfork.loads import messages

Sign = messages.Symptom
GONE = messages.Finding(7, Sign.DISPLACED, 0.0, "a", 1)
QUIET = messages.Finding(7, Sign.SILENT, 0.0, "a", 1)


def age(finding: messages.Finding, age_s: float) -> messages.Finding:
    return msgspec.structs.replace(finding, age_s=age_s)


def test_what_is_known_already_is_no_news() -> None:
    outbox = findings.Outbox()
    assert outbox.take(GONE, 100.0)
    assert not outbox.take(age(GONE, 0.1), 100.1)
    assert not outbox.take(msgspec.structs.replace(GONE, observer=2), 100.1)


def test_the_same_found_once_more_after_a_pause_is_news() -> None:
    outbox = findings.Outbox()
    outbox.take(GONE, 100.0)
    assert outbox.take(GONE, 101.0)


def test_a_finding_grows_older_on_its_way_and_is_told_three_times() -> None:
    outbox = findings.Outbox()
    outbox.take(age(GONE, 0.2), 100.0)
    told = [outbox.choose(100.0 + 0.05 * step) for step in range(5)]
    assert [each[0].age_s for each in told if each] == [0.2, 0.25, 0.3]


def test_an_old_finding_is_neither_taken_nor_kept() -> None:
    outbox = findings.Outbox()
    assert not outbox.take(age(GONE, 5.0), 100.0)
    outbox.take(GONE, 100.0)
    assert outbox.choose(104.0) == ()


def test_silence_is_told_of_three_witnesses_at_most() -> None:
    outbox = findings.Outbox()
    taken = [
        outbox.take(msgspec.structs.replace(QUIET, observer=each), 100.0)
        for each in range(5)
    ]
    assert taken == [True, True, True, False, False]


def test_a_finding_from_the_future_counts_as_found_now() -> None:
    outbox = findings.Outbox()
    outbox.take(age(GONE, -50.0), 100.0)
    assert outbox.choose(100.0)[0].age_s == 0.0
