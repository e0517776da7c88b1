"""Serves this instance's copies of the store's tables to other instances.

A relay follows the store; the other instances of its data centre request a
table from it when it announces a newer version. So most instances call the
store only at their start, and an instance that the store refuses still
receives changes.

Requests that other instances forward arrive at the same address.
"""

import asyncio
from collections.abc import Awaitable, Callable
import enum
from typing import Protocol

from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import table_copy
from pollenfork.gateway import buffers
from pollenfork.gateway import callers
from pollenfork.gateway import forwarding
from pollenfork.gateway import messages
from pollenfork.gateway import replies


class Table(enum.Enum):
    """The tables that an instance follows."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"


class Page(Protocol):
    """A page that is served at the same address.

    Attributes:
        path: The prefix of its request targets.
    """

    path: bytes

    def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers a call."""


ServeForwarded = Callable[
    [messages.Request, forwarding.Forwarded, callers.CallerConnection],
    Awaitable[None],
]


class Tables:
    """The copies of the tables that other instances may request."""

    def __init__(self) -> None:
        self._page: Page | None = None
        self._serve_forwarded: ServeForwarded | None = None
        self._shelves = {table: table_copy.TableCopy() for table in Table}

    def add_page(self, page: Page) -> None:
        """Serves a page for operators in addition to the tables."""
        self._page = page

    def accept_forwarded(self, serve: ServeForwarded) -> None:
        """Serves requests that other instances forward."""
        self._serve_forwarded = serve

    def take(self, table: Table, changes: catalogue.Changes) -> None:
        """Applies changes to the copy of a table."""
        self._shelves[table].apply(changes)

    async def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers a request of another instance."""
        forwarded = forwarding.take_forwarded(call)
        if forwarded is not None and self._serve_forwarded is not None:
            await self._serve_forwarded(*forwarded, caller)
            return
        if self._page is not None and call.target.startswith(self._page.path):
            self._page.serve(call, caller)
            return
        try:
            table = Table(call.target.decode("latin-1").removeprefix("/"))
        except ValueError:
            caller.write(replies.write_fault(404, "no_table"))
            caller.close_after_answer()
            return
        body = self._shelves[table].encode()
        caller.write(replies.write_table(body))


def write_ask(table: Table) -> bytes:
    """Returns the request for a table."""
    return b"GET /%b HTTP/1.1\r\nhost: peer\r\n\r\n" % table.value.encode()


def make_server(
    tables: Tables, account: buffers.Account | None = None
) -> callers.Server:
    """Returns a server for other instances.

    Args:
        tables: The tables that it serves.
        account: What is held for callers; None: no bound.
    """
    return callers.Server(asyncio.get_running_loop(), tables.serve, account)
