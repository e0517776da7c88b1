"""What one decision costs, by endpoints and by waiting requests.

CPU time of this process, so that what else the machine does matters little.
Two figures: a request that finds a slot at once (submit to grant), and, with
every slot held, an answer's end that lets the next waiting request go
(end to grant), at 100 and at 10,000 waiting requests. Every engine is
otherwise half full, six peers have reported, prefixes are of 500 prompts.
"""

import gc
import pathlib
import random
import statistics
import time

import msgspec

from pollenfork import decisions
from pollenfork import ids
from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot

ENDPOINTS = (9, 100, 600)
WAITING = (100, 10_000)
PEERS = 6
SLOTS = 16
PREFIXES = 500
ACCOUNTS = 10

_ROUNDS = 5
_CALLS = 2000
_FAR_S = 1e6
_US = 1e6
_RESULTS = pathlib.Path(__file__).parent / "results"

_End = messages.AttemptEnd


class Cost(msgspec.Struct, frozen=True):
    """Microseconds of CPU time for one decision, median and worst round."""

    what: str
    endpoints: int
    waiting: int
    median_us: float
    worst_us: float


class Bench:
    """One instance's core, and the attempts that it has granted."""

    def __init__(self, endpoints: int, limit: int) -> None:
        self.rng = random.Random(1)
        self.now = 0.0
        self.core = decisions.DecisionCore(
            ids.InstanceId("entry-0"), self.rng, limit
        )
        self.granted: list[messages.Grant] = []
        self._asked = 0
        self._closing = ids.RequestId("")
        self._endpoints = endpoints
        tree = _build_tree(endpoints)
        message = settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))
        self.core.report(message, self.now)

    def hear_peers(self) -> None:
        """Takes the pressure of peers that use an eighth of each engine."""
        for peer in range(PEERS):
            occupied = tuple(
                messages.Occupancy(_name(n), ids.Tier(2), 1)
                for n in range(self._endpoints)
                if n % 3 == peer % 3
            )
            name = ids.InstanceId(f"entry-{peer + 1}")
            pressure = messages.Pressure(name, (), occupied)
            self.core.report(pressure, self.now)

    def submit(self) -> None:
        """Asks for one slot."""
        self._asked += 1
        self._keep(self.core.submit(self._make_ask(), self.now))

    def end_one(self) -> None:
        """Ends one attempt at random."""
        at = self.rng.randrange(len(self.granted))
        self.granted[at], self.granted[-1] = self.granted[-1], self.granted[at]
        grant = self.granted.pop()
        ended = messages.AttemptEnded(
            attempt=grant.attempt, how=_End.FINISHED, tokens=50, at=self.now
        )
        self._closing = grant.request
        self._keep(self.core.report(ended, self.now))

    def close_ended(self) -> None:
        """Closes the request that `end_one` ended."""
        closed = messages.RequestClosed(request=self._closing)
        self._keep(self.core.report(closed, self.now))

    def _keep(self, decided: list[decisions.Decision]) -> None:
        for decision in decided:
            assert isinstance(decision, messages.Grant)
            self.granted.append(decision)

    def _make_ask(self) -> admission_messages.Ask:
        self.now += 0.0001
        tier = self.rng.randrange(model.TIER_COUNT)
        return admission_messages.Ask(
            request=ids.RequestId(f"q{self._asked}"),
            team=ids.Team("t"),
            account=ids.AccountId(f"a{self.rng.randrange(ACCOUNTS)}"),
            class_name=ids.ClassName(f"c{tier}"),
            tier=ids.Tier(tier),
            model=ids.ModelName("m"),
            arrived=self.now,
            first_token_due=self.now + _FAR_S,
            give_up_at=self.now + _FAR_S,
            late_refused=False,
            max_waiting=1 << 30,
            account_limit=1 << 30,
            team_limit=1 << 30,
            prefix=self.rng.randrange(1, PREFIXES),
        )


def measure_idle(endpoints: int) -> Cost:
    """Measures a request that finds a slot at once."""
    bench = Bench(endpoints, 1024)
    bench.hear_peers()
    for _ in range(endpoints * SLOTS // 4):
        bench.submit()
    rounds = []
    for _ in range(_ROUNDS):
        took = 0.0
        for _ in range(_CALLS):
            start = time.process_time_ns()
            bench.submit()
            took += time.process_time_ns() - start
            bench.end_one()
            bench.close_ended()
        rounds.append(took / 1e9 / _CALLS * _US)
    return _summarise("submit to grant", endpoints, 0, rounds)


def measure_full(endpoints: int, waiting: int) -> Cost:
    """Measures an end that lets a waiting request go."""
    bench = Bench(endpoints, waiting * 2)
    while not bench.core.count_waiting():
        bench.submit()
    while bench.core.count_waiting() < waiting:
        bench.submit()
    rounds = []
    for _ in range(_ROUNDS):
        took = 0.0
        for _ in range(_CALLS):
            start = time.process_time_ns()
            bench.end_one()
            took += time.process_time_ns() - start
            bench.close_ended()
            while bench.core.count_waiting() < waiting:
                bench.submit()
        rounds.append(took / 1e9 / _CALLS * _US)
    return _summarise("end to grant", endpoints, waiting, rounds)


def main() -> None:
    """Prints the costs and writes them."""
    gc.freeze()
    costs = []
    for endpoints in ENDPOINTS:
        costs.append(measure_idle(endpoints))
        costs += [measure_full(endpoints, waiting) for waiting in WAITING]
    print(
        f"{'decision':<18}{'endpoints':>10}{'waiting':>9}{'us':>8}{'worst':>8}"
    )
    for cost in costs:
        print(
            f"{cost.what:<18}{cost.endpoints:>10}{cost.waiting:>9}"
            f"{cost.median_us:>8.1f}{cost.worst_us:>8.1f}"
        )
    _RESULTS.mkdir(exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(costs))
    (_RESULTS / "decision_cost.json").write_bytes(encoded)


def _summarise(
    what: str, endpoints: int, waiting: int, rounds: list[float]
) -> Cost:
    middle = round(statistics.median(rounds), 1)
    return Cost(what, endpoints, waiting, middle, round(max(rounds), 1))


def _name(number: int) -> ids.EndpointId:
    return ids.EndpointId(f"runner-{number}")


def _build_tree(endpoints: int) -> model.Tree:
    known = {
        _name(n): model.EndpointSettings(
            address="h:1",
            data_centre=ids.DataCentre("a"),
            models=(ids.ModelName("m"),),
            slots=SLOTS,
        )
        for n in range(endpoints)
    }
    return model.Tree(root=model.RootSettings(endpoints=known))


if __name__ == "__main__":
    main()
