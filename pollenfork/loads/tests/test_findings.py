"""Tests that recent findings are passed on a limited number of times."""

import msgspec

from pollenfork.loads import findings
from pollenfork.loads import messages

Symptom = messages.Symptom
DISPLACED = messages.Finding(7, Symptom.DISPLACED, 0.0, "a", 1)
SILENT = messages.Finding(7, Symptom.SILENT, 0.0, "a", 1)


def age(finding: messages.Finding, age_s: float) -> messages.Finding:
    return msgspec.structs.replace(finding, age_s=age_s)


def test_a_known_finding_is_not_new() -> None:
    outbox = findings.Outbox()
    assert outbox.take(DISPLACED, 100.0)
    assert not outbox.take(age(DISPLACED, 0.1), 100.1)
    assert not outbox.take(
        msgspec.structs.replace(DISPLACED, observer=2), 100.1
    )


def test_an_equal_finding_after_a_pause_is_new() -> None:
    outbox = findings.Outbox()
    outbox.take(DISPLACED, 100.0)
    assert outbox.take(DISPLACED, 101.0)


def test_a_finding_is_sent_three_times_with_its_current_age() -> None:
    outbox = findings.Outbox()
    outbox.take(age(DISPLACED, 0.2), 100.0)
    sent = [outbox.choose(100.0 + 0.05 * step) for step in range(5)]
    assert [each[0].age_s for each in sent if each] == [0.2, 0.25, 0.3]


def test_an_old_finding_is_neither_accepted_nor_kept() -> None:
    outbox = findings.Outbox()
    assert not outbox.take(age(DISPLACED, 5.0), 100.0)
    outbox.take(DISPLACED, 100.0)
    assert outbox.choose(104.0) == ()


def test_silence_is_passed_on_from_three_observers_at_most() -> None:
    outbox = findings.Outbox()
    accepted = [
        outbox.take(msgspec.structs.replace(SILENT, observer=each), 100.0)
        for each in range(5)
    ]
    assert accepted == [True, True, True, False, False]


def test_a_finding_from_the_future_counts_as_made_now() -> None:
    outbox = findings.Outbox()
    outbox.take(age(DISPLACED, -50.0), 100.0)
    assert outbox.choose(100.0)[0].age_s == 0.0
