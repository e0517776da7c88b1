"""Tests that updates reach all instances without the relays, at any size."""

import pytest

from pollenfork.loads import gossip
from pollenfork.loads import members
from pollenfork.loads import messages

_PERIOD_S = 0.05
_OLD = messages.StoreStatus(5, 7, 0.1)
_NEW = messages.StoreStatus(5, 8, 0.1)


def make_gossip(number: int, count: int, centres: int) -> gossip.Gossip:
    everyone = [
        messages.Member(f"10.{each % centres}.0.{each}", f"dc{each % centres}")
        for each in range(count)
    ]
    roster = members.Roster(everyone[number])
    for each in everyone:
        roster.record_sighting(each, 1.0)
    return gossip.Gossip(everyone[number], roster)


class Cluster:
    """Instances that fetch a new version by the next period."""

    def __init__(self, count: int, centres: int) -> None:
        self.gossips = {
            f"10.{number % centres}.0.{number}": make_gossip(
                number, count, centres
            )
            for number in range(count)
        }
        self.statuses = dict.fromkeys(self.gossips, _OLD)
        self.sent = 0
        self.now = 100.0
        for _ in range(4):
            self.advance()

    def advance(self) -> None:
        self.now += _PERIOD_S
        informed = set()
        for host, each in self.gossips.items():
            for to, message in each.tick(self.statuses[host], self.now):
                self.sent += 1
                if message.status == _NEW:
                    informed.add(to)
        for host in informed:
            self.statuses[host] = _NEW


@pytest.mark.parametrize(("count", "centres"), [(3, 1), (75, 4), (195, 5)])
def test_an_update_of_one_instance_reaches_all_within_a_second(
    count, centres
) -> None:
    cluster = Cluster(count, centres)
    cluster.statuses["10.0.0.0"] = _NEW
    for _ in range(20):
        cluster.advance()
    assert set(cluster.statuses.values()) == {_NEW}


def test_an_update_costs_nine_datagrams_an_instance() -> None:
    cluster = Cluster(195, 5)
    cluster.statuses = dict.fromkeys(cluster.statuses, _NEW)
    cluster.sent = 0
    for _ in range(3):
        cluster.advance()
    assert cluster.sent == 9 * 195


def test_without_updates_it_sends_four_datagrams_a_second_at_most() -> None:
    cluster = Cluster(75, 4)
    cluster.sent = 0
    for _ in range(20):
        cluster.advance()
    assert cluster.sent <= 4 * 75


def test_an_instance_that_knows_no_more_does_not_answer() -> None:
    instance = make_gossip(0, 3, 1)
    question = messages.Gossip("dc0", _NEW, sent_at=50.0)
    assert instance.answer(question, None, 1.0) is None
    assert instance.answer(question, _OLD, 1.0) is None
    assert instance.answer(question, _NEW, 1.0) is None


def test_newer_versions_or_more_recent_status_are_sent_with_an_echo():
    instance = make_gossip(0, 3, 1)
    old = messages.StoreStatus(5, 7, 2.0)
    question = messages.Gossip("dc0", old, sent_at=50.0)
    for status in (_NEW, _OLD):
        answer = instance.answer(question, status, 9.0)
        assert answer == messages.Gossip("dc0", status, 9.0, echo=50.0)


def test_an_older_configuration_in_force_is_answered() -> None:
    instance = make_gossip(0, 3, 1)
    behind = messages.StoreStatus(5, 7, 0.1, in_force=3)
    ahead = messages.StoreStatus(5, 7, 0.1, in_force=4)
    question = messages.Gossip("dc0", behind, sent_at=50.0)
    assert instance.answer(question, ahead, 9.0) is not None
    question = messages.Gossip("dc0", ahead, sent_at=50.0)
    assert instance.answer(question, behind, 9.0) is None


def test_an_answer_is_not_answered() -> None:
    instance = make_gossip(0, 3, 1)
    answer = messages.Gossip("dc0", _OLD, sent_at=50.0, echo=8.0)
    assert instance.answer(answer, _NEW, 9.0) is None


def test_an_instance_that_knows_nothing_sends_nothing() -> None:
    assert make_gossip(0, 3, 1).tick(None, 1.0) == []
