"""Loads are staggered, so that a model keeps most of its capacity.

A row for each model lists the endpoints that load it; a holder enters its
endpoint in the same transaction that writes the order down.
"""

from collections.abc import Mapping

import result

from pollenfork import ids
from pollenfork.endpoints import edges
from pollenfork.endpoints import orders
from pollenfork.endpoints import rows
from pollenfork.store import edges as platform_edges

_LOADS = (edges.OrderKind.LOAD_MODEL, edges.OrderKind.LOAD_ADAPTER)
_NONE = (platform_edges.ABSENT, rows.LoadingRow())


class Loading:
    """The loading rows as one endpoint's holder last read them."""

    def __init__(
        self, endpoint: ids.EndpointId, data_centre: ids.DataCentre
    ) -> None:
        self._endpoint = endpoint
        self._data_centre = data_centre
        self._carriers: Mapping[str, frozenset[ids.EndpointId]] = {}
        self._rows: dict[str, tuple[int, rows.LoadingRow]] = {}

    def plan(self, carriers: Mapping[str, frozenset[ids.EndpointId]]) -> None:
        """Sets which endpoints are planned to carry each model."""
        self._carriers = carriers

    def find_unread(self, work: orders.Work) -> str | None:
        """Returns the key that must be read before `work`, if any."""
        key = self._make_key(work)
        return key if is_load(work) and key not in self._rows else None

    def take(
        self, key: str, row: platform_edges.Row | None
    ) -> result.Result[None, rows.BadRow]:
        """Takes in a row as read."""
        if row is None:
            self._rows[key] = _NONE
            return result.Ok(None)
        decoded = rows.decode(row.value, rows.LoadingRow)
        if isinstance(decoded, result.Err):
            return result.Err(decoded.err_value)
        self._rows[key] = (row.version, decoded.ok_value)
        return result.Ok(None)

    def has_room(self, work: orders.Work) -> bool:
        """Returns whether one more endpoint may load now."""
        if not is_load(work):
            return True
        _, row = self._rows[self._make_key(work)]
        carriers = self._find_carriers(work)
        # Endpoints no longer planned for the model take up no room.
        others = (set(row.endpoints) & carriers) - {self._endpoint}
        return len(others) < orders.limit_loading(len(carriers))

    def make_puts(
        self, work: orders.Work, enter: bool
    ) -> tuple[platform_edges.Put, ...]:
        """Returns the writes that enter the endpoint or strike it out."""
        if not is_load(work):
            return ()
        key = self._make_key(work)
        version, row = self._rows[key]
        carriers = self._find_carriers(work)
        names = (set(row.endpoints) & carriers) - {self._endpoint}
        if enter:
            names.add(self._endpoint)
        changed = rows.LoadingRow(endpoints=tuple(sorted(names)))
        return (platform_edges.Put(key, rows.encode(changed), version),)

    def forget(self) -> None:
        """The rows may have changed: they are read again before use."""
        self._rows.clear()

    def _make_key(self, work: orders.Work) -> str:
        return rows.loading_key(self._data_centre, work[1])

    def _find_carriers(self, work: orders.Work) -> frozenset[ids.EndpointId]:
        bare, _ = orders.split_version(work[1])
        return self._carriers.get(bare, frozenset((self._endpoint,)))


def is_load(work: orders.Work) -> bool:
    """Returns whether the order reads weights."""
    return work[0] in _LOADS
