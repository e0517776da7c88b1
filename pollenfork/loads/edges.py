"""What the exchange of loads needs from its instance."""

from collections.abc import Iterable
from typing import Protocol

from pollenfork.loads import messages


class Instance(Protocol):
    """What the exchange asks of its instance and tells it."""

    def read_loads(self) -> messages.Table:
        """Returns what it has under way."""

    def take_placed(self) -> list[messages.Placed]:
        """Returns what it has placed since the last call."""

    def list_placed(self) -> list[messages.Placed]:
        """Returns all that runners are believed to keep."""

    def list_placed_here(self) -> list[messages.Placed]:
        """Returns what runners of its data centre are believed to keep."""

    def read_proof(self, now: float) -> messages.Proof | None:
        """Returns what it knows of the store, and how old that may be."""

    def note_placed(self, placed: Iterable[messages.Placed]) -> None:
        """Takes what others have placed."""

    def note_proof(
        self, proof: messages.Proof, moment: float, teller: str
    ) -> None:
        """Takes what a relay knows.

        Args:
            proof: What it knows.
            moment: Monotonic seconds here at which that was surely current.
            teller: Its host.
        """

    def note_versions(self, proof: messages.Proof, teller: str) -> None:
        """Takes what another one has read, which proves no moment."""

    def note_answered(self, moment: float) -> None:
        """Takes about when the store answered another instance.

        Args:
            moment: Monotonic seconds here; too late by as long as the word of
                it was under way.
        """

    def take_found(self) -> list[messages.Finding]:
        """Returns what it has found out of runners since the last call."""

    def note_found(self, finding: messages.Finding, now: float) -> None:
        """Takes what another one has found out of a runner."""

    def take_suspicions(self, now: float) -> messages.Suspicions | None:
        """Returns news of requests that runners ended under, if any."""

    def take_suspicions_page(self, now: float) -> messages.Suspicions | None:
        """Returns the next part of all that it knows of them, if anything."""

    def list_suspicions(self, now: float) -> list[messages.Suspicions]:
        """Returns all that it knows of them, by datagram."""

    def note_suspicions(
        self, told: messages.Suspicions, host: str, now: float
    ) -> None:
        """Takes what another one knows of them.

        Args:
            told: What it knows.
            host: Where it runs.
            now: Monotonic seconds.
        """

    def note_instances(self, count: int) -> None:
        """Takes how many instances are known, this one included."""
