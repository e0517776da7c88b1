"""Plays holders that die, stand still or are cut off, under a steady load."""

import asyncio
import pathlib
import random
import signal
import time

import msgspec

from pollenfork.duties.tests import call_rules
from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import proxy
from pollenfork.platform.tests.soak import site as sites

_CALLERS = 6
_KEY = "key-0"
_ACCOUNT = "account-0"


class Played(msgspec.Struct):
    """What came of it.

    Attributes:
        broken: Promises broken.
        missing: Windows without a report.
        reported: Requests in all reports.
        ran: Requests that ran in those windows.
        holders: Those that acted, in order.
    """

    broken: list[str]
    missing: list[int]
    reported: int
    ran: int
    holders: list[str]


async def play(seed: int, folder: pathlib.Path, faults: bool) -> Played:
    """Plays a load, with the holder harmed in three ways or not."""
    site = sites.Site(seed, folder)
    asked: list[caller.Asked] = []
    tasks = []
    try:
        await site.start(direct=True)
        await _await_report(site)
        begun = time.time()
        for number in range(_CALLERS):
            address = site.gateways[number % sites.INSTANCES].address
            sender = caller.Caller(address, random.Random(number), asked)
            tasks.append(asyncio.create_task(_load(sender)))
        if faults:
            await _harm(site)
        else:
            await asyncio.sleep(4.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        ended = time.time()
        await asyncio.sleep(sites.DUE_S)
    finally:
        await site.stop()
    return _judge(site, begun, ended)


def _judge(site: sites.Site, begun: float, ended: float) -> Played:
    reports = site.cloud.list_reports()
    first, last = int(begun // sites.WINDOW_S), int(ended // sites.WINDOW_S)
    holders: list[str] = []
    for call in site.cloud.calls:
        if call.machine not in holders[-1:]:
            holders.append(call.machine)
    return Played(
        call_rules.find_violations(site.cloud.calls, sites.ALTERNATION_S),
        [window for window in range(first, last + 1) if window not in reports],
        sum(counts.get(_ACCOUNT, 0) for counts in reports.values()),
        len(site.record.runs),
        holders,
    )


async def _await_report(site: sites.Site) -> None:
    async with asyncio.timeout(30):
        while not site.cloud.calls:
            await asyncio.sleep(0.05)


async def _harm(site: sites.Site) -> None:
    """Harms whoever holds, one after the other, and the platform."""
    holder = _find_holder(site)
    holder.send(signal.SIGKILL)
    await holder.wait()
    await asyncio.sleep(0.5)
    holder.start()
    await asyncio.sleep(5.0)
    holder = _find_holder(site)
    holder.send(signal.SIGSTOP)
    await asyncio.sleep(4.5)
    holder.send(signal.SIGCONT)
    await asyncio.sleep(1.0)
    holder = _find_holder(site)
    holder.to_store.way = proxy.Way.SILENT
    await asyncio.sleep(5.0)
    holder.to_store.way = proxy.Way.OPEN
    site.cloud.up = False
    await asyncio.sleep(2.0)
    site.cloud.up = True


def _find_holder(site: sites.Site) -> sites.Gateway:
    name = site.cloud.calls[-1].machine
    return site.gateways[int(name.rpartition("-")[2])]


async def _load(sender: caller.Caller) -> None:
    while True:
        await sender.ask("safe", _KEY)
        await asyncio.sleep(0.03)
