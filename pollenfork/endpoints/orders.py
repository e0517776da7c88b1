"""Orders: from what the settings wish for to the next order to give."""

from collections.abc import Collection, Iterator

import msgspec

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import rows
from pollenfork.settings import model

Work = tuple[edges.OrderKind, str]  # An order's kind and argument.

LOADING_SHARE = 0.25  # Part of a model's endpoints that may load at once.


class Desired(msgspec.Struct, frozen=True, kw_only=True):
    """What one endpoint should be; durable in the settings and the table.

    Attributes:
        models: Each as `name` or `name@version`, in the order of loading.
        role: Empty leaves the endpoint's role as it is.
        drain: Id of an operator's wish that it take no new work, or empty.
    """

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str = ""
    drain: str = ""
    checks_fencing: bool = False


def make_desired(settings: model.EndpointSettings, drain: str) -> Desired:
    """Returns what the settings and the operators' wishes ask for."""
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

    A drain comes alone: an endpoint that leaves needs no models. `reported`
    is what the endpoint's own load report names; a model that it lacks
    (after a crash) is ordered again.
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


def note_done(
    applied: rows.Applied, kind: edges.OrderKind, argument: str
) -> rows.Applied:
    """Returns `applied` after the endpoint confirmed an order."""
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
    """Returns the order as sent; a repeat has the same id."""
    return edges.Order(
        order_id=f"{endpoint}:{pending.sequence}",
        kind=pending.kind,
        argument=pending.argument,
        fencing=row.fencing,
    )


def limit_loading(carriers: int) -> int:
    """Returns how many of a model's endpoints may load at once."""
    return max(1, int(carriers * LOADING_SHARE))


def split_version(name: str) -> tuple[ids.ModelName, str]:
    """Returns the name and the version, empty where none is named."""
    bare, _, version = name.partition("@")
    return ids.ModelName(bare), version


def _is_loaded(
    name: str, applied: tuple[str, ...], reported: Collection[str]
) -> bool:
    bare, version = split_version(name)
    if name in reported:
        return True
    # A report without versions can't tell which one is loaded.
    return bool(version) and bare in reported and name in applied


def _replace_version(names: tuple[str, ...], new: str) -> tuple[str, ...]:
    bare, _ = split_version(new)
    kept = [name for name in names if split_version(name)[0] != bare]
    return (*kept, new)
