"""Faults in series that overlap, drawn from a seed."""

import asyncio
from collections.abc import Awaitable, Callable
import signal
import time

from pollenfork.platform.tests.soak import caller
from pollenfork.platform.tests.soak import partitions
from pollenfork.platform.tests.soak import proxy
from pollenfork.platform.tests.soak import records
from pollenfork.platform.tests.soak import runner
from pollenfork.platform.tests.soak import site as sites
from pollenfork.platform.tests.soak import store
from pollenfork.platform.tests.soak import suspendable

Fault = Callable[[sites.Site], Awaitable[None]]

# For how long a runner that has fallen over is away, in seconds, and how long
# before it has less room it says that it is brittle.
_FALLEN_S = 3.0
_TOLD_S = 3.0
# What runners name, and the rate that it is taken for.
_LIMITS = (("0.5", 0.5), ("1", 1.0), ("3.5", 3.5), ("10", 10.0), ("-1", 0.25))


async def kill(site: sites.Site) -> None:
    """A gateway is killed and started again."""
    gateway = site.rng.choice(site.gateways)
    gateway.held = True
    gateway.send(signal.SIGKILL)
    await gateway.wait()
    await asyncio.sleep(site.rng.uniform(0.0, 1.0))
    gateway.start()
    gateway.held = False
    gateway.disturbed = asyncio.get_running_loop().time()


async def stop(site: sites.Site) -> None:
    """A gateway is told to stop and is started again."""
    gateway = site.rng.choice(site.gateways)
    if gateway.paused:
        return
    gateway.held = True
    gateway.send(signal.SIGTERM)
    await gateway.wait()
    gateway.start()
    gateway.held = False


async def pause(site: sites.Site) -> None:
    """A gateway stands still for a while."""
    gateway = site.rng.choice(site.gateways)
    gateway.send(signal.SIGSTOP)
    await asyncio.sleep(site.rng.uniform(0.3, 3.0))
    gateway.send(signal.SIGCONT)


async def reload(site: sites.Site) -> None:
    """A gateway is told that its settings changed."""
    site.rng.choice(site.gateways).send(signal.SIGHUP)


async def cut_store(site: sites.Site) -> None:
    """The way of one gateway to the store is harmed."""
    gateway = site.rng.choice(site.gateways)
    gateway.disturbed = float("inf")
    way = site.rng.choice(list(proxy.Way)[1:])
    gateway.to_store.way = way
    if site.rng.random() < 0.3:
        gateway.to_store.reset()
    # What matters most is what an instance that hears nothing goes on doing.
    if site.rng.random() < 0.6:
        await asyncio.sleep(0.2)
        await site.revoke()
    await asyncio.sleep(site.rng.uniform(0.5, 9.0))
    gateway.to_store.way = proxy.Way.OPEN
    gateway.disturbed = asyncio.get_running_loop().time()


async def harm_store(site: sites.Site) -> None:
    """The store is slow, silent, refuses, or forgets its history."""
    if site.rng.random() < 0.4:
        site.store.forget_history()
        return
    for gateway in site.gateways:
        gateway.disturbed = float("inf")
    site.store.mood = site.rng.choice(list(store.Mood)[1:])
    await asyncio.sleep(site.rng.uniform(0.3, 6.5))
    site.store.mood = store.Mood.WELL
    for gateway in site.gateways:
        gateway.disturbed = asyncio.get_running_loop().time()


async def harm_runner(site: sites.Site) -> None:
    """A runner fails part of its requests for a while."""
    name = site.rng.choice(sorted(site.runners))
    faults = site.runners[name].faults
    field = site.rng.choice(["lost", "error", "refused", "extra", "cut"])
    setattr(faults, field, site.rng.uniform(0.1, 0.6))
    await asyncio.sleep(site.rng.uniform(0.5, 3.0))
    if name in site.runners:
        site.runners[name].faults = records.Faults()


async def cut_runner(site: sites.Site) -> None:
    """The way of all gateways to a runner is harmed."""
    name = site.rng.choice(sorted(site.to_runners))
    way = site.to_runners[name]
    way.way = site.rng.choice(list(proxy.Way)[1:])
    if site.rng.random() < 0.5:
        way.reset()
    await asyncio.sleep(site.rng.uniform(0.3, 2.5))
    way.way = proxy.Way.OPEN


async def mute_connections(site: sites.Site) -> None:
    """Open connections pass nothing any more, without a reset."""
    ways = list(site.to_runners.values())
    ways += [gateway.to_store for gateway in site.gateways]
    for way in ways:
        if site.rng.random() < 0.6:
            way.mute()
    now = asyncio.get_running_loop().time()
    for gateway in site.gateways:
        gateway.disturbed = max(gateway.disturbed, now)


