"""Chooses the runner for a request by when its answer would begin."""

from collections.abc import Callable
import random

import msgspec
import xxhash

from pollenfork import ids
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import standing
from pollenfork.loads import messages as loads

# Prompt tokens that a runner reads in a second; the operators' sheet.
_READ_RATE = 56_600.0
# Reading shared parts again takes the runner's time from everyone and evicts
# what others share, so it counts for more than the time it takes itself.
_MOVE_WEIGHT = 3.0
# What each request under way adds to the wait for a first token, in seconds:
# a step that takes one more request is about 0.1 ms longer, and the token is
# there after some steps.
_ACTIVE_S = 0.002
# A plain service works on a request for about 45 ms.
_PLAIN_ACTIVE_S = 0.045
# What a runner that failed just now is held to cost, in seconds: more than
# any wait at the others.
_SHUNNED_S = 5.0
_FAILING_S = 1.0
# Choices closer than this are alike, in seconds.
_ALIKE_S = 0.004
_REMEMBERED = 4096


class Demand(msgspec.Struct, frozen=True):
    """What a request asks of a runner.

    Attributes:
        service: The service.
        parts: The prompt's parts; the last is its own.
    """

    service: ids.ServiceName
    parts: tuple[model.Part, ...] = ()

    @property
    def shared(self) -> tuple[model.Part, ...]:
        """The parts that other requests have too."""
        return self.parts[:-1]

    @property
    def own_tokens(self) -> int:
        """Tokens that no runner has read yet."""
        return self.parts[-1].tokens if self.parts else 0


class Grant(msgspec.Struct):
    """A runner chosen for one attempt, until it is settled.

    Attributes:
        runner: The runner.
        standing: What is known of it.
        reading: Prompt tokens that it is expected to read.
    """

    runner: model.Runner
    standing: standing.Standing
    reading: float

    def note_first(self) -> None:
        """Notes that the prompt has been read."""
        self.standing.reading -= self.reading
        self.reading = 0.0


class Chooser:
    """Chooses runners and keeps what each choice brings with it.

    Instances that know nothing of each other agree on a prompt's home by
    hashing, so its shared parts are read at few runners.
    """

    def __init__(
        self,
        runners: registry.Registry,
        rng: random.Random,
        read_others: Callable[[ids.EndpointId], loads.Load] | None = None,
    ) -> None:
        """Starts with nothing known.

        Args:
            runners: The runners of all services.
            rng: Chooses among runners that are alike.
            read_others: Returns what other instances have at a runner.
        """
        self._read_others = read_others or (lambda runner: loads.Load())
        self._registry = runners
        self._rng = rng
        self._standings: dict[ids.EndpointId, standing.Standing] = {}
        self._read: dict[ids.EndpointId, dict[bytes, None]] = {}
        runners.when_gone(self._forget)

    def choose(
        self, demand: Demand, avoid: set[ids.EndpointId], now: float
    ) -> Grant | None:
        """Returns the runner that would begin its answer first.

        Args:
            demand: What is asked.
            avoid: Runners that this request has been at.
            now: Monotonic seconds.
        """
        self._registry.expire(now)
        takers = [
            runner
            for runner in self._registry.list_takers(demand.service)
            if runner.id not in avoid
        ]
        if not takers:
            return None
        home = _find_home(demand, takers)
        costs = [
            (self._expect(demand, runner, home, now), runner)
            for runner in takers
        ]
        least = min(cost for cost, _ in costs)
        alike = [runner for cost, runner in costs if cost <= least + _ALIKE_S]
        chosen = home if home in alike else self._rng.choice(alike)
        assert chosen is not None
        return self._grant(demand, chosen, home)

    def settle(self, grant: Grant) -> None:
        """Notes that an attempt has ended."""
        grant.note_first()
        grant.standing.active -= 1

    def list_loads(self) -> dict[ids.EndpointId, loads.Load]:
        """Returns what this instance has under way at each runner."""
        return {
            runner: loads.Load(seen.active, int(seen.reading))
            for runner, seen in self._standings.items()
            if seen.active
        }

    def find_standing(self, runner: ids.EndpointId) -> standing.Standing:
        """Returns what is known of a runner."""
        return self._standings.setdefault(runner, standing.Standing())

    def _expect(
        self,
        demand: Demand,
        runner: model.Runner,
        home: model.Runner | None,
        now: float,
    ) -> float:
        """Returns the seconds until an answer would begin there."""
        seen = self.find_standing(runner.id)
        expected = seen.failing * _FAILING_S
        if now < seen.shunned_until:
            expected += _SHUNNED_S
        others = self._read_others(runner.id)
        active = seen.active + others.active
        if not demand.parts:
            return expected + active * _PLAIN_ACTIVE_S
        unread = self._count_unread(demand, runner, home)
        reading = seen.reading + others.reading
        tokens = reading + unread * _MOVE_WEIGHT + demand.own_tokens
        return expected + tokens / _READ_RATE + active * _ACTIVE_S

    def _count_unread(
        self, demand: Demand, runner: model.Runner, home: model.Runner | None
    ) -> int:
        if runner is home:
            return 0
        read = self._read.get(runner.id, {})
        unread = 0
        for part in demand.shared:
            if unread or part.name not in read:
                unread += part.tokens
        return unread

    def _grant(
        self, demand: Demand, runner: model.Runner, home: model.Runner | None
    ) -> Grant:
        seen = self.find_standing(runner.id)
        unread = self._count_unread(demand, runner, home)
        reading = float(unread + demand.own_tokens)
        seen.active += 1
        seen.reading += reading
        read = self._read.setdefault(runner.id, {})
        for part in demand.shared:
            read.pop(part.name, None)
            read[part.name] = None
        while len(read) > _REMEMBERED:
            del read[next(iter(read))]
        return Grant(runner, seen, reading)

    def _forget(self, runner: ids.EndpointId) -> None:
        self._standings.pop(runner, None)
        self._read.pop(runner, None)


def _find_home(
    demand: Demand, takers: list[model.Runner]
) -> model.Runner | None:
    """Returns the runner that all instances prefer for the shared parts."""
    if not demand.shared:
        return None
    key = b",".join(part.name for part in demand.shared)
    return max(
        takers,
        key=lambda runner: xxhash.xxh64_intdigest(key, _seed(runner.id)),
    )


def _seed(runner: ids.EndpointId) -> int:
    return xxhash.xxh32_intdigest(runner.encode())
