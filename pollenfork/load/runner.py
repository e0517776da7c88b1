"""Runs a scenario against addresses and counts what the engines ran."""

import asyncio
from collections.abc import Callable, Sequence
import random
import time

import msgspec
import urllib3

from pollenfork import clock as clocks
from pollenfork.endpoints import edges
from pollenfork.load import client
from pollenfork.load import outcome as outcomes
from pollenfork.load import plan
from pollenfork.load import report
from pollenfork.load import scenario as scenarios

_PROGRESS_PERIOD_S = 1.0
_SETTLE_PERIOD_S = 0.05
_SETTLE_LIMIT_S = 5.0

Progress = Callable[[int, int], None]


class _Count(msgspec.Struct):
    count: int = 0
    tokens: int = 0


class _Runs(msgspec.Struct):
    total: _Count
    labels: dict[str, _Count] = {}


def run(
    scenario: scenarios.Scenario,
    addresses: Sequence[str],
    engines: tuple[str, ...],
    clock: clocks.Clock,
    progress: Progress = lambda done, planned: None,
) -> report.Report:
    """Sends a scenario's requests and returns the report.

    Args:
        scenario: What to send.
        addresses: `host:port` of the entry instances, taken at random. It
            may change while the scenario runs, as behind a balancer.
        engines: `host:port` of the engine stand-ins, for wasted work.
        clock: Times the answers; it must run by itself.
        progress: Called every second with requests ended and planned.
    """
    arrivals = plan.make_plan(scenario)
    before = [read_runs(engine) for engine in engines]
    sender = _Sender(scenario, arrivals, addresses, clock)
    ended = asyncio.run(sender.run(progress))
    _wait_until_idle(engines, clock)
    after = [read_runs(engine) for engine in engines]
    labels = frozenset(arrival.label for arrival in arrivals)
    work = _count_work(before, after, labels) if engines else None
    return report.make_report(scenario, ended, work)


def read_runs(engine: str) -> _Runs:
    """Returns an engine stand-in's counts."""
    response = urllib3.request("GET", f"http://{engine}/runs", timeout=10)
    return msgspec.json.decode(response.data, type=_Runs)


def _wait_until_idle(engines: tuple[str, ...], clock: clocks.Clock) -> None:
    """What was cancelled last may still be running at an engine."""
    give_up_at = clock.monotonic() + _SETTLE_LIMIT_S
    while clock.monotonic() < give_up_at:
        if all(_is_idle(engine) for engine in engines):
            return
        time.sleep(_SETTLE_PERIOD_S)


def _is_idle(engine: str) -> bool:
    response = urllib3.request("GET", f"http://{engine}/v1/load", timeout=10)
    report = msgspec.json.decode(response.data, type=edges.LoadReport)
    return report.running + report.waiting == 0


class _Sender:
    def __init__(
        self,
        scenario: scenarios.Scenario,
        arrivals: tuple[plan.Arrival, ...],
        addresses: Sequence[str],
        clock: clocks.Clock,
    ) -> None:
        self._arrivals = arrivals
        self._addresses = addresses
        self._clock = clock
        self._client = client.Client(scenario, clock)
        self._max_open = scenario.max_open
        self._choose = random.Random(scenario.seed).choice
        self._open: set[asyncio.Task[None]] = set()
        self._ended: list[outcomes.Outcome] = []

    async def run(self, progress: Progress) -> list[outcomes.Outcome]:
        """Sends every arrival at its time; returns all outcomes."""
        watching = asyncio.create_task(self._watch(progress))
        started_s = self._clock.monotonic()
        for arrival in self._arrivals:
            delay_s = started_s + arrival.at_s - self._clock.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self._start(arrival, started_s)
        while self._open:
            await asyncio.wait(self._open)
        watching.cancel()
        return self._ended

    def _start(self, arrival: plan.Arrival, started_s: float) -> None:
        address = self._choose(self._addresses)
        if len(self._open) >= self._max_open:
            unsent = outcomes.Outcome(
                class_name=arrival.class_name,
                label=arrival.label,
                end=outcomes.End.NOT_SENT,
                reason="max_open",
            )
            self._ended.append(unsent)
            return
        task = asyncio.create_task(self._send(arrival, address, started_s))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    async def _send(
        self, arrival: plan.Arrival, address: str, started_s: float
    ) -> None:
        ended = await self._client.send(arrival, address, started_s)
        self._ended.append(ended)

    async def _watch(self, progress: Progress) -> None:
        while True:
            progress(len(self._ended), len(self._arrivals))
            await asyncio.sleep(_PROGRESS_PERIOD_S)


def _count_work(
    before: list[_Runs], after: list[_Runs], labels: frozenset[str]
) -> report.Work:
    """Sums what all engines did between two counts."""
    generated = sum(
        late.total.tokens - early.total.tokens
        for early, late in zip(before, after, strict=True)
    )
    runs: dict[str, int] = {}
    for early, late in zip(before, after, strict=True):
        for label in labels & late.labels.keys():
            earlier = early.labels.get(label, _Count()).count
            ran = late.labels[label].count - earlier
            runs[label] = runs.get(label, 0) + ran
    return report.Work(generated=generated, runs=runs)
