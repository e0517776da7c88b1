"""Where an instance hears of the configuration and of runners."""

import asyncio
from collections.abc import Callable
import random

import msgspec

from pollenfork.catalogue import watch
from pollenfork.gateway import cluster_state
from pollenfork.gateway import edges
from pollenfork.gateway import following
from pollenfork.gateway import peers
from pollenfork.gateway import settings
from pollenfork.gateway import tables
from pollenfork.gateway import version_tracker

# How long the store holds a call when nothing changes, in seconds. The
# configuration's calls also prove that keys still hold, which must be known
# every few seconds; the runners' calls need only be woken.
_CONFIGURATION_WAIT_S = 0.6
# Where another one proves that, calls need only be woken.
_PROVEN_WAIT_S = 20.0
# A relay that stopped hearing of runners without notice would keep its whole
# data centre from hearing of them, so its calls are shorter.
_RUNNERS_WAIT_S = 20.0
_RELAY_RUNNERS_WAIT_S = 4.0
# Without proof for this long an instance asks the store itself, in seconds.
# Where a relay is lost another one is found after 1.2 s; and the store needs
# time to answer before keys are no longer trusted, after 3.8 s.
_HURRY_S = 2.9
# The same for a relay: those that report to it leave it soon after. The first
# relay's proof is 0.6 s old at most, and told after 0.3 s.
_RELAY_HURRY_S = 1.1
# A new relay whose own proof is older than this asks for one at once, as those
# that report to it would call the store themselves soon.
_OVERDUE_S = 1.0
# Pauses after a table's change, in seconds, so that changes in a row wake
# each instance once; short against the bounds of some seconds.
_CONFIGURATION_REST_S = 0.2
_RUNNERS_REST_S = 0.8


class Sources:
    """Follows both tables, at the store or at a relay.

    Attributes:
        tables: What is known, for other instances.
    """

    def __init__(
        self,
        address: settings.Address,
        store: edges.Store,
        known: cluster_state.ClusterState,
        rng: random.Random,
    ) -> None:
        """Takes what it needs.

        Args:
            address: The store's.
            store: Decodes and encodes the store's calls.
            known: Is told what changes.
            rng: Spreads what must not happen everywhere at once.
        """
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._store = store
        self._known = known
        self._rng = rng
        self.tables = tables.Tables()
        self._configuration = self._make_follower(
            tables.Table.CONFIGURATION,
            (_CONFIGURATION_WAIT_S, _CONFIGURATION_REST_S),
            store.write_configuration_ask,
        )
        self._runners = self._make_follower(
            tables.Table.RUNNERS,
            (_RUNNERS_WAIT_S, _RUNNERS_REST_S),
            store.write_runners_ask,
        )
        self._connect()

    def when_configured(self, call: Callable[[], None]) -> None:
        """Calls `call` after each change of the configuration."""
        self._configuration.when_changed(lambda changes: call())

    def start(self) -> list[asyncio.Task[None]]:
        """Begins to follow; returns the tasks to cancel at the end."""
        followers = (self._configuration, self._runners)
        return [self._loop.create_task(each.run()) for each in followers]

    def choose(self, others: peers.Peers) -> None:
        """Decides whether the store is followed, or a relay that does.

        Args:
            others: Tells who relays.
        """
        now = self._loop.time()
        known = self._known
        for follower in (self._configuration, self._runners):
            silent = follower.take_unresponsive()
            if silent is not None:
                others.pass_over(silent)
                known.pass_over(silent)
        prover = others.find_store_poller(now)
        self._guide(others, now)
        proven = prover is not None and known.is_proven_by_others(now)
        self._configuration.set_wait(
            _PROVEN_WAIT_S if proven else _CONFIGURATION_WAIT_S
        )
        if known.configuration_versions.is_behind(now):
            self._configuration.ask_store_now()
        if known.runners_versions.is_behind(now):
            self._runners.ask_store_now()

    def _guide(self, others: peers.Peers, now: float) -> None:
        """Tells both followers whom to ask."""
        known = self._known
        relay = others.find_relay(now)
        age_s = known.freshness.age(now) or 0.0
        relays = relay is None
        followed = relay if known.follows_relay(now) else None
        configuration = _choose_guide(
            known.configuration_versions, followed, others, now
        )
        overdue = configuration.relay is None and age_s > _OVERDUE_S
        self._configuration.set_source(
            msgspec.structs.replace(configuration, at_once=overdue)
        )
        self._runners.set_source(
            _choose_guide(known.runners_versions, followed, others, now)
        )
        self._runners.set_wait(
            _RELAY_RUNNERS_WAIT_S if relays else _RUNNERS_WAIT_S
        )
        if age_s > (_RELAY_HURRY_S if relays else _HURRY_S):
            self._configuration.ask_store_now()

    def _make_follower(
        self,
        table: tables.Table,
        times: tuple[float, float],
        write: following.Write,
    ) -> following.Follower:
        wait_s, rest_s = times
        follower = following.Follower(
            table,
            self._address,
            watch.Watch(self._rng, wait_s),
            rest_s,
            write,
            self._store.read_rows,
        )
        follower.when_changed(lambda changes: self.tables.take(table, changes))
        follower.when_answered(self._known.note_answer)
        follower.when_failed(self._known.note_failure)
        return follower

    def _connect(self) -> None:
        configuration, runners = self._configuration, self._runners
        known = self._known
        configuration.when_changed(known.take_configuration)
        configuration.when_current(known.note_current)
        runners.when_changed(
            lambda changes: known.take_runners(changes, self._loop.time())
        )
        # The runners' call may wait on a path that is gone without notice;
        # the configuration's calls are short enough to tell.
        configuration.when_troubled(lambda lost: runners.ask_store_now())
        # One table is enough to find out that the store is back.
        runners.wait_for(configuration)


def _choose_guide(
    table: version_tracker.VersionTracker,
    relay: settings.Address | None,
    others: peers.Peers,
    now: float,
) -> following.SourceChoice:
    """Returns whom to ask for a table.

    Args:
        table: What is told of it.
        relay: The relay to go by, if any.
        others: Knows where instances listen.
        now: Monotonic seconds.
    """
    newer = table.is_newer_elsewhere
    teller = others.locate(table.teller)
    if relay is None:
        # The store may turn this one away and not the one that told of the
        # news. That is asked, however old its proof: its rows are newer all
        # the same.
        return following.SourceChoice(
            teller if table.is_store_late(now) else None, newer
        )
    if newer and teller is not None and teller != relay:
        if not table.is_relay_late(now):
            return following.SourceChoice(relay)
        return following.SourceChoice(teller, news=True)
    return following.SourceChoice(relay, newer)
