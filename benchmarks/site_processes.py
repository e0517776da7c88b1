"""A site of separate processes for `benchmarks.site`, and their readings."""

from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import re
import socket
import subprocess
import sys
import time

import msgspec
import psutil
import urllib3

from benchmarks import site_workload
from pollenfork import clock
from pollenfork.settings import first
from pollenfork.store import client

_LISTENING = "listening on "
_READY_S = 20.0
_POLL_S = 0.05
_SETTLE_S = 2.0
_SAMPLE = re.compile(r"^(\w+?)(?:\{(.*)\})? ([0-9.e+-]+)$")
_LOG_EVENT = re.compile(r"event=(\w+)")


class Program:
    """One process of ours; `address` is where it listens."""

    def __init__(self, log: pathlib.Path, *arguments: str) -> None:
        self.log = log
        with log.open("wb") as errors:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "pollenfork", *arguments],
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
            )
        assert self._process.stdout
        line = self._process.stdout.readline()
        self.address = line.removeprefix(_LISTENING).strip()
        self.usage = psutil.Process(self._process.pid)

    def read_cpu_s(self) -> float:
        """Returns the processor time used so far."""
        times = self.usage.cpu_times()
        return float(times.user + times.system)

    def kill(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()


class Site:
    """A platform, engines and entry instances that know each other."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self.engines: list[Program] = []
        self.entries: list[Program] = []

    def start(
        self, entries: int, engines: int, one_tier: bool, peers: bool
    ) -> None:
        """Starts everything and waits until the entries are ready.

        Args:
            entries: Number of entry instances.
            engines: Number of engine stand-ins.
            one_tier: See `site_workload.make_tree`.
            peers: The entries know each other.
        """
        platform = self._start("platform", {}, "standin", "platform")
        for i in range(engines):
            settings = {
                "listen": "127.0.0.1:0",
                "models": [site_workload.MODEL],
                "slots": site_workload.SLOTS,
            }
            name = f"engine-{i}"
            self.engines.append(
                self._start(name, settings, "standin", "engine")
            )
        addresses = [engine.address for engine in self.engines]
        tree = site_workload.make_tree(addresses, one_tier)
        table = client.HttpTable(client.Channel(platform.address))
        first.write_tree(table, tree, clock.SystemClock()).unwrap()
        ports = _find_ports(entries)
        for i in range(entries):
            known = [p for p in ports if p != ports[i]] if peers else []
            self._start_entry(i, ports[i], known, platform.address)
        for entry in self.entries:
            _wait_until_ready(entry.address)
        time.sleep(_SETTLE_S)

    def _start_entry(
        self, number: int, own: str, known: Sequence[str], platform: str
    ) -> None:
        settings = {
            "instance": f"entry-{number + 1}",
            "data_centre": site_workload.DATA_CENTRE,
            "listen": "127.0.0.1:0",
            "peer_listen": own,
            "peers": known,
            "platform": platform,
        }
        name = f"entry-{number}"
        self.entries.append(self._start(name, settings, "entry"))

    def _start(self, name: str, settings: object, *command: str) -> Program:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = self._folder / f"{name}.log"
        program = Program(log, *command, "--settings", str(path))
        self._stack.callback(program.kill)
        return program

    def set_faults(self, engine: int, faults: object) -> None:
        """Puts faults in force at an engine stand-in."""
        url = f"http://{self.engines[engine].address}/faults"
        answer = urllib3.request("POST", url, json=faults, timeout=10)
        assert answer.status == 200, answer.data

    def count_tokens(self) -> int:
        """Returns the tokens that all engines generated so far."""
        return sum(
            urllib3.request("GET", f"http://{e.address}/runs").json()["total"][
                "tokens"
            ]
            for e in self.engines
        )

    def count_running(self, engine: int) -> int:
        """Returns the requests that an engine runs now."""
        url = f"http://{self.engines[engine].address}/v1/load"
        return int(urllib3.request("GET", url).json()["running"])

    def read_metrics(self) -> dict[str, float]:
        """Returns all samples of all entries, summed."""
        summed: dict[str, float] = {}
        for entry in self.entries:
            answer = urllib3.request("GET", f"http://{entry.address}/metrics")
            for line in answer.data.decode().splitlines():
                match = _SAMPLE.match(line)
                if match:
                    name = f"{match[1]}{{{match[2] or ''}}}"
                    summed[name] = summed.get(name, 0.0) + float(match[3])
        return summed

    def count_log_events(self) -> dict[str, int]:
        """Returns the entries' log lines by event, and tracebacks."""
        counts: dict[str, int] = {}
        for entry in self.entries:
            for line in entry.log.read_text().splitlines():
                match = _LOG_EVENT.search(line)
                traced = "Traceback" in line
                name = "traceback" if traced else match and match[1]
                if name:
                    counts[name] = counts.get(name, 0) + 1
        return counts

    def close(self) -> None:
        """Ends every process."""
        self._stack.close()


class Load:
    """A run of the load tool in a process of its own."""

    def __init__(self, site: Site, folder: pathlib.Path, scenario: object):
        path = folder / "scenario.json"
        path.write_bytes(msgspec.json.encode(scenario))
        self._process = subprocess.Popen(
            [sys.executable, "-m", "pollenfork", "load"]
            + ["--scenario", str(path), "--format", "json", "--to"]
            + [f"http://{entry.address}" for entry in site.entries]
            + ["--engine"]
            + [f"http://{engine.address}" for engine in site.engines],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def wait(self) -> tuple[bytes, float]:
        """Returns the report, and the processor time that it took."""
        before = _read_children_cpu_s()
        written, _ = self._process.communicate(timeout=180)
        return written, _read_children_cpu_s() - before


def _read_children_cpu_s() -> float:
    """Returns the processor time of the children that have ended."""
    times = os.times()
    return times.children_user + times.children_system


def _find_ports(count: int) -> list[str]:
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in held:
            one.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{one.getsockname()[1]}" for one in held]


def _wait_until_ready(address: str) -> None:
    give_up_at = time.monotonic() + _READY_S
    while urllib3.request("GET", f"http://{address}/readyz").status != 200:
        if time.monotonic() > give_up_at:
            raise TimeoutError(f"{address} is not ready")
        time.sleep(_POLL_S)
