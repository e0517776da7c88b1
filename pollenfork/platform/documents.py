"""The operator's configuration, decoded."""

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.routes import model as routes


class BadDocument(failures.Failure, frozen=True, kw_only=True):
    """A row of the store doesn't hold what it should."""


class _Wire(msgspec.Struct, rename="kebab"):
    """A JSON object whose names are written with hyphens."""


class _Split(_Wire):
    service: str
    weight: float = 1.0


class _Route(_Wire):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 5
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    target_gap_ms: float = 0.0


class _Engine(_Wire):
    slots: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class _Scaling(_Wire):
    min_replicas: int = 0
    max_replicas: int = 0
    boot_time_s: float = 0.0
    spot_price: float | None = None
    zone_prices: dict[ids.DataCentre, float] = {}


class _Service(_Wire):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(_Wire):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(_Wire):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_Wire):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_KINDS = {
    "safe": routes.Kind.REPEATABLE,
    "unsafe": routes.Kind.AT_MOST_ONCE,
    "stream": routes.Kind.STREAM,
}
_CONFIG = msgspec.json.Decoder(_Config)


def decode_configuration(
    value: bytes,
) -> result.Result[routes.Configuration, BadDocument]:
    """Decodes the operator's configuration."""
    try:
        wire = _CONFIG.decode(value)
        configuration = _make_configuration(wire)
    except (msgspec.MsgspecError, KeyError) as error:
        return result.Err(BadDocument(detail=f"configuration: {error}"))
    return result.Ok(configuration)


def _make_configuration(wire: _Config) -> routes.Configuration:
    limits = wire.limits
    return routes.Configuration(
        version=wire.version,
        routes=tuple(_make_route(route) for route in wire.routes),
        services={
            ids.ServiceName(service.name): _make_service(service)
            for service in wire.services
        },
        limits=routes.CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_s=limits.header_timeout_ms / 1000.0,
            idle_s=limits.idle_timeout_ms / 1000.0,
        ),
        accounts=_make_accounts(wire.tenants),
    )


def _make_route(wire: _Route) -> routes.Route:
    targets = wire.traffic_split or [_Split(service=wire.service)]
    return routes.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=_KINDS[wire.kind],
        time_limit_s=wire.timeout_ms / 1000.0,
        target_s=wire.target_latency_ms / 1000.0,
        gap_s=wire.target_gap_ms / 1000.0,
        tier=ids.Tier(wire.priority),
        targets=tuple(
            routes.Target(ids.ServiceName(split.service), split.weight)
            for split in targets
        ),
        attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.stream_resume,
        prefix_affinity=wire.session_affinity,
    )


def _make_service(wire: _Service) -> routes.Service:
    engine = wire.engine or _Engine()
    copy_s = None
    if engine.kv_token_bytes > 0 and engine.link_mbps > 0:
        copy_s = engine.kv_token_bytes * 8 / (engine.link_mbps * 1e6)
    return routes.Service(
        name=ids.ServiceName(wire.name),
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        cache_tokens=engine.kv_capacity_tokens,
        copy_s=copy_s,
        scaling=_make_scaling(wire.scaling),
    )


def _make_scaling(wire: _Scaling | None) -> routes.Scaling | None:
    if wire is None or not wire.zone_prices:
        return None
    return routes.Scaling(
        min_runners=wire.min_replicas,
        max_runners=wire.max_replicas,
        boot_s=wire.boot_time_s,
        reclaimable_price=wire.spot_price,
        prices=wire.zone_prices,
    )


def _make_accounts(
    wire: list[_Tenant] | None,
) -> dict[str, routes.Account] | None:
    if wire is None:
        return None
    accounts = {}
    for tenant in wire:
        tier = None if tenant.priority is None else ids.Tier(tenant.priority)
        account = routes.Account(ids.AccountId(tenant.name), tier)
        for key in tenant.api_keys:
            accounts[key] = account
    return accounts
