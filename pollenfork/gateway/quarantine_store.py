"""Stores which requests are kept back, and reads that at the start."""

import asyncio
from collections.abc import Awaitable, Callable
import functools
import logging

import msgspec
import result

from pollenfork import ids
from pollenfork import logs
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.gateway import client
from pollenfork.gateway import edges
from pollenfork.gateway import settings
from pollenfork.poison import crashes
from pollenfork.poison import quarantine
from pollenfork.poison import records

_LOG = logging.getLogger(__name__)

# A call takes some milliseconds; the store may be slow.
_CALL_S = 1.0
# Pauses after calls that come to nothing, in seconds; they double, as all
# instances call when the store is back. Until the rows are read a start knows
# what others tell it.
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 8.0
# Rows that wait to be written; the oldest go first, which others still know.
_WAITING_LIMIT = 256
# Rows that a start goes by; it removes older ones, by their last end, so that
# the table doesn't grow for ever. As many as an instance knows of at once.
_ROWS_LIMIT = 1024
# A caller waits for a claim; the store takes some milliseconds.
_CLAIM_S = 0.3
_OK = 200
_TABLE = changes.Table.KEPT_REQUESTS


class _Write(msgspec.Struct, frozen=True):
    """A row to write, or to remove where it has no value."""

    digest: ids.RequestDigest
    value: bytes | None


class QuarantineStore:
    """Writes a row when a request is first kept back here, and removes it.

    Only instances that saw one of its ends themselves write, three at most. So
    a request costs the store three small calls, and each start one.
    """

    def __init__(
        self,
        address: settings.Address,
        store: edges.Store,
        suspected: quarantine.Quarantine,
        read_wall: Callable[[], float],
    ) -> None:
        """Takes what it needs.

        Args:
            address: The store's.
            store: Decodes and encodes the store's calls.
            suspected: Tells what is kept back, and is told.
            read_wall: Returns the time of day in Unix seconds.
        """
        self._loop = asyncio.get_running_loop()
        self._client = client.Client(address)
        self._claims = client.Client(address)
        self._claiming = asyncio.Lock()
        self._store = store
        self._suspected = suspected
        self._read_wall = read_wall
        self._waiting: asyncio.Queue[_Write] = asyncio.Queue(_WAITING_LIMIT)
        self._stored: set[ids.RequestDigest] = set()
        suspected.tracker.when_quarantined(self._note_kept)
        suspected.tracker.when_cleared(self._note_cleared)

    async def run(self) -> None:
        """Reads what is stored, then writes until cancelled."""
        await _try_until(self._read)
        while True:
            write = await self._waiting.get()
            await _try_until(functools.partial(self._write, write))

    async def claim_trial(self, digest: ids.RequestDigest) -> bool:
        """Returns whether this instance may try a request that is kept back.

        The store lets one instance of all have each trial.
        """
        number = self._suspected.take_trial(digest, self._loop.time())
        if number is None:
            return False
        key = records.format_trial_key(digest, number)
        async with self._claiming:
            claim = changes.Put(changes.Table.TRIALS, key, b"", changes.ABSENT)
            call = self._store.write_change(changes.Change((claim,)))
            answer = await self._claims.call(call, _CLAIM_S)
        status = None if answer is None else answer[0]
        _LOG.warning(
            "event=trial_claimed digest=%016x number=%d status=%s",
            digest,
            number,
            status or "-",
        )
        if status in (429, 503):
            self._suspected.trials.record_refused_claim(
                digest, self._loop.time()
            )
        if status == _OK:
            self._stored.add(digest)
        return status == _OK

    async def _read(self) -> bool:
        """Returns whether all rows have been read."""
        start = ""
        found: list[crashes.CrashHistory] = []
        while True:
            ask = self._store.write_range_ask(_TABLE, start)
            answer = await self._client.call(ask, _CALL_S)
            if answer is None:
                return False
            read = self._store.read_rows(*answer)
            if isinstance(read, result.Err):
                return False
            rows = read.ok_value
            found += filter(None, map(self._decode, rows.rows))
            if not rows.more or not rows.rows:
                self._restore(found)
                return True
            start = rows.rows[-1].key + "\0"

    def _decode(self, row: catalogue.Row) -> crashes.CrashHistory | None:
        now = self._loop.time()
        read = records.decode(row.key, row.value, now, self._read_wall())
        if isinstance(read, result.Ok):
            return read.ok_value
        _LOG.warning(
            "event=kept_request_unreadable key=%s detail=%s",
            logs.write_value(row.key),
            logs.write_value(read.err_value.detail),
        )
        return None

    def _restore(self, found: list[crashes.CrashHistory]) -> None:
        _LOG.info("event=kept_requests_read count=%d", len(found))
        found.sort(key=lambda case: case.crashes[-1].crashed_at, reverse=True)
        now = self._loop.time()
        for case in reversed(found[:_ROWS_LIMIT]):
            self._stored.add(case.digest)
            self._suspected.tracker.restore(case, now)
        for case in found[_ROWS_LIMIT : _ROWS_LIMIT + _WAITING_LIMIT]:
            self._put(_Write(case.digest, None))

    async def _write(self, write: _Write) -> bool:
        """Returns whether the store took a row, or will never take it."""
        key = records.format_key(write.digest)
        call = self._store.write_change(_make_change(write))
        answer = await self._client.call(call, _CALL_S)
        if answer is None or answer[0] in (429, 503):
            return False
        if answer[0] != _OK:
            _LOG.error("event=store_refused key=%s status=%d", key, answer[0])
        return True

    def _note_kept(self, case: crashes.CrashHistory, now: float) -> None:
        if case.digest in self._stored or not self._suspected.saw_crash(case):
            return
        self._stored.add(case.digest)
        value = records.encode(case, now, self._read_wall())
        self._put(_Write(case.digest, value))

    def _note_cleared(self, case: crashes.CrashHistory, now: float) -> None:
        if case.quarantined_at is None and case.digest in self._stored:
            self._stored.discard(case.digest)
            self._put(_Write(case.digest, None))

    def _put(self, write: _Write) -> None:
        if self._waiting.full():
            self._waiting.get_nowait()
        self._waiting.put_nowait(write)


def _make_change(write: _Write) -> changes.Change:
    """Returns what writes a row, or removes it and its trials' claims."""
    key = records.format_key(write.digest)
    if write.value is not None:
        return changes.Change((changes.Put(_TABLE, key, write.value),))
    trials = records.list_trial_keys(write.digest)
    claims = [changes.Key(changes.Table.TRIALS, each) for each in trials]
    return changes.Change(removed=(changes.Key(_TABLE, key), *claims))


async def _try_until(call: Callable[[], Awaitable[bool]]) -> None:
    """Makes a call again and again until it says that it is done."""
    pause_s = _FIRST_PAUSE_S
    while not await call():
        await asyncio.sleep(pause_s)
        pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
