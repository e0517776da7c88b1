"""What the directory of streams needs of records that outlast all instances."""

from collections.abc import Iterable
from typing import Protocol

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.streams import version_records


class Records(Protocol):
    """What outlasts a loss of all instances; see `version_records`."""

    def observe(self, runners: Iterable[fleet.Runner]) -> None:
        """Records the versions of runners that are listed."""

    def note(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> None:
        """Records that streams may begin at a version."""

    def is_recorded(
        self, service: ids.ServiceName, version: ids.SoftwareVersion
    ) -> bool:
        """Returns whether streams may begin at a version."""

    async def wait_until_recorded(self, service: ids.ServiceName) -> bool:
        """Waits for a short time; returns whether streams may begin."""

    def record_begun(
        self,
        stream: int,
        service: ids.ServiceName,
        version: ids.SoftwareVersion,
    ) -> None:
        """Lists a stream that hasn't ended."""

    def is_listed_unknown(self, stream: int) -> bool:
        """Returns whether a stream is recorded as one of an unknown author."""

    def correct(self, stream: int, version: ids.SoftwareVersion) -> None:
        """Changes the version of a stream that is listed."""

    def record_ended(self, stream: int) -> None:
        """Drops a stream that its caller has whole."""

    async def find(
        self, stream: int, service: ids.ServiceName
    ) -> version_records.Finding:
        """Returns the version that began a stream, if the records prove it."""
