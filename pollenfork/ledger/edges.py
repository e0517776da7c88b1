"""Interface to the cluster membership, as the ledger uses it."""

from typing import Protocol

from pollenfork import ids


class OwnerLiveness(Protocol):
    """Tells whether the processes that own records are running."""

    def is_gone(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns whether this process is known to have ended.

        True if the instance was lost or left, or if a later incarnation of it
        was seen. False if the process is unknown; its records are then closed
        by age. If True is wrong, a client may get an "unknown outcome" until
        the owner records the outcome, but the request never runs twice.
        """
