"""What a keyed request costs: calls to the platform and CPU time.

Usage: python -m benchmarks.ledger_cost

Calls are counted at the platform stand-in. CPU is the time of the one thread
that drives the ledger, with the stand-in in the same process ("fake") and
behind HTTP ("http", the stand-in's threads not counted). The baseline makes
the same calls to the platform without a ledger.
"""

import collections
from collections.abc import Callable
import itertools
import pathlib
import random
import time

import msgspec

from pollenfork import clock
from pollenfork import ids
from pollenfork.ledger import claiming
from pollenfork.ledger import keys
from pollenfork.ledger import ledger
from pollenfork.standin.platform import config
from pollenfork.standin.platform import core
from pollenfork.standin.platform import fake
from pollenfork.standin.platform import front
from pollenfork.store import budget
from pollenfork.store import client
from pollenfork.store import edges
from pollenfork.store import policy

RESULTS = pathlib.Path(__file__).parent / "results" / "ledger_cost.json"
REQUESTS = 2000
HTTP_REQUESTS = 500
ANSWER_BYTES = 4096
_CONFIG = config.PlatformConfig(reads_per_s=1e9, writes_per_s=1e9)


class Calls(msgspec.Struct, kw_only=True):
    """Calls for each request of one kind."""

    kind: str
    table_reads: float
    table_writes: float
    object_reads: float
    object_writes: float


class Cpu(msgspec.Struct, kw_only=True):
    """Microseconds of the driving thread for each request or page."""

    kind: str
    platform: str
    ledger_us: float
    baseline_us: float


class Report(msgspec.Struct, kw_only=True):
    """All readings.

    Attributes:
        page_bytes: JSON of a full page of the clean-up.
        writes_per_request: Of a new request, its removal included.
        keyed_per_s: New keyed requests a second, at all instances together,
            that would use up the writes.
    """

    calls: list[Calls]
    cpu: list[Cpu]
    page_bytes: int
    record_bytes: int
    writes_per_request: float
    keyed_per_s: float


class _NobodyGone:
    def is_gone(
        self, instance: ids.InstanceId, incarnation: ids.Incarnation
    ) -> bool:
        """Returns False."""
        del instance, incarnation
        return False


class _Bench:
    """A ledger over some table and object store, on a manual clock."""

    def __init__(
        self,
        table: edges.TableService,
        objects: edges.ObjectStore,
        state: core.Platform,
        now: clock.ManualClock,
    ) -> None:
        self.table = table
        self.objects = objects
        self.state = state
        self.clock = now
        self._numbers = itertools.count()
        self.ledger = ledger.Ledger(
            ledger.Dependencies(
                get_owner=lambda: claiming.Owner(
                    ids.InstanceId("entry-1"), ids.Incarnation(1)
                ),
                table=table,
                objects=objects,
                owners=_NobodyGone(),
                now=now,
                new_id=lambda: f"{next(self._numbers):032x}",
            )
        )

    def claim(self, key: keys.RequestKey, body: bytes = b"7 kWh") -> object:
        """Returns the ledger's verdict on one submission."""
        fingerprint = keys.compute_fingerprint("POST", "/postings", body)
        return self.ledger.claim(key, fingerprint, self.clock.wall())

    def submit(self, key: keys.RequestKey) -> None:
        """Claims and records an answer."""
        claim = self.claim(key).unwrap()  # type: ignore[attr-defined]
        claim.record_done(200, [("Content-Type", "text/plain")], _ANSWER)

    def refuse(self, key: keys.RequestKey) -> None:
        """Claims and records that the request was not run."""
        self.claim(key).unwrap().record_not_run()  # type: ignore[attr-defined]

    def call_alone(self, key: keys.RequestKey) -> None:
        """Makes the calls of `submit` without a ledger."""
        self._commit(f"{key.key}/1", key.row, edges.ABSENT)
        self.objects.store(f"{key.row}/a", _ANSWER)
        self._commit(f"{key.key}/2", key.row, 1)

    def _commit(self, write_id: str, row: str, expected: int) -> None:
        put = edges.Put(row, _VALUE, expected)
        self.table.commit(edges.Transaction(ids.WriteId(write_id), (put,)))


