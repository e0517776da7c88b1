"""What an instance knows of the configuration and of the runners."""

import logging

import result

from pollenfork import ids
from pollenfork.catalogue import messages as catalogue
from pollenfork.fleet import registry
from pollenfork.gateway import edges
from pollenfork.routes import freshness
from pollenfork.routes import lookup

_LOG = logging.getLogger(__name__)


class Knowledge:
    """Takes rows of the store; answers what they mean.

    Attributes:
        lookup: The configuration in force; None before the first.
        freshness: How old it may be.
        runners: The runners of all services.
        has_runners: Whether the registry has been read whole.
    """

    def __init__(self, store: edges.Store, revocation_s: float | None) -> None:
        self._store = store
        self.lookup: lookup.Lookup | None = None
        self.freshness = freshness.Freshness(revocation_s)
        self.runners = registry.Registry()
        self.has_runners = False

    def is_ready(self, now: float) -> bool:
        """Returns whether requests can be served."""
        return (
            self.lookup is not None
            and self.has_runners
            and self.freshness.trusts_keys(now)
        )

    def take_configuration(self, changes: catalogue.Changes) -> None:
        """Puts a newer configuration in force."""
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
                "event=configuration_in_force version=%d row=%d routes=%d",
                configuration.version,
                row.version,
                len(configuration.routes),
            )

    def take_runners(self, changes: catalogue.Changes, now: float) -> None:
        """Takes runners that came, changed or left."""
        self.has_runners = True
        for row in changes.rows:
            if row.removed:
                self.runners.remove(ids.EndpointId(row.key), now)
                _LOG.info("event=runner_gone runner=%s", row.key)
                continue
            read = self._store.read_runner(row)
            if isinstance(read, result.Err):
                _LOG.error(
                    "event=runner_unreadable runner=%s detail=%r",
                    row.key,
                    read.err_value.detail,
                )
                continue
            self.runners.put(read.ok_value)
            _LOG.info(
                "event=runner_known runner=%s service=%s leaving=%s row=%d",
                row.key,
                read.ok_value.service,
                read.ok_value.leaving,
                row.version,
            )

    def _is_older(self, version: int) -> bool:
        known = self.lookup
        return known is not None and version < known.configuration.version
