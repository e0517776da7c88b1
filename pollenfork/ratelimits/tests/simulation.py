"""Simulates instances that send to one rate-limited runner.

Events advance the clock. Membership is delayed: each instance learns of others'
starts after a time of its own, and keeps those that have ended or can't be
reached for fifteen seconds.
"""

import heapq
import itertools
import random

from pollenfork import ids
from pollenfork.ratelimits import limiter
from pollenfork.ratelimits import parsing

RUNNER = 77
TICK_S = 0.05
ANSWER_S = 0.12
_TIMEOUT_S = 0.12
_MAX_JOIN_DELAY_S = 2.0
_EXPIRY_S = 15.0
# A new instance knows all others once one of them has answered its hello.
_HELLO_S = 0.12
# How long an instance caches the list of known instances, in seconds.
_CACHE_S = 0.25
_TIER = ids.Tier(1)


class Instance:
    """One instance: its limiter, and its view of the other instances."""

    def __init__(
        self, simulation: "Simulation", host: str, data_centre: str
    ) -> None:
        self.simulation = simulation
        self.host = host
        self.data_centre = data_centre
        self.limiter = limiter.Limiter(host, data_centre, self)
        self.started_at = simulation.now
        self.paused_until = 0.0
        self.alive = True
        self.join_delay_s = simulation.rng.uniform(0.1, _MAX_JOIN_DELAY_S)
        self._turn = simulation.rng.randrange(1000)

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        return [
            host
            for host in self._list_known()
            if data_centre
            in (None, self.simulation.instances[host].data_centre)
        ]

    def pick_fanout(self) -> list[str]:
        others = [host for host in self._list_known() if host != self.host]
        if not others:
            return []
        self._turn += 3
        order = random.Random(self.host).sample(others, len(others))
        picked = {order[(self._turn + n) % len(order)] for n in range(3)}
        return sorted(picked)

    def pick_pair(self) -> list[str]:
        return self.pick_fanout()[:2]

    def send_limits(self, host, message) -> None:
        self.simulation.send(self.host, host, message)

    def _list_known(self) -> list[str]:
        return self.simulation.list_known(self)


