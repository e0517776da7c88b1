"""Interfaces of the platform's services.

Each has one HTTP client and, for tests, one fake. Retries, circuit breakers and
budgets are in `store.policy`.
"""

import enum
from typing import Protocol

import msgspec
import result

from pollenfork import ids
from pollenfork.store import errors

ANY_VERSION = -1  # The write doesn't depend on the row's version.
ABSENT = 0  # The row must not exist yet; versions of rows start at 1.


class Row(msgspec.Struct, frozen=True):
    """One row of the table.

    Attributes:
        key: A path, such as `settings/teams/linework`.
        value: Opaque bytes; the package that writes the row also defines and
            decodes its format.
        version: Starts at 1 and increases with each write of the row.
    """

    key: str
    value: bytes
    version: int


class Put(msgspec.Struct, frozen=True):
    """Writes `value` at `key` if the row has version `expected`."""

    key: str
    value: bytes
    expected: int = ANY_VERSION


class Delete(msgspec.Struct, frozen=True):
    """Deletes the row at `key` if it has version `expected`."""

    key: str
    expected: int = ANY_VERSION


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied atomically.

    For at least ten minutes, the service answers a repeated `write_id` with the
    original response and doesn't apply the writes again.
    """

    write_id: ids.WriteId
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()


class Committed(msgspec.Struct, frozen=True):
    """Versions of the rows in `Transaction.puts`, in the same order."""

    versions: tuple[int, ...]


class TableService(Protocol):
    """The platform's transactional table."""

    def read(
        self, key: str
    ) -> result.Result[Row | None, errors.PlatformFailure]:
        """Returns the row at `key`, or None if there is none."""

    def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> result.Result[tuple[Row, ...], errors.PlatformFailure]:
        """Returns rows with keys that start with `prefix` and follow `after`.

        The rows are sorted by key.
        """

    def commit(
        self, transaction: Transaction
    ) -> result.Result[Committed, errors.PlatformFailure]:
        """Applies the transaction; `Conflicted` if a condition fails."""


class ObjectStore(Protocol):
    """The platform's object store."""

    def fetch(
        self, key: str
    ) -> result.Result[bytes | None, errors.PlatformFailure]:
        """Returns the object's bytes, or None if there is none."""

    def store(
        self, key: str, body: bytes
    ) -> result.Result[None, errors.PlatformFailure]:
        """Writes the whole object, replacing an existing one."""

    def remove(self, key: str) -> result.Result[None, errors.PlatformFailure]:
        """Deletes the object; does nothing if it doesn't exist."""


class InstanceRole(enum.Enum):
    """The role of an instance in the platform's list."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


class InstanceStatus(enum.Enum):
    """Status of an instance in the platform's list, which may be outdated."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list.

    Attributes:
        name: An `InstanceId` for an entry, an `EndpointId` for an endpoint.
        address: `host:port`; for an entry instance, its peer address.
    """

    name: str
    role: InstanceRole
    data_centre: ids.DataCentre
    address: str
    status: InstanceStatus


class InstanceList(Protocol):
    """The platform's list of live and leaving instances; may be outdated."""

    def fetch(
        self,
    ) -> result.Result[tuple[ListedInstance, ...], errors.PlatformFailure]:
        """Returns the platform's current list."""


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    def request_read(
        self, model: ids.ModelName, version: str
    ) -> result.Result[None, errors.PlatformFailure]:
        """Requests a permit to load weights; `Throttled` if over the limit."""
