"""A site of separate processes that tests kill, freeze and restart."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import urllib3

from pollenfork import clock
from pollenfork.settings import first
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.store import client
from tests import sites

READY_S = 20.0
_LISTENING = "listening on "
# Address for traffic between instances; each test process has its own. On a
# shared address, any other connection may take a port between its selection
# here and its use by a program.
PEER_HOST = f"127.17.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"


def find_free_port() -> int:
    """Returns a port that was free when checked."""
    with socket.socket() as held:
        held.bind((PEER_HOST, 0))
        return int(held.getsockname()[1])


class Program:
    """A pollenfork process; `address` is where it listens."""

    def __init__(self, *arguments: str) -> None:
        # Closed in `close`.
        self._log = tempfile.TemporaryFile("w+")  # noqa: SIM115
        self._process = subprocess.Popen(
            [sys.executable, "-m", "pollenfork", *arguments],
            stdout=subprocess.PIPE,
            stderr=self._log,
            text=True,
        )
        assert self._process.stdout
        line = self._process.stdout.readline()
        assert line.startswith(_LISTENING), line + self._read_log()
        self.address = line.removeprefix(_LISTENING).strip()

    def _read_log(self) -> str:
        self._process.wait(READY_S)
        self._log.seek(0)
        return self._log.read()

    def kill(self) -> None:
        """Kills the process (SIGKILL)."""
        self._process.kill()
        self._process.wait()

    def freeze(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to stop (SIGTERM)."""
        self._process.terminate()

    def wait(self) -> int:
        """Waits for the process and returns its exit status."""
        return self._process.wait(READY_S)

    def close(self) -> None:
        """Kills the process if it is still running."""
        if self._process.poll() is None:
            self.thaw()
            self.kill()
        if self._process.stdout:
            self._process.stdout.close()
        self._log.close()


