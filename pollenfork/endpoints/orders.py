"""Derives the orders that an endpoint needs from its desired state."""

from collections.abc import Collection, Iterator

import msgspec

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import rows
from pollenfork.settings import model

Work = tuple[edges.OrderKind, str]  # An order's kind and argument.

# The fraction of a model's endpoints that may load at the same time.
MAX_LOADING_FRACTION = 0.25


class Desired(msgspec.Struct, frozen=True, kw_only=True):
    """The desired state of one endpoint, from the settings and the store.

    Attributes:
        models: Each as `name` or `name@version`, in the order of loading.
        role: If empty, the endpoint's role isn't changed.
        drain: The id of an operator's drain request; empty if there is none.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    drain: str = ""
    checks_fencing: bool = False


def make_desired(settings: model.EndpointSettings, drain: str) -> Desired:
    """Returns the state that the settings and a drain request ask for."""
    runs_models = settings.kind is model.EndpointKind.RUNNER
    return Desired(
        models=settings.models if runs_models else (),
        adapters=settings.adapters,
        role=settings.role,
        drain=drain,
        checks_fencing=settings.checks_fencing,
    )


def list_work(
    desired: Desired,
    applied: rows.Applied,
    reported: Collection[str],
) -> Iterator[Work]:
    """Yields the orders that the endpoint still needs, in order.

    Only a drain is ordered if one is requested, as a leaving endpoint needs no
    models. `reported` are the models in the endpoint's load report; one that
    is missing there, after a crash, is ordered again.
    """
    if desired.drain:
        if applied.drained != desired.drain:
            yield edges.OrderKind.DRAIN, desired.drain
        return
    if desired.role and desired.role != applied.role:
        yield edges.OrderKind.CHANGE_ROLE, desired.role
    for name in desired.models:
        if not _is_loaded(name, applied.models, reported):
            yield edges.OrderKind.LOAD_MODEL, name
    for adapter in desired.adapters:
        if adapter not in applied.adapters:
            yield edges.OrderKind.LOAD_ADAPTER, adapter


def record_done(
    applied: rows.Applied, kind: edges.OrderKind, argument: str
) -> rows.Applied:
    """Returns `applied` with an order that the endpoint has confirmed."""
    match kind:
        case edges.OrderKind.LOAD_MODEL:
            models = _replace_version(applied.models, argument)
            return msgspec.structs.replace(applied, models=models)
        case edges.OrderKind.LOAD_ADAPTER:
            adapters = _replace_version(applied.adapters, argument)
            return msgspec.structs.replace(applied, adapters=adapters)
        case edges.OrderKind.CHANGE_ROLE:
            return msgspec.structs.replace(applied, role=argument)
        case edges.OrderKind.DRAIN:
            return msgspec.structs.replace(applied, drained=argument)


def make_order(
    endpoint: ids.EndpointId, row: rows.LeaseRow, pending: rows.PendingOrder
) -> edges.Order:
    """Returns the order to send; a retry has the same id."""
    return edges.Order(
        order_id=f"{endpoint}:{pending.sequence}",
        kind=pending.kind,
        argument=pending.argument,
        fencing=row.fencing,
    )


def get_loading_limit(endpoints: int) -> int:
    """Returns how many of a model's endpoints may load at the same time."""
    return max(1, int(endpoints * MAX_LOADING_FRACTION))


def split_version(name: str) -> tuple[ids.ModelName, str]:
    """Returns the bare name, and the version or an empty string."""
    bare, _, version = name.partition("@")
    return ids.ModelName(bare), version


def _is_loaded(
    name: str, applied: tuple[str, ...], reported: Collection[str]
) -> bool:
    bare, version = split_version(name)
    if name in reported:
        return True
    # A report without versions doesn't show which version is loaded.
    return bool(version) and bare in reported and name in applied


def _replace_version(names: tuple[str, ...], new: str) -> tuple[str, ...]:
    bare, _ = split_version(new)
    kept = [name for name in names if split_version(name)[0] != bare]
    return (*kept, new)
