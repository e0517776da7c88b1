"""Which estimate a service's orders follow, and what it is told."""

import random

import pytest

from pollenfork import ids
from pollenfork.duties import work_queue
from pollenfork.fleet import choice
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import scaler
from pollenfork.loads import messages as loads
from pollenfork.routes import lookup
from pollenfork.routes import model as routes
from pollenfork.scaling import demand
from pollenfork.scaling import model
from pollenfork.scaling import planner

SERVICE = ids.ServiceName("s")
CENTRES = [ids.DataCentre(each) for each in "abc"]
SLOTS = 10
TERMS = routes.Scaling(
    min_runners=1,
    max_runners=30,
    boot_s=4.0,
    reclaimable_price=0.18,
    prices=dict(zip(CENTRES, (0.85, 1.2, 1.0), strict=True)),
)


def make_lookup(target_s: float) -> lookup.Lookup:
    route = routes.Route(
        name="r",
        host="h",
        prefix="/",
        kind=routes.Kind.STREAM,
        time_limit_s=10.0,
        target_s=target_s,
        gap_s=0.3,
        tier=ids.Tier(0),
        targets=(routes.Target(SERVICE, 1.0),),
        attempts=2,
        public=True,
        resumable=False,
        prefix_affinity=True,
    )
    service = routes.Service(SERVICE, "/health", 0, 0, scaling=TERMS)
    return lookup.Lookup(
        routes.Configuration(
            version=1,
            routes=(route,),
            services={SERVICE: service},
            limits=routes.CallerLimits(),
            accounts=None,
        )
    )


class Lease:
    """A held lease, whose orders are kept but not placed."""

    def __init__(self, baseline: int | None = None) -> None:
        self.work_queue = work_queue.WorkQueue()
        self.fencing = ids.FencingNumber(1)
        if baseline is not None:
            self.work_queue.set_baseline(SERVICE, baseline)

    def find_baseline(self, service: ids.ServiceName) -> int | None:
        return self.work_queue.find_baseline(None, service)


class State:
    """The configuration and runners that accept work."""

    def __init__(self, target_s: float, count: int = 12) -> None:
        self.lookup = make_lookup(target_s)
        self.has_runners = True
        self.runners = registry.Registry()
        for number in range(count):
            self.put(number)

    def put(self, number: int, leaving: bool = False) -> None:
        self.runners.put(
            fleet.Runner(
                id=ids.EndpointId(f"r{number}"),
                service=SERVICE,
                host="127.0.0.1",
                port=1000 + number,
                data_centre=CENTRES[number % 3],
                slots=SLOTS,
                leaving=leaving,
                cold_s=0.0,
                reclaimable=True,
            )
        )


class Instance:
    """A scaler whose runners have the load that a test sets."""

    def __init__(self, target_s: float, baseline: int = 12) -> None:
        self.load = loads.Load()
        self.state = State(target_s)
        self.lease = Lease(baseline)
        chooser = choice.Chooser(
            self.state.runners, random.Random(1), lambda runner: self.load
        )
        self.scaler = scaler.Scaler(self.lease, self.state, chooser)

    def run(self, start: float, seconds: float) -> None:
        for period in range(int(seconds * 4)):
            self.scaler.check(start + period / 4)

    @property
    def ordered(self) -> dict[ids.DataCentre, int]:
        orders = {
            each.subject.data_centre: each.count
            for each in self.lease.work_queue.list_orders()
            if each.subject.reclaimable
        }
        return dict.fromkeys(CENTRES, 4) | orders


# Guards against a lower total for services that aren't forecast, and against
# forecast services that keep runners which nothing uses.
@pytest.mark.parametrize(("target_s", "total"), [(0.4, 12), (1.5, 6)])
def test_only_forecast_services_have_fewer_runners(target_s, total) -> None:
    instance = Instance(target_s)
    instance.run(0.0, 60.0)
    assert sum(instance.ordered.values()) == total
    assert set(instance.ordered.values()) == {total // 3}


# Guards against other orders than before for services that aren't forecast:
# the planner is given what it was given before, over drawn loads.
@pytest.mark.parametrize("seed", range(5))
def test_services_that_are_not_forecast_get_the_same_orders(seed) -> None:
    rng = random.Random(seed)
    instance = Instance(0.4)
    expected = planner.Planner(TERMS, demand.DemandEstimator(12, 12, 0.0))
    ordered: dict[model.RunnerKind, int] = {}
    zones = {each: model.RunnerCounts(0, 4) for each in CENTRES}
    for period in range(1200):
        now = period / 4
        if period % 40 == 0:
            busy = rng.random() < 0.3
            most = SLOTS if busy else 1
        instance.load = loads.Load(rng.randint(0, most), rng.randint(0, 9000))
        instance.scaler.check(now)
        load = model.Load(
            instance.load.pending_tokens / 56_600.0,
            instance.load.active / SLOTS,
        )
        for target in expected.plan(
            model.View(zones, dict(ordered)), load, now
        ):
            ordered[target.kind] = target.count
        orders = instance.lease.work_queue.list_orders()
        assert ordered == {
            model.RunnerKind(
                each.subject.data_centre, each.subject.reclaimable
            ): each.count
            for each in orders
        }
    assert ordered  # The loads changed the orders.


class Metrics:
    """Keeps the counts that are exported."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def set_count(self, name: str, value: int, reason: str) -> None:
        self.counts[reason] = value


# Guards against a total that swings without a metric that shows it.
def test_changes_of_the_total_are_counted() -> None:
    instance = Instance(1.5)
    instance.run(0.0, 60.0)
    instance.load = loads.Load(5)
    instance.run(60.0, 5.0)
    shown = Metrics()
    instance.scaler.show(shown)
    assert shown.counts == {"raised": 1, "released": 6}


# Guards against a service that stays below its baseline after its
# configuration makes it one that isn't forecast, and the reverse.
def test_the_estimate_follows_the_configuration() -> None:
    instance = Instance(1.5)
    instance.run(0.0, 60.0)
    assert sum(instance.ordered.values()) == 6
    instance.state.lookup = make_lookup(0.4)
    instance.run(60.0, 1.0)
    assert sum(instance.ordered.values()) == 12
    instance.state.lookup = make_lookup(1.5)
    instance.run(61.0, 60.0)
    assert sum(instance.ordered.values()) == 6


# Guards against a new duty holder that cancels runners which are starting: the
# earlier one had ordered more than the four that are left.
def test_a_new_duty_holder_counts_runners_that_were_ordered() -> None:
    instance = Instance(1.5)
    instance.run(0.0, 28.0)
    total = sum(instance.ordered.values())
    assert 6 < total < 12
    for number in range(12):
        instance.state.put(number, leaving=number % 3 == 0 or number > 6)
    instance.lease.fencing = ids.FencingNumber(2)
    instance.run(28.0, 19.0)
    assert sum(instance.ordered.values()) == total


# Guards against an estimate by slots alone: runners that process prompts for
# most of the time are in use, however few requests they have.
def test_runners_that_process_prompts_are_in_use() -> None:
    instance = Instance(1.5)
    instance.load = loads.Load(1, 2000)
    instance.run(0.0, 60.0)
    assert sum(instance.ordered.values()) == 12


# Guards against a need that forgets the loss of a data centre: work of 2.4
# runners asks for 7, but for 11 if a third of them may be reclaimed.
def test_the_need_allows_for_the_loss_of_a_data_centre() -> None:
    instance = Instance(1.5)
    instance.load = loads.Load(2)
    instance.run(0.0, 60.0)
    assert 11 <= sum(instance.ordered.values()) <= 12
