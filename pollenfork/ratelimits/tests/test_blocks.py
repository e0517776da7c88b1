from pollenfork import ids
from pollenfork.ratelimits import blocks

RUNNER = 7
URGENT, MEDIUM, LOW = ids.Tier(0), ids.Tier(1), ids.Tier(2)


def test_a_block_applies_to_its_tier_and_all_less_urgent_ones() -> None:
    known = blocks.Blocks()
    known.block(RUNNER, MEDIUM, 5.0)
    assert known.find_until(RUNNER, URGENT, 1.0) == 1.0
    assert known.find_until(RUNNER, MEDIUM, 1.0) == 5.0
    assert known.find_until(RUNNER, LOW, 1.0) == 5.0


def test_the_latest_of_the_blocks_that_apply_counts() -> None:
    known = blocks.Blocks()
    known.block(RUNNER, URGENT, 2.0)
    known.block(RUNNER, LOW, 5.0)
    assert known.find_until(RUNNER, MEDIUM, 1.0) == 2.0
    assert known.find_until(RUNNER, LOW, 1.0) == 5.0


def test_a_block_expires_or_ends_with_the_limit() -> None:
    known = blocks.Blocks()
    known.block(RUNNER, MEDIUM, 5.0)
    assert known.find_until(RUNNER, MEDIUM, 5.0) == 5.0
    known.block(RUNNER, MEDIUM, 9.0)
    known.forget(RUNNER)
    assert known.find_until(RUNNER, MEDIUM, 6.0) == 6.0
