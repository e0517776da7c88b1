"""The store's tables, told from one instance to another.

A relay follows the store; the other instances of its data centre ask it for a
table when its word says that there is news. So most instances call the store
only as they start, and one that is cut off from it goes on hearing of changes.
"""

import asyncio
import enum
from typing import Protocol

from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import shelf
from pollenfork.gateway import callers
from pollenfork.gateway import messages
from pollenfork.gateway import replies


class Table(enum.Enum):
    """The tables that an instance follows."""

    CONFIGURATION = "configuration"
    RUNNERS = "runners"


class Page(Protocol):
    """Something else that is served at the same address.

    Attributes:
        path: What its targets begin with.
    """

    path: bytes

    def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers a call."""


class Tables:
    """What this instance knows, as others may ask for it."""

    def __init__(self) -> None:
        self._page: Page | None = None
        self._shelves = {table: shelf.Shelf() for table in Table}

    def show(self, page: Page) -> None:
        """Serves an operator's page beside the tables."""
        self._page = page

    def take(self, table: Table, changes: catalogue.Changes) -> None:
        """Takes what changed in a table."""
        self._shelves[table].take(changes)

    async def serve(
        self, call: messages.Request, caller: callers.CallerConnection
    ) -> None:
        """Answers another instance."""
        if self._page is not None and call.target.startswith(self._page.path):
            self._page.serve(call, caller)
            return
        try:
            table = Table(call.target.decode("latin-1").removeprefix("/"))
        except ValueError:
            caller.write(replies.write_fault(404, "no_table"))
            caller.close_after_answer()
            return
        body = self._shelves[table].write()
        caller.write(replies.write_table(body))


def write_ask(table: Table) -> bytes:
    """Returns the request for a table."""
    return b"GET /%b HTTP/1.1\r\nhost: peer\r\n\r\n" % table.value.encode()


def make_server(tables: Tables) -> callers.Server:
    """Returns a server for other instances."""
    return callers.Server(asyncio.get_running_loop(), tables.serve)
