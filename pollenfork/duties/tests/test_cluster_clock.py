"""The clock follows the majority of clocks, and never jumps."""

import itertools
import random

from pollenfork.duties import cluster_clock

TRUE = 1_700_000_000.0


def test_the_median_is_right_though_a_third_of_the_clocks_is_wrong() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        errors = [rng.choice((0.0, 0.0, 2.4)) for _ in range(75)]
        if sum(map(bool, errors)) > 30:
            continue
        clock = cluster_clock.ClusterClock(lambda: TRUE + 2.4, 0.0)
        for number, error in enumerate(errors):
            clock.record_clock(f"h{number}", TRUE + error, 0.0)
        clock.follow_median(0.0)
        assert abs(clock.read(0.0) - TRUE) < 0.01


def test_a_jump_of_the_local_clock_changes_nothing_once_others_are_known() -> (
    None
):
    wall = [TRUE]
    clock = cluster_clock.ClusterClock(lambda: wall[0], 0.0)
    for second in range(10):
        wall[0] = TRUE + second + (2.0 if second > 4 else 0.0)
        for number in range(4):
            clock.record_clock(f"h{number}", TRUE + second, second)
        clock.follow_median(second)
        assert abs(clock.read(second) - TRUE - second) < 0.01


def test_a_settled_clock_is_slewed_and_never_goes_back() -> None:
    clock = cluster_clock.ClusterClock(lambda: TRUE, 0.0)
    clock.follow_holder(TRUE, 0.0, 0.0)
    clock.follow_holder(TRUE - 1.0, 0.0, 0.0)
    read = [clock.read(tenth / 10.0) for tenth in range(100)]
    assert all(later > earlier for earlier, later in itertools.pairwise(read))
    assert abs(read[-1] - (TRUE - 1.0 + 9.9)) < 0.01


def test_a_reply_with_a_long_round_trip_is_ignored() -> None:
    clock = cluster_clock.ClusterClock(lambda: TRUE, 0.0)
    clock.follow_holder(TRUE + 9.0, 0.0, 2.0)
    assert clock.read(2.0) == TRUE + 2.0
