"""Which instance a request is forwarded to."""

import random

import pytest

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.loads import reach_messages
from pollenfork.reach import helpers

SERVICE = ids.ServiceName("s")


def make_helpers(seed: int = 1) -> helpers.Helpers:
    return helpers.Helpers(ids.DataCentre("a"), random.Random(seed))


def offer(data_centre: str = "a", forwarded: int = 0, lost: tuple = ()):
    return reach_messages.HelpOffer(data_centre, forwarded, lost)


def test_nobody_helps_without_an_offer() -> None:
    assert make_helpers().choose(SERVICE, set(), 1.0) is None


def test_an_offer_expires() -> None:
    known = make_helpers()
    known.record_offer("h", offer(), 1.0)
    assert known.choose(SERVICE, set(), 1.9) == "h"
    assert known.choose(SERVICE, set(), 2.1) is None


def test_an_instance_that_has_lost_the_service_does_not_help() -> None:
    known = make_helpers()
    lost = messages.hash_name(SERVICE.encode())
    known.record_offer("h", offer(lost=(lost,)), 1.0)
    assert known.choose(SERVICE, set(), 1.0) is None
    assert known.choose(ids.ServiceName("other"), set(), 1.0) == "h"


def test_a_helper_that_failed_is_passed_over_for_a_while() -> None:
    known = make_helpers()
    known.record_offer("h", offer(), 1.0)
    known.record_failed("h", 1.0)
    assert known.choose(SERVICE, set(), 1.5) is None
    known.record_offer("h", offer(), 2.0)
    assert known.choose(SERVICE, set(), 2.1) == "h"


def test_a_helper_that_was_tried_is_not_chosen_again() -> None:
    known = make_helpers()
    known.record_offer("h", offer(), 1.0)
    assert known.choose(SERVICE, {"h"}, 1.0) is None


def test_a_near_helper_goes_first_unless_it_is_busier() -> None:
    known = make_helpers()
    known.record_offer("near", offer("a", 3), 1.0)
    known.record_offer("far", offer("b", 0), 1.0)
    assert known.choose(SERVICE, set(), 1.0) == "near"
    known.record_offer("near", offer("a", 20), 1.0)
    assert known.choose(SERVICE, set(), 1.0) == "far"


# Guards against sending all requests to one helper until its next offer.
def test_requests_in_progress_count_between_two_offers() -> None:
    known = make_helpers()
    for host in ("h", "i"):
        known.record_offer(host, offer(), 1.0)
    chosen = []
    for _ in range(20):
        host = known.choose(SERVICE, set(), 1.0)
        known.record_sent(host)
        chosen.append(host)
    assert chosen.count("h") == 10


def test_queries_are_spaced() -> None:
    known = make_helpers()
    assert known.choose_asked(["h"], ["h", "i"], 1.0) == ["h", "i"]
    assert known.choose_asked(["h"], ["h", "i"], 1.1) == []
    assert known.choose_asked(["h"], ["h", "i"], 1.3) == ["h", "i"]


# Guards against queries whose number grows with the number of instances.
@pytest.mark.parametrize("instances", [6, 81, 360])
def test_the_number_of_queries_is_bounded(instances) -> None:
    hosts = [f"h{number}" for number in range(1, instances)]
    asked = make_helpers().choose_asked(hosts[: instances // 6], hosts, 1.0)
    assert len(asked) == len(set(asked)) <= 16
    query = messages.encode(reach_messages.HelpQuery("data-centre-1"))
    assert len(query) <= 40
    offered = offer("data-centre-1", 100, (1 << 31, 1 << 30))
    assert len(messages.encode(offered)) <= 60


# A tenth of the instances of each size still reaches the runners.
@pytest.mark.parametrize("instances", [20, 81, 360])
@pytest.mark.parametrize("seed", range(5))
def test_a_helper_is_found_though_nine_tenths_are_cut_off(
    instances, seed
) -> None:
    hosts = [f"h{number}" for number in range(1, instances)]
    sound = set(hosts[::10])
    known = make_helpers(seed)
    now, asked = 1.0, 0
    while known.choose(SERVICE, set(), now) is None:
        lost = (messages.hash_name(SERVICE.encode()),)
        for host in known.choose_asked(hosts[: instances // 6], hosts, now):
            asked += 1
            given = () if host in sound else lost
            known.record_offer(host, offer(lost=given), now)
        now += 0.25
    assert now <= 2.0, asked
