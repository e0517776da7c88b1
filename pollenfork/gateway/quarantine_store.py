"""Persists quarantined requests in the store and restores them at start."""

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

# The timeout of a call, in seconds. A call usually takes some milliseconds, but
# the store may be slow.
_CALL_TIMEOUT_S = 1.0
# Pauses after failed calls, in seconds. They double, because all instances call
# when the store is back. Until the rows are read, a starting instance knows
# what its peers send.
_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 8.0
# The maximum number of queued writes. If exceeded, the oldest are dropped;
# other instances still know them.
_QUEUE_LIMIT = 256
# The maximum number of rows that a start restores, which is also how many an
# instance holds at once. Rows whose last crash is older are removed, so that
# the table doesn't grow without limit.
_ROWS_LIMIT = 1024
# The timeout of a claim, in seconds, while a caller waits. The store usually
# takes some milliseconds.
_CLAIM_TIMEOUT_S = 0.3
_OK = 200
_TABLE = changes.Table.KEPT_REQUESTS


class _Write(msgspec.Struct, frozen=True):
    """A row to write, or to remove if it has no value."""

    digest: ids.RequestDigest
    value: bytes | None


class QuarantineStore:
    """Writes a row when a request is quarantined here, and removes it later.

    Only instances that observed one of its crashes write the row, at most
    three. So a request costs the store three small calls, and each start of an
    instance one.
    """

    def __init__(
        self,
        address: settings.Address,
        store: edges.Store,
        request_quarantine: quarantine.Quarantine,
        read_wall: Callable[[], float],
    ) -> None:
        """Subscribes to changes of the quarantine; `run` makes the calls.

        Args:
            address: The store's address.
            store: Decodes and encodes the store's calls.
            request_quarantine: The quarantine to persist and to restore.
            read_wall: Returns the wall-clock time in Unix seconds.
        """
        self._loop = asyncio.get_running_loop()
        self._client = client.Client(address)
        self._claims = client.Client(address)
        self._claiming = asyncio.Lock()
        self._store = store
        self._quarantine = request_quarantine
        self._read_wall = read_wall
        self._queue: asyncio.Queue[_Write] = asyncio.Queue(_QUEUE_LIMIT)
        self._stored: set[ids.RequestDigest] = set()
        request_quarantine.tracker.when_quarantined(self._on_quarantined)
        request_quarantine.tracker.when_cleared(self._on_cleared)

    async def run(self) -> None:
        """Restores the stored requests, then writes until cancelled."""
        await _retry_until_done(self._read)
        while True:
            write = await self._queue.get()
            await _retry_until_done(functools.partial(self._write, write))

    def rewrite(self) -> None:
        """Writes rows again that the store may have lost when it was restored.

        As at first, only instances that observed one of the crashes do.
        """
        now = self._loop.time()
        for history in self._quarantine.tracker.list_quarantined():
            self._stored.discard(history.digest)
            self._on_quarantined(history, now)

    async def claim_trial(
        self, digest: ids.RequestDigest, is_part: bool = False
    ) -> bool:
        """Returns whether this instance may run a trial of a request.

        The store grants each trial of a quarantined request to one instance.

        Args:
            digest: The digest of the request, or of a part of its prompt.
            is_part: Whether it is that of a part.
        """
        number = self._quarantine.take_trial(
            digest, self._loop.time(), is_part=is_part
        )
        if number is None:
            return False
        key = records.format_trial_key(digest, number)
        async with self._claiming:
            claim = changes.Put(changes.Table.TRIALS, key, b"", changes.ABSENT)
            call = self._store.encode_change(changes.Change((claim,)))
            answer = await self._claims.call(call, _CLAIM_TIMEOUT_S)
        status = None if answer is None else answer.status
        _LOG.warning(
            "event=trial_claimed digest=%016x number=%d status=%s",
            digest,
            number,
            status or "-",
        )
        if status in (429, 503):
            self._quarantine.trials.record_refused_claim(
                digest, self._loop.time()
            )
        if status == _OK:
            self._stored.add(digest)
        return status == _OK

    async def _read(self) -> bool:
        """Restores all rows; returns whether they could be read."""
        start = ""
        histories: list[crashes.CrashHistory] = []
        while True:
            request = self._store.encode_range_read(_TABLE, start)
            answer = await self._client.call(request, _CALL_TIMEOUT_S)
            if answer is None:
                return False
            read = self._store.decode_rows(*answer)
            if isinstance(read, result.Err):
                return False
            rows = read.ok_value
            histories += filter(None, map(self._decode, rows.rows))
            if not rows.more or not rows.rows:
                self._restore(histories)
                return True
            start = rows.rows[-1].key + "\0"

    def _decode(self, row: catalogue.Row) -> crashes.CrashHistory | None:
        now = self._loop.time()
        read = records.decode(row.key, row.value, now, self._read_wall())
        if isinstance(read, result.Ok):
            return read.ok_value
        _LOG.warning(
            "event=kept_request_unreadable key=%s detail=%s",
            logs.quote_value(row.key),
            logs.quote_value(read.err_value.detail),
        )
        return None

    def _restore(self, histories: list[crashes.CrashHistory]) -> None:
        _LOG.info("event=kept_requests_read count=%d", len(histories))
        histories.sort(
            key=lambda history: history.crashes[-1].crashed_at, reverse=True
        )
        now = self._loop.time()
        for history in reversed(histories[:_ROWS_LIMIT]):
            self._stored.add(history.digest)
            self._quarantine.tracker.restore(history, now)
        for history in histories[_ROWS_LIMIT : _ROWS_LIMIT + _QUEUE_LIMIT]:
            self._enqueue(_Write(history.digest, None))

    async def _write(self, write: _Write) -> bool:
        """Returns whether the store accepted or finally rejected a row."""
        key = records.format_key(write.digest)
        call = self._store.encode_change(_make_change(write))
        answer = await self._client.call(call, _CALL_TIMEOUT_S)
        if answer is None or answer.status in (429, 503):
            return False
        if answer.status != _OK:
            _LOG.error(
                "event=store_refused key=%s status=%d", key, answer.status
            )
        return True

    def _on_quarantined(
        self, history: crashes.CrashHistory, now: float
    ) -> None:
        if history.digest in self._stored or not self._quarantine.saw_crash(
            history
        ):
            return
        self._stored.add(history.digest)
        value = records.encode(history, now, self._read_wall())
        self._enqueue(_Write(history.digest, value))

    def _on_cleared(self, history: crashes.CrashHistory, now: float) -> None:
        if history.quarantined_at is None and history.digest in self._stored:
            self._stored.discard(history.digest)
            self._enqueue(_Write(history.digest, None))

    def _enqueue(self, write: _Write) -> None:
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(write)


def _make_change(write: _Write) -> changes.Change:
    """Returns a change that writes a row, or removes it with its claims."""
    key = records.format_key(write.digest)
    if write.value is not None:
        return changes.Change((changes.Put(_TABLE, key, write.value),))
    trials = records.list_trial_keys(write.digest)
    claims = [changes.Key(changes.Table.TRIALS, each) for each in trials]
    return changes.Change(removed=(changes.Key(_TABLE, key), *claims))


async def _retry_until_done(call: Callable[[], Awaitable[bool]]) -> None:
    """Repeats a call with pauses until it returns True."""
    pause_s = _FIRST_PAUSE_S
    while not await call():
        await asyncio.sleep(pause_s)
        pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)
