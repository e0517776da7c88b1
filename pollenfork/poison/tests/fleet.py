"""Instances before runners in simulated time; some requests end runners."""

from collections.abc import Callable
import heapq
import itertools
import random

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import evidence
from pollenfork.fleet import model
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.loads import core
from pollenfork.loads import messages
from pollenfork.poison import cases
from pollenfork.poison import quarantine

SERVICE = ids.ServiceName("s")
_WAY_S = 0.001
_PORT = 7
# From a broken connection to the refusal of a new one.
_PROOF_S = 0.003


class Instance:
    """One instance: what it knows of runners and of requests."""

    def __init__(self, fleet: "Fleet", number: int, centres: int) -> None:
        self.host = f"10.{number % centres}.0.{number:03}"
        self.data_centre = ids.DataCentre(f"c{number % centres}")
        self._fleet = fleet
        self.begin()

    def begin(self) -> None:
        """Starts anew, knowing nothing but the registry."""
        fleet = self._fleet
        self.alive = True
        self.kept_connections: dict[str, float] = {}
        self.runners = registry.Registry()
        self.chooser = choice.Chooser(self.runners, random.Random(self.host))
        self.suspected = quarantine.Quarantine(
            self.runners,
            self.host,
            lambda runner, at: self.chooser.get_state(runner).is_alive_since(
                at
            ),
            lambda: fleet.now,
        )
        self.suspected.when_doubted(lambda runner: fleet.connect(self, runner))
        for runner in fleet.runners.values():
            self.runners.put(runner)
        self.exchange = core.Exchange(
            messages.Address(self.host, _PORT),
            self.data_centre,
            [messages.Address(f"10.{n}.0.{n:03}", _PORT) for n in range(2)],
            self,
        )
        self.suspected.when_urgent(
            lambda: fleet.deliver(
                self, self.exchange.tell_suspicions(fleet.now)
            )
        )

    # What the exchange asks and tells.

    def read_loads(self):
        return self.chooser.list_loads()

    def take_placed(self):
        return self.chooser.take_placements()

    def list_placed(self):
        return []

    def list_placed_here(self):
        return []

    def read_proof(self, now):
        return messages.Proof(1, 1, 0.1)

    def note_placed(self, placed):
        pass

    def note_proof(self, proof, moment, teller):
        pass

    def note_answered(self, moment):
        pass

    def note_versions(self, proof, teller):
        pass

    def take_found(self):
        return []

    def note_found(self, finding, now):
        pass

    def take_suspicions(self, now):
        return self.suspected.take_news(now)

    def take_suspicions_page(self, now):
        return self.suspected.take_page(now)

    def list_suspicions(self, now):
        return self.suspected.list_all(now)

    def note_suspicions(self, told, host, now):
        self.suspected.note_told(told, host, now)

    def note_instances(self, count: int) -> None:
        self.suspected.note_others(count - 1)


