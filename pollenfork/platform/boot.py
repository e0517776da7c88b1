"""Reads a process's settings file."""

import pathlib
import tomllib

import msgspec
import result

from pollenfork import failures
from pollenfork import ids
from pollenfork.gateway import settings
from pollenfork.platform import names

Loaded = result.Result[settings.GatewaySettings, "BadSettings"]

# The port that serves metrics, on the machine's own address. The deploy file
# names the same port.
METRICS_PORT = 9464
_MEGABYTE = 1_000_000


class BadSettings(failures.Failure, frozen=True, kw_only=True):
    """The settings file can't be read or decoded."""


class _KebabTable(msgspec.Struct, rename="kebab"):
    """A TOML table whose keys are written in kebab case."""


class _Listen(_KebabTable):
    front: str
    readiness: str = ""


class _Bounds(_KebabTable):
    grace_s: float = 8.0
    revoke_ms: float = 5000.0
    strict_revocation: bool = True
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_extra: float = 10.0
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    lease_ms: float = 3000.0


class _Limits(_KebabTable):
    memory_mb: float | None = None
    link_mbps: float = 0.0


class _Cloud(_KebabTable):
    address: str = ""
    duties: list[str] = []


class _Platform(_KebabTable):
    address: str


class _Boot(_KebabTable):
    node_name: str
    zone: str
    ip: str
    listen: _Listen
    platform: _Platform
    internal_ports: list[int] = []
    seeds: list[str] = []
    heartbeat_ms: float = settings.HEARTBEAT_S * 1000.0
    cloud: _Cloud = msgspec.field(default_factory=_Cloud)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def load(path: pathlib.Path) -> Loaded:
    """Reads and decodes the settings file at `path`."""
    try:
        boot = msgspec.convert(tomllib.loads(path.read_text()), _Boot)
        return result.Ok(_make_settings(boot))
    except (OSError, ValueError) as error:
        return result.Err(BadSettings(detail=f"{path}: {error}"))


def _make_settings(boot: _Boot) -> settings.GatewaySettings:
    bounds = boot.bounds
    limit_s = bounds.revoke_ms / 1000.0 if bounds.strict_revocation else None
    memory_mb = boot.limits.memory_mb
    return settings.GatewaySettings(
        instance=ids.InstanceId(boot.node_name),
        data_centre=ids.DataCentre(boot.zone),
        front=_parse_address(boot.listen.front),
        readiness=_parse_address(boot.listen.readiness or boot.listen.front),
        metrics=settings.Address(boot.ip, METRICS_PORT),
        store=_parse_address(boot.platform.address),
        peer=_make_peer_address(boot, boot.ip),
        seeds=tuple(
            peer
            for seed in boot.seeds
            if (peer := _make_peer_address(boot, _parse_address(seed).host))
        ),
        grace_s=bounds.grace_s,
        revocation_s=limit_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=bounds.budget_window_s,
        retry_extra=bounds.retry_budget_extra,
        heartbeat_s=boot.heartbeat_ms / 1000.0,
        duties=_make_duties(boot),
        link_mbps=boot.limits.link_mbps,
        memory_bytes=None if memory_mb is None else int(memory_mb * _MEGABYTE),
    )


def _make_duties(boot: _Boot) -> settings.DutySettings | None:
    enabled = {*boot.cloud.duties} & {names.REPORTING_DUTY, names.SCALING_DUTY}
    if not enabled:
        return None
    return settings.DutySettings(
        platform=_parse_address(boot.cloud.address),
        reports=names.REPORTING_DUTY in enabled,
        scales=names.SCALING_DUTY in enabled,
        window_s=boot.bounds.usage_window_s,
        due_s=boot.bounds.usage_late_s,
        alternation_s=boot.bounds.lease_ms / 1000.0,
    )


def _make_peer_address(boot: _Boot, host: str) -> settings.Address | None:
    """Returns an instance's peer address; all use the same port."""
    if not boot.internal_ports:
        return None
    return settings.Address(host, boot.internal_ports[0])


def _parse_address(text: str) -> settings.Address:
    host, _, port = text.rpartition(":")
    return settings.Address(host, int(port))