async def crash_runner(site: sites.Site) -> None:
    """A runner ends at once; another comes."""
    if len(site.runners) > 2:
        await site.crash_runner(site.rng.choice(sorted(site.runners)))
    await asyncio.sleep(site.rng.uniform(0.0, 1.0))
    await site.add_runner()


async def drain_runner(site: sites.Site) -> None:
    """A runner leaves as planned; another comes first."""
    await site.add_runner()
    staying = sorted(set(site.runners) - set(site.gone))
    if len(staying) > 2:
        await site.drain_runner(site.rng.choice(staying))


async def restart_runner(site: sites.Site) -> None:
    """A runner starts again under its id."""
    staying = sorted(set(site.runners) - set(site.gone))
    if len(staying) > 2:
        vanishes = site.rng.random() < 0.5
        await site.restart_runner(site.rng.choice(staying), vanishes)


async def overwrite_entry(site: sites.Site) -> None:
    """Another writer leaves what is no entry in a runner's place."""
    staying = sorted(set(site.runners) - set(site.gone))
    if len(staying) > 2:
        value = site.rng.choice(({}, {"service": 7}, {"state": "ready"}))
        await site.overwrite_entry(site.rng.choice(staying), value)


async def revoke(site: sites.Site) -> None:
    """A key is taken away."""
    await site.revoke()


async def suspend(site: sites.Site) -> None:
    """A gateway's machine is suspended, as far as its clocks show it."""
    site.rng.choice(site.gateways).send(suspendable.SIGNAL)


async def send_poison(site: sites.Site) -> None:
    """A request that ends its runners comes again and again, anywhere."""
    text = f"{runner.ENDING}-{site.rng.getrandbits(32):08x}"
    kind = site.rng.choice(sites.KINDS)
    asking = []
    for number in range(site.rng.randint(12, 24)):
        gateway = site.gateways[number % sites.INSTANCES]
        sender = caller.Caller(gateway.address, site.rng, site.asked)
        asking.append(asyncio.create_task(sender.ask(kind, "key-always", text)))
        await asyncio.sleep(0.3)
    await asyncio.gather(*asking)


async def name_limit(site: sites.Site) -> None:
    """A runner names a rate limit for a while, or what is no proper one."""
    made = site.runners[site.rng.choice(sorted(site.runners))]
    if made.named:
        return
    named, rate = site.rng.choice(_LIMITS)
    lasting_s = site.rng.uniform(5.0, 9.0)
    since = time.monotonic()
    made.named = named
    while (
        time.monotonic() < since + lasting_s
        and site.runners.get(made.name) is made
    ):
        await asyncio.sleep(0.05)
    made.named = ""
    period = sites.Limited(made.name, rate, since, time.monotonic())
    site.limited.append(period)


async def announce_leaving(site: sites.Site) -> None:
    """A runner says in its answers alone that it leaves, then ends."""
    await site.add_runner()
    staying = sorted(set(site.runners) - set(site.gone))
    if len(staying) <= 2:
        return
    name = site.rng.choice(staying)
    site.runners[name].leaving = True
    await asyncio.sleep(site.rng.uniform(2.5, 5.0))
    if site.rng.random() < 0.5 and name in site.runners:
        await site.restart_runner(name, vanishes=False)
    else:
        await site.crash_runner(name)


async def ask_for_pauses(site: sites.Site) -> None:
    """Some runners refuse everything, and each asks for a pause."""
    pausing = site.rng.sample(
        sorted(site.runners), site.rng.randint(1, len(site.runners))
    )
    made = [site.runners[name] for name in pausing]
    for each in made:
        each.pause_s = site.rng.choice((0.4, 1.0, 3.0))
    await asyncio.sleep(site.rng.uniform(0.5, 4.0))
    for each in made:
        each.pause_s = 0.0


async def restore_store(site: sites.Site) -> None:
    """The store is away for a moment and comes back from an older copy."""
    copy = site.store.save()
    await asyncio.sleep(site.rng.uniform(0.6, 4.0))
    for gateway in site.gateways:
        gateway.disturbed = float("inf")
    site.store.mood = store.Mood.SILENT
    await asyncio.sleep(site.rng.uniform(0.5, 2.0))
    site.store.mood = store.Mood.WELL
    site.store.restore(copy)
    await site.store.rewrite()
    for gateway in site.gateways:
        gateway.disturbed = asyncio.get_running_loop().time()


async def cut_from_runners(site: sites.Site) -> None:
    """Some gateways, or all but one, lose their connections to all runners."""
    cut = site.rng.choice(list(partitions.Cut))
    count = site.rng.randint(1, len(site.gateways) - 1)
    victims = site.rng.sample(site.gateways, count)
    for gateway in victims:
        gateway.cut_off(cut)
    await asyncio.sleep(site.rng.uniform(0.5, 5.0))
    for gateway in victims:
        gateway.reconnect()


