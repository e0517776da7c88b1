"""Finds a request's route, service and account."""

import zlib

from pollenfork import ids
from pollenfork.routes import model


class Lookup:
    """One configuration, arranged for finding."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, list[model.Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._tiers = _collect_tiers(configuration)
        accounts = (configuration.accounts or {}).values()
        self._last_account_tier = max(
            (each.tier for each in accounts if each.tier is not None),
            default=0,
        )
        self._route_tiers = 1 + max(
            (route.tier for route in configuration.routes), default=0
        )

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of the host's routes.

        Args:
            host: The `Host` header; its port, if any, doesn't matter.
            path: The request's path without its query.
        """
        name = host.lower()
        routes = self._hosts.get(name)
        if routes is None:
            routes = self._hosts.get(name.rpartition(":")[0], [])
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str | None) -> model.Account | None:
        """Returns the account that holds `key`."""
        accounts = self.configuration.accounts
        if accounts is None or key is None:
            return None
        return accounts.get(key)

    def list_tiers(self, service: ids.ServiceName) -> tuple[ids.Tier, ...]:
        """Returns the tiers of all routes to a service, most urgent first."""
        return self._tiers.get(service, ())

    def get_tier(
        self, route: model.Route, account: model.Account | None
    ) -> ids.Tier:
        """Returns a request's urgency; the account's tier goes first.

        Among requests of accounts of one tier, the route's tier decides.
        """
        if account is None or account.tier is None:
            return route.tier
        return ids.Tier(account.tier * self._route_tiers + route.tier)

    def has_priority(self, account: model.Account | None) -> bool:
        """Returns whether an account is more urgent than some others."""
        if account is None or account.tier is None:
            return False
        return account.tier < self._last_account_tier

    def needs_key(self, route: model.Route) -> bool:
        """Returns whether the route's requests must show a key."""
        return self.configuration.accounts is not None and not route.public


def _collect_tiers(
    configuration: model.Configuration,
) -> dict[ids.ServiceName, tuple[ids.Tier, ...]]:
    tiers: dict[ids.ServiceName, set[ids.Tier]] = {}
    for route in configuration.routes:
        for target in route.targets:
            tiers.setdefault(target.service, set()).add(route.tier)
    return {service: tuple(sorted(found)) for service, found in tiers.items()}


def choose_service(route: model.Route, token: bytes) -> ids.ServiceName:
    """Returns the service that serves the request named by `token`.

    Every instance makes the same choice for the same token, so a split is
    kept by requests, whichever instance they reach.
    """
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    total = sum(target.weight for target in targets)
    point = zlib.crc32(token) / 2**32 * total
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service
