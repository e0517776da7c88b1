"""What the exchange of loads needs from its instance."""

from collections.abc import Iterable
from typing import Protocol

from pollenfork.loads import messages


class Instance(Protocol):
    """What the exchange asks of its instance and tells it."""

    def read_loads(self) -> messages.LoadTable:
        """Returns what it has under way."""

    def take_placements(self) -> list[messages.Placement]:
        """Returns what it has placed since the last call."""

    def list_placements(self) -> list[messages.Placement]:
        """Returns all that runners are believed to keep."""

    def list_local_placements(self) -> list[messages.Placement]:
        """Returns what runners of its data centre are believed to keep."""

    def read_store_status(self, now: float) -> messages.StoreStatus | None:
        """Returns what it knows of the store, and how old that may be."""

    def record_placements(self, placed: Iterable[messages.Placement]) -> None:
        """Takes what others have placed."""

    def record_store_status(
        self, proof: messages.StoreStatus, moment: float, teller: str
    ) -> None:
        """Takes what a relay knows.

        Args:
            proof: What it knows.
            moment: Monotonic seconds here at which that was surely current.
            teller: Its host.
        """

    def record_store_versions(
        self, proof: messages.StoreStatus, teller: str
    ) -> None:
        """Takes what another one has read, which proves no moment."""

    def record_store_answer(self, moment: float) -> None:
        """Takes about when the store answered another instance.

        Args:
            moment: Monotonic seconds here; too late by as long as the word of
                it was under way.
        """

    def take_findings(self) -> list[messages.Finding]:
        """Returns what it has found out of runners since the last call."""

    def record_finding(self, finding: messages.Finding, now: float) -> None:
        """Takes what another one has found out of a runner."""

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        """Returns news of requests that runners ended under, if any."""

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next part of all that it knows of them, if anything."""

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        """Returns all that it knows of them, by datagram."""

    def record_suspicions(
        self, told: messages.Suspicions, host: str, now: float
    ) -> None:
        """Takes what another one knows of them.

        Args:
            told: What it knows.
            host: Where it runs.
            now: Monotonic seconds.
        """

    def record_instance_count(self, count: int) -> None:
        """Takes how many instances are known, this one included."""
