"""Most clocks are right; what is believed goes by them, and never jumps."""

import itertools
import random

from pollenfork.duties import truetime

TRUE = 1_700_000_000.0


def test_the_median_of_clocks_holds_though_a_third_are_wrong() -> None:
    for seed in range(20):
        rng = random.Random(seed)
        errors = [rng.choice((0.0, 0.0, 2.4)) for _ in range(75)]
        if sum(map(bool, errors)) > 30:
            continue
        believed = truetime.TrueTime(lambda: TRUE + 2.4, 0.0)
        for number, error in enumerate(errors):
            believed.note_clock(f"h{number}", TRUE + error, 0.0)
        believed.agree(0.0)
        assert abs(believed.read(0.0) - TRUE) < 0.01


def test_a_clock_that_jumps_here_moves_nothing_once_others_are_heard() -> None:
    wall = [TRUE]
    believed = truetime.TrueTime(lambda: wall[0], 0.0)
    for second in range(10):
        wall[0] = TRUE + second + (2.0 if second > 4 else 0.0)
        for number in range(4):
            believed.note_clock(f"h{number}", TRUE + second, second)
        believed.agree(second)
        assert abs(believed.read(second) - TRUE - second) < 0.01


def test_a_settled_belief_is_slewed_and_never_goes_back() -> None:
    believed = truetime.TrueTime(lambda: TRUE, 0.0)
    believed.follow(TRUE, 0.0, 0.0)
    believed.follow(TRUE - 1.0, 0.0, 0.0)
    read = [believed.read(tenth / 10.0) for tenth in range(100)]
    assert all(later > earlier for earlier, later in itertools.pairwise(read))
    assert abs(read[-1] - (TRUE - 1.0 + 9.9)) < 0.01


def test_a_word_that_was_long_on_its_way_tells_nothing() -> None:
    believed = truetime.TrueTime(lambda: TRUE, 0.0)
    believed.follow(TRUE + 9.0, 0.0, 2.0)
    assert believed.read(2.0) == TRUE + 2.0