_ANSWER = b"x" * ANSWER_BYTES
_VALUE = b"r" * 130


def _make_fake() -> _Bench:
    now = clock.ManualClock()
    platform = fake.FakePlatform(now, core.Platform(_CONFIG))
    return _Bench(platform.table, platform.objects, platform.state, now)


def _make_guarded() -> _Bench:
    now = clock.ManualClock()
    platform = fake.FakePlatform(now, core.Platform(_CONFIG))
    tools = policy.Dependencies(now=now, rng=random.Random(1), wait=now.advance)
    wide = budget.Budget(0.0, budget.Rates(reads=1e9, writes=1e9))
    return _Bench(
        policy.ResilientTable(
            platform.table, policy.CallPolicy("table", tools, wide)
        ),
        policy.ResilientObjects(
            platform.objects, policy.CallPolicy("objects", tools, wide)
        ),
        platform.state,
        now,
    )


def _make_keys(prefix: str, count: int) -> list[keys.RequestKey]:
    account = ids.AccountId("settlement")
    return [keys.RequestKey(account, f"{prefix}{n}") for n in range(count)]


def _count(
    kind: str, bench: _Bench, asked: list[keys.RequestKey], act: Callable
) -> Calls:
    before = bench.state.calls.copy()
    for key in asked:
        act(key)
    return _describe(kind, bench.state.calls - before, len(asked))


def _describe(
    kind: str, made: collections.Counter[config.Operation], count: int
) -> Calls:
    parts = {name: made[name] / count for name in config.Operation}
    return Calls(
        kind=kind,
        table_reads=parts[config.Operation.READ] + parts[config.Operation.SCAN],
        table_writes=parts[config.Operation.COMMIT],
        object_reads=parts[config.Operation.FETCH],
        object_writes=parts[config.Operation.STORE]
        + parts[config.Operation.REMOVE],
    )


def count_calls() -> list[Calls]:
    """Returns the calls of each kind of request."""
    bench = _make_fake()
    fresh, running, refused = (_make_keys(p, 400) for p in "abc")
    rows = [
        _count("new, done", bench, fresh, bench.submit),
        _count("repeat, replayed", bench, fresh, bench.claim),
        _count(
            "repeat with another body",
            bench,
            fresh,
            lambda key: bench.claim(key, b"8 kWh"),
        ),
        _count("new, not run", bench, refused, bench.refuse),
        _count("repeat after not run", bench, refused, bench.submit),
        _count("new, left open", bench, running, bench.claim),
        _count("repeat while running", bench, running, bench.claim),
    ]
    bench.clock.advance(claiming.Limits().longest_run_s)
    rows.append(
        _count("repeat after the owner is lost", bench, running, bench.claim)
    )
    rows.append(_count("repeat after unknown", bench, running, bench.claim))
    bench.clock.advance(claiming.Limits().retention_s)
    rows.append(_count_removals(bench))
    return rows


def _count_removals(bench: _Bench) -> Calls:
    before = bench.state.calls.copy()
    removed = 0
    while now_removed := bench.ledger.sweep(ledger.PAGE_ROWS).removed:
        removed += now_removed
    return _describe(
        "removal, for each record", bench.state.calls - before, removed
    )


def _time(act: Callable, asked: list[keys.RequestKey]) -> float:
    started = time.thread_time()
    for key in asked:
        act(key)
    return (time.thread_time() - started) / len(asked) * 1e6


