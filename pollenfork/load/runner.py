"""Runs a scenario and compares its answers with the engines' work."""

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
_IDLE_POLL_S = 0.05
_IDLE_TIMEOUT_S = 5.0

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
        addresses: `host:port` of the entry instances, chosen at random for
            each request. The sequence may change during the run, like the
            backends of a load balancer.
        engines: `host:port` of the engine stand-ins whose token counts give
            the wasted work; without any it isn't reported.
        clock: Times the answers; must advance with real time.
        progress: Called every second with the numbers of finished and
            planned requests.
    """
    arrivals = plan.make_plan(scenario)
    before = [read_runs(engine) for engine in engines]
    sender = _RequestSender(scenario, arrivals, addresses, clock)
    ended = asyncio.run(sender.run(progress))
    _wait_until_idle(engines, clock)
    after = [read_runs(engine) for engine in engines]
    labels = frozenset(arrival.label for arrival in arrivals)
    work = _count_work(before, after, labels) if engines else None
    return report.make_report(scenario, ended, work)


def read_runs(engine: str) -> _Runs:
    """Fetches the counts of runs and tokens from an engine stand-in."""
    response = urllib3.request("GET", f"http://{engine}/runs", timeout=10)
    return msgspec.json.decode(response.data, type=_Runs)


def _wait_until_idle(engines: tuple[str, ...], clock: clocks.Clock) -> None:
    """Waits as engines may still run requests that were just cancelled."""
    deadline = clock.monotonic() + _IDLE_TIMEOUT_S
    while clock.monotonic() < deadline:
        if all(_is_idle(engine) for engine in engines):
            return
        time.sleep(_IDLE_POLL_S)


def _is_idle(engine: str) -> bool:
    response = urllib3.request("GET", f"http://{engine}/v1/load", timeout=10)
    report = msgspec.json.decode(response.data, type=edges.LoadReport)
    return report.running + report.waiting == 0


class _RequestSender:
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
        """Sends every request at its arrival time; returns all outcomes."""
        progress_task = asyncio.create_task(self._report_progress(progress))
        started_s = self._clock.monotonic()
        for arrival in self._arrivals:
            delay_s = started_s + arrival.at_s - self._clock.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self._start(arrival, started_s)
        while self._open:
            await asyncio.wait(self._open)
        progress_task.cancel()
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

    async def _report_progress(self, progress: Progress) -> None:
        while True:
            progress(len(self._ended), len(self._arrivals))
            await asyncio.sleep(_PROGRESS_PERIOD_S)


def _count_work(
    before: list[_Runs], after: list[_Runs], labels: frozenset[str]
) -> report.EngineWork:
    """Sums the work of all engines between two counts."""
    generated = sum(
        last.total.tokens - first.total.tokens
        for first, last in zip(before, after, strict=True)
    )
    runs: dict[str, int] = {}
    for first, last in zip(before, after, strict=True):
        for label in labels & last.labels.keys():
            initial = first.labels.get(label, _Count()).count
            ran = last.labels[label].count - initial
            runs[label] = runs.get(label, 0) + ran
    return report.EngineWork(generated=generated, runs=runs)
