"""The settings of one gateway process."""

import msgspec

from pollenfork import ids
from pollenfork.loads import messages as loads

Address = loads.Address

# How often a runner renews its entry by default, in seconds; the deployments
# use 1.2.
HEARTBEAT_S = 1.2

# Settings that a running process applies on a reload. The others take effect at
# its next start.
_RELOADABLE = frozenset(
    {
        "seeds",
        "grace_s",
        "revocation_s",
        "retry_ratio",
        "retry_window_s",
        "retry_extra",
    }
)


class DutySettings(msgspec.Struct, frozen=True, kw_only=True):
    """The duties that one instance at a time performs, and their limits.

    Attributes:
        platform: The platform's address.
        reports: Whether to report started requests to the platform.
        scales: Whether to order runners from the platform.
        window_s: The length of a report's window, in seconds.
        due_s: When a window's report is due, in seconds after its end.
        alternation_s: Seconds within which two holders must not alternate.
    """

    platform: Address
    reports: bool = True
    scales: bool = True
    window_s: float = 5.0
    due_s: float = 10.0
    alternation_s: float = 3.0

    def __post_init__(self) -> None:
        """Validates the durations.

        Raises:
            ValueError: A duration isn't above 0.
        """
        for name in ("window_s", "due_s", "alternation_s"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} of the duties must be above 0")


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and limits of a gateway process.

    Attributes:
        instance: This instance's name.
        data_centre: The data centre in which it runs.
        front: The address at which callers connect.
        readiness: The address of the load balancer's readiness checks.
        store: The address of the platform's store.
        metrics: The address at which metrics are served; None disables them.
        peer: The address for other instances' datagrams; None runs it without
            peers.
        seeds: Instances to contact first in order to find others.
        grace_s: Seconds from the signal to stop until the process is killed.
        revocation_s: Seconds within which a revoked key stops working
            everywhere; None for no limit.
        retry_ratio: Retries allowed to all instances together, per request.
        retry_window_s: The window of that ratio in seconds.
        retry_extra: Additional retries allowed to all instances per window.
        heartbeat_s: Seconds between two renewals of a runner's entry.
        duties: The duties that one instance performs for all; None for none.
        link_mbps: How much its host can send, in Mbit/s; 0: unknown.
        memory_bytes: The memory above which the process is killed; None: no
            bound on what is held for slow callers and runners.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    front: Address
    readiness: Address
    store: Address
    metrics: Address | None = None
    peer: Address | None = None
    seeds: tuple[Address, ...] = ()
    grace_s: float = 8.0
    revocation_s: float | None = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 10.0
    heartbeat_s: float = HEARTBEAT_S
    duties: DutySettings | None = None
    link_mbps: float = 0.0
    memory_bytes: int | None = None

    def __post_init__(self) -> None:
        """Validates the memory limit.

        Raises:
            ValueError: The memory limit isn't above 0.
        """
        if self.memory_bytes is not None and self.memory_bytes <= 0:
            raise ValueError("the memory limit must be above 0")

    def find_changes(self, reloaded: "GatewaySettings") -> "Changes":
        """Returns how reloaded settings differ from these."""
        before = msgspec.structs.asdict(self)
        changed = [
            name
            for name, value in msgspec.structs.asdict(reloaded).items()
            if value != before[name]
        ]
        return Changes(
            applied=tuple(name for name in changed if name in _RELOADABLE),
            pending=tuple(name for name in changed if name not in _RELOADABLE),
        )

    def with_reloadable(self, reloaded: "GatewaySettings") -> "GatewaySettings":
        """Returns these settings with the reloadable ones of others."""
        fresh = {name: getattr(reloaded, name) for name in _RELOADABLE}
        return msgspec.structs.replace(self, **fresh)


class Changes(msgspec.Struct, frozen=True):
    """The settings that differ after a reload.

    Attributes:
        applied: Names of the settings that take effect immediately.
        pending: Names of those that take effect at the next start.
    """

    applied: tuple[str, ...]
    pending: tuple[str, ...]
