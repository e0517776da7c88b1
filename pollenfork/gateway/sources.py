"""Chooses from where an instance reads the configuration and the runners."""

import asyncio
from collections.abc import Callable
import random

import msgspec

from pollenfork.catalogue import known_rows
from pollenfork.catalogue import watch
from pollenfork.gateway import cluster_state
from pollenfork.gateway import consultation
from pollenfork.gateway import edges
from pollenfork.gateway import following
from pollenfork.gateway import peers
from pollenfork.gateway import settings
from pollenfork.gateway import tables
from pollenfork.gateway import version_tracker

# For how many seconds the store may hold a call when nothing changes. The
# configuration's calls also prove that keys are still valid, which must be
# known every few seconds; the runners' calls only have to return on a change.
_CONFIGURATION_WAIT_S = 0.6
# While another instance provides that proof, the configuration's calls only
# have to return on a change as well.
_PROVEN_WAIT_S = 20.0
# A relay that stopped receiving changes of runners without noticing would cut
# off its whole data centre, so its calls are shorter.
_RUNNERS_WAIT_S = 20.0
_RELAY_RUNNERS_WAIT_S = 4.0
# After this many seconds without proof an instance asks the store itself. If a
# relay is lost, another one is chosen after 1.2 s; and the store needs time to
# answer before keys are no longer trusted, after 3.8 s.
_PROOF_TIMEOUT_S = 2.9
# The same for a relay, as its reporters stop relying on it soon after. The
# first relay's proof is at most 0.6 s old, and arrives within 0.3 s.
_RELAY_PROOF_TIMEOUT_S = 1.1
# A new relay whose own proof is older than this asks for one immediately, as
# its reporters would otherwise soon call the store themselves.
_OVERDUE_S = 1.0
# Pauses after a change of a table, in seconds, so that consecutive changes
# reach each instance in one answer. They are short compared to the bounds of
# some seconds within which changes must be in force.
_CONFIGURATION_REST_S = 0.2
_RUNNERS_REST_S = 0.6


