"""An instance's view of the configuration and the runners."""

import collections
from collections.abc import Callable
import logging

import result

from pollenfork import ids
from pollenfork import logs
from pollenfork import versions
from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import outages
from pollenfork.fleet import errors as fleet_errors
from pollenfork.fleet import registry
from pollenfork.gateway import configuration_tracker
from pollenfork.gateway import edges
from pollenfork.gateway import settings
from pollenfork.gateway import version_tracker
from pollenfork.loads import messages
from pollenfork.routes import freshness
from pollenfork.routes import lookup
from pollenfork.routes import model as routes

_LOG = logging.getLogger(__name__)


class ClusterState:
    """Decodes rows of the store and holds the state that they describe.

    Attributes:
        lookup: The configuration in force; None before the first.
        freshness: How old the configuration may be.
        runners: The runners of all services.
        has_runners: Whether the registry has been read completely.
        refused_entries: The number of rows that were no valid runner entries,
            by fault.
        configuration_versions: Versions of the configuration, here and at
            peers.
        runners_versions: Versions of the runners' table, here and at peers.
    """

    # The maximum age of a relay's proof, in seconds, for other instances to
    # rely on the relay. A change must be in force 2 s after the store has it,
    # which leaves time to ask the store if the relay doesn't receive the
    # change.
    _RELAY_PROOF_LIMIT_S = 1.5
    # The maximum age of peers' proof, in seconds, for a relay to let the store
    # hold its calls.
    _PEER_PROOF_LIMIT_S = 1.0

    def __init__(
        self,
        store: edges.Store,
        revocation_s: float | None,
        heartbeat_s: float = settings.HEARTBEAT_S,
    ) -> None:
        self._store = store
        self._outages = outages.Outages(heartbeat_s)
        self.refused_entries: collections.Counter[fleet_errors.EntryFault] = (
            collections.Counter()
        )
        self.lookup: lookup.Lookup | None = None
        self.freshness = freshness.Freshness(revocation_s)
        self.runners = registry.Registry()
        self.has_runners = False
        self._on_restored: list[Callable[[], None]] = []
        self._status_at: float | None = None
        self.configuration_versions = (
            configuration_tracker.ConfigurationTracker()
        )
        self.runners_versions = version_tracker.VersionTracker()

    def when_restored(self, call: Callable[[], None]) -> None:
        """Registers a callback for restorations of the store from a copy."""
        self._on_restored.append(call)

    def record_current(self, moment: float) -> None:
        """Records this instance's own proof of a current configuration.

        The store may have been restored from a copy that lacks what a peer has.
        """
        if not self.configuration_versions.is_superseded:
            self.freshness.record_current(moment)

    def record_store_failure(self, sent_at: float) -> None:
        """Records that the store didn't answer a call sent at that time."""
        self._outages.record_failure(sent_at)

    def record_store_answer(self, moment: float) -> None:
        """Records when the store answered this or another instance."""
        until = self._outages.record_answer(moment)
        if until is None:
            return
        self.runners.keep_removed_until(until)
        _LOG.info("event=outage_over kept_for_ms=%d", (until - moment) * 1000)

    def make_store_status(self, now: float) -> messages.StoreStatus | None:
        """Returns the versions known here and the age of their proof.

        The proof may originate from another instance. Each instance that
        forwards it measures its age from before it was sent, so the age only
        grows on the way, even if the proof comes back to its origin.
        """
        age_s = self.freshness.age(now)
        if age_s is None:
            return None
        configuration = self.configuration_versions.last_change
        runners = self.runners_versions.last_change
        return messages.StoreStatus(
            versions.get_number(configuration),
            versions.get_number(runners),
            age_s,
            self._outages.read_age(now),
            versions.get_epoch(configuration),
            versions.get_epoch(runners),
            self.configuration_versions.in_force,
        )

    def record_store_status(
        self, status: messages.StoreStatus, moment: float, sender: str
    ) -> None:
        """Records which versions a relay has read and proven current.

        Args:
            status: The versions.
            moment: The time up to which they were proven to be current, in
                monotonic seconds of this process.
            sender: The relay's host.
        """
        self.record_store_versions(status, sender)
        self.record_store_answer(moment)
        if self._status_at is None or moment > self._status_at:
            self._status_at = moment
        announced = status.configuration_version
        through = self.configuration_versions.through
        # What was the newest in an earlier epoch may not be so in this one.
        if announced <= through and versions.is_same_epoch(announced, through):
            self.record_current(moment)

    def record_store_versions(
        self, status: messages.StoreStatus, sender: str
    ) -> None:
        """Records which versions another instance has read, at any time."""
        self.configuration_versions.record_announced(
            status.configuration_version, sender
        )
        self.configuration_versions.record_in_force(status.in_force, sender)
        self.runners_versions.record_announced(status.runners_version, sender)

    def pass_over(self, sender: str) -> None:
        """Skips an instance that doesn't answer."""
        self.configuration_versions.pass_over(sender)
        self.runners_versions.pass_over(sender)

    def follows_relay(self, now: float) -> bool:
        """Returns whether a relay's proof is recent enough to rely on it."""
        return self._is_proof_within(self._RELAY_PROOF_LIMIT_S, now)

    def is_proven_by_others(self, now: float) -> bool:
        """Returns whether peers' proof is recent enough to need no own."""
        return self._is_proof_within(self._PEER_PROOF_LIMIT_S, now)

    def _is_proof_within(self, limit_s: float, now: float) -> bool:
        at = self._status_at
        return at is not None and now - at < limit_s

    def read_configuration_version(self, row: catalogue.Row) -> int | None:
        """Returns the operators' version that a row holds, if it does."""
        read = self._store.decode_configuration(row)
        return read.ok_value.version if isinstance(read, result.Ok) else None

    def read_runner_start(self, row: catalogue.Row) -> int | None:
        """Returns the start of a row's runner, if the row is valid."""
        read = self._store.decode_runner(row)
        return read.ok_value.start if isinstance(read, result.Ok) else None

    def take_configuration(self, changes: catalogue.Changes) -> None:
        """Puts a newer configuration in force."""
        self.configuration_versions.take(changes)
        for row in changes.superseded:
            version = self.read_configuration_version(row)
            if version is not None:
                self._log_older(version, row, changes.source)
        for row in changes.rows:
            read = self._store.decode_configuration(row)
            if read is None:
                continue
            if isinstance(read, result.Err):
                _LOG.error(
                    "event=configuration_unreadable version=%d detail=%r",
                    versions.get_number(row.version),
                    read.err_value.detail,
                )
                continue
            configuration = read.ok_value
            if self._is_older(configuration.version):
                self._log_older(configuration.version, row, changes.source)
                continue
            self.lookup = lookup.Lookup(configuration)
            self.configuration_versions.in_force = configuration.version
            _LOG.info(
                "event=configuration_in_force version=%d row=%d epoch=%d "
                "routes=%d tiered_accounts=%s way=%s",
                configuration.version,
                versions.get_number(row.version),
                versions.get_epoch(row.version),
                len(configuration.routes),
                _describe_tiers(configuration),
                changes.source.value,
            )

    def take_runners(self, changes: catalogue.Changes, now: float) -> None:
        """Applies added, changed and removed runner entries."""
        self._begin_epoch(changes, now)
        self.has_runners = True
        self.runners_versions.take(changes)
        for row in changes.superseded:
            _log_outdated(row, self.read_runner_start(row))
        for row in changes.rows:
            if row.removed:
                self._remove_runner(row, changes.source, now)
                continue
            read = self._store.decode_runner(row)
            if isinstance(read, result.Err):
                self._refuse_entry(row, read.err_value)
                continue
            arrival = self.runners.put(read.ok_value)
            if not arrival.in_use:
                _log_outdated(row, read.ok_value.start)
                continue
            _LOG.info(
                "event=runner_known runner=%s service=%s leaving=%s row=%d "
                "restarted=%s way=%s",
                row.key,
                read.ok_value.service,
                read.ok_value.leaving,
                versions.get_number(row.version),
                arrival is registry.PutResult.RESTARTED,
                changes.source.value,
            )

    def _begin_epoch(self, changes: catalogue.Changes, now: float) -> None:
        """Prepares the registry if the store was restored from a copy."""
        through = self.runners_versions.through
        if not self.has_runners or versions.is_same_epoch(
            changes.through, through
        ):
            return
        self.runners.begin_epoch(now, now + outages.LAPSE_S)
        _LOG.warning(
            "event=store_restored epoch=%d version=%d before=%d",
            versions.get_epoch(changes.through),
            versions.get_number(changes.through),
            versions.get_number(through),
        )
        for call in self._on_restored:
            call()

    def expire_runners(self, now: float) -> None:
        """Drops runners whose entries expired and were not renewed in time."""
        for runner in self.runners.expire(now):
            _LOG.info("event=runner_gone runner=%s row=- kept=True", runner)

    def _remove_runner(
        self, row: catalogue.Row, way: catalogue.ChangeSource, now: float
    ) -> None:
        runner = ids.EndpointId(row.key)
        removal = self.runners.remove(runner, now)
        if removal is registry.RemoveResult.KEPT:
            until = self.runners.get_kept_until(runner) or now
            _LOG.info(
                "event=runner_kept runner=%s row=%d for_ms=%d way=%s",
                logs.quote_value(row.key),
                versions.get_number(row.version),
                (until - now) * 1000,
                way.value,
            )
            return
        _LOG.info(
            "event=runner_gone runner=%s row=%d way=%s",
            logs.quote_value(row.key),
            versions.get_number(row.version),
            way.value,
        )

    def _refuse_entry(
        self, row: catalogue.Row, bad: fleet_errors.BadEntry
    ) -> None:
        """Drops the runner of an entry that can no longer be decoded."""
        self.runners.drop(ids.EndpointId(row.key))
        self.refused_entries[bad.fault] += 1
        _LOG.error(
            "event=runner_unreadable runner=%s row=%d reason=%s detail=%s",
            logs.quote_value(row.key),
            versions.get_number(row.version),
            bad.fault.value,
            logs.quote_value(bad.detail),
        )

    def _log_older(
        self, version: int, row: catalogue.Row, way: catalogue.ChangeSource
    ) -> None:
        in_force = self.lookup.configuration.version if self.lookup else 0
        _LOG.warning(
            "event=configuration_older version=%d in_force=%d row=%d epoch=%d "
            "way=%s",
            version,
            in_force,
            versions.get_number(row.version),
            versions.get_epoch(row.version),
            way.value,
        )

    def _is_older(self, version: int) -> bool:
        known = self.lookup
        return known is not None and version < known.configuration.version


def _log_outdated(row: catalogue.Row, start: int | None) -> None:
    _LOG.info(
        "event=runner_outdated runner=%s row=%d start=%s",
        row.key,
        versions.get_number(row.version),
        start,
    )


def _describe_tiers(configuration: routes.Configuration) -> str:
    accounts = {
        account.id: account.tier
        for account in (configuration.accounts or {}).values()
    }
    tiers = sorted(tier for tier in accounts.values() if tier is not None)
    return f"{','.join(map(str, tiers)) or '-'}/{len(accounts)}"
