"""Limits how many endpoints load a model at once, to keep capacity available.

A row for each model lists the endpoints that are loading it. The lease holder
adds its endpoint in the same transaction that stores the order.
"""

from collections.abc import Mapping

import result

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import orders
from pollenfork.endpoints import rows
from pollenfork.store import edges as platform_edges

_LOAD_KINDS = (edges.OrderKind.LOAD_MODEL, edges.OrderKind.LOAD_ADAPTER)
_ABSENT_ROW = (platform_edges.ABSENT, rows.LoadingRow())


class LoadingSlots:
    """The loading rows as last read for one endpoint's orders."""

    def __init__(
        self, endpoint: ids.EndpointId, data_centre: ids.DataCentre
    ) -> None:
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._endpoints_by_model: Mapping[str, frozenset[ids.EndpointId]] = {}
        self._rows: dict[str, tuple[int, rows.LoadingRow]] = {}

    def set_endpoints(
        self, endpoints_by_model: Mapping[str, frozenset[ids.EndpointId]]
    ) -> None:
        """Sets the endpoints that are configured to serve each model."""
        self._endpoints_by_model = endpoints_by_model

    def find_unread_key(self, work: orders.Work) -> str | None:
        """Returns the key of the row that must be read first, if any."""
        key = self._make_key(work)
        return key if is_load(work) and key not in self._rows else None

    def handle_row(
        self, key: str, row: platform_edges.Row | None
    ) -> result.Result[None, rows.BadRow]:
        """Handles a row that was read."""
        if row is None:
            self._rows[key] = _ABSENT_ROW
            return result.Ok(None)
        decoded = rows.decode(row.value, rows.LoadingRow)
        if isinstance(decoded, result.Err):
            return result.Err(decoded.err_value)
        self._rows[key] = (row.version, decoded.ok_value)
        return result.Ok(None)

    def has_slot(self, work: orders.Work) -> bool:
        """Returns whether one more endpoint may load the model now."""
        if not is_load(work):
            return True
        _, row = self._rows[self._make_key(work)]
        model_endpoints = self._get_model_endpoints(work)
        # Endpoints that are no longer configured for the model don't count.
        others = (set(row.endpoints) & model_endpoints) - {self._endpoint}
        return len(others) < orders.get_loading_limit(len(model_endpoints))

    def make_puts(
        self, work: orders.Work, add: bool
    ) -> tuple[platform_edges.Put, ...]:
        """Returns the writes that add the endpoint to the row or remove it."""
        if not is_load(work):
            return ()
        key = self._make_key(work)
        version, row = self._rows[key]
        model_endpoints = self._get_model_endpoints(work)
        names = (set(row.endpoints) & model_endpoints) - {self._endpoint}
        if add:
            names.add(self._endpoint)
        changed = rows.LoadingRow(endpoints=tuple(sorted(names)))
        return (platform_edges.Put(key, rows.encode(changed), version),)

    def invalidate(self) -> None:
        """Drops the rows, which may have changed; they must be read again."""
        self._rows.clear()

    def _make_key(self, work: orders.Work) -> str:
        return rows.loading_key(self._data_centre, work[1])

    def _get_model_endpoints(
        self, work: orders.Work
    ) -> frozenset[ids.EndpointId]:
        bare, _ = orders.split_version(work[1])
        return self._endpoints_by_model.get(bare, frozenset((self._endpoint,)))


def is_load(work: orders.Work) -> bool:
    """Returns whether the order loads a model or an adapter."""
    return work[0] in _LOAD_KINDS
