"""Which configuration counts as the newest, by what peers have in force."""

from pollenfork.catalogue import messages
from pollenfork.gateway import configuration_tracker

ANNOUNCED_S = configuration_tracker.ConfigurationTracker.ANNOUNCED_S


def make_tracker() -> configuration_tracker.ConfigurationTracker:
    tracker = configuration_tracker.ConfigurationTracker()
    tracker.take(messages.Changes((), 16))
    tracker.in_force = 4
    return tracker


def test_the_highest_version_announced_counts() -> None:
    tracker = make_tracker()
    for version, sender in ((5, "a"), (6, "b"), (5, "c"), (4, "d"), (0, "e")):
        tracker.record_in_force(version, sender)
    assert tracker.is_superseded and tracker.sender == "b"
    tracker.in_force = 6
    assert not tracker.is_newer_elsewhere


def test_a_sender_that_does_not_answer_is_replaced_by_the_next() -> None:
    tracker = make_tracker()
    tracker.record_in_force(5, "a")
    tracker.pass_over("a")
    assert tracker.is_superseded and not tracker.sender
    tracker.record_in_force(5, "b")
    assert tracker.sender == "b"


# Guards against waiting for good for what only a lost instance had.
def test_a_version_that_is_no_longer_announced_is_forgotten() -> None:
    tracker = make_tracker()
    now = 100.0
    for _ in range(10):
        tracker.record_in_force(5, "a")
        tracker.expire(now)
        now += ANNOUNCED_S / 2
    assert tracker.is_superseded
    tracker.expire(now + ANNOUNCED_S)
    assert not tracker.is_superseded


def test_a_refuted_version_counts_again_once_another_host_has_it() -> None:
    tracker = make_tracker()
    tracker.record_in_force(5, "a")
    tracker.refute("b")
    assert tracker.is_superseded
    tracker.refute("a")
    tracker.record_in_force(5, "a")
    assert not tracker.is_superseded
    tracker.record_in_force(5, "b")
    assert tracker.is_superseded
    tracker.refute("b")
    tracker.record_in_force(6, "a")
    assert tracker.is_superseded


# Guards against ignoring for good a host that put the version in force between
# its answer and the announcement that came meanwhile.
def test_a_refuted_version_counts_again_after_a_while() -> None:
    tracker = make_tracker()
    tracker.record_in_force(5, "a")
    tracker.refute("a")
    for now in (100.0, 100.0 + ANNOUNCED_S):
        tracker.expire(now)
        tracker.record_in_force(5, "a")
        assert not tracker.is_superseded
    tracker.expire(100.1 + ANNOUNCED_S)
    tracker.record_in_force(5, "a")
    assert tracker.is_superseded
