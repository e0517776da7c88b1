"""What rate limits need from the rest of an instance."""

from typing import Protocol

from pollenfork.loads import limit_messages


class Members(Protocol):
    """The other instances, as far as rate limits need them."""

    def list_hosts(self, data_centre: str | None = None) -> list[str]:
        """Returns all hosts known, or those of a data centre."""

    def pick_fanout(self) -> list[str]:
        """Returns the next few hosts to tell an update."""

    def pick_pair(self) -> list[str]:
        """Returns the next host here and the next one elsewhere."""

    def send_limits(
        self, host: str, message: limit_messages.LimitMessage
    ) -> None:
        """Sends one instance a message."""
