"""What the exchange of loads costs a gateway: processor time and bytes.

All instances run in this process on a clock that stands still between
periods; each one's time is counted by itself. Baseline of the ratio: the
same table told by everyone to everyone.
"""

from collections.abc import Iterable
import json
import pathlib
import random
import time

from pollenfork.loads import core
from pollenfork.loads import messages

_PORT = 1
_SECONDS = 5.0
_CHANGED = 0.3  # Part of the instances whose loads change in a period.
# Instances, data centres, runners that an instance uses at a time.
_SIZES = ((8, 3, 9), (64, 3, 30), (360, 6, 100))
_HEADERS = 28  # Bytes of IP and UDP.


class _Instance:
    """An instance whose loads change at random."""

    def __init__(self, rng: random.Random, runners: int) -> None:
        self._rng = rng
        self._runners = runners
        self._loads: messages.LoadTable = {}

    def change(self) -> None:
        """Places or ends a request."""
        runner = self._rng.randrange(self._runners) * 7_919_001
        if runner in self._loads and self._rng.random() < 0.5:
            del self._loads[runner]
        else:
            reading = self._rng.randrange(20_000)
            self._loads[runner] = messages.Load(1, reading)

    def read_loads(self) -> messages.LoadTable:
        return dict(self._loads)

    def take_placements(self) -> list[messages.Placement]:
        return []

    def read_store_status(self, now: float) -> messages.StoreStatus | None:
        return messages.StoreStatus(1, 1, 0.5)

    def list_placements(self) -> list[messages.Placement]:
        return []

    def list_local_placements(self) -> list[messages.Placement]:
        return []

    def record_placements(self, placed: object) -> None:
        """Takes nothing."""

    def take_updates(self, now: float) -> messages.Updates:
        return messages.Updates()

    def record_updates(self, updates: messages.Updates, now: float) -> None:
        """Takes nothing."""

    def record_store_status(
        self, proof: messages.StoreStatus, moment: float, teller: str
    ) -> None:
        """Takes nothing."""

    def record_store_answer(self, moment: float) -> None:
        """Leaves it out."""

    def record_store_versions(
        self, proof: messages.StoreStatus, teller: str
    ) -> None:
        """Takes nothing."""

    def take_departures(self) -> list[int]:
        return []

    def list_departures(self) -> list[int]:
        return []

    def record_departures(self, announced: Iterable[int]) -> None:
        """Takes nothing."""

    def take_findings(self) -> list[messages.Finding]:
        return []

    def record_finding(self, finding: messages.Finding, now: float) -> None:
        """Takes nothing."""

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        return None

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        return None

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        return [messages.Suspicions("")]

    def record_suspicions(
        self, told: messages.Suspicions, host: str, now: float
    ) -> None:
        """Takes nothing."""

    def record_instance_count(self, count: int) -> None:
        """Takes nothing."""


class _Fleet:
    """All exchanges, and what each has cost."""

    def __init__(self, count: int, centres: int, runners: int) -> None:
        rng = random.Random(7)
        self._rng = rng
        self._now = 100.0
        self.seconds: dict[str, float] = {}
        self.sent: dict[str, int] = {}
        self.instances: dict[str, _Instance] = {}
        self.exchanges: dict[str, core.Exchange] = {}
        seeds = [messages.Address(f"10.{n}.0.{n:03}", _PORT) for n in range(3)]
        for number in range(count):
            centre = number % centres
            host = f"10.{centre}.0.{number:03}"
            self.instances[host] = _Instance(rng, runners)
            self.exchanges[host] = core.Exchange(
                messages.Address(host, _PORT),
                f"dc-{centre}",
                seeds,
                self.instances[host],
            )

    def run(self, seconds: float) -> None:
        """Plays for a while."""
        self.seconds = dict.fromkeys(self.exchanges, 0.0)
        self.sent = dict.fromkeys(self.exchanges, 0)
        until = self._now + seconds
        while self._now < until:
            self._now += core.PERIOD_S
            for host, instance in self.instances.items():
                if self._rng.random() < _CHANGED:
                    instance.change()
                self._tick(host)

    def _tick(self, host: str) -> None:
        begun = time.process_time()
        sends = self.exchanges[host].tick(self._now)
        datagrams = [(each.to, messages.encode(each.message)) for each in sends]
        self.exchanges[host].read_others(self._now)
        self.seconds[host] += time.process_time() - begun
        for to, data in datagrams:
            self._deliver(host, to.host, data)

    def _deliver(self, sender: str, to: str, data: bytes) -> None:
        self.sent[sender] += len(data) + _HEADERS
        if to not in self.exchanges:
            return
        begun = time.process_time()
        message = messages.decode(data)
        assert message is not None
        answers = self.exchanges[to].receive(message, sender, self._now)
        self.seconds[to] += time.process_time() - begun
        for each in answers:
            self._deliver(to, each.to.host, messages.encode(each.message))


def measure() -> list[dict[str, float]]:
    """Returns a row for each size."""
    rows = []
    for count, centres, runners in _SIZES:
        fleet = _Fleet(count, centres, runners)
        fleet.run(3.0)
        fleet.run(_SECONDS)
        cores = sorted(each / _SECONDS for each in fleet.seconds.values())
        sent = sorted(each / _SECONDS / 1000 for each in fleet.sent.values())
        rows.append(
            {
                "instances": count,
                "runners": runners,
                "cores_median": round(cores[count // 2], 5),
                "cores_most": round(cores[-1], 5),
                "sent_kb_s_median": round(sent[count // 2], 2),
                "sent_kb_s_most": round(sent[-1], 2),
                "full_mesh_ratio": round(
                    (count - 1) * sent[count // 2] * count / sum(sent), 1
                ),
            }
        )
    return rows


if __name__ == "__main__":
    result = json.dumps(measure(), indent=1)
    path = pathlib.Path(__file__).parent / "results" / "loads_cost.json"
    path.write_text(result + "\n")
    print(result)
