"""Actions of the ledger's logic, which makes no platform calls itself.

The logic consists of generators. Each yields an action, receives the reply to
it and finally returns a result. It reads no clock and holds no connection:
`run` performs the actions, and a test can supply the replies itself.
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
    """Yields the reading of one row; returns the reply."""
    return (yield ReadRow(key))


def scan_rows(
    prefix: str, after: str, limit: int
) -> Steps[result.Result[tuple[edges.Row, ...], errors.PlatformFailure]]:
    """Yields the reading of a page of rows; returns the reply."""
    return (yield ScanRows(prefix, after, limit))


def commit(
    transaction: edges.Transaction,
) -> Steps[result.Result[edges.Committed, errors.PlatformFailure]]:
    """Yields a transaction; returns the reply."""
    return (yield Commit(transaction))


def fetch_object(
    key: str,
) -> Steps[result.Result[bytes | None, errors.PlatformFailure]]:
    """Yields the reading of an object; returns the reply."""
    return (yield FetchObject(key))


def store_object(
    key: str, body: bytes
) -> Steps[result.Result[None, errors.PlatformFailure]]:
    """Yields the writing of an object; returns the reply."""
    return (yield StoreObject(key, body))


def remove_object(
    key: str,
) -> Steps[result.Result[None, errors.PlatformFailure]]:
    """Yields the deletion of an object; returns the reply."""
    return (yield RemoveObject(key))


def perform(
    action: Action, table: edges.TableService, objects: edges.ObjectStore
) -> Reply:
    """Performs one action; blocks."""
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
    """Performs all actions of a generator, returns its result; blocks."""
    reply: Reply | None = None
    while True:
        try:
            action = steps.send(reply)  # type: ignore[arg-type]
        except StopIteration as end:
            return end.value
        reply = perform(action, table, objects)
