"""News reaches all instances past relays that are silent, at any size."""

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
        roster.note(each, 1.0)
    return gossip.Gossip(everyone[number], roster)


class Crowd:
    """Instances that fetch what they hear of by the next period."""

    def __init__(self, count: int, centres: int) -> None:
        self.tellers = {
            f"10.{number % centres}.0.{number}": make_gossip(
                number, count, centres
            )
            for number in range(count)
        }
        self.proofs = dict.fromkeys(self.tellers, _OLD)
        self.sent = 0
        self.now = 100.0
        for _ in range(4):
            self.pass_period()

    def pass_period(self) -> None:
        self.now += _PERIOD_S
        heard = set()
        for host, teller in self.tellers.items():
            for to, message in teller.tick(self.proofs[host], self.now):
                self.sent += 1
                if message.proof == _NEW:
                    heard.add(to)
        for host in heard:
            self.proofs[host] = _NEW


@pytest.mark.parametrize(("count", "centres"), [(3, 1), (75, 4), (195, 5)])
def test_news_of_one_reaches_all_within_a_second(count, centres) -> None:
    crowd = Crowd(count, centres)
    crowd.proofs["10.0.0.0"] = _NEW
    for _ in range(20):
        crowd.pass_period()
    assert set(crowd.proofs.values()) == {_NEW}


def test_news_costs_nine_datagrams_an_instance() -> None:
    crowd = Crowd(195, 5)
    crowd.proofs = dict.fromkeys(crowd.proofs, _NEW)
    crowd.sent = 0
    for _ in range(3):
        crowd.pass_period()
    assert crowd.sent == 9 * 195


def test_without_news_it_sends_four_datagrams_a_second_at_most() -> None:
    crowd = Crowd(75, 4)
    crowd.sent = 0
    for _ in range(20):
        crowd.pass_period()
    assert crowd.sent <= 4 * 75


def test_whoever_knows_no_more_does_not_answer() -> None:
    teller = make_gossip(0, 3, 1)
    asked = messages.Gossip("dc0", _NEW, sent_at=50.0)
    assert teller.answer(asked, None, 1.0) is None
    assert teller.answer(asked, _OLD, 1.0) is None
    assert teller.answer(asked, _NEW, 1.0) is None


def test_newer_or_younger_knowledge_is_answered_and_names_the_question():
    teller = make_gossip(0, 3, 1)
    old = messages.StoreStatus(5, 7, 2.0)
    asked = messages.Gossip("dc0", old, sent_at=50.0)
    for proof in (_NEW, _OLD):
        answer = teller.answer(asked, proof, 9.0)
        assert answer == messages.Gossip("dc0", proof, 9.0, echo=50.0)


def test_an_answer_is_not_answered() -> None:
    teller = make_gossip(0, 3, 1)
    told = messages.Gossip("dc0", _OLD, sent_at=50.0, echo=8.0)
    assert teller.answer(told, _NEW, 9.0) is None


def test_nobody_is_told_by_one_that_knows_nothing() -> None:
    assert make_gossip(0, 3, 1).tick(None, 1.0) == []
