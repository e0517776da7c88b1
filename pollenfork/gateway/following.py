"""Follows a table of the store by making the calls that a watch decides on.

While a relay's proof is recent, an instance doesn't call the store; it fetches
the table from the relay when the relay announces a newer version. If the relay
doesn't answer promptly, the store and another relay are asked in parallel,
because packets may be delayed on any of the links.
"""

import asyncio
from collections.abc import Callable, Iterable
import functools
import logging

import msgspec
import result

from pollenfork import versions
from pollenfork.catalogue import messages as catalogue
from pollenfork.catalogue import table_copy
from pollenfork.catalogue import watch
from pollenfork.gateway import client
from pollenfork.gateway import messages
from pollenfork.gateway import settings
from pollenfork.gateway import tables

_LOG = logging.getLogger(__name__)

# Seconds between polls while waiting for another follower.
_POLL_S = 0.1
# The store may answer slightly before the requested wait has elapsed.
_WAIT_FRACTION = 0.98
# A relay normally answers immediately. After this many seconds without an
# answer, other sources are asked in parallel.
_RELAY_TIMEOUT_S = 0.25
# Seconds for which a late answer of a relay is still accepted: where packets
# queue on the link for up to 0.5 s, connecting and answering take twice that.
_RELAY_CALL_TIMEOUT_S = 1.5
# The number of relays to which connections are kept open.
_MAX_RELAY_CLIENTS = 3
_OK = 200

Write = Callable[[catalogue.ReadCall], bytes]
ReadRows = Callable[
    [int, bytes, Iterable[messages.Header]],
    result.Result[catalogue.Rows, catalogue.ReadFailure],
]


class SourceChoice(msgspec.Struct, frozen=True):
    """Where to fetch the table from.

    Attributes:
        relay: The instance to ask instead of the store; None: the store.
        is_newer: Whether the relay has a newer version.
        at_once: Whether the store's next call must return without waiting for
            a change.
    """

    relay: settings.Address | None = None
    is_newer: bool = False
    at_once: bool = False


