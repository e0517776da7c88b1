"""Instances in front of one overloaded service, in simulated time.

The instances admit and place requests as in production. They know each other's
load after a delay. A runner processes prompts one after the other, then
generates; beyond its slots the most urgent requests are admitted first.
"""

import asyncio
from collections.abc import Callable
import heapq
import itertools
import random
import types

import msgspec

from pollenfork import ids
from pollenfork.fleet import candidates
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.fleet import outcomes
from pollenfork.fleet import registry
from pollenfork.gateway import admission
from pollenfork.gateway import messages
from pollenfork.gateway import permits
from pollenfork.gateway import selection
from pollenfork.gateway import updates
from pollenfork.gateway.shedding import shedder
from pollenfork.loads import messages as loads
from pollenfork.room import learning
from pollenfork.routes import lookup
from pollenfork.routes import model as routes

SERVICE = ids.ServiceName("lm")
SLOTS = 64
EXCHANGE_S = 0.05
# Tokens that a runner caches beside those of running requests.
CACHE_TOKENS = 400_000
# A runner processes prompts between the steps of running requests.
PREFILL_SHARE = 0.85
EVENT_S = 0.03
_TRANSIT_S = 0.002


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request: its route, its sizes in tokens, and how often."""

    name: str
    tier: int
    target_s: float
    limit_s: float
    own: int
    shared: int
    texts: int
    events: int
    per_s: float
    account_tier: int | None = None


# The reported deployment, as played there: half of its traffic and runners.
DIGEST = Kind(
    name="patrol-digest",
    tier=2,
    target_s=1.5,
    limit_s=10.0,
    own=3720,
    shared=13_300,
    texts=190,
    events=30,
    per_s=13.3,
)
REPORT = Kind(
    name="defect-report",
    tier=1,
    target_s=0.5,
    limit_s=5.0,
    own=2890,
    shared=6300,
    texts=87,
    events=13,
    per_s=9.2,
)
QUERY = Kind(
    name="crew-query",
    tier=0,
    target_s=0.3,
    limit_s=12.0,
    own=1110,
    shared=350,
    texts=201,
    events=43,
    per_s=14.1,
)
KINDS = (DIGEST, REPORT, QUERY)


class Asked(msgspec.Struct, eq=False):
    """One caller's request, and what came of it.

    Attributes:
        kind: Its kind.
        sent_at: When the caller first sent it.
        tokens: Its size.
        begun_at: When a runner produced its first event; None: never.
        refusals: How often it was refused.
    """

    kind: Kind
    sent_at: float
    own: int
    text: int
    begun_at: float | None = None
    refusals: int = 0

    @property
    def tokens(self) -> int:
        return self.own + self.kind.shared


class Runner:
    """Processes prompts in order, and generates for all at once."""

    def __init__(self, site: "Fleet", described: fleet.Runner) -> None:
        self.described = described
        self._site = site
        self._active = 0
        self._free_at = 0.0
        self._waiting: list = []
        self._order = itertools.count()
        self._cached: dict[int, int] = {}
        self.speed = 1.0

    def take(self, asked: Asked, tier: int, deadline: float, done) -> None:
        """Queues a request; calls `done` with what became of it."""
        entry = (tier, next(self._order), asked, deadline, done)
        heapq.heappush(self._waiting, entry)
        self._start()

    def _start(self) -> None:
        site = self._site
        while self._waiting and self._active < SLOTS:
            _, _, asked, deadline, done = heapq.heappop(self._waiting)
            if site.now >= deadline:
                done(None, None)
                continue
            self._active += 1
            tokens = asked.own + self._read(asked)
            rate = candidates.PREFILL_TOKENS_PER_S * PREFILL_SHARE * self.speed
            self._free_at = max(self._free_at, site.now) + tokens / rate
            first = self._free_at
            last = first + asked.kind.events * EVENT_S / self.speed
            if first >= deadline:
                site.schedule(deadline, lambda d=done: self._end(d, None, None))
                continue
            site.schedule(first, lambda d=done, at=first: d(at, None))
            site.schedule(
                last, lambda d=done, at=first, end=last: self._end(d, at, end)
            )

    def _read(self, asked: Asked) -> int:
        """Returns the shared tokens to process, and caches them."""
        key = hash((asked.kind.name, asked.text))
        known = self._cached.pop(key, 0)
        self._cached[key] = asked.kind.shared
        while sum(self._cached.values()) > CACHE_TOKENS:
            del self._cached[next(iter(self._cached))]
        return 0 if known else asked.kind.shared

    def _end(self, done, first, last) -> None:
        self._active -= 1
        done(first, last)
        self._start()


class Instance:
    """One instance's admission and choice of runners."""

    def __init__(self, site: "Fleet", number: int, settings) -> None:
        self._site = site
        self.number = number
        self.others: dict[int, loads.Load] = {}
        runners = registry.Registry()
        for each in site.runners:
            runners.put(each.described)
        loop = types.SimpleNamespace(time=lambda: site.now)
        self.chooser = choice.Chooser(
            runners,
            random.Random(site.seed * 1000 + number),
            lambda mark: self.others.get(mark, loads.Load()),
        )
        self.state = types.SimpleNamespace(
            lookup=settings,
            freshness=types.SimpleNamespace(
                age=lambda now: 0.0, trusts_keys=lambda now: True
            ),
        )
        self.deps = types.SimpleNamespace(
            loop=loop,
            chooser=self.chooser,
            permits=permits.Permits(loop, "127.0.0.1", "a"),
            brittle=types.SimpleNamespace(has_turn=lambda tier: True),
            shedder=shedder.Shedder(loop, random.Random(number), self.chooser),
            returns=None,
        )
        self.updates = updates.UpdateExchange(
            types.SimpleNamespace(
                take_samples=lambda now: (),
                record_shared=lambda paces, now: None,
            ),
            loop.time,
        )
        self.deps.shedder.join(self.updates)
        self.deps.shedder.set_instances(site.size)
        self._outputs = learning.LearnedAnswers().outputs

    def serve(self, asked: Asked, deadline: float, refuse: Callable) -> None:
        """Admits a request and sends it to a runner, or refuses it."""
        site = self._site
        admitted = admission.admit(
            self.state,
            _write_call(asked, site.now),
            _write_head(asked, site.now),
            site.now,
            self._outputs,
        ).ok_value
        selector = selection.RunnerSelector(self.deps, admitted)
        found = _finish(selector.find(None, False))
        if not isinstance(found, outcomes.Grant):
            selector.record_refusal()
            refuse(getattr(found, "wait_s", 0.15))
            return
        runner = site.by_id[found.runner.id]

        def done(first: float | None, last: float | None) -> None:
            if first is not None and asked.begun_at is None:
                asked.begun_at = first
                found.record_prefill_done()
            if first is None or last is not None:
                self.chooser.settle(found)

        runner.take(asked, int(admitted.tier), deadline, done)


