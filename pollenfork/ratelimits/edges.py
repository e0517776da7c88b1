"""What rate limits need from the rest of an instance."""

from typing import Protocol

from pollenfork.loads import limit_messages


class Members(Protocol):
    """The other instances, and a way to send to them."""

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all hosts known, or those of a data centre."""

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to send an update to."""

    def pick_pair(self) -> list[str]:
        """Returns a host of this data centre and one of another."""

    def send_limits(
        self, host: str, message: limit_messages.LimitMessage
    ) -> None:
        """Sends one instance a message."""
