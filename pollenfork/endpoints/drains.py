"""Operators' requests to drain endpoints, kept in the store."""

from collections.abc import Callable
import logging

import result

from pollenfork import ids
from pollenfork.endpoints import calls
from pollenfork.endpoints import rows
from pollenfork.store import edges as platform_edges

_LOG = logging.getLogger(__name__)


class DrainRequests:
    """The drain requests as this instance last read or wrote them."""

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
        """The common prefix of the keys of all drain requests."""
        return rows.drain_key(self._data_centre, "")

    def list_requested(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that operators requested to drain."""
        return frozenset(self._rows)

    def get_id(self, endpoint: ids.EndpointId) -> str:
        """Returns the id of the drain request; empty if there is none."""
        row = self._rows.get(endpoint)
        return row.drain_id if row else ""

    def make_write(
        self, endpoint: ids.EndpointId, draining: bool
    ) -> calls.StoreDrain | None:
        """Returns the write that is needed, or None if it is stored already.

        Args:
            endpoint: The endpoint to drain.
            draining: Whether to store a request or to withdraw it.
        """
        if draining == (endpoint in self._rows):
            return None
        key = rows.drain_key(self._data_centre, endpoint)
        write_id = self._new_id()
        if not draining:
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

    def handle_scan(
        self, found: tuple[platform_edges.Row, ...], sent_at: float
    ) -> None:
        """Handles a read of all drain requests that was sent at `sent_at`."""
        if sent_at < self._written_at:
            return  # It may not include a later write of this instance.
        requests = {}
        for row in found:
            decoded = rows.decode(row.value, rows.DrainRow)
            if isinstance(decoded, result.Ok):
                requests[decoded.ok_value.endpoint] = decoded.ok_value
            else:
                _LOG.warning("event=bad_row key=%s", row.key)
        self._rows = requests

    def handle_write(self, call: calls.StoreDrain, now: float) -> None:
        """Handles that a request was stored or withdrawn."""
        self._written_at = now
        requests = dict(self._rows)
        if call.row:
            requests[call.endpoint] = call.row
        else:
            requests.pop(call.endpoint, None)
        self._rows = requests
