"""Limits on idle connections, so that each runner keeps spare capacity."""

import asyncio

from pollenfork.gateway import pool
from pollenfork.poison.tests import fleet

RUNNER = fleet.make_runner("r", "10.0.0.1", 1)


class Connection:
    """A reusable connection."""

    usable = True
    idle_since = 0.0
    idle_limit_s = None

    def __init__(self) -> None:
        self.ended = False

    def abort(self) -> None:
        self.ended = True


def count_kept(accepted: int, instances: int, count: int) -> int:
    """Returns how many of the returned connections the pool keeps."""

    async def run() -> int:
        made = pool.Pool(asyncio.get_running_loop())
        made.set_accepted(RUNNER.service, accepted, instances)
        used = [Connection() for _ in range(count)]
        for each in used:
            made.release(RUNNER, each)
        return sum(not each.ended for each in used)

    return asyncio.run(run())


# Guards against connection resets after all instances lose power at once. Their
# old connections stay open at the runners, since nothing closes them, and must
# fit together with the new ones into what a runner accepts. When each instance
# kept up to 16 idle connections to each runner, regardless of the number of
# instances, a simulated day had 82 resets within 4 s, at two runners with 210
# connections too many.
def test_connections_fit_twice_after_a_power_loss_of_all_instances() -> None:
    for accepted, instances in ((520, 76), (780, 76), (110, 8), (96, 6)):
        kept = count_kept(accepted, instances, 40)
        assert kept >= 1
        assert 2 * kept * instances <= accepted


def test_idle_connections_are_limited_if_runners_accept_many() -> None:
    assert count_kept(100_000, 3, 40) == 16


def test_at_least_one_connection_is_kept_with_many_instances() -> None:
    assert count_kept(100, 360, 5) == 1
