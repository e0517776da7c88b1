"""What the peer exchange needs from the instance that it runs in."""

from collections.abc import Iterable
from typing import Protocol

from pollenfork.loads import messages


class Instance(Protocol):
    """The state that the exchange reads and updates.

    The `take_` methods return each item once; the `record_` methods receive
    what other instances sent.
    """

    def read_loads(self) -> messages.LoadTable:
        """Returns this instance's active requests by runner."""

    def take_placements(self) -> list[messages.Placement]:
        """Returns the cache placements made since the last call."""

    def list_placements(self) -> list[messages.Placement]:
        """Returns all prompt parts that runners are believed to cache."""

    def list_local_placements(self) -> list[messages.Placement]:
        """Returns those cached at runners of this data centre."""

    def read_store_status(self, now: float) -> messages.StoreStatus | None:
        """Returns the versions known of the store's tables and their ages."""

    def record_placements(
        self, placements: Iterable[messages.Placement]
    ) -> None:
        """Adds placements made by other instances."""

    def take_updates(self, now: float) -> messages.Updates:
        """Returns this instance's paces and planned returns to send now."""

    def record_updates(self, updates: messages.Updates, now: float) -> None:
        """Adds paces and planned returns of other instances."""

    def record_store_status(
        self, status: messages.StoreStatus, moment: float, sender: str
    ) -> None:
        """Adds another instance's store status whose time is bounded.

        Args:
            status: The versions it knows.
            moment: Monotonic seconds here at which they were surely current.
            sender: Its host.
        """

    def record_store_versions(
        self, status: messages.StoreStatus, sender: str
    ) -> None:
        """Adds another instance's versions, without a time they held at."""

    def record_store_answer(self, moment: float) -> None:
        """Notes about when the store answered another instance.

        Args:
            moment: Monotonic seconds here; too late by the time that the
                message was in transit.
        """

    def take_findings(self) -> list[messages.Finding]:
        """Returns this instance's findings since the last call."""

    def record_finding(self, finding: messages.Finding, now: float) -> None:
        """Adds another instance's finding about a runner."""

    def take_departures(self) -> list[int]:
        """Returns the runners newly known to leave, by incarnation hash."""

    def list_departures(self) -> list[int]:
        """Returns those known to leave only by their own announcement."""

    def record_departures(self, announced: Iterable[int]) -> None:
        """Adds runners that announced to another instance that they leave."""

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        """Returns new crashes and clearances of requests, if any."""

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next page of all known suspicions, if there are any."""

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        """Returns all known suspicions, split into datagrams."""

    def record_suspicions(
        self, suspicions: messages.Suspicions, host: str, now: float
    ) -> None:
        """Adds the suspicions of another instance.

        Args:
            suspicions: What it sent.
            host: The host that it runs on.
            now: Monotonic seconds.
        """

    def record_instance_count(self, count: int) -> None:
        """Sets the number of known instances, this one included."""
