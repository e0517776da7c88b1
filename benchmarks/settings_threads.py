"""Settings at 8 instances with threads, by the machine's clock.

Real parts: the settings actor, timers, the guarded HTTP adapter and the
platform stand-in. Peers' revisions are handed on by a call, once in a
heartbeat period, or not at all.
"""

import logging
import random
import statistics
import time

import result

from benchmarks import settings_spread
from pollenfork import clock
from pollenfork import failures
from pollenfork import metrics
from pollenfork import timers
from pollenfork.membership import periods
from pollenfork.settings import actor
from pollenfork.settings import messages
from pollenfork.standin.platform import config as platform_config
from pollenfork.standin.platform import front
from pollenfork.store import client
from pollenfork.store import policy

INSTANCES = 8
_WRITES = 5
_LIMIT_S = 60.0


def _give_nothing(peer: str) -> result.Result[bytes, failures.Failure]:
    return result.Err(failures.Failure(detail=f"{peer} has no copy"))


class RealInstance:
    """One instance's settings with its thread, timers and HTTP adapter."""

    def __init__(self, number: int, address: str) -> None:
        now = clock.SystemClock()
        rng = random.Random(number)
        channel = client.Channel(address)
        platform = policy.Platform(
            table=client.HttpTable(channel),
            objects=client.HttpObjects(channel),
            instances=client.HttpInstances(channel),
            weights=client.HttpWeights(channel),
            deps=policy.Dependencies(now=now, rng=rng, wait=time.sleep),
        )
        self.name = f"entry-{number}"
        self.timers = timers.Timers(now)
        self.settings = actor.Settings(
            platform.polled_table,
            now,
            rng,
            self.timers,
            metrics.Metrics(),
            _give_nothing,
        )

    def start(self) -> None:
        """Starts the actor and its polling."""
        self.settings.start()
        self.timers.start()

    def stop(self) -> None:
        """Ends both."""
        self.timers.stop()
        self.settings.stop()


def measure_real(peers: bool) -> settings_spread.Figures:
    """Returns the figures of 8 instances by the machine's clock."""
    platform = front.PlatformStandin(
        platform_config.PlatformConfig(), clock.SystemClock()
    )
    address = platform.start()
    table = client.HttpTable(client.Channel(address))
    writes = settings_spread.Writes(table, clock.SystemClock())
    writes.begin(table, clock.SystemClock())
    instances = [RealInstance(number, address) for number in range(INSTANCES)]
    for instance in instances:
        instance.start()
        time.sleep(0.1)
    began, cpu = time.monotonic(), time.process_time()
    times = [spread_real(instances, writes, peers) for _ in range(_WRITES)]
    seconds = time.monotonic() - began
    share = (time.process_time() - cpu) / seconds
    print(f"threads: {share:.3f} of a core, all")
    for instance in instances:
        instance.stop()
    platform.stop()
    return settings_spread.Figures(
        how="threads",
        instances=INSTANCES,
        peers=peers,
        lost_reads=0.0,
        writes=len(times),
        everywhere_mean_s=round(statistics.mean(times), 2),
        everywhere_max_s=round(max(times), 2),
        reads_per_s=0.0,
        reads_peak_per_s=0.0,
    )


def spread_real(
    instances: list[RealInstance], writes: settings_spread.Writes, peers: bool
) -> float:
    """Writes once; returns seconds until it is in force everywhere."""
    accepted = writes.write()
    began = time.monotonic()
    instances[0].settings.report(accepted)
    period_s = periods.compute_heartbeat_s(len(instances))
    next_heartbeat = began
    while time.monotonic() - began < _LIMIT_S:
        revisions = [one.settings.revision for one in instances]
        if min(revisions) >= writes.revision:
            return time.monotonic() - began
        if peers and time.monotonic() >= next_heartbeat:
            next_heartbeat += period_s
            exchange(instances)
        time.sleep(0.01)
    raise AssertionError("a write never came into force everywhere")


def exchange(instances: list[RealInstance]) -> None:
    """Tells every instance every other's revision."""
    for speaker in instances:
        said = messages.PeerRevision(speaker.name, speaker.settings.revision)
        for listener in instances:
            if listener is not speaker:
                listener.settings.report(said)


def main() -> None:
    """Prints the figures and writes them as JSON."""
    logging.disable(logging.WARNING)
    rows = [measure_real(peers) for peers in (False, True)]
    settings_spread.print_rows(rows)
    settings_spread.write_results("settings_threads", rows)


if __name__ == "__main__":
    main()
