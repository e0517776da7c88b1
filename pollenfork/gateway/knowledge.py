"""What an instance knows of the configuration and of the runners."""

import collections
import logging

import result

from pollenfork import ids
from pollenfork import logs
from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import outages
from pollenfork.fleet import errors as fleet_errors
from pollenfork.fleet import registry
from pollenfork.gateway import edges
from pollenfork.gateway import news
from pollenfork.gateway import settings
from pollenfork.loads import messages
from pollenfork.routes import freshness
from pollenfork.routes import lookup
from pollenfork.routes import model as routes

_LOG = logging.getLogger(__name__)


class Knowledge:
    """Takes rows of the store; answers what they mean.

    Attributes:
        lookup: The configuration in force; None before the first.
        freshness: How old it may be.
        runners: The runners of all services.
        has_runners: Whether the registry has been read whole.
        refused_entries: How many rows named no runner, by why.
        configuration_news: What is told of the configuration's changes.
        runners_news: What is told of the runners' changes.
    """

    # How old a relay's proof may be for others to go by its word. News must be
    # in force 2 s after the store has it, and the store still has to be asked
    # where the relay doesn't hear it.
    _RELAY_S = 1.5
    # How old others' proof may be for a relay to let the store hold its calls.
    _PROVEN_S = 1.0

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
        self._proof_at: float | None = None
        self.configuration_news = news.TableNews()
        self.runners_news = news.TableNews()

    def note_current(self, moment: float) -> None:
        """Takes this instance's own proof that the configuration is current."""
        self.freshness.vouch(moment)

    def note_failure(self, sent_at: float) -> None:
        """Takes a call that the store didn't answer, sent at that moment."""
        self._outages.record_failure(sent_at)

    def note_answer(self, moment: float) -> None:
        """Takes a moment at which the store answered this or another one."""
        until = self._outages.record_answer(moment)
        if until is None:
            return
        self.runners.keep_until(until)
        _LOG.info("event=outage_over kept_for_ms=%d", (until - moment) * 1000)

    def write_proof(self, now: float) -> messages.StoreStatus | None:
        """Returns what this instance knows and up to when that was proven.

        The proof may be another's. Each that passes it on counts from before
        it was told, so it only grows older on its way, also in a circle.
        """
        age_s = self.freshness.age(now)
        if age_s is None:
            return None
        return messages.StoreStatus(
            self.configuration_news.last_change,
            self.runners_news.last_change,
            age_s,
            self._outages.read_age(now),
        )

    def take_proof(
        self, proof: messages.StoreStatus, moment: float, teller: str
    ) -> None:
        """Takes what a relay has read and up to when it was surely current.

        Args:
            proof: What it has read.
            moment: Monotonic seconds here.
            teller: The relay's host.
        """
        self.take_versions(proof, teller)
        self.note_answer(moment)
        if self._proof_at is None or moment > self._proof_at:
            self._proof_at = moment
        if proof.configuration <= self.configuration_news.through:
            self.freshness.vouch(moment)

    def take_versions(self, proof: messages.StoreStatus, teller: str) -> None:
        """Takes what another instance has read, whenever that was."""
        self.configuration_news.take_word(proof.configuration, teller)
        self.runners_news.take_word(proof.runners, teller)

    def pass_over(self, teller: str) -> None:
        """Takes that another instance doesn't answer."""
        self.configuration_news.pass_over(teller)
        self.runners_news.pass_over(teller)

    def follows_relay(self, now: float) -> bool:
        """Returns whether a relay's word is recent enough to go by."""
        return self._is_proof_within(self._RELAY_S, now)

    def is_proven_by_others(self, now: float) -> bool:
        """Returns whether others' proof is recent enough to need no own."""
        return self._is_proof_within(self._PROVEN_S, now)

    def _is_proof_within(self, limit_s: float, now: float) -> bool:
        at = self._proof_at
        return at is not None and now - at < limit_s

    def take_configuration(self, changes: catalogue.Changes) -> None:
        """Puts a newer configuration in force."""
        self.configuration_news.take(changes)
        for row in changes.rows:
            read = self._store.read_configuration(row)
            if read is None:
                continue
            if isinstance(read, result.Err):
                _LOG.error(
                    "event=configuration_unreadable version=%d detail=%r",
                    row.version,
                    read.err_value.detail,
                )
                continue
            configuration = read.ok_value
            if self._is_older(configuration.version):
                _LOG.warning(
                    "event=configuration_older version=%d",
                    configuration.version,
                )
                continue
            self.lookup = lookup.Lookup(configuration)
            _LOG.info(
                "event=configuration_in_force version=%d row=%d routes=%d "
                "tiered_accounts=%s way=%s",
                configuration.version,
                row.version,
                len(configuration.routes),
                _describe_tiers(configuration),
                changes.source.value,
            )

    def take_runners(self, changes: catalogue.Changes, now: float) -> None:
        """Takes runners that came, changed or left."""
        self.has_runners = True
        self.runners_news.take(changes)
        for row in changes.rows:
            if row.removed:
                self._remove_runner(row, changes.source, now)
                continue
            read = self._store.read_runner(row)
            if isinstance(read, result.Err):
                self._refuse_entry(row, read.err_value)
                continue
            arrival = self.runners.put(read.ok_value)
            if arrival is registry.Arrival.OUTDATED:
                _LOG.info(
                    "event=runner_outdated runner=%s row=%d start=%s",
                    row.key,
                    row.version,
                    read.ok_value.start,
                )
                continue
            _LOG.info(
                "event=runner_known runner=%s service=%s leaving=%s row=%d "
                "restarted=%s way=%s",
                row.key,
                read.ok_value.service,
                read.ok_value.leaving,
                row.version,
                arrival is registry.Arrival.RESTARTED,
                changes.source.value,
            )

    def expire_runners(self, now: float) -> None:
        """Drops the runners whose entries lapsed and didn't come back."""
        for runner in self.runners.expire(now):
            _LOG.info("event=runner_gone runner=%s row=- kept=True", runner)

    def _remove_runner(
        self, row: catalogue.Row, way: catalogue.ChangeSource, now: float
    ) -> None:
        runner = ids.EndpointId(row.key)
        removal = self.runners.remove(runner, now)
        if removal is registry.Removal.KEPT:
            until = self.runners.read_kept_until(runner) or now
            _LOG.info(
                "event=runner_kept runner=%s row=%d for_ms=%d way=%s",
                logs.write_value(row.key),
                row.version,
                (until - now) * 1000,
                way.value,
            )
            return
        _LOG.info(
            "event=runner_gone runner=%s row=%d way=%s",
            logs.write_value(row.key),
            row.version,
            way.value,
        )

    def _refuse_entry(
        self, row: catalogue.Row, bad: fleet_errors.BadEntry
    ) -> None:
        """Takes an entry that names no runner, nor one that it did before."""
        self.runners.drop(ids.EndpointId(row.key))
        self.refused_entries[bad.fault] += 1
        _LOG.error(
            "event=runner_unreadable runner=%s row=%d reason=%s detail=%s",
            logs.write_value(row.key),
            row.version,
            bad.fault.value,
            logs.write_value(bad.detail),
        )

    def _is_older(self, version: int) -> bool:
        known = self.lookup
        return known is not None and version < known.configuration.version


def _describe_tiers(configuration: routes.Configuration) -> str:
    accounts = {
        account.id: account.tier
        for account in (configuration.accounts or {}).values()
    }
    tiers = sorted(tier for tier in accounts.values() if tier is not None)
    return f"{','.join(map(str, tiers)) or '-'}/{len(accounts)}"
