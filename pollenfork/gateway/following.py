"""Follows the store's tables: makes the calls that a watch decides on."""

import asyncio
from collections.abc import Callable
import logging

import result

from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import watch
from pollenfork.gateway import connection
from pollenfork.gateway import messages
from pollenfork.gateway import settings

_LOG = logging.getLogger(__name__)

_CONNECT_S = 0.5
# How often a follower that waits for another looks again, in seconds.
_LOOK_S = 0.1
# The store may answer a little before the wait is quite over.
_WAITED_PART = 0.98

Write = Callable[[catalogue.Ask], bytes]
ReadRows = Callable[
    [int, bytes], result.Result[catalogue.Rows, catalogue.Trouble]
]


class Body:
    """Takes a whole answer of the store.

    Attributes:
        done: Resolves with status and body; None where the answer broke.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.done: asyncio.Future[tuple[int, bytes] | None]
        self.done = loop.create_future()
        self._status = 0
        self._pieces: list[bytes] = []

    def take_head(self, status: int, headers: list[messages.Header]) -> bool:
        """Takes the status."""
        self._status = status
        return True

    def take_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._pieces.append(data)

    def take_end(self) -> None:
        """Notes that the answer is whole."""
        if not self.done.done():
            self.done.set_result((self._status, b"".join(self._pieces)))

    def take_breach(self, breach: connection.Breach) -> None:
        """Notes that no more comes."""
        if not self.done.done():
            self.done.set_result(None)


class Follower:
    """Keeps one table followed over one connection."""

    def __init__(
        self,
        name: str,
        address: settings.Address,
        watched: watch.Watch,
        rest_s: float,
        write: Write,
        read: ReadRows,
    ) -> None:
        """Takes what it needs.

        Args:
            name: The table's name in the log.
            address: The store's.
            watched: Decides on the calls.
            rest_s: Seconds between a change and the next call.
            write: Encodes a call.
            read: Decodes an answer.
        """
        self._loop = asyncio.get_running_loop()
        self._name = name
        self._address = address
        self._watch = watched
        self._rest_s = rest_s
        self._hurried = False
        self._waiting = False
        self._other: Follower | None = None
        self._write = write
        self._read = read
        self._connection: connection.Connection | None = None
        self._on_changes: list[Callable[[catalogue.Changes], None]] = []
        self._on_current: list[Callable[[float], None]] = []
        self._on_trouble: list[Callable[[bool], None]] = []

    def when_changed(self, call: Callable[[catalogue.Changes], None]) -> None:
        """Calls `call` with what changed."""
        self._on_changes.append(call)

    def when_current(self, call: Callable[[float], None]) -> None:
        """Calls `call` with a moment up to which nothing is unknown."""
        self._on_current.append(call)

    def when_troubled(self, call: Callable[[bool], None]) -> None:
        """Calls `call` with True when the store is lost, False when back."""
        self._on_trouble.append(call)

    @property
    def troubled(self) -> bool:
        """Whether the last call brought nothing."""
        return self._watch.troubled

    def wait_for(self, other: "Follower") -> None:
        """Makes no calls while another follower's bring nothing."""
        self._other = other

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            while self._other is not None and self._other.troubled:
                await asyncio.sleep(_LOOK_S)
            pause_s = await self._call_once()
            if pause_s:
                await asyncio.sleep(pause_s)

    def set_wait(self, wait_s: float) -> None:
        """Sets how long the store may hold the next calls, in seconds."""
        self._watch.wait_s = wait_s

    def hurry(self) -> None:
        """Gives up a call that waits, and asks at once on a new path."""
        if self._waiting and self._connection is not None:
            self._hurried = True
            self._connection.break_off()

    async def _call_once(self) -> float:
        ask = self._watch.next_ask()
        sent_at = self._loop.time()
        self._waiting = ask.wait_s > 0.0
        answer = await self._call(ask)
        self._waiting = False
        if self._hurried:
            self._hurried = False
            if isinstance(answer, result.Err):
                self._watch.ask_at_once()
                return 0.0
        if isinstance(answer, result.Err):
            return self._take_trouble(answer.err_value)
        rows = answer.ok_value
        self._note_back()
        changes = self._watch.take_rows(ask, rows)
        if changes is None:
            return 0.0
        for tell in self._on_changes:
            tell(changes)
        moment = self._find_moment(ask, rows, sent_at)
        for vouch in self._on_current:
            vouch(moment)
        return self._rest_s if changes.rows else 0.0

    def _find_moment(
        self, ask: catalogue.Ask, rows: catalogue.Rows, sent_at: float
    ) -> float:
        """Returns up to when the answer proves that all is known.

        An answer without rows was held for the whole wait, and was right at
        the end of it; of any other, only the sending is sure to precede it.
        """
        waited_s = self._loop.time() - sent_at
        if not rows.rows and waited_s >= ask.wait_s * _WAITED_PART:
            return sent_at + ask.wait_s * _WAITED_PART
        return sent_at

    async def _call(
        self, ask: catalogue.Ask
    ) -> result.Result[catalogue.Rows, catalogue.Trouble]:
        body = Body(self._loop)
        try:
            async with asyncio.timeout(ask.timeout_s):
                opened = await self._connect()
                opened.send(self._write(ask), body)
                answer = await body.done
        except (OSError, TimeoutError):
            answer = None
        if answer is None:
            self._disconnect()
            return result.Err(catalogue.Trouble.NO_ANSWER)
        return self._read(*answer)

    async def _connect(self) -> connection.Connection:
        kept = self._connection
        if kept is not None and kept.usable:
            return kept
        self._disconnect()
        connecting = self._loop.create_connection(
            lambda: connection.Connection(self._loop), *self._address
        )
        async with asyncio.timeout(_CONNECT_S):
            _, opened = await connecting
        self._connection = opened
        return opened

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _take_trouble(self, trouble: catalogue.Trouble) -> float:
        was_troubled = self._watch.troubled
        pause_s = self._watch.take_trouble(trouble)
        if self._watch.troubled and not was_troubled:
            _LOG.warning(
                "event=store_lost table=%s trouble=%s",
                self._name,
                trouble.value,
            )
            for tell in self._on_trouble:
                tell(True)
        elif trouble is catalogue.Trouble.HISTORY_GONE:
            _LOG.info("event=history_gone table=%s", self._name)
        return pause_s

    def _note_back(self) -> None:
        if not self._watch.troubled:
            return
        _LOG.info("event=store_back table=%s", self._name)
        for tell in self._on_trouble:
            tell(False)
