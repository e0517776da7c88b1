"""Settings at 8 whole entry instances in one process, by the machine's clock.

Real parts: waitress, the operator interface, membership's datagrams and gRPC,
the guarded HTTP adapter and the platform stand-in. Times are seconds from the
operator's answer, or from the event named.
"""

import logging
import statistics
import time

import msgspec

from benchmarks import settings_spread
from pollenfork import application
from pollenfork import clock
from pollenfork import config
from pollenfork.cli import operator_client
from pollenfork.settings import first
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.standin.platform import config as platform_config
from pollenfork.standin.platform import front
from pollenfork.store import client
from pollenfork.store import edges

INSTANCES = 8
DATA_CENTRES = ("amman-1", "amman-2", "amman-3")
_WRITES = 5
_LIMIT_S = 60.0
_TOKEN = "operator-token"


class Figure(msgspec.Struct, frozen=True):
    """One thing measured, in seconds."""

    what: str
    runs: int
    mean_s: float
    max_s: float


class Site:
    """Entry instances that know each other, on one platform stand-in."""

    def __init__(self) -> None:
        now = clock.SystemClock()
        self.platform = front.PlatformStandin(
            platform_config.PlatformConfig(), now
        )
        self.address = self.platform.start()
        table = client.HttpTable(client.Channel(self.address))
        tree = model.Tree(root=model.RootSettings())
        first.write_tree(table, tree, now).unwrap()
        self.entries = [self.make_entry(n) for n in range(INSTANCES)]
        for entry in self.entries:
            entry.start()
        self.tell_peers()
        wait_until(self.all_know_each_other)
        self.client = operator_client.OperatorClient(
            [f"http://{self.entries[0].address}"], _TOKEN, time.sleep
        )

    def make_entry(
        self, number: int, peer_listen: str = "127.0.0.1:0"
    ) -> application.Application:
        """Returns an instance that isn't started yet."""
        settings = config.EntryConfig(
            instance=f"entry-{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            listen="127.0.0.1:0",
            peer_listen=peer_listen,
            platform=self.address,
            streams=4,
            waiting=4,
            operator_sha256=(snapshot.hash_key(_TOKEN),),
        )
        return application.Application(settings, clock.SystemClock())

    def tell_peers(self) -> None:
        """Puts every instance on the platform's list."""
        listed = [
            edges.ListedInstance(
                name=f"entry-{number}",
                role=edges.InstanceRole.ENTRY,
                data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
                address=entry.membership.address,
                status=edges.InstanceStatus.LIVE,
            )
            for number, entry in enumerate(self.entries)
        ]
        self.platform.set_instances(tuple(listed))

    def all_know_each_other(self) -> bool:
        """Returns whether every instance hears every other."""
        known = [len(entry.membership.list_members()) for entry in self.entries]
        return min(known) >= INSTANCES

    def write(self, path: str, value: object) -> int:
        """Puts a value at a path; returns the revision once accepted."""
        read = self.client.call("GET", "settings/root").unwrap()
        written = self.client.call(
            "PUT",
            f"settings/{path}",
            {"If-Match": read.headers["ETag"]},
            msgspec.json.encode(value),
        ).unwrap()
        assert written.status == 200, written.body
        return int(written.headers["ETag"].strip('"'))

    def is_everywhere(self, revision: int) -> bool:
        """Returns whether the revision is in force at every instance."""
        held = [entry.settings.revision for entry in self.entries]
        return min(held) >= revision

    def stop(self) -> None:
        """Stops everything."""
        for entry in self.entries:
            entry.stop()
        self.platform.stop()


def wait_until(holds: object) -> float:
    """Returns the seconds until `holds()` is true."""
    began = time.monotonic()
    while not holds():
        assert time.monotonic() - began < _LIMIT_S, "never came true"
        time.sleep(0.01)
    return time.monotonic() - began


def measure_writes(site: Site) -> list[float]:
    """Returns how long each of several writes took to be everywhere."""
    times = []
    for number in range(_WRITES):
        revision = site.write("root/ceilings", {f"team-{number}": {}})
        times.append(wait_until(lambda r=revision: site.is_everywhere(r)))
    return times


def measure_outage(site: Site, faults: platform_config.Faults) -> float:
    """Returns how long a write takes whose platform fails right after it."""
    revision = site.write("root/ceilings", {"outage": {}})
    site.platform.set_faults(faults)
    return wait_until(lambda: site.is_everywhere(revision))


def measure_restart(site: Site) -> float:
    """Returns how long an instance restarted in the outage isn't ready."""
    held = site.entries[1].settings.revision
    address = site.entries[1].membership.address
    site.entries[1].stop()
    entry = site.make_entry(1, address)
    site.entries[1] = entry
    began = time.monotonic()
    entry.start()
    wait_until(entry.is_ready)
    assert entry.settings.revision == held
    return time.monotonic() - began


def main() -> None:
    """Prints the figures and writes them as JSON."""
    logging.disable(logging.CRITICAL)
    site = Site()
    down = platform_config.Faults(down=True)
    found = {"written, everywhere": measure_writes(site)}
    found["written, platform down at once, everywhere"] = [
        measure_outage(site, down)
    ]
    found["restarted while the platform is down, ready"] = [
        measure_restart(site)
    ]
    site.platform.set_faults(platform_config.Faults())
    site.stop()
    rows = [
        Figure(
            what,
            len(times),
            round(statistics.mean(times), 2),
            round(max(times), 2),
        )
        for what, times in found.items()
    ]
    for row in rows:
        print(f"{row.what:45} {row.runs:3} {row.mean_s:7} {row.max_s:7}")
    settings_spread.write_results("settings_live", rows)


if __name__ == "__main__":
    main()
