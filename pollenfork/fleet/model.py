"""Runners and prompt parts, as the registry and requests describe them."""

import msgspec
import xxhash

from pollenfork import ids

# The end of the year 9999, in Unix milliseconds.
_MAX_START_MS = 253_402_300_799_999
# The names of longer software versions are replaced by their hashes.
MAX_VERSION_CHARS = 64


class Part(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share.

    Attributes:
        name: What identifies the part's text.
        tokens: The part's length.
    """

    name: bytes
    tokens: int


def make_version(name: str) -> ids.SoftwareVersion:
    """Returns a software version whose name fits in a datagram."""
    if len(name) > MAX_VERSION_CHARS:
        name = xxhash.xxh64_hexdigest(name.encode())
    return ids.SoftwareVersion(name)


def is_possible_start(start: ids.RunnerStart | None) -> bool:
    """Returns whether a runner can have started then; None: unknown."""
    return start is None or 0 <= start <= _MAX_START_MS


class Incarnation(msgspec.Struct, frozen=True):
    """One run of a runner's process.

    A restarted runner has neither the cache nor the requests of its previous
    incarnation.

    Attributes:
        id: The runner's id, which stays the same across restarts.
        start: When it started, by its own clock; None if it doesn't say.
    """

    id: ids.EndpointId
    start: ids.RunnerStart | None = None

    @property
    def name(self) -> bytes:
        """The name that identifies the incarnation to other instances."""
        if self.start is None:
            return self.id.encode()
        return b"%b@%d" % (self.id.encode(), self.start)


class Runner(msgspec.Struct, frozen=True, kw_only=True):
    """A runner as its registry entry describes it.

    Attributes:
        id: The runner's id, which stays the same across restarts.
        service: The service that it offers.
        host: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: Requests that it can run concurrently.
        leaving: Whether it accepts no new work.
        cold_s: How much longer it is slow after its start, in seconds.
        start: When it started, by its own clock; None if it doesn't say.
        sequence: The number of its latest announcement, which starts over
            with each incarnation.
        reclaimable: Whether the provider may take it away at any time.
        version: The version of its software, which has no order; empty:
            unknown.
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
    version: ids.SoftwareVersion = ids.SoftwareVersion("")

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation that observations of the runner belong to."""
        return Incarnation(self.id, self.start)

    @property
    def address(self) -> tuple[str, int]:
        """The host and port."""
        return self.host, self.port

    def is_restart_of(self, before: "Runner") -> bool:
        """Returns whether the runner has restarted since an earlier entry.

        Args:
            before: The previously known entry; the registry orders it before
                this one.
        """
        if self.start is None and before.start is None:
            return self.sequence < before.sequence
        return self.start != before.start
