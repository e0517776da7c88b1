"""What is known of a runner from the registry."""

import msgspec

from pollenfork import ids


class Part(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share.

    Attributes:
        name: What identifies its text.
        tokens: Its length.
    """

    name: bytes
    tokens: int


class Incarnation(msgspec.Struct, frozen=True):
    """One start of a runner: what one kept or ran, another knows nothing of.

    Attributes:
        id: The runner, which may start again under it.
        start: When it started by its own clock; None where it doesn't say.
    """

    id: ids.EndpointId
    start: ids.RunnerStart | None = None

    @property
    def name(self) -> bytes:
        """What identifies it to other instances."""
        if self.start is None:
            return self.id.encode()
        return b"%b@%d" % (self.id.encode(), self.start)


class Runner(msgspec.Struct, frozen=True, kw_only=True):
    """A runner as its entry shows it.

    Attributes:
        id: Its own as long as it is known, also when it starts again.
        service: The service it offers.
        host: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: Requests that it works on at once.
        leaving: Whether it takes no new work.
        cold_s: How much longer it is slow after its start, in seconds.
        start: When it started by its own clock; None where it doesn't say.
        sequence: Its count of what it has said, which begins anew with it.
        reclaimable: Whether it may be taken away at any time.
    """

    id: ids.EndpointId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    leaving: bool
    cold_s: float
    start: ids.RunnerStart | None = None
    sequence: int = 0
    reclaimable: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Its start, which all that is believed of it belongs to."""
        return Incarnation(self.id, self.start)

    @property
    def address(self) -> tuple[str, int]:
        """Its host and port."""
        return self.host, self.port

    def is_restart_of(self, before: "Runner") -> bool:
        """Returns whether it has started anew since a known entry.

        Args:
            before: What was known of it; this is newer by the registry.
        """
        if self.start is None and before.start is None:
            return self.sequence < before.sequence
        return self.start != before.start