class Follower:
    """Keeps this instance's copy of one table up to date."""

    def __init__(
        self,
        table: tables.Table,
        address: settings.Address,
        watched: watch.Watch,
        cooldown_s: float,
        write: Write,
        read: ReadRows,
    ) -> None:
        """Creates a follower that hasn't read anything yet.

        Args:
            table: The table to follow.
            address: The store's address.
            watched: Decides which call to make next.
            cooldown_s: Seconds between a change and the next call.
            write: Encodes a call.
            read: Decodes an answer.
        """
        self._loop = asyncio.get_running_loop()
        self._table = table
        self._store = client.Client(address)
        self._relays: dict[settings.Address, client.Client] = {}
        self._late_calls: dict[
            settings.Address, asyncio.Task[client.Answer | None]
        ]
        self._late_calls = {}
        self._parallel_call: asyncio.Task[float] | None = None
        self._missing_since: float | None = None
        self._source = SourceChoice()
        self._wake_event = asyncio.Event()
        self._watch = watched
        self._epoch = 0
        self._latest_epoch = 0
        self._cooldown_s = cooldown_s
        self._store_requested = False
        self._waiting = False
        self._calling = False
        self._unresponsive: str | None = None
        self._without_news: str | None = None
        self._deferred_to: Follower | None = None
        self._write = write
        self._read = read
        self._on_changes: list[Callable[[catalogue.Changes], None]] = []
        self._on_current: list[Callable[[float], None]] = []
        self._on_outage: list[Callable[[bool], None]] = []
        self._on_answer: list[Callable[[float], None]] = []
        self._on_failure: list[Callable[[float], None]] = []
        self._on_epoch: list[Callable[[int], None]] = []

    def when_changed(
        self, callback: Callable[[catalogue.Changes], None]
    ) -> None:
        """Calls `callback` with every set of changes."""
        self._on_changes.append(callback)

    def when_current(self, callback: Callable[[float], None]) -> None:
        """Calls `callback` with a time up to which the copy is complete."""
        self._on_current.append(callback)

    def when_outage_changed(self, callback: Callable[[bool], None]) -> None:
        """Calls `callback` with whether the store is lost, on each change."""
        self._on_outage.append(callback)

    def when_answered(self, callback: Callable[[float], None]) -> None:
        """Calls `callback` with the time of an answer, before its changes."""
        self._on_answer.append(callback)

    def when_failed(self, callback: Callable[[float], None]) -> None:
        """Calls `callback` with the time at which a failed call was sent."""
        self._on_failure.append(callback)

    def when_epoch_began(self, callback: Callable[[int], None]) -> None:
        """Calls `callback` with each epoch of the store that is later."""
        self._on_epoch.append(callback)

    def begin_epoch(self, epoch: int) -> None:
        """Handles an epoch that another table's answer belongs to."""
        if self._watch.begin_epoch(epoch) and self._waiting:
            self.ask_store_now()

    def set_source(self, source: SourceChoice) -> None:
        """Sets where to fetch the table from."""
        if source == self._source:
            return
        if source.at_once and not self._source.at_once:
            self._watch.skip_wait()
        self._source = source
        self._wake_event.set()
        if source.is_newer and self._missing_since is None:
            self._missing_since = self._loop.time()
        if source.relay is not None and self._watch.failing:
            self._watch.reset_failures()
            _LOG.info(
                "event=store_bypassed table=%s relay=%s",
                self._table.value,
                source.relay.host,
            )
        if source.is_newer and source.relay is not None and self._calling:
            # The relay already has what this call waits for, and the store may
            # not be answering this instance.
            self._store.cancel()

    def take_unresponsive(self) -> str | None:
        """Returns and clears the relay that last failed to answer, if any."""
        unresponsive, self._unresponsive = self._unresponsive, None
        return unresponsive

    def take_without_news(self) -> str | None:
        """Returns and clears the relay whose table was last no newer."""
        without_news, self._without_news = self._without_news, None
        return without_news

    @property
    def failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._watch.failing

    def defer_to(self, other: "Follower") -> None:
        """Suspends calls to the store while another follower's calls fail."""
        self._deferred_to = other

    async def run(self) -> None:
        """Follows the table until cancelled."""
        try:
            await self._follow()
        finally:
            for task in (self._parallel_call, *self._late_calls.values()):
                if task is not None:
                    task.cancel()

    async def _follow(self) -> None:
        while True:
            source = self._source
            # A newer version is fetched from the instance that has it before
            # the store is asked: the store may not answer this instance until
            # the call times out.
            if source.relay is not None and (
                source.is_newer or not self._store_requested
            ):
                fetched = await self._follow_relay(source.relay)
                if fetched or not self._store_requested:
                    continue
            if self._parallel_call is not None:
                await asyncio.wait({self._parallel_call})
                continue
            if self._must_defer():
                await asyncio.sleep(_POLL_S)
                continue
            pause_s = await self._call_once()
            if pause_s:
                await asyncio.sleep(pause_s)

    def _must_defer(self) -> bool:
        """Returns whether another follower checks if the store is back."""
        return (
            self._source.relay is None
            and self._deferred_to is not None
            and self._deferred_to.failing
        )

    def set_wait(self, wait_s: float) -> None:
        """Sets for how many seconds the store may hold the next calls."""
        self._watch.wait_s = wait_s

    def ask_store_now(self) -> None:
        """Asks the store immediately, cancelling a call that is waiting."""
        if self._waiting:
            self._store_requested = True
            self._store.cancel()
        elif self._source.relay is not None:
            self._store_requested = True
            self._watch.skip_wait()
            self._wake_event.set()

    async def _follow_relay(self, relay: settings.Address) -> bool:
        """Waits until the relay has a newer version, or fetches it.

        Returns:
            False if the newer version could not be fetched.
        """
        if not self._source.is_newer:
            self._wake_event.clear()
            await self._wake_event.wait()
            return True
        changes = await self._ask_relay(relay)
        if changes is None:
            await asyncio.sleep(_POLL_S)
            return False
        self._take_changes(changes)
        return True

    def _take_changes(self, changes: catalogue.Changes) -> None:
        self._source = SourceChoice(self._source.relay)
        self._missing_since = None
        for on_changes in self._on_changes:
            on_changes(changes)
        self._note_epoch(versions.get_epoch(changes.through))

    async def _ask_relay(
        self, relay: settings.Address
    ) -> catalogue.Changes | None:
        """Returns what changed, or None if the relay had nothing newer."""
        if relay in self._late_calls:
            return None
        relay_client = self._get_client(relay)
        request = tables.write_ask(self._table)
        call_task = self._loop.create_task(
            relay_client.call(request, _RELAY_CALL_TIMEOUT_S)
        )
        try:
            await asyncio.wait({call_task}, timeout=_RELAY_TIMEOUT_S)
        except asyncio.CancelledError:
            call_task.cancel()
            raise
        if call_task.done() and call_task.result() is not None:
            return self._read_answer(relay, call_task.result())
        if not call_task.done():
            self._late_calls[relay] = call_task
            call_task.add_done_callback(
                functools.partial(self._on_late_answer, relay)
            )
        self._unresponsive = relay.host
        self._log_no_answer(relay, None)
        self._ask_store_in_parallel()
        return None

    def _on_late_answer(
        self,
        relay: settings.Address,
        call_task: asyncio.Task[client.Answer | None],
    ) -> None:
        """Handles an answer that arrives after `_RELAY_TIMEOUT_S`."""
        del self._late_calls[relay]
        if call_task.cancelled() or call_task.result() is None:
            return
        changes = self._read_answer(relay, call_task.result())
        if changes is not None:
            self._take_changes(changes)

    def _ask_store_in_parallel(self) -> None:
        """Reads the store's current state in parallel, one call at a time."""
        if self._parallel_call is not None:
            return
        self._watch.skip_wait()
        self._parallel_call = self._loop.create_task(
            self._call_once(cancellable=False)
        )
        self._parallel_call.add_done_callback(self._on_parallel_call_done)

    def _on_parallel_call_done(self, call_task: asyncio.Task[float]) -> None:
        self._parallel_call = None

    def _get_client(self, relay: settings.Address) -> client.Client:
        """Returns the relay's client; closes the least recently used ones."""
        relay_client = self._relays.pop(relay, None) or client.Client(relay)
        self._relays[relay] = relay_client
        for address in list(self._relays)[:-_MAX_RELAY_CLIENTS]:
            self._relays.pop(address).close()
        return relay_client

    def _log_no_answer(
        self, relay: settings.Address, status: int | None
    ) -> None:
        since = self._missing_since
        missing_s = 0.0 if since is None else self._loop.time() - since
        _LOG.warning(
            "event=relay_silent table=%s relay=%s status=%s known=%s "
            "lacking_ms=%d",
            self._table.value,
            relay.host,
            status or "-",
            versions.get_number(self._watch.version),
            missing_s * 1000,
        )

    def _read_answer(
        self, relay: settings.Address, answer: client.Answer | None
    ) -> catalogue.Changes | None:
        if answer is None or answer.status != _OK:
            self._log_no_answer(relay, answer.status if answer else None)
            return None
        read = table_copy.decode(answer.body)
        if isinstance(read, result.Err):
            _LOG.error(
                "event=table_unreadable table=%s relay=%s detail=%r",
                self._table.value,
                relay.host,
                read.err_value.detail,
            )
            return None
        changes = self._watch.take_table(read.ok_value)
        if changes is None:
            self._without_news = relay.host
        return changes

    async def _call_once(self, cancellable: bool = True) -> float:
        """Calls the store and returns the seconds until the next call.

        Args:
            cancellable: Whether the call is cancelled when a relay has a newer
                version.
        """
        ask = self._watch.next_call()
        sent_at = self._loop.time()
        self._waiting = ask.wait_s > 0.0
        self._calling = cancellable
        answer = await self._call(ask)
        self._waiting = self._calling = False
        store_requested, self._store_requested = self._store_requested, False
        if isinstance(answer, result.Err):
            if store_requested and ask.wait_s > 0.0:
                self._watch.skip_wait()
                self._store_requested = self._source.relay is not None
                return 0.0
            if self._source.relay is not None and self._source.is_newer:
                return 0.0
            return self._handle_trouble(answer.err_value, sent_at)
        rows = answer.ok_value
        self._log_epoch(rows)
        self._note_epoch(versions.get_epoch(rows.version))
        trouble = self._find_trouble(ask, rows)
        if trouble is not None:
            return self._handle_trouble(trouble, sent_at)
        for on_answer in self._on_answer:
            on_answer(self._loop.time())
        self._report_recovery()
        changes = self._watch.take_rows(ask, rows)
        if changes is None:
            return 0.0
        if cancellable or changes.rows:
            for on_changes in self._on_changes:
                on_changes(changes)
        moment = self._find_proven_until(ask, rows, sent_at)
        for on_current in self._on_current:
            on_current(moment)
        return self._cooldown_s if changes.rows else 0.0

    def _find_trouble(
        self, ask: catalogue.ReadCall, rows: catalogue.Rows
    ) -> catalogue.ReadFailure | None:
        """Returns why an answer that could be decoded isn't taken."""
        if self._watch.is_stale(rows):
            return catalogue.ReadFailure.STALE
        if self._watch.is_misplaced(ask, rows):
            return catalogue.ReadFailure.UNREADABLE
        return None

    def _note_epoch(self, epoch: int) -> None:
        if epoch <= self._latest_epoch:
            return
        self._latest_epoch = epoch
        for on_epoch in self._on_epoch:
            on_epoch(epoch)

    def _log_epoch(self, rows: catalogue.Rows) -> None:
        """Logs that the store answers from a copy that it was restored from."""
        epoch = versions.get_epoch(rows.version)
        if epoch != self._epoch:
            _LOG.info(
                "event=store_epoch table=%s epoch=%d before=%d version=%d "
                "known=%d",
                self._table.value,
                epoch,
                self._epoch,
                versions.get_number(rows.version),
                versions.get_number(self._watch.version),
            )
        self._epoch = epoch

    def _find_proven_until(
        self, ask: catalogue.ReadCall, rows: catalogue.Rows, sent_at: float
    ) -> float:
        """Returns the time up to which the answer proves the copy complete.

        An answer without rows was held for the whole wait, so it was true at
        the end of the wait. Any other answer may have been produced right
        after the call was sent.
        """
        waited_s = self._loop.time() - sent_at
        if not rows.rows and waited_s >= ask.wait_s * _WAIT_FRACTION:
            return sent_at + ask.wait_s * _WAIT_FRACTION
        return sent_at

    async def _call(
        self, ask: catalogue.ReadCall
    ) -> result.Result[catalogue.Rows, catalogue.ReadFailure]:
        answer = await self._store.call(self._write(ask), ask.timeout_s)
        if answer is None:
            return result.Err(catalogue.ReadFailure.NO_ANSWER)
        return self._read(*answer)

    def _handle_trouble(
        self, trouble: catalogue.ReadFailure, sent_at: float
    ) -> float:
        if trouble.is_failure:
            for on_failure in self._on_failure:
                on_failure(sent_at)
        else:
            for on_answer in self._on_answer:
                on_answer(self._loop.time())
        was_troubled = self._watch.failing
        pause_s = self._watch.record_failure(trouble)
        if self._watch.failing and not was_troubled:
            _LOG.warning(
                "event=store_lost table=%s trouble=%s",
                self._table.value,
                trouble.value,
            )
            for on_outage in self._on_outage:
                on_outage(True)
        elif trouble is catalogue.ReadFailure.HISTORY_GONE:
            _LOG.info("event=history_gone table=%s", self._table.value)
        return pause_s

    def _report_recovery(self) -> None:
        if not self._watch.failing:
            return
        _LOG.info("event=store_back table=%s", self._table.value)
        for on_outage in self._on_outage:
            on_outage(False)
