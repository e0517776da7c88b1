"""Which runners an instance prefers for prompts that any runner may process."""

from collections.abc import Iterable
import logging
import math

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.gateway.connections import assignment

_LOG = logging.getLogger(__name__)

# Rankings computed at each update, in pairs of an instance and a runner. All
# rankings of 360 instances for 600 runners take 0.1 to 0.2 s, which would
# delay the events of answers if they were computed at once.
_MAX_PAIRS = 15_000
# An assignment for 360 instances and 600 runners takes 29 ms. With this pause,
# runners that come and go all the time cost 0.6% of a core.
_PAUSE_S = 5.0


class RunnerSubset:
    """The runners that an instance prefers, so that few connections suffice.

    Attributes:
        changes: How often a service's subset has changed.
    """

    def __init__(self, host: str) -> None:
        """Creates a subset that prefers no runner over another.

        Args:
            host: The instance's host, as other instances know it.
        """
        self._host = host
        self._services: dict[ids.ServiceName, _ServiceSubset] = {}
        self.changes = 0

    def prefers(self, runner: fleet.Runner) -> bool:
        """Returns whether a runner is preferred.

        All runners of a service without a subset are.
        """
        subset = self._services.get(runner.service)
        return subset is None or runner.id in subset.preferred

    def update(
        self,
        service: ids.ServiceName,
        hosts: Iterable[str],
        runners: Iterable[fleet.Runner],
        now: float,
    ) -> None:
        """Updates a service's subset if the instances or runners have changed.

        Args:
            service: The service.
            hosts: The hosts of all known instances.
            runners: The service's runners that accept work.
            now: Monotonic seconds.
        """
        subset = self._services.get(service)
        if subset is None:
            subset = _ServiceSubset(self._host)
        before = subset.preferred
        hashes = {
            assignment.hash_runner(each.incarnation): each.id
            for each in runners
        }
        if not hashes:
            self._services.pop(service, None)
            return
        instances = frozenset(hosts) | {self._host}
        if not subset.update(instances, hashes, now):
            return
        self._services[service] = subset
        if subset.preferred == before:
            return
        self.changes += 1
        _LOG.info(
            "event=subset_changed service=%s runners=%d preferred=%d added=%d "
            "instances=%d",
            service,
            len(hashes),
            len(subset.preferred),
            len(subset.preferred - before),
            subset.instances,
        )

    def retain(self, services: Iterable[ids.ServiceName]) -> None:
        """Removes the subsets of all other services."""
        kept = set(services)
        for service in set(self._services) - kept:
            del self._services[service]


class _ServiceSubset:
    """The preferred runners of one service.

    Attributes:
        preferred: The runners.
        instances: The number of instances that share the runners.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._hosts: frozenset[str] = frozenset()
        self._runners: dict[int, ids.EndpointId] = {}
        self._rankings: dict[str, assignment.Ranking] = {}
        self._complete = False
        self._assigned_at = -math.inf
        self.preferred: frozenset[ids.EndpointId] = frozenset()

    @property
    def instances(self) -> int:
        """The number of instances that share the runners."""
        return len(self._hosts)

    def update(
        self,
        hosts: frozenset[str],
        runners: dict[int, ids.EndpointId],
        now: float,
    ) -> bool:
        """Assigns the runners again if anything has changed.

        Returns:
            Whether they were assigned.
        """
        is_same = (
            hosts == self._hosts and runners.keys() == self._runners.keys()
        )
        is_recent = now - self._assigned_at < _PAUSE_S
        if self._complete and (is_same or is_recent):
            return False
        self._update_rankings(hosts, runners)
        self._hosts = hosts
        self._runners = runners
        if self._complete:
            self._assigned_at = now
            order = sorted(hosts, key=assignment.rank_host)
            rankings = [self._rankings[host] for host in order]
            chosen = assignment.assign(
                rankings, runners.keys(), order.index(self._host)
            )
            self.preferred = frozenset(runners[each] for each in chosen)
        elif not self.preferred:
            self.preferred = frozenset(runners.values())
        return True

    def _update_rankings(
        self, hosts: frozenset[str], runners: dict[int, ids.EndpointId]
    ) -> None:
        added = runners.keys() - self._runners.keys()
        removed = self._runners.keys() - runners.keys()
        for host in self._rankings.keys() - hosts:
            del self._rankings[host]
        changes = len(self._rankings) * (len(added) + len(removed))
        if changes > _MAX_PAIRS:
            self._rankings.clear()
        for ranking in self._rankings.values():
            for runner in removed:
                ranking.remove(runner)
            for runner in added:
                ranking.add(runner)
        missing = sorted(hosts - self._rankings.keys())
        for host in missing[: max(1, _MAX_PAIRS // len(runners))]:
            self._rankings[host] = assignment.Ranking(host, runners)
        self._complete = len(self._rankings) == len(hosts)
