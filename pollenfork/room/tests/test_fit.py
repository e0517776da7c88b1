"""The wait for room, as a function of what a runner holds."""

import pytest

from pollenfork.room import fit

CAPACITY = 581_677
LONG = 17_140


def test_a_request_that_fits_until_its_end_waits_for_nothing() -> None:
    # Guards against keeping requests from runners that have room.
    assert fit.find_wait(33 * LONG, 10_000, CAPACITY, 33, 2.0) == 0.0
    assert fit.find_wait(CAPACITY - 5, 5, CAPACITY, 33, 2.0) == 0.0


def test_the_wait_is_linear_in_the_overflow() -> None:
    # Guards against a cost that doesn't tell full runners from fuller ones.
    held = 34 * LONG
    waits = [
        fit.find_wait(held, needed, held, 34, 3.4)
        for needed in (2 * LONG, 4 * LONG, 8 * LONG)
    ]
    assert waits == pytest.approx([0.2, 0.4, 0.8])


def test_at_least_one_answer_must_end() -> None:
    # Guards against an overflow of one token that costs less than a tie.
    wait_s = fit.find_wait(CAPACITY, 1, CAPACITY, 34, 3.4)
    assert wait_s == pytest.approx(0.1)


def test_the_wait_is_at_most_the_typical_answer() -> None:
    # Guards against stale news of an overcommitted runner that keeps it out
    # of use for longer than all its answers last.
    for held in (1, CAPACITY, 3 * CAPACITY, 100 * CAPACITY):
        assert 0.0 < fit.find_wait(held, CAPACITY, CAPACITY, 1, 3.4) <= 3.4
        assert 0.0 < fit.find_wait(held, CAPACITY, CAPACITY, 64, 3.4) <= 3.4


def test_a_request_larger_than_the_memory_is_not_held_back() -> None:
    # Guards against refusing or delaying what no wait would make fit.
    args = CAPACITY + 1, CAPACITY, 30, 2.0
    assert fit.find_wait(20 * LONG, *args) == 0.0
    assert fit.find_wait(0, *args) == 0.0


def test_an_unknown_capacity_bounds_nothing() -> None:
    # Guards against taking the 0 of an unknown capacity for a full cache.
    assert fit.find_wait(34 * LONG, LONG, 0, 34, 2.0) == 0.0


@pytest.mark.parametrize(("held", "active"), [(0, 0), (0, 9), (CAPACITY, 0)])
def test_an_inconsistent_load_gives_no_wait(held: int, active: int) -> None:
    # Guards against a division by zero if the held tokens or the requests
    # are missing, as in loads of an earlier version.
    assert fit.find_wait(held, CAPACITY, CAPACITY, active, 2.0) == 0.0


def make_rooms(*loads: tuple[int, int]) -> list[fit.Room]:
    return [fit.Room(own, others, 10) for own, others in loads]


def test_a_runner_without_room_costs_more_than_any_that_has_room() -> None:
    # Guards against a cost of even filling that outweighs the wait.
    rooms = make_rooms((0, CAPACITY - 9), (9 * LONG, CAPACITY // 2), (0, 0))
    full, half, empty = fit.find_costs(rooms, LONG, CAPACITY, 2.0)
    assert full > 0.2 > half > empty


def test_the_costs_of_an_unknown_capacity_are_zero() -> None:
    # Guards against a division by the 0 of an unknown capacity.
    rooms = make_rooms((50_000, 0), (0, 90_000))
    assert fit.find_costs(rooms, LONG, 0, 2.0) == [0.0, 0.0]
    assert fit.find_costs([], LONG, CAPACITY, 2.0) == []


def test_own_tokens_count_in_full_and_others_by_the_instances_share() -> None:
    # Guards against all instances evening out the same difference at once.
    rooms = make_rooms((30_000, 0), (0, 60_000), (0, 0))
    # Its share of the tokens is a third; the others hold 20,000 on average.
    assert fit.estimate_held(rooms) == pytest.approx(
        [30_000 + 20_000 - 20_000 / 3, 20_000 + 40_000 / 3, 20_000 - 20_000 / 3]
    )


def test_a_sole_instance_counts_its_own_tokens() -> None:
    # Guards against a division by zero before anything is held.
    assert fit.estimate_held(make_rooms((0, 0), (0, 0))) == [0.0, 0.0]
    assert fit.estimate_held(make_rooms((5, 0), (0, 0))) == [5.0, 0.0]
    assert fit.estimate_held([]) == []
