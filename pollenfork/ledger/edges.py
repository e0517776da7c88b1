"""What the ledger needs to know of other instances."""

from typing import Protocol

from pollenfork import ids


class Owners(Protocol):
    """Whether the owners of records still run."""

    def is_gone(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns whether this process is known to have ended.

        True where the instance was lost or left, or a later incarnation of
        it was seen. False where nothing is known of it: its records then
        close by their age. A wrong True costs a caller the answer "unknown"
        until the owner records the outcome; it never causes a second run.
        """
