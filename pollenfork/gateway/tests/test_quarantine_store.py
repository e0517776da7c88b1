"""Stored quarantined requests are restored completely, and old rows removed."""

import asyncio

import result

from pollenfork import ids
from pollenfork.catalogue import changes
from pollenfork.catalogue import messages as catalogue
from pollenfork.fleet import registry
from pollenfork.gateway import client
from pollenfork.gateway import quarantine_store
from pollenfork.gateway import settings
from pollenfork.loads import messages as loads
from pollenfork.poison import crashes
from pollenfork.poison import quarantine
from pollenfork.poison import records


class Store:
    """Answers with pages of a hundred rows, and records what is written."""

    def __init__(self, rows: list[catalogue.Row]) -> None:
        self.rows = rows
        self.removed: list[str] = []
        self.claimed: list[str] = []
        self.written: list[str] = []

    def encode_range_read(self, table: changes.Table, start: str) -> bytes:
        assert table is changes.Table.KEPT_REQUESTS
        return start.encode()

    def encode_change(self, change: changes.Change) -> bytes:
        if not change.written:
            row, *trials = [each.key for each in change.removed]
            assert trials == [f"{row}-1", f"{row}-2", f"{row}-3"]
            self.removed.append(row)
            return b"change"
        (claim,) = change.written
        if claim.table is changes.Table.KEPT_REQUESTS:
            self.written.append(claim.key)
            return b"change"
        assert claim.table is changes.Table.TRIALS
        assert claim.expected == changes.ABSENT
        self.claimed.append(claim.key)
        return b"claim"

    def decode_rows(self, status: int, body: bytes, headers=()):
        left = [row for row in self.rows if row.key >= body.decode()]
        return result.Ok(catalogue.Rows(tuple(left[:100]), 1, len(left) > 100))


def make_row(number: int, now: float) -> catalogue.Row:
    """Returns the row of a request whose last crash is `number` + 5 s old."""
    ended_at = now - 5.0 - number
    history = crashes.CrashHistory(
        ids.RequestDigest(number), [crashes.Crash(1, ended_at - 1, ended_at, 1)]
    )
    value = records.encode(history, now, 1_700_000_000.0)
    return catalogue.Row(records.format_key(history.digest), value, 1)


def run_start(count: int, extra: list[catalogue.Row]):
    """Returns what is quarantined after a start, and the keys removed."""

    async def run():
        loop = asyncio.get_running_loop()
        now = loop.time()
        store = Store([make_row(n, now) for n in range(count)] + extra)
        request_quarantine = quarantine.Quarantine(
            registry.Registry(), "10.0.0.1", lambda runner, at: False, loop.time
        )
        keeper = quarantine_store.QuarantineStore(
            settings.Address("127.0.0.1", 1),
            store,
            request_quarantine,
            lambda: 1_700_000_000.0,
        )

        async def call(request: bytes, timeout_s: float):
            return client.Answer(200, request)

        keeper._client.call = call
        task = loop.create_task(keeper.run())
        for _ in range(2 * count):
            await asyncio.sleep(0)
        task.cancel()
        return [
            history.digest for history in request_quarantine.list_quarantined()
        ], store.removed

    return asyncio.run(run())


def test_a_start_restores_all_rows_from_several_pages() -> None:
    kept, removed = run_start(250, [])
    assert sorted(kept) == list(range(250))
    assert removed == []


def test_the_oldest_rows_are_removed_if_there_are_too_many() -> None:
    kept, removed = run_start(1100, [])
    assert sorted(kept) == list(range(1024))
    assert sorted(int(key, 16) for key in removed) == list(range(1024, 1100))


def test_an_unreadable_row_does_not_hide_others() -> None:
    foreign = [
        catalogue.Row("zz", b"{}", 1),
        catalogue.Row("ff", b"not a document", 1),
    ]
    kept, _ = run_start(3, foreign)
    assert sorted(kept) == [0, 1, 2]


def claim(statuses: list[int]) -> tuple[list[bool], list[str]]:
    """Claims one trial for each of the store's statuses; 0 is no answer."""

    async def run():
        loop = asyncio.get_running_loop()
        store = Store([])
        request_quarantine = quarantine.Quarantine(
            registry.Registry(), "10.0.0.1", lambda runner, at: False, loop.time
        )
        keeper = quarantine_store.QuarantineStore(
            settings.Address("127.0.0.1", 1),
            store,
            request_quarantine,
            lambda: 0.0,
        )
        answers = list(statuses)

        async def call(request: bytes, timeout_s: float):
            status = answers.pop(0)
            return client.Answer(status, b"") if status else None

        keeper._claims.call = call
        now = loop.time()
        crash = crashes.Crash(1, now - 40.0, now - 39.0, 1)
        stored = crashes.CrashHistory(
            ids.RequestDigest(7), [crash], answered=True
        )
        request_quarantine.tracker.restore(stored, now)
        granted = []
        for _ in statuses:
            granted.append(await keeper.claim_trial(stored.digest))
            request_quarantine.trials._claims[stored.digest].not_before = 0.0
        return granted, store.claimed

    return asyncio.run(run())


def test_a_trial_claimed_by_another_instance_is_not_granted() -> None:
    granted, claimed = claim([200, 412])
    assert granted == [True, False]
    assert claimed == [f"{7:016x}-1", f"{7:016x}-2"]


def test_a_claim_that_the_store_refused_is_repeated() -> None:
    granted, claimed = claim([503, 200])
    assert granted == [False, True]
    assert claimed == [f"{7:016x}-1"] * 2


def test_a_claim_without_an_answer_counts_as_another_instances() -> None:
    granted, claimed = claim([0, 200])
    assert granted == [False, True]
    assert claimed == [f"{7:016x}-1", f"{7:016x}-2"]


# Guards against a quarantined request that instances no longer learn of at
# their start, as a restored store has lost its row.
def test_rows_that_a_restored_store_may_lack_are_written_again() -> None:
    async def run():
        loop = asyncio.get_running_loop()
        store = Store([])
        request_quarantine = quarantine.Quarantine(
            registry.Registry(), "10.0.0.1", lambda runner, at: False, loop.time
        )
        keeper = quarantine_store.QuarantineStore(
            settings.Address("127.0.0.1", 1),
            store,
            request_quarantine,
            lambda: 0.0,
        )

        async def answer(request, timeout_s):
            return client.Answer(200, b"")

        keeper._client.call = answer
        now = loop.time()
        for digest, host in ((1, b"10.0.0.1"), (2, b"10.0.0.2")):
            crash = crashes.Crash(1, now - 1, now - 1, loads.hash_name(host))
            request_quarantine.tracker.restore(
                crashes.CrashHistory(ids.RequestDigest(digest), [crash]), now
            )
        running = asyncio.create_task(keeper.run())
        written = []
        for _ in range(2):
            async with asyncio.timeout(5):
                while not store.written:
                    await asyncio.sleep(0)
            written += store.written
            store.written = []
            keeper.rewrite()
        running.cancel()
        return written

    assert asyncio.run(run()) == [records.format_key(ids.RequestDigest(1))] * 2
