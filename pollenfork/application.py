"""One entry instance: owns every part, starts and stops them in order."""

import logging
import random
import threading

import waitress.server

from pollenfork import clock
from pollenfork import config
from pollenfork import metrics
from pollenfork import scheduler
from pollenfork import timers
from pollenfork.answers import session
from pollenfork.entry import front
from pollenfork.entry import server
from pollenfork.entry import work
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot

_LOG = logging.getLogger(__name__)


class Application:
    """The life of one entry instance."""

    def __init__(self, settings: config.EntryConfig, now: clock.Clock) -> None:
        self._config = settings
        self._clock = now
        self._lookups: snapshot.Snapshot | None = None
        self._stopping = threading.Event()
        self._timers = timers.Timers(now)
        self._metrics = metrics.Metrics()
        self._scheduler = scheduler.Scheduler(
            settings.instance, now, random.Random(), self._timers
        )
        relay = session.Relay(self._scheduler, now)
        worker = work.Worker(self._scheduler, relay, now, settings.body_limit)
        self._front = front.Front(
            worker, self._metrics, self.read_lookups, self.is_ready, None
        )
        self._server: waitress.server.BaseWSGIServer | None = None
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Where callers connect, as `host:port`; known once started."""
        assert self._server is not None
        host, port = self._server.socket.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Starts every part; returns once callers can connect."""
        self._scheduler.start()
        self._timers.start()
        self._server = server.create_server(self._front, self._config)
        self._thread = threading.Thread(
            target=self._server.run, name="server", daemon=True
        )
        self._thread.start()
        _LOG.info(
            "event=started instance=%s listen=%s",
            self._config.instance,
            self.address,
        )

    def stop(self) -> None:
        """Stops every part, the newest first."""
        self._stopping.set()
        if self._server:
            self._server.close()
        self._scheduler.stop()
        self._timers.stop()
        _LOG.info("event=stopped instance=%s", self._config.instance)

    def apply_tree(self, tree: model.Tree) -> None:
        """Takes a settings tree that came into force."""
        self._lookups = snapshot.Snapshot(tree)
        message = settings_messages.TreeInForce(tree, self._lookups)
        self._scheduler.report(message)

    def read_lookups(self) -> snapshot.Snapshot | None:
        """Returns the settings in force, or None before the first."""
        return self._lookups

    def is_ready(self) -> bool:
        """Returns whether new work may come."""
        return not self._stopping.is_set() and self._lookups is not None
