"""Time from a write's acceptance until it is in force at every instance.

2 to 360 instances with the program's own core and keeper on a manual clock, in
steps of a tick, to see the slope and the table's reads. What a read or a
compilation takes isn't in it; `settings_threads` and `settings_live` measure
8 instances by the machine's clock.

Peers' heartbeats are stood in for by a call: within a data centre, one of six,
a new revision is heard within one heartbeat period, and a peer hands its tree
out at once to an instance whose read was lost.
"""

import logging
import pathlib
import random
import statistics
import time

import msgspec
import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import ids
from pollenfork import metrics
from pollenfork.membership import periods
from pollenfork.settings import actor
from pollenfork.settings import changes
from pollenfork.settings import copies
from pollenfork.settings import core
from pollenfork.settings import first
from pollenfork.settings import messages
from pollenfork.settings import model
from pollenfork.settings import paths
from pollenfork.settings import writer
from pollenfork.standin.platform import config as platform_config
from pollenfork.standin.platform import core as platform_core
from pollenfork.standin.platform import fake

SIZES = (2, 8, 24, 60, 360)
DATA_CENTRES = 6
_WRITES = 8
_BETWEEN_S = 30.0
_LIMIT_S = 60.0
_OPERATOR = "0" * 64
_RESULTS = pathlib.Path(__file__).parent / "results"


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """One run; times in seconds from acceptance.

    Attributes:
        everywhere_mean_s: Until in force at the last instance.
        reads_per_s: Reads of the table while nothing changes.
        reads_peak_per_s: The most in a quarter of a second after a write,
            times four.
        lost_reads: Part of the reads that failed on purpose.
    """

    how: str
    instances: int
    peers: bool
    lost_reads: float
    writes: int
    everywhere_mean_s: float
    everywhere_max_s: float
    reads_per_s: float
    reads_peak_per_s: float


class Writes:
    """Changes one number of the tree, again and again."""

    def __init__(self, table: object, now: clock.Clock) -> None:
        self._writer = writer.Writer(
            table, now, random.Random(1), time.sleep, lambda: None, (_OPERATOR,)
        )
        self.revision = 0

    def begin(self, table: object, now: clock.Clock) -> None:
        """Writes the first tree."""
        tree = model.Tree(root=model.RootSettings())
        self.revision = first.write_tree(table, tree, now).unwrap()

    def write(self) -> messages.TreeWritten:
        """Writes once and returns the tree that came of it."""
        team = f"team-{self.revision}"
        change = changes.Change(
            path=paths.SettingsPath("root", ("ceilings",)),
            value={team: {}},
            expected=self.revision,
            write_id=f"w-{self.revision}",
            operator=_OPERATOR,
        )
        accepted = self._writer.write(change).unwrap()
        self.revision = accepted.revision
        return messages.TreeWritten(accepted.tree)


class ManualInstance:
    """One instance's core and keeper on a manual clock."""

    def __init__(
        self,
        number: int,
        state: platform_core.Platform,
        now: clock.ManualClock,
        lost_reads: float,
        fetch_copy: actor.FetchCopy,
    ) -> None:
        self.number = number
        self.core = core.Core(random.Random(number), now.monotonic())
        self.platform = fake.FakePlatform(now, state)
        self._lost_reads = lost_reads
        self._rng = random.Random(-number - 1)
        self.keeper = actor.ActionExecutor(
            self.core, self.platform.table, now, metrics.Metrics(), fetch_copy
        )
        # The phase of each instance's polling differs, as starts do.
        self.core._next_read = self._rng.uniform(0, core.POLL_S)

    def tick(self) -> None:
        """Lets the instance do what is due, some of its reads being lost."""
        lost = self._rng.random() < self._lost_reads
        self.platform.set_faults(platform_config.Faults(down=lost))
        self.keeper.handle(messages.Tick())


class Heard(msgspec.Struct, frozen=True):
    """What a listener is going to hear, and when."""

    at: float
    listener: ManualInstance
    said: messages.PeerRevision


def measure_manual(
    instances: int, peers: bool, lost_reads: float = 0.0
) -> Figures:
    """Returns the figures of so many instances on a manual clock."""
    run = ManualRun(instances, peers, lost_reads)
    times = [run.spread() for _ in range(_WRITES)]
    return Figures(
        how="manual",
        instances=instances,
        peers=peers,
        lost_reads=lost_reads,
        writes=len(times),
        everywhere_mean_s=round(statistics.mean(times), 2),
        everywhere_max_s=round(max(times), 2),
        reads_per_s=round(statistics.mean(run.quiet_reads), 1),
        reads_peak_per_s=round(max(run.busy_reads), 1),
    )


