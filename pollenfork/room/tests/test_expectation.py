"""Expected output, and medians of what answers showed."""

import random

import pytest

from pollenfork import ids
from pollenfork.room import expectation
from pollenfork.room import learning
from pollenfork.room import medians

SERVICE = ids.ServiceName("s")


def test_a_hint_counts_as_given_until_answers_are_known() -> None:
    # Guards against a ratio set by the first, unusual answers of a start.
    outputs = expectation.OutputExpectation()
    for _ in range(4):
        outputs.record("r", 100, 10)
    assert outputs.find_output("r", 100, 400) == 100


@pytest.mark.parametrize("factor", [1 / 3, 3.0])
def test_hints_that_are_wrong_by_three_times_are_corrected(factor) -> None:
    # Guards against runners that are overcommitted, or a third used, because
    # callers' hints are taken at their word.
    rng = random.Random(1)
    outputs = expectation.OutputExpectation()
    for _ in range(64):
        hint = rng.randrange(60, 300)
        output = max(1, round(hint * factor * rng.lognormvariate(0.0, 0.4)))
        outputs.record("r", hint, output)
    expected = outputs.find_output("r", 150, 4000)
    assert expected == pytest.approx(150 * factor, rel=0.15)


def test_the_ratio_follows_a_change_within_half_a_window() -> None:
    # Guards against a ratio that remembers answers of another time.
    outputs = expectation.OutputExpectation()
    for _ in range(500):
        outputs.record("r", 100, 100)
    for _ in range(33):
        outputs.record("r", 100, 300)
    assert outputs.get_ratio("r") == 3.0


def test_routes_have_their_own_ratios() -> None:
    # Guards against one route's wrong hints that change all requests.
    outputs = expectation.OutputExpectation()
    for _ in range(9):
        outputs.record("r", 100, 300)
    assert outputs.get_ratio("other") == 1.0


def test_the_expected_output_is_limited_to_the_maximum() -> None:
    # Guards against holding more than a request can ever need.
    outputs = expectation.OutputExpectation()
    for _ in range(9):
        outputs.record("r", 100, 300)
    assert outputs.find_output("r", 100, 250) == 250
    assert outputs.find_output("r", 100, 0) == 300


def test_without_a_hint_the_maximum_is_expected() -> None:
    # Guards against callers without hints that overcommit runners.
    outputs = expectation.OutputExpectation()
    assert outputs.find_output("r", 0, 250) == 250
    assert outputs.find_output("r", 0, 0) == 0
    outputs.record("r", 0, 100)
    assert outputs.get_ratio("r") == 1.0


def test_the_ratio_is_bounded() -> None:
    # Guards against nonsensical hints and a wrong number of tokens per event.
    outputs = expectation.OutputExpectation()
    for _ in range(9):
        outputs.record("low", 10**6, 1)
        outputs.record("high", 1, 10**6)
    assert outputs.get_ratio("low") == 0.25
    assert outputs.get_ratio("high") == 4.0


def test_lengths_that_callers_state_are_bounded() -> None:
    # Guards against a sum that no datagram can encode, which would end the
    # exchange of loads for the instance.
    outputs = expectation.OutputExpectation()
    assert outputs.find_needed("r", 10**40, 10**40, 0) == 2**31 - 1
    assert outputs.find_needed("r", 10, 10**400, 10**40) == 2**31 - 1


def test_the_typical_time_is_the_median_of_the_service() -> None:
    # Guards against a few long answers that make every full runner look busy
    # for longer than it is.
    learned = learning.LearnedAnswers()
    assert learned.get_typical_s(SERVICE) == 1.0
    for seconds in (0.5, 0.6, 30.0):
        learned.record_time(SERVICE, seconds)
    assert learned.get_typical_s(SERVICE) == 0.6
    assert learned.get_typical_s(ids.ServiceName("other")) == 1.0


def test_only_a_limited_number_of_keys_is_kept() -> None:
    # Guards against memory that grows with every route that came and went.
    found = medians.Medians(1.0)
    for number in range(1000):
        found.add(f"r{number}", 2.0)
        found.add("used", 3.0)
    assert found.get("used") == 3.0
    assert found.get("r999") == 2.0
    assert found.get("r0") == 1.0
    assert len(found._observed) == len(found._medians) == 256