def _measure(name: str, make: Callable[[], _Bench], count: int) -> list[Cpu]:
    bench, alone = make(), make()
    asked = _make_keys("a", count)
    _time(bench.submit, _make_keys("warm", 50))
    done = Cpu(
        kind="new, done",
        platform=name,
        ledger_us=_time(bench.submit, asked),
        baseline_us=_time(alone.call_alone, asked),
    )
    replayed = Cpu(
        kind="repeat, replayed",
        platform=name,
        ledger_us=_time(bench.claim, asked),
        baseline_us=done.baseline_us,
    )
    return [done, replayed]


def _measure_http() -> list[Cpu]:
    standin = front.PlatformStandin(_CONFIG, clock.SystemClock())
    channel = client.Channel(standin.start())

    bench = _Bench(
        client.HttpTable(channel),
        client.HttpObjects(channel),
        standin.state,
        clock.ManualClock(),
    )
    try:
        return [
            Cpu(
                kind="new, done",
                platform="http",
                ledger_us=_time(bench.submit, _make_keys("a", HTTP_REQUESTS)),
                baseline_us=_time(
                    bench.call_alone, _make_keys("b", HTTP_REQUESTS)
                ),
            )
        ]
    finally:
        channel.close()
        standin.stop()


def _measure_page() -> tuple[Cpu, int, int]:
    bench = _make_fake()
    for key in _make_keys("a", ledger.PAGE_ROWS):
        bench.submit(key)
    rows = bench.table.scan(keys.ROW_PREFIX).unwrap()
    started = time.thread_time()
    for _ in range(200):
        bench.ledger.sweep(ledger.PAGE_ROWS)
    swept = (time.thread_time() - started) / 200
    started = time.thread_time()
    for _ in range(200):
        bench.table.scan(keys.ROW_PREFIX, "", ledger.PAGE_ROWS)
    alone = (time.thread_time() - started) / 200
    page = Cpu(
        kind="page of the clean-up",
        platform="fake",
        ledger_us=swept * 1e6,
        baseline_us=alone * 1e6,
    )
    return page, len(msgspec.json.encode(rows)), len(rows[0].value)


def measure() -> Report:
    """Returns all readings."""
    calls = count_calls()
    page, page_bytes, record_bytes = _measure_page()
    cpu = _measure("fake", _make_fake, REQUESTS)
    cpu += _measure("fake, guarded", _make_guarded, REQUESTS)
    cpu += _measure_http()
    by_kind = {row.kind: row for row in calls}
    once = by_kind["new, done"]
    removal = by_kind["removal, for each record"]
    writes = once.table_writes + once.object_writes
    writes += removal.table_writes + 1  # Each has an answer to remove.
    usable = budget.Budgets(0.0)
    usable.set_instances(1, 0.0)
    return Report(
        calls=calls,
        cpu=[*cpu, page],
        page_bytes=page_bytes,
        record_bytes=record_bytes,
        writes_per_request=writes,
        keyed_per_s=usable.keyed.share.writes / writes,
    )


def main() -> None:
    """Prints the readings and writes them to `results/ledger_cost.json`."""
    report = measure()
    print(f"{'calls for each request':32} table r/w    objects r/w")
    for row in report.calls:
        print(
            f"{row.kind:32} {row.table_reads:5.2f} {row.table_writes:5.2f}"
            f"  {row.object_reads:5.2f} {row.object_writes:5.2f}"
        )
    print(f"\n{'CPU, us':24} {'platform':14} ledger  calls alone  ratio")
    for cpu in report.cpu:
        print(
            f"{cpu.kind:24} {cpu.platform:14} {cpu.ledger_us:6.0f}"
            f"  {cpu.baseline_us:11.0f}"
            f"  {cpu.ledger_us / cpu.baseline_us:5.2f}"
        )
    print(
        f"\nrecord {report.record_bytes} bytes, page {report.page_bytes} bytes"
        f" of JSON; {report.writes_per_request:.2f} writes for each request,"
        f" {report.keyed_per_s:.0f} keyed requests/s for all instances"
    )
    RESULTS.write_bytes(
        msgspec.json.format(msgspec.json.encode(report), indent=2) + b"\n"
    )


if __name__ == "__main__":
    main()
