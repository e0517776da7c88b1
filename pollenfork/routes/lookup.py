"""Looks up the route, service and account of a request."""

from collections.abc import Mapping
import zlib

from pollenfork import ids
from pollenfork.routes import model

# The shortest target of a forecast service's prompts, in seconds: four times
# the forecast's error.
_MIN_FORECAST_TARGET_S = 1.0


class Lookup:
    """One configuration, indexed for lookups."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, list[model.Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._targets = _collect_targets(configuration)
        self._tiers = {
            service: tuple(sorted(targets))
            for service, targets in self._targets.items()
        }
        self._forecast = _collect_forecast(configuration)
        accounts = (configuration.accounts or {}).values()
        self._route_tiers = 1 + max(
            (route.tier for route in configuration.routes), default=0
        )
        account_tiers = {item.tier or 0 for item in accounts} | {0}
        self._request_tiers = {
            service: tuple(
                sorted(
                    ids.Tier(first * self._route_tiers + tier)
                    for first in account_tiers
                    for tier in route_tiers
                )
            )
            for service, route_tiers in self._tiers.items()
        }

    def find_route(self, host: str, path: str) -> model.Route | None:
        """Returns the host's route with the longest matching prefix.

        Args:
            host: The `Host` header; a port in it is ignored.
            path: The request's path without the query.
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
        """Returns the account that `key` belongs to."""
        accounts = self.configuration.accounts
        if accounts is None or key is None:
            return None
        return accounts.get(key)

    def list_tiers(self, service: ids.ServiceName) -> tuple[ids.Tier, ...]:
        """Returns the tiers of all routes to a service, most urgent first."""
        return self._tiers.get(service, ())

    def list_request_tiers(
        self, service: ids.ServiceName
    ) -> tuple[ids.Tier, ...]:
        """Returns the tiers of all requests to a service, most urgent first.

        They follow from the accounts' tiers and the routes'.
        """
        return self._request_tiers.get(service, ())

    def list_targets(
        self, service: ids.ServiceName
    ) -> Mapping[ids.Tier, float]:
        """Returns the longest target of each tier's routes to a service.

        In seconds; 0 if one of the routes has none.
        """
        return self._targets.get(service, {})

    @property
    def has_forecast(self) -> bool:
        """Whether the configuration has a forecast service."""
        return bool(self._forecast)

    def is_forecast(self, service: ids.ServiceName) -> bool:
        """Returns whether runners are chosen by forecasts of their answers.

        They are if every route with prompts to the service allows enough time
        for the forecast's error. Other services use fixed costs.
        """
        return service in self._forecast

    def get_tier(
        self, route: model.Route, account: model.Account | None
    ) -> ids.Tier:
        """Returns a request's tier: the account's tier, then the route's.

        The route's tier orders requests whose accounts have the same tier.
        """
        if account is None or account.tier is None:
            return route.tier
        return ids.Tier(account.tier * self._route_tiers + route.tier)

    def needs_key(self, route: model.Route) -> bool:
        """Returns whether the route's requests must present an API key."""
        return self.configuration.accounts is not None and not route.public


def _collect_targets(
    configuration: model.Configuration,
) -> dict[ids.ServiceName, dict[ids.Tier, float]]:
    targets: dict[ids.ServiceName, dict[ids.Tier, float]] = {}
    for route in configuration.routes:
        for target in route.targets:
            known = targets.setdefault(target.service, {})
            longest = known.get(route.tier, route.target_s)
            unlimited = not route.target_s or not longest
            known[route.tier] = (
                0.0 if unlimited else max(longest, route.target_s)
            )
    return targets


def _collect_forecast(
    configuration: model.Configuration,
) -> set[ids.ServiceName]:
    shortest: dict[ids.ServiceName, float] = {}
    for route in configuration.routes:
        if not route.prefix_affinity:
            continue
        for target in route.targets:
            known = shortest.get(target.service, route.target_s)
            shortest[target.service] = min(known, route.target_s)
    return {
        service
        for service, target_s in shortest.items()
        if target_s >= _MIN_FORECAST_TARGET_S
    }


def choose_service(route: model.Route, token: bytes) -> ids.ServiceName:
    """Returns the service that serves the request identified by `token`.

    The choice depends on the token alone, so a request keeps its service
    whichever instance it reaches.
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
