"""Instances, runners and connections for tests."""

from pollenfork.fleet import model as fleet
from pollenfork.gateway import connection
from pollenfork.gateway.connections import assignment
from pollenfork.poison.tests import fleet as fleets


class Loop:
    """A clock that stands still until a test moves it."""

    def __init__(self) -> None:
        self.now = 100.0

    def time(self) -> float:
        return self.now


class Connection(connection.Connection):
    """A connection without a socket, in use until now."""

    def __init__(self, loop: Loop, stated_s: float | None = None) -> None:
        super().__init__(loop)
        self.idle_since = loop.now
        self.idle_limit_s = stated_s

    @property
    def ended(self) -> bool:
        return not self.reusable


def list_hosts(count: int) -> list[str]:
    """Returns hosts in three data centres."""
    return [f"10.{number % 3}.0.{number}" for number in range(count)]


def list_runners(count: int) -> list[fleet.Runner]:
    return [
        fleets.make_runner(f"r{number}", f"10.9.0.{number}", 1000 * number)
        for number in range(count)
    ]


def list_hashes(count: int) -> list[int]:
    return [
        assignment.hash_runner(each.incarnation) for each in list_runners(count)
    ]


def assign_all(
    hosts: list[str], runners: list[int]
) -> dict[str, frozenset[int]]:
    """Returns the subset of each instance."""
    order = sorted(hosts, key=assignment.rank_host)
    rankings = [assignment.Ranking(host, runners) for host in order]
    return {
        host: assignment.assign(rankings, runners, index)
        for index, host in enumerate(order)
    }


def measure_ratio(subsets: dict[str, frozenset[int]], runners: int) -> float:
    """Returns the most instances at one runner, relative to the mean."""
    counts: dict[int, int] = {}
    for subset in subsets.values():
        for runner in subset:
            counts[runner] = counts.get(runner, 0) + 1
    return max(counts.values()) * runners / sum(counts.values())