class Simulation:
    """The network, the runner, and the load.

    Attributes:
        rate: The rate that the runner's answers state; None: no limit.
        arrivals: When requests reached the runner.
        refused: The number of requests that got no permit.
        loss: The share of datagrams that are lost.
    """

    def __init__(self, count: int, seed: int, centres: int = 3) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.rate: float | None = None
        self.loss = 0.001
        self.arrivals: list[float] = []
        self.granted: dict[str, int] = {}
        self.refused = 0
        self.messages = 0
        self.instances: dict[str, Instance] = {}
        self._ended_at: dict[str, float] = {}
        self._partitioned: set[frozenset[str]] = set()
        self._partitioned_since: dict[frozenset[str], float] = {}
        self._queue: list = []
        self._order = itertools.count()
        self._known_cache: dict[str, tuple[float, list[str]]] = {}
        for number in range(count):
            self.add(
                f"10.{number % centres}.0.{number}", "abc"[number % centres]
            )

    # Faults.

    def add(self, host: str, data_centre: str) -> None:
        """Starts an instance, or restarts one of the same host."""
        self._ended_at.pop(host, None)
        self.instances[host] = Instance(self, host, data_centre)
        self.at(self.now + self.rng.random() * TICK_S, self._tick, host)

    def kill(self, host: str) -> None:
        self.instances[host].alive = False
        self._ended_at[host] = self.now

    def stop(self, host: str) -> None:
        """Stops an instance gracefully and restarts it."""
        self.instances[host].limiter.leave(self.now)
        self.at(self.now + 2.6, self.kill, host)
        self.at(self.now + 3.6, self.restart, host)

    def restart(self, host: str) -> None:
        self.add(host, self.instances[host].data_centre)

    def pause(self, host: str, seconds: float) -> None:
        self.instances[host].paused_until = self.now + seconds

    def partition(self, here: list[str], there: list[str]) -> None:
        for one in here:
            for other in there:
                pair = frozenset({one, other})
                self._partitioned.add(pair)
                self._partitioned_since[pair] = self.now

    def heal(self) -> None:
        self._partitioned.clear()

    # Time.

    def at(self, moment: float, call, *given) -> None:
        entry = moment, next(self._order), call, given
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, given = heapq.heappop(self._queue)
            call(*given)
        self.now = until

    def _tick(self, host: str) -> None:
        me = self.instances[host]
        if not me.alive:
            return
        self.at(self.now + TICK_S, self._tick, host)
        if self.now >= me.paused_until:
            me.limiter.tick(self.now)

    # Messages.

    def list_known(self, me: Instance) -> list[str]:
        cached = self._known_cache.get(me.host)
        fresh = self.now - me.started_at < 1.0
        if cached is not None and self.now - cached[0] < _CACHE_S * (not fresh):
            return cached[1]
        found = [
            host
            for host, other in self.instances.items()
            if host == me.host or self._is_known(me, other)
        ]
        self._known_cache[me.host] = self.now, found
        return found

    def _is_known(self, me: Instance, other: Instance) -> bool:
        ended_at = self._ended_at.get(other.host)
        if ended_at is not None:
            return self.now - ended_at < _EXPIRY_S
        pair = frozenset({me.host, other.host})
        if pair in self._partitioned:
            return self.now - self._partitioned_since[pair] < _EXPIRY_S
        first = self.now < _MAX_JOIN_DELAY_S * 2
        if first:
            return True
        if self.now - me.started_at < _HELLO_S:
            return False
        return self.now - other.started_at >= me.join_delay_s

    def send(self, source: str, target: str, message) -> None:
        self.messages += 1
        if self.rng.random() < self.loss:
            return
        delay_s = 0.0005 * (1.0 + self.rng.random())
        sent_to = self.instances.get(target)
        self.at(
            self.now + delay_s, self._deliver, source, target, sent_to, message
        )

    def _deliver(self, source, target, sent_to, message) -> None:
        me = self.instances.get(target)
        if me is not sent_to or me is None or not me.alive:
            return
        if frozenset({source, target}) in self._partitioned:
            return
        if self.now < me.paused_until:
            # It waits in the socket buffer until the process resumes.
            self.at(
                me.paused_until + 1e-4,
                self._deliver,
                source,
                target,
                me,
                message,
            )
            return
        outcome = me.limiter.receive(message, source, self.now)
        if outcome is not None and outcome.granted:
            self._send_request(target)
        elif outcome is not None:
            self.refused += 1

    # Requests.

    def ask(self, host: str) -> None:
        """Sends a request from an instance, if the instance gets a permit."""
        me = self.instances[host]
        if not me.alive or self.now < me.paused_until:
            return
        until = me.limiter.find_blocked_until(RUNNER, _TIER, self.now)
        if until > self.now:
            if me.limiter.find_rate(RUNNER) is None:
                self.at(self.now + _CACHE_S / 10, self.ask, host)
            else:
                self.refused += 1
            return
        if me.limiter.find_rate(RUNNER) is None:
            me.limiter.on_sent(RUNNER, self.now)
            self._send_request(host)
            return
        permit = me.limiter.request_permit(RUNNER, "a", _TIER, self.now)
        if permit is True:
            self._send_request(host)
        elif permit is False:
            self.refused += 1
        else:
            self.at(self.now + _TIMEOUT_S, self._time_out, host, me, permit)

    def _time_out(
        self, host: str, me: Instance, pending: limiter.PendingPermit
    ) -> None:
        if me.alive and self.instances[host] is me:
            me.limiter.on_timeout(pending, self.now)

    def _send_request(self, host: str) -> None:
        self.granted[host] = self.granted.get(host, 0) + 1
        self.at(self.now + 0.001, self._arrive, host, self.now)

    def _arrive(self, host: str, sent_at: float) -> None:
        self.arrivals.append(self.now)
        parsed = parsing.ParsedLimit(self.rate)
        answer_s = ANSWER_S * self.rng.uniform(0.5, 1.5)
        self.at(
            self.now + answer_s,
            self._answer,
            self.instances[host],
            parsed,
            sent_at,
        )

    def _answer(self, me: Instance, parsed, sent_at: float) -> None:
        if me.alive and self.now >= me.paused_until:
            me.limiter.on_answer(RUNNER, parsed, sent_at, self.now)

    def load(
        self, a_second: float, seconds: float, hosts: list[str] | None = None
    ) -> None:
        """Schedules requests at random moments and instances."""
        moment = self.now
        hosts = hosts or list(self.instances)
        while True:
            moment += self.rng.expovariate(a_second)
            if moment > self.now + seconds:
                return
            self.at(moment, self.ask, self.rng.choice(hosts))

    # Results.

    def count(self, since: float, until: float) -> int:
        return sum(since <= at < until for at in self.arrivals)

    def find_most(self, since: float, window_s: float = 4.0) -> int:
        """Returns the most arrivals in any window of time after a moment."""
        times = [at for at in self.arrivals if at >= since]
        first = 0
        most = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last - first + 1)
        return most
