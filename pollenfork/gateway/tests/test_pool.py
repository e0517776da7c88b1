"""Idle connections of all instances leave room at each runner."""

import asyncio

from pollenfork.gateway import pool
from pollenfork.poison.tests import fleet

RUNNER = fleet.make_runner("r", "10.0.0.1", 1)


class Connection:
    """One that may be used again."""

    usable = True
    idle_since = 0.0
    idle_limit_s = None

    def __init__(self) -> None:
        self.ended = False

    def abort(self) -> None:
        self.ended = True


def keep(accepted: int, instances: int, count: int) -> int:
    """Returns how many of some connections are kept."""

    async def run() -> int:
        made = pool.Pool(asyncio.get_running_loop())
        made.set_accepted(RUNNER.service, accepted, instances)
        used = [Connection() for _ in range(count)]
        for each in used:
            made.release(RUNNER, each)
        return sum(not each.ended for each in used)

    return asyncio.run(run())


# What was seen: after all instances had lost power, plain runners reset what
# they sent for 4 s. How it came about: the connections of before stayed open
# there, as nobody could close them, and with the new ones there were more than
# a runner accepts. Cause: each instance kept up to 16 idle ones to each runner,
# whatever that accepts and however many instances there are. Proof: 82 resets
# within 4 s on a played day, at the two runners that counted 210 too many.
def test_those_from_before_a_loss_of_power_and_the_new_ones_fit_in() -> None:
    for accepted, instances in ((520, 76), (780, 76), (110, 8), (96, 6)):
        kept = keep(accepted, instances, 40)
        assert kept >= 1
        assert 2 * kept * instances <= accepted


def test_no_more_than_that_are_kept_where_runners_accept_many() -> None:
    assert keep(100_000, 3, 40) == 16


def test_one_is_kept_however_many_instances_there_are() -> None:
    assert keep(100, 360, 5) == 1
