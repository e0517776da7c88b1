"""The platform's services as the rest of the program sees them.

Each is met by one adapter and, in tests, by one fake. No policy lives here:
retries, breakers and budgets are in `platform.policy`.
"""

import enum
from typing import Protocol

import msgspec
import result

from pollenfork import ids
from pollenfork.store import errors

ANY_VERSION = -1  # The write has no condition on the row's version.
ABSENT = 0  # The row must not exist yet; versions of rows start at 1.


class Row(msgspec.Struct, frozen=True):
    """One row of the table.

    Attributes:
        key: Path-like name, such as `settings/teams/linework`.
        value: Opaque bytes in a format that its slice keeps readable.
        version: Starts at 1 and grows with each write of the row.
    """

    key: str
    value: bytes
    version: int


class Put(msgspec.Struct, frozen=True):
    """Writes `value` at `key` if the row is at `expected` version."""

    key: str
    value: bytes
    expected: int = ANY_VERSION


class Delete(msgspec.Struct, frozen=True):
    """Deletes the row at `key` if it is at `expected` version."""

    key: str
    expected: int = ANY_VERSION


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together or not at all.

    A service that has seen `write_id` before answers as it did then, without
    a second effect, for at least ten minutes.
    """

    write_id: ids.WriteId
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class Committed(msgspec.Struct, frozen=True):
    """The versions of the rows put, in the order of the transaction."""

    versions: tuple[int, ...]


class TableService(Protocol):
    """The platform's transactional table."""

    def read(
        self, key: str
    ) -> result.Result[Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None where there is none."""

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[Row, ...], errors.PlatformFailure]:
        """Returns rows whose key starts with `prefix`, past `after`, sorted."""

    def commit(
        self, transaction: Transaction
    ) -> result.Result[Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` where a condition fails."""


class ObjectStore(Protocol):
    """The platform's object store."""

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None where there is none."""

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the object whole, replacing an older one."""

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object; an absent one is no failure."""


class InstanceRole(enum.Enum):
    """What an instance in the platform's list is for."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class InstanceStatus(enum.Enum):
    """What the platform's list says of an instance, with a lag."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance in the platform's list.

    Attributes:
        name: An `InstanceId` for entries, an `EndpointId` for endpoints.
        address: `host:port`; for an entry instance, its peer address.
    """

    name: str
    role: InstanceRole
    data_centre: ids.DataCentre
    address: str
    status: InstanceStatus


class InstanceList(Protocol):
    """The platform's list of live and leaving instances, which lags."""

    def fetch(
        self,
    ) -> result.Result[tuple[ListedInstance, ...], errors.PlatformFailure]:
        """Returns the list as the platform has it now."""


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Takes a permit to load the weights; `Throttled` when over rate."""
