"""Complete in-process sites: platform stand-in and entry instances."""

from collections.abc import Callable
import threading
import time

from pollenfork import application
from pollenfork import clock
from pollenfork import config
from pollenfork.settings import first
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.standin.platform import config as platform_config
from pollenfork.standin.platform import front as platform_front
from pollenfork.store import client

KEY = "crew-key"
OPERATOR = "operator-token"
READY_S = 20.0
_POLL_S = 0.02


def wait_until(
    condition: Callable[[], bool], timeout_s: float = READY_S
) -> float:
    """Polls until the condition holds; returns the seconds that took.

    Raises:
        AssertionError: The condition didn't hold in time.
    """
    started_at = time.monotonic()
    pause = threading.Event()
    while not condition():
        assert time.monotonic() - started_at < timeout_s, (
            "condition didn't hold in time"
        )
        pause.wait(_POLL_S)
    return time.monotonic() - started_at


def make_tree(addresses: list[str], **root: object) -> model.Tree:
    """Returns a tree with one team and runners at these addresses."""
    endpoints = {
        f"runner-{n}": model.EndpointSettings(
            address=address, data_centre="a", models=("lines",)
        )
        for n, address in enumerate(addresses)
    }
    account = model.Account(
        key_sha256=snapshot.hash_key(KEY),
        classes=("morning", "logs"),
        default_class="morning",
    )
    classes = {
        "morning": model.ServiceClass(tier=0, protected=True),
        "logs": model.ServiceClass(tier=6),
    }
    team = model.TeamSettings(classes=classes, accounts={"crew": account})
    ceiling = model.Ceiling(may_protect=True)
    settings = model.RootSettings(
        ceilings={"linework": ceiling}, endpoints=endpoints, **root
    )
    return model.Tree(root=settings, teams={"linework": team})


class Site:
    """A platform stand-in and the entry instances that use it."""

    def __init__(self) -> None:
        self.platform = platform_front.PlatformStandin(
            platform_config.PlatformConfig(), clock.SystemClock()
        )
        self.platform_address = self.platform.start()
        self.entries: list[application.Application] = []

    def write_tree(self, tree: model.Tree) -> None:
        """Writes the initial settings tree."""
        table = client.HttpTable(client.Channel(self.platform_address))
        first.write_tree(table, tree, clock.SystemClock()).unwrap()

    def start_entry(
        self, name: str = "entry-1", **settings: object
    ) -> application.Application:
        """Starts an entry instance and waits until it is ready."""
        options = {
            "streams": 8,
            "waiting": 8,
            "body_limit": 10_000,
            "operator_sha256": (snapshot.hash_key(OPERATOR),),
            **settings,
        }
        app = application.Application(
            config.EntryConfig(
                instance=name,
                data_centre="a",
                listen="127.0.0.1:0",
                peer_listen="127.0.0.1:0",
                platform=self.platform_address,
                **options,
            ),
            clock.SystemClock(),
        )
        app.start()
        self.entries.append(app)
        assert app.wait_until_ready(READY_S)
        return app

    def stop(self) -> None:
        """Stops the entry instances and the platform."""
        for app in self.entries:
            app.stop()
        self.platform.stop()
