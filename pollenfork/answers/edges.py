"""What the relay needs of its surroundings."""

from collections.abc import Callable
import concurrent.futures
from typing import Any, Protocol

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages as dispatch_messages

Decision = dispatch_messages.Grant | admission_messages.Refused


class Slots(Protocol):
    """Where attempts are granted and their course is reported."""

    def ask_again(
        self, again: dispatch_messages.AskAgain
    ) -> concurrent.futures.Future[Decision]:
        """Asks for another endpoint for an admitted request."""

    def report(self, event: Any) -> None:
        """Tells of the attempt's course; returns at once."""


class Caller(Protocol):
    """The caller's connection."""

    def is_disconnected(self) -> bool:
        """Returns whether the caller's connection has ended."""

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Calls `call` once, from any thread, when the caller goes."""

    def count_unsent(self) -> int:
        """Returns bytes that the caller's connection hasn't taken yet."""


class PresentCaller:
    """A caller of whom nothing is known: taken to stay."""

    def is_disconnected(self) -> bool:
        """Returns False."""
        return False

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Ignores the call."""

    def count_unsent(self) -> int:
        """Returns 0."""
        return 0
