"""How the ledger's cores ask for calls to the platform without making them.

A core is a generator: it yields an action, is sent the reply, and returns
its verdict. It reads no clock and holds no connection; the shell performs
the actions, a test answers them itself.
"""

from collections.abc import Generator
from typing import Any, TypeVar

import msgspec
import result

from pollenfork.store import edges
from pollenfork.store import errors

_T = TypeVar("_T")


class ReadRow(msgspec.Struct, frozen=True):
    """Read one row of the table."""

    key: str


class ScanRows(msgspec.Struct, frozen=True):
    """Read a page of rows."""

    prefix: str
    after: str
    limit: int


class Commit(msgspec.Struct, frozen=True):
    """Apply a transaction to the table."""

    transaction: edges.Transaction


class FetchObject(msgspec.Struct, frozen=True):
    """Read one object."""

    key: str


class StoreObject(msgspec.Struct, frozen=True):
    """Write one object."""

    key: str
    body: bytes


class RemoveObject(msgspec.Struct, frozen=True):
    """Delete one object."""

    key: str


Action = ReadRow | ScanRows | Commit | FetchObject | StoreObject | RemoveObject
Reply = result.Result[Any, errors.PlatformFailure]
Steps = Generator[Action, Reply, _T]


def read_row(
    key: str,
) -> Steps[result.Result[edges.Row | None, errors.PlatformFailure]]:
    """Asks for one row."""
    return (yield ReadRow(key))


def scan_rows(
    prefix: str, after: str, limit: int
) -> Steps[result.Result[tuple[edges.Row, ...], errors.PlatformFailure]]:
    """Asks for a page of rows."""
    return (yield ScanRows(prefix, after, limit))


def commit(
    transaction: edges.Transaction,
) -> Steps[result.Result[edges.Committed, errors.PlatformFailure]]:
    """Asks for a transaction."""
    return (yield Commit(transaction))


def fetch_object(
    key: str,
) -> Steps[result.Result[bytes | None, errors.PlatformFailure]]:
    """Asks for an object's bytes."""
    return (yield FetchObject(key))


def store_object(
    key: str, body: bytes
) -> Steps[result.Result[None, errors.PlatformFailure]]:
    """Asks for an object to be written."""
    return (yield StoreObject(key, body))


def remove_object(
    key: str,
) -> Steps[result.Result[None, errors.PlatformFailure]]:
    """Asks for an object to be deleted."""
    return (yield RemoveObject(key))


def perform(
    action: Action, table: edges.TableService, objects: edges.ObjectStore
) -> Reply:
    """Carries one action out; blocks."""
    match action:
        case Commit(transaction):
            return table.commit(transaction)
        case ReadRow(key):
            return table.read(key)
        case ScanRows(prefix, after, limit):
            return table.scan(prefix, after, limit)
        case FetchObject(key):
            return objects.fetch(key)
        case StoreObject(key, body):
            return objects.store(key, body)
        case RemoveObject(key):
            return objects.remove(key)


def run(
    steps: Steps[_T], table: edges.TableService, objects: edges.ObjectStore
) -> _T:
    """Carries out all actions of a core and returns its verdict; blocks."""
    reply: Reply | None = None
    while True:
        try:
            action = steps.send(reply)  # type: ignore[arg-type]
        except StopIteration as end:
            return end.value
        reply = perform(action, table, objects)
