"""Operators' wishes that endpoints be drained, kept in the table."""

from collections.abc import Callable
import logging

import result

from pollenfork import ids
from pollenfork.endpoints import calls
from pollenfork.endpoints import rows
from pollenfork.store import edges as platform_edges

_LOG = logging.getLogger(__name__)


class Drains:
    """The wishes as this instance last read or wrote them."""

    def __init__(
        self,
        instance: ids.InstanceId,
        data_centre: ids.DataCentre,
        new_id: Callable[[], ids.WriteId],
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._new_id = new_id
        self._rows: dict[ids.EndpointId, rows.DrainRow] = {}
        self._written_at = float("-inf")

    @property
    def prefix(self) -> str:
        """The prefix that the keys of all wishes share."""
        return rows.drain_key(self._data_centre, "")

    def list_wished(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that operators want drained."""
        return frozenset(self._rows)

    def find_id(self, endpoint: ids.EndpointId) -> str:
        """Returns the id of the wish, empty where there is none."""
        row = self._rows.get(endpoint)
        return row.drain_id if row else ""

    def make_write(
        self, endpoint: ids.EndpointId, wished: bool
    ) -> calls.StoreDrain | None:
        """Returns the write of a wish, None where it stands already."""
        if wished == (endpoint in self._rows):
            return None
        key = rows.drain_key(self._data_centre, endpoint)
        write_id = self._new_id()
        if not wished:
            deletes = (platform_edges.Delete(key),)
            transaction = platform_edges.Transaction(write_id, deletes=deletes)
            return calls.StoreDrain(endpoint, transaction)
        row = rows.DrainRow(
            drain_id=write_id, endpoint=endpoint, asked_by=self._instance
        )
        value = rows.encode(row)
        puts = (platform_edges.Put(key, value, platform_edges.ABSENT),)
        transaction = platform_edges.Transaction(write_id, puts=puts)
        return calls.StoreDrain(endpoint, transaction, row)

    def take_scan(
        self, found: tuple[platform_edges.Row, ...], sent_at: float
    ) -> None:
        """Takes in all wishes as read; the reading was sent at `sent_at`."""
        if sent_at < self._written_at:
            return  # It may be older than what was written meanwhile.
        wishes = {}
        for row in found:
            decoded = rows.decode(row.value, rows.DrainRow)
            if isinstance(decoded, result.Ok):
                wishes[decoded.ok_value.endpoint] = decoded.ok_value
            else:
                _LOG.warning("event=bad_row key=%s", row.key)
        self._rows = wishes

    def take_write(self, call: calls.StoreDrain, now: float) -> None:
        """Takes in that a wish was stored or withdrawn."""
        self._written_at = now
        wishes = dict(self._rows)
        if call.row:
            wishes[call.endpoint] = call.row
        else:
            wishes.pop(call.endpoint, None)
        self._rows = wishes