class Fleet:
    """Plays callers before instances and runners."""

    def __init__(
        self,
        *,
        instances: int = 8,
        runners: int = 9,
        kinds: tuple[Kind, ...] = KINDS,
        seed: int = 1,
    ) -> None:
        self.seed = seed
        self.now = 100.0
        self.rng = random.Random(seed)
        self.kinds = kinds
        self._events: list = []
        self._added = itertools.count()
        self.size = instances
        self.asked: list[Asked] = []
        self.runners = [
            Runner(self, _describe(number)) for number in range(runners)
        ]
        self.by_id = {each.described.id: each for each in self.runners}
        settings = lookup.Lookup(_configure(kinds))
        self.instances = [
            Instance(self, number, settings) for number in range(instances)
        ]

    def schedule(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._added), call))

    def play(
        self,
        seconds: float,
        load: Callable[[Kind, float], float],
        most: float = 5.0,
    ) -> None:
        """Sends requests.

        Args:
            seconds: For how long.
            load: Returns the load of a kind at a time, relative to its usual.
            most: The highest load.
        """
        start = self.now
        end = start + seconds
        for kind in self.kinds:
            self._plan(kind, start, end, load, most)
        self.schedule(start, self._exchange)
        while self._events and self._events[0][0] <= end + 1.0:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = end

    def _plan(
        self, kind: Kind, start: float, end: float, load, most: float
    ) -> None:
        at = start
        while True:
            at += self.rng.expovariate(kind.per_s * most)
            if at >= end:
                return
            factor = load(kind, at - start)
            assert factor <= most
            if self.rng.random() * most < factor:
                own = kind.own * min(8.0, self.rng.lognormvariate(-0.4, 0.9))
                asked = Asked(
                    kind, at, max(1, int(own)), self.rng.randrange(kind.texts)
                )
                self.asked.append(asked)
                self.schedule(at, lambda a=asked: self._send(a))

    def _send(self, asked: Asked) -> None:
        instance = self.rng.choice(self.instances)
        deadline = asked.sent_at + asked.kind.limit_s

        def refuse(wait_s: float) -> None:
            asked.refusals += 1
            left_s = deadline - self.now
            if asked.refusals == 1:
                back = self.now + min(max(0.15, wait_s), 2.5, left_s / 3)
                self.schedule(back, lambda: self._send(asked))

        instance.serve(asked, deadline, refuse)

    def _exchange(self) -> None:
        """Lets all instances know each other's loads a little later."""
        told = [each.chooser.list_loads() for each in self.instances]
        placed = [each.chooser.take_placements() for each in self.instances]
        news = [each.updates.take(self.now) for each in self.instances]
        total: dict[int, list[int]] = {}
        for table in told:
            for mark, load in table.items():
                sums = total.setdefault(mark, [0, 0, 0, 0])
                sums[0] += load.active
                sums[1] += load.pending_tokens
                sums[2] += load.top_tier
                sums[3] += load.held_tokens

        def apply() -> None:
            for own, instance in zip(told, self.instances, strict=True):
                instance.others = _subtract(total, own)
            for number, (put, told_by) in enumerate(
                zip(placed, news, strict=True)
            ):
                for instance in self.instances:
                    if instance.number == number:
                        continue
                    if put:
                        instance.chooser.caches.apply(put)
                    if told_by.pressures:
                        instance.updates.receive(told_by, self.now)

        self.schedule(self.now + self.rng.uniform(0.02, 0.08), apply)
        self.schedule(self.now + EXCHANGE_S, self._exchange)