async def be_brittle(site: sites.Site) -> None:
    """All runners say that they are brittle, and then have less room."""
    made = list(site.runners.values())
    if any(each.brittle is not None for each in made):
        return
    falls: list[float] = []
    returning: set[asyncio.Task[None]] = set()

    def fall(fallen: runner.Runner) -> None:
        if fallen.name in site.restarting:
            return
        falls.append(time.monotonic())
        again = site.restart_runner(fallen.name, False, away_s=_FALLEN_S)
        task = asyncio.create_task(again)
        returning.add(task)
        task.add_done_callback(returning.discard)

    for each in made:
        each.brittle = 5
        each.on_fall = fall
    await asyncio.sleep(_TOLD_S)
    for each in site.runners.values():
        if each.brittle is not None:
            each.places = site.rng.randint(2, 4)
    await asyncio.sleep(site.rng.uniform(2.0, 5.0))
    for each in site.runners.values():
        each.brittle = each.places = None
    site.falls.append((len(falls), len(made)))


async def silence_runners(site: sites.Site) -> None:
    """Some sound runners send nothing for a moment, and then go on."""
    silent_s = site.rng.uniform(0.4, 1.6)
    count = site.rng.randint(1, len(site.runners))
    for name in site.rng.sample(sorted(site.runners), count):
        site.runners[name].silent_until = time.monotonic() + silent_s
    await asyncio.sleep(silent_s)


FAULTS: tuple[Fault, ...] = (
    kill,
    stop,
    stop,
    pause,
    reload,
    cut_store,
    cut_store,
    harm_store,
    harm_runner,
    harm_runner,
    cut_runner,
    crash_runner,
    drain_runner,
    revoke,
    revoke,
)


# Seeds below this one were played without the later faults, and those that are
# kept as regression cases must go on playing the same schedule.
_FIRST_SEED_WITH_ALL = 500
ALL_FAULTS = (*FAULTS, mute_connections, mute_connections)
_FIRST_SEED_WITH_RESTARTS = 1000
RESTARTS = (restart_runner, restart_runner, overwrite_entry)
_FIRST_SEED_WITH_POISON = 2000
LIMITS = (name_limit, name_limit, name_limit)
_FIRST_SEED_WITH_LIMITS = 3000
_FIRST_SEED_WITH_NOTICES = 4000
NOTICES = (
    announce_leaving,
    announce_leaving,
    ask_for_pauses,
    ask_for_pauses,
    restore_store,
    restore_store,
)
_FIRST_SEED_WITH_CUTS = 5000
CUTS = (cut_from_runners, cut_from_runners, cut_from_runners, be_brittle)
_FIRST_SEED_WITH_SILENCES = 6000
SILENCES = (silence_runners, silence_runners, silence_runners)
POISON = (suspend, suspend, send_poison, send_poison)


def _list_faults(seed: int) -> tuple[Fault, ...]:
    """Returns the faults that a seed draws from."""
    kinds = ALL_FAULTS if seed >= _FIRST_SEED_WITH_ALL else FAULTS
    if seed >= _FIRST_SEED_WITH_RESTARTS:
        kinds += RESTARTS
    if seed >= _FIRST_SEED_WITH_POISON:
        kinds += POISON
    if seed >= _FIRST_SEED_WITH_LIMITS:
        kinds += LIMITS
    if seed >= _FIRST_SEED_WITH_NOTICES:
        kinds += NOTICES
    if seed >= _FIRST_SEED_WITH_CUTS:
        kinds += CUTS
    if seed >= _FIRST_SEED_WITH_SILENCES:
        kinds += SILENCES
    return kinds


async def play(
    site: sites.Site, seconds: float, kinds: tuple[Fault, ...] = ()
) -> list[str]:
    """Lets faults begin for a while; returns once all have ended.

    Args:
        site: The site.
        seconds: For how long they begin.
        kinds: The faults to draw from; empty: those of the site's seed.

    Returns:
        The faults with the second at which each began.
    """
    loop = asyncio.get_running_loop()
    begun = loop.time()
    played: list[str] = []
    tasks = []
    busy: set[sites.Gateway] = set()
    kinds = kinds or _list_faults(site.seed)
    while loop.time() - begun < seconds:
        fault = site.rng.choice(kinds)
        played.append(f"{loop.time() - begun:.2f} {fault.__name__}")
        tasks.append(asyncio.create_task(_guard(fault, site, busy)))
        await asyncio.sleep(site.rng.uniform(0.1, 1.2))
    await asyncio.gather(*tasks)
    return played


async def _guard(fault: Fault, site: sites.Site, busy: set) -> None:
    """Plays a fault; those that restart a process come one at a time."""
    if fault not in (kill, stop, pause):
        await fault(site)
        return
    while busy:
        await asyncio.sleep(0.05)
    busy.add(site)
    try:
        await fault(site)
    finally:
        busy.discard(site)
