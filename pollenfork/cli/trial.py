"""Implements `trial`: the whole system in one process, on loopback."""

import contextlib
import logging
from typing import Any

from pollenfork import application
from pollenfork import clock
from pollenfork import config
from pollenfork import context
from pollenfork import ids
from pollenfork import status
from pollenfork.cli import definition
from pollenfork.cli import loading
from pollenfork.cli import sample
from pollenfork.cli import signals
from pollenfork.settings import first
from pollenfork.settings import model
from pollenfork.standin import service
from pollenfork.standin.engine import config as engine_configs
from pollenfork.standin.engine import front as engine_front
from pollenfork.standin.platform import config as platform_configs
from pollenfork.standin.platform import front as platform_front
from pollenfork.store import client
from pollenfork.store import edges

_ENGINES = 3
_ENTRIES = 2
_STRAGGLER_SLOWDOWN = 4.0
_LISTEN = "127.0.0.1:0"
_STREAMS = 100
_WAITING = 100
_READY_S = 10.0


class System:
    """Two entry instances and the stand-ins around them.

    Attributes:
        entries: URLs of the entry instances.
        engines: URLs of the engine stand-ins; the last is a straggler.
    """

    def __init__(self) -> None:
        self.entries: list[str] = []
        self.engines: list[str] = []
        self.platform = ""
        self.service = ""
        self._clock = clock.SystemClock()
        self._cleanup = contextlib.ExitStack()

    def start(self) -> None:
        """Starts all parts; stops those already cleanup if one fails."""
        with contextlib.ExitStack() as cleanup:
            self._cleanup = cleanup
            engines = [self._start_engine(i) for i in range(_ENGINES)]
            standin = service.ServiceStandin(_LISTEN, self._clock)
            service_address = self._start_standin(standin)
            tree = sample.make_tree(engines, [service_address])
            platform = self._start_platform(tree)
            self._write_tree(platform, tree)
            entries: list[application.Application] = []
            for number in range(_ENTRIES):
                peers = tuple(app.membership.address for app in entries)
                entries.append(self._start_entry(number, platform, peers))
            for app in entries:
                if not app.wait_until_ready(_READY_S):
                    raise TimeoutError("no settings came into force")
            self._cleanup = cleanup.pop_all()
        self.engines = [f"http://{address}" for address in engines]
        self.entries = [f"http://{app.address}" for app in entries]
        self.platform = f"http://{platform}"
        self.service = f"http://{service_address}"

    def stop(self) -> None:
        """Stops all parts in reverse order of their start."""
        self._cleanup.close()

    def _start_standin(self, standin: Any) -> str:
        address: str = standin.start()
        self._cleanup.callback(standin.stop)
        return address

    def _start_engine(self, number: int) -> str:
        is_last = number == _ENGINES - 1
        slowdown = _STRAGGLER_SLOWDOWN if is_last else 1.0
        settings = engine_configs.EngineConfig(
            listen=_LISTEN,
            models=(sample.MODEL,),
            slots=sample.SLOTS,
            faults=engine_configs.Faults(slowdown=slowdown),
        )
        return self._start_standin(
            engine_front.EngineStandin(settings, self._clock)
        )

    def _start_platform(self, tree: Any) -> str:
        listed = tuple(
            edges.ListedInstance(
                name=name,
                role=edges.InstanceRole.ENDPOINT,
                data_centre=endpoint.data_centre,
                address=endpoint.address,
                status=edges.InstanceStatus.LIVE,
            )
            for name, endpoint in tree.root.endpoints.items()
        )
        settings = platform_configs.PlatformConfig(
            listen=_LISTEN, instances=listed
        )
        return self._start_standin(
            platform_front.PlatformStandin(settings, self._clock)
        )

    def _write_tree(self, platform: str, tree: model.Tree) -> None:
        table = client.HttpTable(client.Channel(platform))
        first.write_tree(table, tree, self._clock).unwrap()

    def _start_entry(
        self, number: int, platform: str, peers: tuple[str, ...]
    ) -> application.Application:
        settings = config.EntryConfig(
            instance=ids.InstanceId(f"entry-{number + 1}"),
            data_centre=sample.DATA_CENTRE,
            listen=_LISTEN,
            peer_listen=_LISTEN,
            platform=platform,
            peers=peers,
            streams=_STREAMS,
            waiting=_WAITING,
        )
        app = application.Application(settings, self._clock)
        app.start()
        self._cleanup.callback(app.stop)
        return app


def run_trial(
    command: definition.Trial, env: context.Environment
) -> status.ExitStatus:
    """Sends a short burst of load from two teams and writes the report."""
    logging.getLogger().setLevel(logging.ERROR)
    system = System()
    system.start()
    try:
        env.stderr.write(
            f"{_ENTRIES} entry instances, {_ENGINES} engines, the last"
            f" {_STRAGGLER_SLOWDOWN:g} times slower; sending a burst\n"
        )
        report = loading.send(
            sample.make_scenario(), system.entries, system.engines, env
        )
        loading.write(report, command.format, env)
        if command.keep:
            _show_addresses(system, env)
            signals.wait_for_stop()
    finally:
        system.stop()
    return status.ExitStatus.SUCCESS


def _show_addresses(system: System, env: context.Environment) -> None:
    """Writes example commands for the running system."""
    entry = system.entries[0]
    auth = "-H 'Authorization: Bearer dispatch-key'"
    body = (
        f'{{"model":"{sample.MODEL}","stream":true,'
        '"messages":[{"role":"user","content":"Summarise tower 14."}]}'
    )
    lines = (
        "",
        "serving until Ctrl-C; to try:",
        f"  curl -N {auth} {entry}/v1/chat/completions -d '{body}'",
        f"  curl {auth} {entry}/v1/models",
        f"  curl {entry}/metrics",
        f"  curl {system.engines[0]}/runs",
        f"  curl {system.engines[0]}/faults -d '{{\"slowdown\":5}}'",
        f"  curl {system.platform}/faults -d '{{\"down\":true}}'",
    )
    env.stdout.write("\n".join(lines) + "\n")
    env.stdout.flush()
