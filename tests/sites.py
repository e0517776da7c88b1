"""Whole sites for tests: platform stand-in, engines, entry instances."""

import random
import threading

import msgspec

from pollenfork import application
from pollenfork import clock
from pollenfork import config
from pollenfork.platform import client
from pollenfork.settings import changes
from pollenfork.settings import model
from pollenfork.settings import paths
from pollenfork.settings import snapshot
from pollenfork.settings import writer
from pollenfork.standin.platform import config as platform_config
from pollenfork.standin.platform import front as platform_front

KEY = "crew-key"
OPERATOR = "operator-token"
READY_S = 20.0


def make_tree(addresses: list[str], **root: object) -> model.Tree:
    """Returns a tree of one team before runners at these addresses."""
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


def to_json(value: object) -> object:
    """Returns the value as it would come from JSON."""
    return msgspec.json.decode(msgspec.json.encode(value))


class Site:
    """A platform stand-in and entry instances; closes what it started."""

    def __init__(self) -> None:
        self.platform = platform_front.PlatformStandin(
            platform_config.PlatformConfig(), clock.SystemClock()
        )
        self.platform_address = self.platform.start()
        self.entries: list[application.Application] = []

    def write_tree(self, tree: model.Tree) -> None:
        """Writes the first tree."""
        table = client.HttpTable(client.Channel(self.platform_address))
        digest = snapshot.hash_key(OPERATOR)
        written = writer.Writer(
            table,
            clock.SystemClock(),
            random.Random(1),
            wait=lambda seconds: None,
            get_in_force=lambda: None,
            first_operators=(digest,),
        ).write(
            changes.Change(
                path=paths.SettingsPath(""),
                value={
                    "root": to_json(tree.root),
                    "teams": to_json(tree.teams),
                },
                expected=0,
                write_id="first",
                operator=digest,
            )
        )
        written.unwrap()

    def start_entry(
        self, name: str = "entry-1", **settings: object
    ) -> application.Application:
        """Starts an entry instance and waits until it is ready."""
        chosen = {
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
                **chosen,
            ),
            clock.SystemClock(),
        )
        ready = threading.Event()
        app.settings.subscribe(lambda message: ready.set())
        app.start()
        self.entries.append(app)
        assert ready.wait(READY_S)
        return app

    def stop(self) -> None:
        """Stops everything."""
        for app in self.entries:
            app.stop()
        self.platform.stop()