def find_inversions(
    asked: list[Asked], window_s: float = 5.0, least: int = 10
) -> list[str]:
    """Returns spans in which urgent requests got nothing, less urgent ran.

    In a span, at least ten and more than a twelfth of a kind's requests are
    never answered, while less urgent requests of over twice as many tokens
    begin.
    """
    found = []
    starts = sorted({int(each.sent_at * 2) / 2 for each in asked})
    tiers = sorted({each.kind.tier for each in asked})
    for start in starts:
        end = start + window_s
        for tier in tiers[:-1]:
            sent = [
                each
                for each in asked
                if each.kind.tier == tier and start <= each.sent_at < end
            ]
            lost = [each for each in sent if each.begun_at is None]
            if len(lost) < least or len(lost) * 12 <= len(sent):
                continue
            size = sum(each.tokens for each in lost)
            behind = sum(
                each.tokens
                for each in asked
                if each.kind.tier > tier
                and each.begun_at is not None
                and start <= each.begun_at < end
            )
            if behind > 2 * size:
                found.append(
                    f"{len(lost)} of {len(sent)} of tier {tier} got nothing "
                    f"in the {window_s} s from {start} ({size} tokens), while "
                    f"less urgent ones of {behind} tokens began"
                )
    return found


def measure_served(asked: list[Asked], kind: Kind) -> float:
    """Returns the share of a kind's requests that began."""
    sent = [each for each in asked if each.kind is kind]
    return sum(each.begun_at is not None for each in sent) / len(sent)


def _subtract(total, own) -> dict[int, loads.Load]:
    others = {}
    for mark, sums in total.items():
        mine = own.get(mark, loads.Load())
        others[mark] = loads.Load(
            sums[0] - mine.active,
            sums[1] - mine.pending_tokens,
            sums[2] - mine.top_tier,
            sums[3] - mine.held_tokens,
        )
    return others


def _finish(coroutine) -> outcomes.Outcome:
    """Returns the result of a coroutine that doesn't wait."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise asyncio.InvalidStateError("the coroutine waits")


def _describe(number: int) -> fleet.Runner:
    return fleet.Runner(
        id=ids.EndpointId(f"r{number}"),
        service=SERVICE,
        host="127.0.0.1",
        port=1,
        data_centre=ids.DataCentre("a"),
        slots=SLOTS,
        leaving=False,
        cold_s=0.0,
    )


def _configure(kinds: tuple[Kind, ...]) -> routes.Configuration:
    return routes.Configuration(
        version=1,
        routes=tuple(
            routes.Route(
                name=kind.name,
                host="h",
                prefix=f"/{kind.name}/",
                kind=routes.Kind.STREAM,
                time_limit_s=kind.limit_s,
                target_s=kind.target_s,
                gap_s=0.5,
                tier=ids.Tier(kind.tier),
                targets=(routes.Target(SERVICE, 1.0),),
                attempts=2,
                public=False,
                resumable=False,
                prefix_affinity=True,
            )
            for kind in kinds
        ),
        services={
            SERVICE: routes.Service(SERVICE, "/health", 1000, 640_000, 3.3e-7)
        },
        limits=routes.CallerLimits(),
        accounts={
            kind.name: routes.Account(
                ids.AccountId(kind.name),
                None
                if kind.account_tier is None
                else ids.Tier(kind.account_tier),
            )
            for kind in kinds
        },
    )


def _write_call(asked: Asked, now: float) -> messages.Request:
    return messages.Request(
        method=b"POST",
        target=b"/%b/x" % asked.kind.name.encode(),
        headers=[(b"host", b"h")],
        body=b"",
        arrived=now,
    )


def _write_head(asked: Asked, now: float) -> messages.RequestHead:
    kind = asked.kind
    left_s = asked.sent_at + kind.limit_s - now
    text = fleet.Part(b"%b-%d" % (kind.name.encode(), asked.text), kind.shared)
    return messages.RequestHead(
        attempt=ids.AttemptId("q"),
        key=kind.name,
        wait_s=left_s,
        parts=(text, fleet.Part(b"own", asked.own)),
        tokens=(asked.tokens, kind.events * 4),
        last_event=None,
    )