class Site:
    """Platform, engines, service and entry instances as processes."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._programs: list[Program] = []
        self.pool = urllib3.PoolManager(
            num_pools=16, maxsize=64, retries=False, timeout=30
        )
        self.platform = self.start("platform", {}, "standin", "platform")
        self.engines: list[Program] = []
        self.entries: list[Program] = []
        self._entry_settings: dict[Program, dict[str, object]] = {}

    def start(self, name: str, settings: object, *command: str) -> Program:
        """Starts a program with a settings file."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        program = Program(*command, "--settings", str(path))
        self._programs.append(program)
        return program

    def start_engine(self, **settings: object) -> Program:
        """Starts an engine stand-in."""
        engine_settings = {
            "listen": "127.0.0.1:0",
            "models": ["lines"],
            **settings,
        }
        name = f"engine-{len(self.engines)}"
        engine = self.start(name, engine_settings, "standin", "engine")
        self.engines.append(engine)
        return engine

    def start_service(self) -> Program:
        """Starts the plain-service stand-in."""
        program = Program("standin", "service", "--listen", "127.0.0.1:0")
        self._programs.append(program)
        return program

    def write_tree(self, tree: model.Tree) -> None:
        """Writes the initial settings tree to the platform's table."""
        table = client.HttpTable(client.Channel(self.platform.address))
        first.write_tree(table, tree, clock.SystemClock()).unwrap()

    def start_entry(self, ready: bool = True, **settings: object) -> Program:
        """Starts an entry instance and, if `ready`, waits for readiness.

        It is configured with the peer addresses of all earlier instances.
        """
        peers = [other["peer_listen"] for other in self.list_settings()]
        entry_settings = {
            "instance": f"entry-{len(self.entries) + 1}",
            "data_centre": "a",
            "listen": "127.0.0.1:0",
            "peer_listen": f"{PEER_HOST}:{find_free_port()}",
            "peers": peers,
            "platform": self.platform.address,
            "streams": 32,
            "waiting": 32,
            "operator_sha256": [snapshot.hash_key(sites.OPERATOR)],
            **settings,
        }
        entry = self._run_entry(entry_settings)
        self.entries.append(entry)
        if ready:
            self.wait_until_ready(entry)
        return entry

    def restart_entry(self, stopped: Program) -> Program:
        """Restarts a stopped entry instance without waiting for readiness.

        It is configured with the peer addresses of all other instances.
        """
        previous = self._entry_settings.pop(stopped)
        peers = [other["peer_listen"] for other in self.list_settings()]
        entry = self._run_entry({**previous, "peers": peers})
        self.entries[self.entries.index(stopped)] = entry
        return entry

    def list_settings(self) -> list[dict[str, object]]:
        """Returns the settings of all entry instances."""
        return list(self._entry_settings.values())

    def get_name(self, entry: Program) -> object:
        """Returns the name of the instance."""
        return self._entry_settings[entry]["instance"]

    def _run_entry(self, entry_settings: dict[str, object]) -> Program:
        entry = self.start(
            str(entry_settings["instance"]), entry_settings, "entry"
        )
        self._entry_settings[entry] = entry_settings
        return entry

    def is_ready(self, entry: Program) -> bool:
        """Returns whether the instance accepts new requests."""
        url = f"http://{entry.address}/readyz"
        return self.pool.request("GET", url).status == 200

    def wait_until_ready(self, entry: Program) -> None:
        """Waits until the instance accepts new requests."""
        sites.wait_until(lambda: self.is_ready(entry))

    def post(
        self,
        entry: Program,
        path: str,
        body: bytes,
        key: str | None = None,
        **options: object,
    ) -> urllib3.BaseHTTPResponse:
        """Sends a request with the test account's key."""
        headers = {"Authorization": f"Bearer {sites.KEY}"}
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://{entry.address}{path}"
        return self.pool.request(
            "POST", url, body=body, headers=headers, **options
        )

    def call_operator(
        self, entry: Program, method: str, path: str, **options: object
    ) -> urllib3.BaseHTTPResponse:
        """Calls the operator API of an instance."""
        headers = {
            "Authorization": f"Bearer {sites.OPERATOR}",
            **options.pop("headers", {}),
        }
        url = f"http://{entry.address}/operator/{path}"
        return self.pool.request(method, url, headers=headers, **options)

    def read_states(self, entry: Program) -> dict[str, str]:
        """Returns the states of all instances, as one instance sees them."""
        listed = self.call_operator(entry, "GET", "status").json()["instances"]
        return {line["instance"]: line["state"] for line in listed}

    def read_revision(self, entry: Program) -> int:
        """Returns the settings revision in force at an instance."""
        listed = self.call_operator(entry, "GET", "status").json()["instances"]
        own = self.get_name(entry)
        return next(
            line["revision"] for line in listed if line["instance"] == own
        )

    def wait_until_joined(self) -> None:
        """Waits until every entry instance sees all of them live."""
        names = {str(self.get_name(entry)) for entry in self.entries}
        for entry in self.entries:
            sites.wait_until(
                lambda entry=entry: names <= self.read_states(entry).keys()
            )

    def wait_until_lost(self, entry: Program, name: str) -> float:
        """Waits until one instance considers another lost.

        Returns the seconds that took.
        """
        return sites.wait_until(
            lambda: self.read_states(entry).get(name) == "lost"
        )

    def read_json(self, program: Program, path: str) -> object:
        """Returns a JSON document from a stand-in."""
        url = f"http://{program.address}{path}"
        return self.pool.request("GET", url).json()

    def set_faults(self, program: Program, **faults: object) -> None:
        """Sets the faults that a stand-in simulates."""
        url = f"http://{program.address}/faults"
        response = self.pool.request("POST", url, json=faults)
        assert response.status == 200

    def close(self) -> None:
        """Closes all processes."""
        self.pool.clear()
        for program in reversed(self._programs):
            program.close()
