"""Follows the store's tables: makes the calls that a watch decides on.

While a relay's word is recent, an instance makes no calls: it asks the relay
for a table when there is news. Where that doesn't answer at once, the store and
another relay are asked beside it, as packets may wait on the way to all.
"""

import asyncio
from collections.abc import Callable
import functools
import logging

import msgspec
import result

from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import shelf
from pollenfork.catalogue import watch
from pollenfork.gateway import client
from pollenfork.gateway import settings
from pollenfork.gateway import tables

_LOG = logging.getLogger(__name__)

# How often a follower that waits for another looks again, in seconds.
_LOOK_S = 0.1
# The store may answer a little before the wait is quite over.
_WAITED_PART = 0.98
# A relay answers at once; beside one that doesn't, others are asked.
_RELAY_TIMEOUT_S = 0.25
# Its answer still counts for this long, in seconds: where packets wait on the
# link for up to 0.5 s, a new connection and an answer take twice as long.
_RELAY_LATEST_S = 1.5
# Relays to which connections are kept.
_RELAYS_KEPT = 3
_OK = 200

Write = Callable[[catalogue.Ask], bytes]
ReadRows = Callable[
    [int, bytes], result.Result[catalogue.Rows, catalogue.Trouble]
]


class Guide(msgspec.Struct, frozen=True):
    """Whom to ask.

    Attributes:
        relay: The instance to ask instead of the store; None: the store.
        news: Whether the relay knows something newer.
        at_once: Whether the store's next answer must not be waited for.
    """

    relay: settings.Address | None = None
    news: bool = False
    at_once: bool = False


