"""Decodes the operators' configuration."""

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.routes import model as routes


class BadDocument(failures.Failure, frozen=True, kw_only=True):
    """The configuration in the store can't be decoded."""


class _KebabObject(msgspec.Struct, rename="kebab"):
    """A JSON object whose keys are written in kebab case."""


class _Split(_KebabObject):
    service: str
    weight: float = 1.0


class _Route(_KebabObject):
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


class _Engine(_KebabObject):
    slots: int = 0
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    stride: int = 1
    link_mbps: float = 0.0


class _Scaling(_KebabObject):
    min_replicas: int = 0
    max_replicas: int = 0
    boot_time_s: float = 0.0
    spot_price: float | None = None
    zone_prices: dict[ids.DataCentre, float] = {}


class _Service(_KebabObject):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(_KebabObject):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(_KebabObject):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(_KebabObject):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_KINDS_BY_NAME = {
    "safe": routes.Kind.REPEATABLE,
    "unsafe": routes.Kind.AT_MOST_ONCE,
    "stream": routes.Kind.STREAM,
}
_CONFIG = msgspec.json.Decoder(_Config)


def decode_configuration(
    value: bytes,
) -> result.Result[routes.Configuration, BadDocument]:
    """Decodes the operators' configuration from a row's value."""
    try:
        document = _CONFIG.decode(value)
        configuration = _make_configuration(document)
    except (msgspec.MsgspecError, KeyError) as error:
        return result.Err(BadDocument(detail=f"configuration: {error}"))
    return result.Ok(configuration)


def _make_configuration(document: _Config) -> routes.Configuration:
    limits = document.limits
    return routes.Configuration(
        version=document.version,
        routes=tuple(_make_route(route) for route in document.routes),
        services={
            ids.ServiceName(service.name): _make_service(service)
            for service in document.services
        },
        limits=routes.CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_s=limits.header_timeout_ms / 1000.0,
            idle_s=limits.idle_timeout_ms / 1000.0,
        ),
        accounts=_make_accounts(document.tenants),
    )


def _make_route(document: _Route) -> routes.Route:
    targets = document.traffic_split or [_Split(service=document.service)]
    return routes.Route(
        name=document.name,
        host=document.host.lower(),
        prefix=document.prefix,
        kind=_KINDS_BY_NAME[document.kind],
        time_limit_s=document.timeout_ms / 1000.0,
        target_s=document.target_latency_ms / 1000.0,
        gap_s=document.target_gap_ms / 1000.0,
        tier=ids.Tier(document.priority),
        targets=tuple(
            routes.Target(ids.ServiceName(split.service), split.weight)
            for split in targets
        ),
        attempts=max(1, document.max_attempts),
        public=document.public,
        resumable=document.stream_resume,
        prefix_affinity=document.session_affinity,
    )


def _make_service(document: _Service) -> routes.Service:
    engine = document.engine or _Engine()
    copy_s = None
    if engine.kv_token_bytes > 0 and engine.link_mbps > 0:
        copy_s = engine.kv_token_bytes * 8 / (engine.link_mbps * 1e6)
    return routes.Service(
        name=ids.ServiceName(document.name),
        health_path=document.health_path,
        max_connections=document.max_connections,
        cache_tokens=engine.kv_capacity_tokens,
        copy_s=copy_s,
        scaling=_make_scaling(document.scaling),
        event_tokens=max(1, engine.stride),
    )


def _make_scaling(document: _Scaling | None) -> routes.Scaling | None:
    if document is None or not document.zone_prices:
        return None
    return routes.Scaling(
        min_runners=document.min_replicas,
        max_runners=document.max_replicas,
        boot_s=document.boot_time_s,
        reclaimable_price=document.spot_price,
        prices=document.zone_prices,
    )


def _make_accounts(
    document: list[_Tenant] | None,
) -> dict[str, routes.Account] | None:
    if document is None:
        return None
    accounts = {}
    for tenant in document:
        tier = None if tenant.priority is None else ids.Tier(tenant.priority)
        account = routes.Account(ids.AccountId(tenant.name), tier)
        accounts.update(dict.fromkeys(tenant.api_keys, account))
    return accounts
