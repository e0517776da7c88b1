"""Interfaces that the relay depends on."""

from collections.abc import Callable
import concurrent.futures
from typing import Any, Protocol

from pollenfork.admission import messages as admission_messages
from pollenfork.dispatch import messages as dispatch_messages

Decision = dispatch_messages.Grant | admission_messages.Refused


class Slots(Protocol):
    """Grants attempts and receives reports about them."""

    def ask_again(
        self, again: dispatch_messages.AskAgain
    ) -> concurrent.futures.Future[Decision]:
        """Requests another endpoint for an admitted request."""

    def report(self, event: Any) -> None:
        """Reports an event of an attempt; doesn't block."""


class Caller(Protocol):
    """The caller's connection."""

    def is_disconnected(self) -> bool:
        """Returns whether the caller's connection has ended."""

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Calls `call` once, from any thread, when the caller disconnects."""

    def count_unsent(self) -> int:
        """Returns the number of bytes not yet written to the connection."""


class PresentCaller:
    """A caller without a known connection; it never disconnects."""

    def is_disconnected(self) -> bool:
        """Returns False."""
        return False

    def on_disconnect(self, call: Callable[[], None]) -> None:
        """Ignores the call."""

    def count_unsent(self) -> int:
        """Returns 0."""
        return 0
