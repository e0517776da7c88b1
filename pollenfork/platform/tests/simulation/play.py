"""Plays schedules; the judge looks at each step."""

import asyncio
import collections
import random
from typing import Any

from pollenfork.platform.tests.simulation import clock
from pollenfork.platform.tests.simulation import judge as judges
from pollenfork.platform.tests.simulation import network
from pollenfork.platform.tests.simulation import schedules
from pollenfork.platform.tests.simulation import site as sites
from pollenfork.platform.tests.soak import store as standin

_RUNNERS = 12


def run(schedule: schedules.Schedule, seed: int) -> judges.Outcome:
    """Plays a schedule; a seed gives the same outcome each time."""
    loop = clock.Loop()
    raised: list[str] = []
    loop.set_exception_handler(lambda _, told: _note_raised(told, raised))
    try:
        outcome = loop.run_until_complete(_play(loop, schedule, seed))
        outcome.broken += [
            judges.Broken("raised", "", 0.0, each) for each in raised
        ]
        return outcome
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def shrink(
    schedule: schedules.Schedule, seed: int, rule: str
) -> schedules.Schedule:
    """Returns a schedule of fewer steps that breaks the same rule."""
    steps = schedule.steps
    position = 0
    while position < len(steps):
        fewer = steps[:position] + steps[position + 1 :]
        outcome = run(schedules.Schedule(schedule.sizes, fewer), seed)
        if any(each.rule == rule for each in outcome.broken):
            steps = fewer
        else:
            position += 1
    return schedules.Schedule(schedule.sizes, steps)


def _note_raised(told: dict[str, Any], raised: list[str]) -> None:
    """Keeps what code under test has raised; a task that waits raises none."""
    error = told.get("exception")
    if error is not None and not isinstance(error, asyncio.CancelledError):
        raised.append(f"{told.get('message')}: {error!r}")


async def _play(
    loop: clock.Loop, schedule: schedules.Schedule, seed: int
) -> judges.Outcome:
    rng = random.Random(seed)
    ways = network.Network(loop, rng)
    if any(step.kind == "stall" for step in schedule.steps):
        loop.allow_stalls()
    site = sites.Site(ways, schedule.sizes, rng)
    await site.start(_RUNNERS)
    judge = judges.Judge(site)
    steps = collections.deque(schedule.steps)
    while loop.time() < schedules.LENGTH_S:
        while steps and steps[0].at <= loop.time():
            step = steps.popleft()
            await _carry_out(step, site)
            judge.note(step, loop.time())
        await asyncio.sleep(judges.STEP_S)
        judge.check(loop.time())
    for each in site.instances:
        judge.note_end(each)
        each.stop(ways)
    judge.outcome.calls = sum(site.store.calls.values())
    return judge.outcome


async def _carry_out(step: schedules.Step, site: sites.Site) -> None:
    hosts = set(step.hosts)
    match step.kind:
        case "leave" | "vanish":
            await site.let_leave(step.kind == "leave")
        case "add":
            await site.add_runner()
        case "configure" | "revert":
            await _configure(step, site)
        case "turn_away":
            site.store.turn_away(hosts, step.mood)
        case "serve":
            site.store.moods.clear()
        case "forget":
            site.store.forget_history()
        case "announce":
            site.announce_leaving(step.hosts[0])
        case "copy" | "silence" | "restore" | "rewrite":
            await _restore(step, site)
        case "bar" | "unbar" | "queue" | "clear" | "stall":
            _slow(step, site.ways)
        case _:
            _trouble(step, site)


async def _configure(step: schedules.Step, site: sites.Site) -> None:
    """Writes a newer configuration, or an older one as a newer row."""
    if step.kind == "configure":
        await site.configure()
    else:
        await site.revert()


async def _restore(step: schedules.Step, site: sites.Site) -> None:
    """Carries out one of the steps of a restoration."""
    match step.kind:
        case "copy":
            site.copy = site.store.save()
            site.copied_at = step.at
        case "silence":
            site.store.mood = standin.Mood.SILENT
        case "restore":
            site.store.mood = standin.Mood.WELL
            # A reduced schedule may lack the step that makes the copy.
            if site.copy is not None:
                site.restore_store()
        case "rewrite":
            await site.rewrite()


def _slow(step: schedules.Step, ways: network.Network) -> None:
    """Lets connections of hosts fail, their packets or processes wait."""
    hosts = set(step.hosts)
    match step.kind:
        case "bar":
            ways.barred |= hosts
        case "unbar":
            ways.barred -= hosts
        case "queue":
            ways.queues |= dict.fromkeys(hosts, step.queued_s)
        case "clear":
            ways.queues.clear()
        case "stall":
            for host in hosts:
                ways.loop.stall(host, step.stalled_s)


def _trouble(step: schedules.Step, site: sites.Site) -> None:
    """Cuts hosts off, kills them, or lets the network lose datagrams."""
    hosts = set(step.hosts)
    chosen = [each for each in site.instances if each.host in hosts]
    match step.kind:
        case "cut":
            site.ways.cut(hosts, {*site.hosts, sites.STORE.host} - hosts)
        case "part":
            site.ways.cut(hosts, {sites.STORE.host})
        case "heal":
            site.ways.heal()
        case "lose":
            site.ways.loss = step.loss
        case "kill":
            for each in chosen:
                each.stop(site.ways)
        case "start":
            for each in chosen:
                each.start(site.ways)