class Sources:
    """Follows both tables, at the store or at a relay.

    Attributes:
        tables: The copies of the tables that other instances may request.
    """

    def __init__(
        self,
        address: settings.Address,
        store: edges.Store,
        state: cluster_state.ClusterState,
        rng: random.Random,
    ) -> None:
        """Creates followers of both tables; `start` runs them.

        Args:
            address: The store's address.
            store: Decodes and encodes the store's calls.
            state: Receives the changes.
            rng: Spreads retries of many instances over time.
        """
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._store = store
        self._state = state
        self._rng = rng
        self.tables = tables.Tables()
        self._consultation = consultation.Consultation(self._loop.time())
        self._peer_exchange: peers.Peers | None = None
        # Up to when the store said that the configuration is current.
        self._confirmed_at = 0.0
        self._configuration = self._make_follower(
            tables.Table.CONFIGURATION,
            (_CONFIGURATION_WAIT_S, _CONFIGURATION_REST_S),
            store.encode_configuration_read,
            known_rows.KnownRows(
                state.read_configuration_version, removable=False
            ),
        )
        self._runners = self._make_follower(
            tables.Table.RUNNERS,
            (_RUNNERS_WAIT_S, _RUNNERS_REST_S),
            store.encode_runners_read,
            known_rows.KnownRows(state.read_runner_start),
        )
        self._connect()

    def when_configured(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each change of the configuration."""
        self._configuration.when_changed(lambda changes: callback())

    def start(self) -> list[asyncio.Task[None]]:
        """Starts to follow; returns the tasks to cancel at the end."""
        followers = (self._configuration, self._runners)
        return [self._loop.create_task(each.run()) for each in followers]

    def choose(self, peer_exchange: peers.Peers) -> None:
        """Chooses whether to follow the store or a relay.

        Args:
            peer_exchange: Knows which instances are relays.
        """
        now = self._loop.time()
        state = self._state
        self._peer_exchange = peer_exchange
        self._release_proof(now)
        for follower in (self._configuration, self._runners):
            unresponsive = follower.take_unresponsive()
            if unresponsive is not None:
                peer_exchange.pass_over(unresponsive)
                state.pass_over(unresponsive)
        without_news = self._configuration.take_without_news()
        if without_news is not None:
            state.configuration_versions.refute(without_news)
        state.configuration_versions.expire(now)
        poller = peer_exchange.find_store_poller(now)
        self._update_sources(peer_exchange, now)
        proven = poller is not None and state.is_proven_by_others(now)
        self._configuration.set_wait(
            _PROVEN_WAIT_S if proven else _CONFIGURATION_WAIT_S
        )
        if state.configuration_versions.is_behind(now):
            self._configuration.ask_store_now()
        if state.runners_versions.is_behind(now):
            self._runners.ask_store_now()

    def _update_sources(self, peer_exchange: peers.Peers, now: float) -> None:
        """Sets where both followers fetch their tables from."""
        state = self._state
        relay = peer_exchange.find_relay(now)
        # Proof that is held back is no reason to ask again.
        age_s = min(state.freshness.age(now) or 0.0, now - self._confirmed_at)
        relays = relay is None
        followed = relay if state.follows_relay(now) else None
        configuration = _choose_source(
            state.configuration_versions, followed, peer_exchange, now
        )
        overdue = configuration.relay is None and age_s > _OVERDUE_S
        self._configuration.set_source(
            msgspec.structs.replace(configuration, at_once=overdue)
        )
        self._runners.set_source(
            _choose_source(state.runners_versions, followed, peer_exchange, now)
        )
        self._runners.set_wait(
            _RELAY_RUNNERS_WAIT_S if relays else _RUNNERS_WAIT_S
        )
        if age_s > (_RELAY_PROOF_TIMEOUT_S if relays else _PROOF_TIMEOUT_S):
            self._configuration.ask_store_now()

    def _make_follower(
        self,
        table: tables.Table,
        times: tuple[float, float],
        write: following.Write,
        known: known_rows.KnownRows,
    ) -> following.Follower:
        wait_s, cooldown_s = times
        follower = following.Follower(
            table,
            self._address,
            watch.Watch(self._rng, wait_s, known),
            cooldown_s,
            write,
            self._store.decode_rows,
        )
        follower.when_changed(lambda changes: self.tables.take(table, changes))
        follower.when_answered(self._state.record_store_answer)
        follower.when_failed(self._state.record_store_failure)
        return follower

    def _connect(self) -> None:
        configuration, runners = self._configuration, self._runners
        state = self._state
        configuration.when_changed(state.take_configuration)
        configuration.when_current(self._on_current)
        configuration.when_failed(lambda sent_at: self._consultation.begin())
        runners.when_changed(
            lambda changes: state.take_runners(changes, self._loop.time())
        )
        # The runners' call may be waiting on a connection that has broken
        # unnoticed; the configuration's calls are short enough to detect it.
        configuration.when_outage_changed(lambda lost: runners.ask_store_now())
        configuration.when_epoch_began(runners.begin_epoch)
        runners.when_epoch_began(configuration.begin_epoch)
        # One follower is enough to find out that the store is back.
        runners.defer_to(configuration)

    def _on_current(self, moment: float) -> None:
        now = self._loop.time()
        self._confirmed_at = max(self._confirmed_at, moment)
        is_first = not self._consultation.holds_proof
        self._consultation.offer(moment, now)
        self._release_proof(now)
        is_held = self._consultation.holds_proof
        if is_held and is_first and self._peer_exchange is not None:
            self._peer_exchange.greet_lost()

    def _release_proof(self, now: float) -> None:
        """Records the store's proof once peers had time to supersede it."""
        if not self._consultation.holds_proof:
            return
        peer_exchange = self._peer_exchange
        moment = self._consultation.release(
            now,
            self._is_in_touch(now),
            peer_exchange is not None and peer_exchange.expects_relays(now),
        )
        if moment is not None:
            self._state.record_current(moment)

    def _is_in_touch(self, now: float) -> bool:
        """Returns whether peers could name a newer configuration."""
        if self._state.follows_relay(now):
            return True
        return self._peer_exchange is not None and (
            self._peer_exchange.hears_others(now)
        )


def _choose_source(
    table: version_tracker.VersionTracker,
    relay: settings.Address | None,
    peer_exchange: peers.Peers,
    now: float,
) -> following.SourceChoice:
    """Returns where to fetch a table from.

    Args:
        table: The versions of the table, here and at peers.
        relay: The relay to rely on, if any.
        peer_exchange: Knows the addresses of instances.
        now: Monotonic seconds.
    """
    newer = table.is_newer_elsewhere
    sender = peer_exchange.locate(table.sender)
    if relay is None:
        # The store may refuse this instance but not the one that announced the
        # newer version. That one is asked, regardless of the age of its proof,
        # because its rows are newer in any case.
        return following.SourceChoice(
            sender if table.is_store_late(now) else None, newer
        )
    if newer and sender is not None and sender != relay:
        if not table.is_relay_late(now):
            return following.SourceChoice(relay)
        return following.SourceChoice(sender, is_newer=True)
    return following.SourceChoice(relay, newer)