class Fleet:
    """Instances, runners, and what was sent where.

    Attributes:
        now: Simulated seconds.
        poison: Digests of requests that end each runner that begins them.
        ended_at: When a runner ended, and under which requests.
        sent: When each request reached a runner.
        kept: How often each request was kept back.
        kept_at: When that was.
        trials: Trials that were claimed, by request and number.
        cuts: Hosts that no datagram reaches or leaves.
        loss: The part of datagrams that is lost.
        stale_s: How long an instance may not notice that a kept connection
            was closed, at most.
        down_s: How long a runner is down that a request has ended.
        connect_s: How long an instance takes to connect to a runner of whose
            end another one tells.
        registry_s: From a runner's start until instances hear of it.
        tells_findings: Whether instances tell each other where they found
            nobody, and none of that is lost.
    """

    def __init__(
        self, instances: int, runners: int, centres: int = 3, seed: int = 1
    ) -> None:
        self.now = 100.0
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.stale_s = 0.0
        self.down_s = 1.0
        self.connect_s = _PROOF_S
        self.registry_s = 0.0
        self.tells_findings = False
        self.cuts: set[str] = set()
        self.poison: set[int] = set()
        self.ended_at: list[tuple[float, list[int]]] = []
        self.sent: dict[int, list[float]] = {}
        self.kept: dict[int, int] = {}
        self.kept_at: dict[int, list[float]] = {}
        self.trials: set[tuple[int, int]] = set()
        self.answered: dict[int, int] = {}
        self.answered_at: dict[int, list[float]] = {}
        self.down: set[str] = set()
        self.bytes = 0
        self._ended_last: dict[str, float] = {}
        self._running: dict[str, list[tuple]] = {}
        self._events: list[tuple] = []
        self._order = itertools.count()
        self.runners = {
            f"r{n}": make_runner(f"r{n}", f"10.9.{n // 200}.{n % 200}", 1)
            for n in range(runners)
        }
        self.instances = [
            Instance(self, number, centres) for number in range(instances)
        ]
        for each in self.instances:
            phase_s = self.rng.random() * core.PERIOD_S
            self.call_in(phase_s, lambda each=each: self._tick(each))
        self.run(2.0)

    def call_in(self, seconds: float, call: Callable[[], None]) -> None:
        """Calls `call` later."""
        moment = self.now + seconds
        heapq.heappush(self._events, (moment, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def deliver(self, sender: Instance, sends: list[messages.Send]) -> None:
        """Takes datagrams on their way."""
        for send in sends:
            self.bytes += len(messages.encode(send.message)) + 28
            if self.rng.random() < self.loss:
                continue
            if {send.to.host, sender.host} & self.cuts:
                continue
            self.call_in(
                _WAY_S, lambda send=send: self._hear(send, sender.host)
            )

    def connect(self, instance: Instance, runner: model.Runner) -> None:
        """Tries a connection to a runner; it tells whether it is there."""
        begun_at = self.now + self.connect_s - _PROOF_S

        def tell() -> None:
            if runner.id in self.down:
                place = evidence.hash_runner(runner)
                instance.suspected.note_absent(place, here=True)
            else:
                seen = instance.chooser.get_state(runner.id)
                seen.reached_at = begun_at

        self.call_in(self.connect_s, tell)

    def ask(self, instance: Instance, digest: int, run_s: float = 0.2) -> None:
        """Sends a request to an instance.

        Args:
            instance: Which.
            digest: The request's.
            run_s: How long it runs where it ends no runner; how long until it
                ends it otherwise.
        """
        if not instance.alive:
            return
        verdict = instance.suspected.judge(ids.RequestDigest(digest), self.now)
        if verdict is cases.Verdict.DOUBTED or (
            verdict is cases.Verdict.KEPT_BACK
            and not self._claim_trial(instance, digest)
        ):
            self.kept[digest] = self.kept.get(digest, 0) + 1
            self.kept_at.setdefault(digest, []).append(self.now)
            return
        suspect = ids.RequestDigest(digest)
        grant = instance.chooser.choose(
            candidates.RequestProfile(SERVICE),
            set(),
            self.now,
            None,
            suspect if verdict is not cases.Verdict.CLEAR else None,
        )
        assert isinstance(grant, outcomes.Grant)
        sent_at = self.now
        self.call_in(
            _WAY_S, lambda: self._begin(instance, digest, grant, sent_at, run_s)
        )

    def _claim_trial(self, instance: Instance, digest: int) -> bool:
        """Returns whether an instance may try a request; each trial once."""
        number = instance.suspected.take_trial(
            ids.RequestDigest(digest), self.now
        )
        if number is None or (digest, number) in self.trials:
            return False
        self.trials.add((digest, number))
        return True

    def ask_all(self, digest: int, over_s: float, run_s: float = 0.1) -> None:
        """Sends a request to each instance within some time."""
        for each in self.instances:
            self.call_in(
                self.rng.random() * over_s,
                lambda each=each: self.ask(each, digest, run_s),
            )

    def repeat(
        self, digest: int, gap_s: float, seconds: float, run_s: float = 0.1
    ) -> None:
        """Sends a request again and again, at any instance."""
        for number in range(int(seconds / gap_s)):
            self.call_in(
                number * gap_s,
                lambda: self.ask(
                    self.rng.choice(self.instances), digest, run_s
                ),
            )

    def crash(self, name: str, down_s: float = 1.0) -> None:
        """Ends a runner; it is back under its id."""
        if name in self.down:
            return
        self.down.add(name)
        self._ended_last[name] = self.now
        running = self._running.pop(name, [])
        self.ended_at.append((self.now, [each[1] for each in running]))
        place = evidence.hash_runner(self.runners[name])
        for instance, digest, grant, sent_at in running:
            self._break(instance, digest, grant, sent_at)
            self.call_in(
                _PROOF_S,
                lambda instance=instance: self._find(place, instance),
            )
        self.call_in(down_s, lambda: self._restart(name))

    def _find(self, place: int, finder: Instance) -> None:
        """Lets an instance find that nobody is there, and tell the others."""
        finder.suspected.note_absent(place, here=True)
        if not self.tells_findings:
            return
        for each in self.instances:
            if each is not finder and each.alive:
                self.call_in(
                    core.PERIOD_S,
                    lambda each=each: each.suspected.note_absent(
                        place, here=False
                    ),
                )

    def cut_connections(self, name: str) -> None:
        """Breaks all connections to a runner, which goes on."""
        for running in self._running.pop(name, []):
            self._break(*running)

    def count_late(self, digest: int, window_s: float = 3.0) -> int:
        """Returns the sends later than the window after the third end."""
        ends = [at for at, digests in self.ended_at if digest in digests]
        if len(ends) < 3:
            return 0
        return sum(at > ends[2] + window_s for at in self.sent[digest])

    def count_ends(self, digest: int) -> int:
        """Returns the runners that ended while they ran a request."""
        return sum(digest in digests for _, digests in self.ended_at)

    def _begin(self, instance, digest, grant, sent_at, run_s) -> None:
        name = grant.runner.id
        if self._is_stale(instance, name):
            made_at = instance.kept_connections.pop(name)
            instance.chooser.settle(grant)
            instance.suspected.note_broken(
                ids.RequestDigest(digest),
                grant.runner,
                sent_at,
                self.now,
                made_at,
            )
            self.connect(instance, grant.runner)
            return
        if name in self.down:
            instance.chooser.settle(grant)
            grant.state.avoid_until = self.now + 0.8
            place = evidence.hash_runner(grant.runner)
            instance.suspected.note_absent(place, here=True)
            return
        self.sent.setdefault(digest, []).append(self.now)
        running = (instance, digest, grant, sent_at)
        self._running.setdefault(name, []).append(running)
        self.call_in(run_s, lambda: self._finish(name, running))

    def _finish(self, name: str, running: tuple) -> None:
        if running not in self._running.get(name, []):
            return  # It broke before.
        instance, digest, grant, _ = running
        if digest in self.poison:
            self.crash(name, self.down_s)
            return
        self._running[name].remove(running)
        instance.chooser.settle(grant)
        if instance.alive:
            instance.kept_connections[name] = self.now
            grant.state.answered_at = self.now
            self.answered[digest] = self.answered.get(digest, 0) + 1
            self.answered_at.setdefault(digest, []).append(self.now)
            instance.suspected.note_answered(
                ids.RequestDigest(digest), self.now
            )

    def _break(self, instance, digest, grant, sent_at) -> None:
        instance.chooser.settle(grant)
        if instance.alive:
            instance.suspected.note_broken(
                ids.RequestDigest(digest), grant.runner, sent_at, self.now
            )

    def _is_stale(self, instance: Instance, name: str) -> bool:
        """Returns whether a request goes on a connection to what has ended."""
        made_at = instance.kept_connections.get(name)
        ended_at = self._ended_last.get(name, 0.0)
        if made_at is None or made_at > ended_at:
            return False
        if self.now - ended_at < self.stale_s * self.rng.random():
            return True
        del instance.kept_connections[name]
        return False

    def _restart(self, name: str) -> None:
        self.down.discard(name)
        before = self.runners[name]
        start = (before.start or 0) + 1
        again = make_runner(name, before.host, start)
        self.runners[name] = again
        self.call_in(self.registry_s, lambda: self._register(again))

    def _register(self, runner: model.Runner) -> None:
        for each in self.instances:
            each.runners.put(runner)

    def _tick(self, instance: Instance) -> None:
        self.call_in(core.PERIOD_S, lambda: self._tick(instance))
        if instance.alive:
            instance.suspected.sweep(self.now)
            self.deliver(instance, instance.exchange.tick(self.now))

    def _hear(self, send: messages.Send, sender: str) -> None:
        for each in self.instances:
            if each.host == send.to.host and each.alive:
                answers = each.exchange.hear(send.message, sender, self.now)
                self.deliver(each, answers)


def make_runner(name: str, host: str, start: int | None) -> model.Runner:
    """Returns a runner's entry."""
    return model.Runner(
        id=ids.EndpointId(name),
        service=SERVICE,
        host=host,
        port=80,
        data_centre=ids.DataCentre("c0"),
        slots=64,
        leaving=False,
        cold_s=0.0,
        start=None if start is None else ids.RunnerStart(start),
    )