class ManualRun:
    """Instances of a manual clock, their table and their heartbeats."""

    def __init__(self, instances: int, peers: bool, lost_reads: float) -> None:
        self._clock = clock.ManualClock()
        rates = platform_config.PlatformConfig(reads_per_s=1e9)
        self._state = platform_core.Platform(rates)
        plain = fake.FakePlatform(self._clock, self._state).table
        self._writes = Writes(plain, self._clock)
        self._writes.begin(plain, self._clock)
        self._instances = [
            ManualInstance(
                number, self._state, self._clock, lost_reads, self._give_copy
            )
            for number in range(instances)
        ]
        self._peers = peers
        self._rng = random.Random(7)
        self._heard: list[Heard] = []
        self._known: dict[int, int] = {}
        self.quiet_reads: list[int] = []
        self.busy_reads: list[int] = []
        self._pass(_BETWEEN_S, self.quiet_reads)
        self.quiet_reads.clear()

    def spread(self) -> float:
        """Writes once; returns seconds until it is in force everywhere."""
        self._pass(_BETWEEN_S + self._rng.uniform(0, 10), self.quiet_reads)
        accepted = self._writes.write()
        began = self._clock.monotonic()
        chosen = self._rng.choice(self._instances)
        chosen.keeper.handle(accepted)
        wanted = accepted.tree.revision
        while self._clock.monotonic() - began < _LIMIT_S:
            self._pass(actor.TICK_S, None)
            if all(one.core.revision >= wanted for one in self._instances):
                took = self._clock.monotonic() - began
                self._pass(1.0, self.busy_reads)
                return took
        raise AssertionError("a write never came into force everywhere")

    def _pass(self, seconds: float, reads: list[int] | None) -> None:
        end = self._clock.monotonic() + seconds
        while self._clock.monotonic() < end:
            before = self._count_reads()
            second_ends = self._clock.monotonic() + 1.0
            while self._clock.monotonic() < min(second_ends, end):
                self._step()
            counted = self._count_reads() - before
            if reads is not None and self._clock.monotonic() >= second_ends:
                reads.append(counted)
            if reads is None:
                self.busy_reads.append(round(counted / actor.TICK_S))

    def _step(self) -> None:
        self._clock.advance(actor.TICK_S)
        now = self._clock.monotonic()
        due = [heard for heard in self._heard if heard.at <= now]
        self._heard = [heard for heard in self._heard if heard.at > now]
        for heard in due:
            heard.listener.keeper.handle(heard.said)
        for instance in self._instances:
            instance.tick()
            if self._peers:
                self._speak(instance, now)

    def _speak(self, instance: ManualInstance, now: float) -> None:
        """Lets the data centre hear a new revision within one period."""
        revision = instance.core.revision
        if self._known.get(instance.number) == revision:
            return
        self._known[instance.number] = revision
        said = messages.PeerRevision(f"entry-{instance.number}", revision)
        members = max(1, len(self._instances) // DATA_CENTRES)
        period_s = periods.compute_heartbeat_s(members)
        for other in self._instances:
            same = other.number % DATA_CENTRES == instance.number % DATA_CENTRES
            if same and other is not instance:
                at = now + self._rng.uniform(0, period_s)
                self._heard.append(Heard(at, other, said))

    def _give_copy(
        self, peer: ids.InstanceId
    ) -> result.Result[bytes, failures.Failure]:
        held = self._instances[int(peer.removeprefix("entry-"))].core.in_force
        assert held is not None
        return result.Ok(copies.encode(held))

    def _count_reads(self) -> int:
        calls = self._state.calls
        return (
            calls[platform_config.Operation.READ]
            + calls[platform_config.Operation.SCAN]
        )


def main() -> None:
    """Prints the figures of all runs and writes them as JSON."""
    logging.disable(logging.WARNING)
    rows = [
        measure_manual(size, peers) for size in SIZES for peers in (False, True)
    ]
    for peers in (False, True):
        rows.append(measure_manual(SIZES[-1], peers, lost_reads=0.1))
    print_rows(rows)
    write_results("settings_spread", rows)


def print_rows(rows: list[Figures]) -> None:
    """Prints the figures as a table."""
    names = Figures.__struct_fields__
    print("  ".join(f"{name:>17}" for name in names))
    for row in rows:
        values = [str(getattr(row, name)) for name in names]
        print("  ".join(f"{value:>17}" for value in values))


def write_results(name: str, rows: object) -> None:
    """Writes a benchmark's figures as JSON."""
    _RESULTS.mkdir(exist_ok=True)
    body = msgspec.json.format(msgspec.json.encode(rows))
    (_RESULTS / f"{name}.json").write_bytes(body + b"\n")


if __name__ == "__main__":
    main()