class Follower:
    """Keeps one table followed."""

    def __init__(
        self,
        table: tables.Table,
        address: settings.Address,
        watched: watch.Watch,
        rest_s: float,
        write: Write,
        read: ReadRows,
    ) -> None:
        """Takes what it needs.

        Args:
            table: The table.
            address: The store's.
            watched: Decides on the calls.
            rest_s: Seconds between a change and the next call.
            write: Encodes a call.
            read: Decodes an answer.
        """
        self._loop = asyncio.get_running_loop()
        self._table = table
        self._store = client.Client(address)
        self._relays: dict[settings.Address, client.Client] = {}
        self._late: dict[settings.Address, asyncio.Task[client.Answer | None]]
        self._late = {}
        self._beside: asyncio.Task[float] | None = None
        self._lacking_since: float | None = None
        self._guide = Guide()
        self._woken = asyncio.Event()
        self._watch = watched
        self._rest_s = rest_s
        self._hurried = False
        self._waiting = False
        self._calling = False
        self._silent: str | None = None
        self._other: Follower | None = None
        self._write = write
        self._read = read
        self._on_changes: list[Callable[[catalogue.Changes], None]] = []
        self._on_current: list[Callable[[float], None]] = []
        self._on_trouble: list[Callable[[bool], None]] = []
        self._on_answer: list[Callable[[float], None]] = []
        self._on_failure: list[Callable[[float], None]] = []

    def when_changed(self, call: Callable[[catalogue.Changes], None]) -> None:
        """Calls `call` with what changed."""
        self._on_changes.append(call)

    def when_current(self, call: Callable[[float], None]) -> None:
        """Calls `call` with a moment up to which nothing is unknown."""
        self._on_current.append(call)

    def when_troubled(self, call: Callable[[bool], None]) -> None:
        """Calls `call` with True when the store is lost, False when back."""
        self._on_trouble.append(call)

    def when_answered(self, call: Callable[[float], None]) -> None:
        """Calls `call` with when the store answered, before what it said."""
        self._on_answer.append(call)

    def when_failed(self, call: Callable[[float], None]) -> None:
        """Calls `call` with when a call was sent that it didn't answer."""
        self._on_failure.append(call)

    def guide(self, guide: Guide) -> None:
        """Takes whom to ask from now on."""
        if guide == self._guide:
            return
        if guide.at_once and not self._guide.at_once:
            self._watch.ask_at_once()
        self._guide = guide
        self._woken.set()
        if guide.news and self._lacking_since is None:
            self._lacking_since = self._loop.time()
        if guide.relay is not None and self._watch.troubled:
            self._watch.forget_trouble()
            _LOG.info(
                "event=store_bypassed table=%s relay=%s",
                self._table.value,
                guide.relay.host,
            )
        if guide.news and guide.relay is not None and self._calling:
            # The relay knows already what this call waits for, and the store
            # may be silent to this instance.
            self._store.cancel()

    def take_silent(self) -> str | None:
        """Returns the host that didn't answer since the last call, if any."""
        silent, self._silent = self._silent, None
        return silent

    @property
    def troubled(self) -> bool:
        """Whether the last call brought nothing."""
        return self._watch.troubled

    def wait_for(self, other: "Follower") -> None:
        """Makes no calls while another follower's bring nothing."""
        self._other = other

    async def run(self) -> None:
        """Follows the table until cancelled."""
        try:
            await self._follow()
        finally:
            for task in (self._beside, *self._late.values()):
                if task is not None:
                    task.cancel()

    async def _follow(self) -> None:
        while True:
            guide = self._guide
            # News is fetched from whoever has it before the store is asked,
            # which may be silent to this instance for as long as it waits.
            if guide.relay is not None and (guide.news or not self._hurried):
                fetched = await self._follow_relay(guide.relay)
                if fetched or not self._hurried:
                    continue
            if self._beside is not None:
                await asyncio.wait({self._beside})
                continue
            if self._must_wait():
                await asyncio.sleep(_LOOK_S)
                continue
            pause_s = await self._call_once()
            if pause_s:
                await asyncio.sleep(pause_s)

    def _must_wait(self) -> bool:
        """Returns whether another follower finds out if the store is back."""
        return (
            self._guide.relay is None
            and self._other is not None
            and self._other.troubled
        )

    def set_wait(self, wait_s: float) -> None:
        """Sets how long the store may hold the next calls, in seconds."""
        self._watch.wait_s = wait_s

    def hurry(self) -> None:
        """Asks the store at once; gives up a call that waits for it."""
        if self._waiting:
            self._hurried = True
            self._store.cancel()
        elif self._guide.relay is not None:
            self._hurried = True
            self._watch.ask_at_once()
            self._woken.set()

    async def _follow_relay(self, relay: settings.Address) -> bool:
        """Waits for news at the relay, or fetches it.

        Returns:
            False where it was to be fetched and didn't come.
        """
        if not self._guide.news:
            self._woken.clear()
            await self._woken.wait()
            return True
        changes = await self._ask_relay(relay)
        if changes is None:
            await asyncio.sleep(_LOOK_S)
            return False
        self._take_changes(changes)
        return True

    def _take_changes(self, changes: catalogue.Changes) -> None:
        self._guide = Guide(self._guide.relay)
        self._lacking_since = None
        for tell in self._on_changes:
            tell(changes)

    async def _ask_relay(
        self, relay: settings.Address
    ) -> catalogue.Changes | None:
        """Returns what changed; None where the relay brought nothing new."""
        if relay in self._late:
            return None
        asked = self._find_client(relay)
        request = tables.write_ask(self._table)
        asking = self._loop.create_task(asked.call(request, _RELAY_LATEST_S))
        try:
            await asyncio.wait({asking}, timeout=_RELAY_TIMEOUT_S)
        except asyncio.CancelledError:
            asking.cancel()
            raise
        if asking.done() and asking.result() is not None:
            return self._read_answer(relay, asking.result())
        if not asking.done():
            self._late[relay] = asking
            asking.add_done_callback(
                functools.partial(self._on_late_answer, relay)
            )
        self._silent = relay.host
        self._log_silent(relay, None)
        self._ask_store_beside()
        return None

    def _on_late_answer(
        self,
        relay: settings.Address,
        asking: asyncio.Task[client.Answer | None],
    ) -> None:
        """Takes what a relay brings that was given up on."""
        del self._late[relay]
        if asking.cancelled() or asking.result() is None:
            return
        changes = self._read_answer(relay, asking.result())
        if changes is not None:
            self._take_changes(changes)

    def _ask_store_beside(self) -> None:
        """Asks the store for what is there now, unless it is being asked."""
        if self._beside is not None:
            return
        self._watch.ask_at_once()
        self._beside = self._loop.create_task(self._call_once(breakable=False))
        self._beside.add_done_callback(self._on_asked_beside)

    def _on_asked_beside(self, asking: asyncio.Task[float]) -> None:
        self._beside = None

    def _find_client(self, relay: settings.Address) -> client.Client:
        """Returns a client whose connection is kept, the newest ones."""
        found = self._relays.pop(relay, None) or client.Client(relay)
        self._relays[relay] = found
        for address in list(self._relays)[:-_RELAYS_KEPT]:
            self._relays.pop(address).close()
        return found

    def _log_silent(self, relay: settings.Address, status: int | None) -> None:
        since = self._lacking_since
        lacking_s = 0.0 if since is None else self._loop.time() - since
        _LOG.warning(
            "event=relay_silent table=%s relay=%s status=%s known=%s "
            "lacking_ms=%d",
            self._table.value,
            relay.host,
            status or "-",
            self._watch.version,
            lacking_s * 1000,
        )

    def _read_answer(
        self, relay: settings.Address, answer: client.Answer | None
    ) -> catalogue.Changes | None:
        if answer is None or answer[0] != _OK:
            self._log_silent(relay, answer[0] if answer else None)
            return None
        read = shelf.read(answer[1])
        if isinstance(read, result.Err):
            _LOG.error(
                "event=table_unreadable table=%s relay=%s detail=%r",
                self._table.value,
                relay.host,
                read.err_value.detail,
            )
            return None
        return self._watch.take_table(read.ok_value)

    async def _call_once(self, breakable: bool = True) -> float:
        """Calls the store; returns seconds until the next call.

        Args:
            breakable: Whether the call is given up when a relay has news.
        """
        ask = self._watch.next_ask()
        sent_at = self._loop.time()
        self._waiting = ask.wait_s > 0.0
        self._calling = breakable
        answer = await self._call(ask)
        self._waiting = self._calling = False
        hurried, self._hurried = self._hurried, False
        if isinstance(answer, result.Err):
            if hurried and ask.wait_s > 0.0:
                self._watch.ask_at_once()
                self._hurried = self._guide.relay is not None
                return 0.0
            if self._guide.relay is not None and self._guide.news:
                return 0.0
            return self._take_trouble(answer.err_value, sent_at)
        rows = answer.ok_value
        if self._watch.is_stale(rows):
            return self._take_trouble(catalogue.Trouble.STALE, sent_at)
        for note in self._on_answer:
            note(self._loop.time())
        self._note_back()
        changes = self._watch.take_rows(ask, rows)
        if changes is None:
            return 0.0
        if breakable or changes.rows:
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
        answer = await self._store.call(self._write(ask), ask.timeout_s)
        if answer is None:
            return result.Err(catalogue.Trouble.NO_ANSWER)
        return self._read(*answer)

    def _take_trouble(
        self, trouble: catalogue.Trouble, sent_at: float
    ) -> float:
        if trouble.is_failure:
            for note in self._on_failure:
                note(sent_at)
        else:
            for note in self._on_answer:
                note(self._loop.time())
        was_troubled = self._watch.troubled
        pause_s = self._watch.take_trouble(trouble)
        if self._watch.troubled and not was_troubled:
            _LOG.warning(
                "event=store_lost table=%s trouble=%s",
                self._table.value,
                trouble.value,
            )
            for tell in self._on_trouble:
                tell(True)
        elif trouble is catalogue.Trouble.HISTORY_GONE:
            _LOG.info("event=history_gone table=%s", self._table.value)
        return pause_s

    def _note_back(self) -> None:
        if not self._watch.troubled:
            return
        _LOG.info("event=store_back table=%s", self._table.value)
        for tell in self._on_trouble:
            tell(False)
