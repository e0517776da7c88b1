"""Tracks which software versions of a service have had runners lately."""

from collections.abc import Iterable
from typing import Any

from pollenfork import ids
from pollenfork.fleet import model as fleet

# Versions that had no runner for longer than this are forgotten, in seconds.
_FORGOTTEN_S = 900.0


class VersionHistory:
    """When each software version of each service was last listed."""

    def __init__(self) -> None:
        self._since: float | None = None
        self._seen: dict[ids.ServiceName, dict[ids.SoftwareVersion, float]] = {}
        # Runners of an unknown version. That of one that has named its start
        # itself is known once its entry is.
        self._unknown: dict[
            ids.ServiceName, dict[fleet.Incarnation, float]
        ] = {}

    def observe(self, runners: Iterable[fleet.Runner], now: float) -> None:
        """Records the runners that are listed now; called regularly.

        Args:
            runners: All runners; called only once they are known.
            now: Monotonic seconds.
        """
        if self._since is None:
            self._since = now
        for runner in runners:
            unknown = self._unknown.setdefault(runner.service, {})
            if runner.version:
                self._seen.setdefault(runner.service, {})[runner.version] = now
                unknown.pop(runner.incarnation, None)
            else:
                unknown[runner.incarnation] = now
        for versions in self._seen.values():
            _forget(versions, now)
        for incarnations in self._unknown.values():
            _forget(incarnations, now)

    def find_only(
        self, service: ids.ServiceName, within_s: float, now: float
    ) -> ids.SoftwareVersion | None:
        """Returns a service's version if it had one alone for so long.

        Args:
            service: The service.
            within_s: How far back, in seconds.
            now: Monotonic seconds.
        """
        if self._since is None or now - self._since < within_s:
            return None
        since = now - within_s
        if any(at >= since for at in self._unknown.get(service, {}).values()):
            return None
        versions = [
            version
            for version, at in self._seen.get(service, {}).items()
            if at >= since
        ]
        return versions[0] if len(versions) == 1 else None


def _forget(seen: dict[Any, float], now: float) -> None:
    """Drops what hasn't been listed for long."""
    for key, at in list(seen.items()):
        if now - at > _FORGOTTEN_S:
            del seen[key]
