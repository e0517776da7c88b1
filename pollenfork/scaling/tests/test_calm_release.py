"""Fewer runners than the baseline while calm, and the baseline at once."""

from collections.abc import Callable
import itertools
import logging
import math
import random

import pytest

from pollenfork import ids
from pollenfork.routes import model as routes
from pollenfork.scaling import calm_release
from pollenfork.scaling import demand
from pollenfork.scaling import model
from pollenfork.scaling import planner
from pollenfork.scaling.tests import test_planner

A, B, C = test_planner.A, test_planner.B, test_planner.C
TERMS = test_planner.TERMS
SERVICE = ids.ServiceName("s")
BASELINE = 45
HALF = 23
STEP = 3


class CalmFleet(test_planner.Fleet):
    """Simulated reclaimable runners whose load follows from the work.

    Work is measured in runners that it would use completely.
    """

    def __init__(self, terms: routes.Scaling = TERMS) -> None:
        super().__init__(terms, BASELINE)
        self.ready = {
            model.RunnerKind(zone, True): BASELINE // len(terms.prices)
            for zone in terms.prices
        }
        self.totals: list[int] = []
        self.take_over()

    def take_over(self) -> None:
        """Replaces the duty holder; the new one knows the runners alone."""
        self.estimator = calm_release.CalmReleaseEstimator(
            SERVICE, BASELINE, self.total, self.now
        )
        self.planner = planner.Planner(self.terms, self.estimator)

    def measure(self, work: float, prefill: float = 0.0) -> model.Load:
        if not self.total:
            return model.Load()
        use = work / self.total
        return model.Load(
            backlog_s=max(0.0, use - 0.5),
            slot_utilization=min(1.0, use),
            prefill_utilization=min(1.0, prefill / self.total),
            runners=self.total,
            exposed=max(zone.reclaimable for zone in self.zones.values()),
        )

    def play(
        self,
        seconds: float,
        work: float | Callable[[float], float],
        prefill: float = 0.0,
    ) -> None:
        for _ in range(int(seconds * 4)):
            now_work = work(self.now) if callable(work) else work
            self.run(0.25, self.measure(now_work, prefill))
            self.totals.append(self.total)


def count_rises(totals: list[int]) -> int:
    return sum(after > before for before, after in itertools.pairwise(totals))


def make_load(use: float, runners: int = BASELINE) -> model.Load:
    return model.Load(
        slot_utilization=use, runners=runners, exposed=runners // 3
    )


# Guards against runners that are paid for although nothing uses them.
def test_a_calm_fleet_shrinks_to_half_in_small_steps() -> None:
    fleet = CalmFleet()
    fleet.play(19.75, 1.0)
    assert fleet.total == BASELINE
    fleet.play(60.0, 1.0)
    assert fleet.total == HALF
    falls = [
        before - after
        for before, after in itertools.pairwise(fleet.totals)
        if after < before
    ]
    assert max(falls) <= STEP
    assert len(falls) == math.ceil((BASELINE - HALF) / STEP)
    fleet.play(300.0, 0.0)
    assert fleet.total == HALF


# Guards against releases below the need, and against ones that stop early.
# Work of 7 runners asks for 20, and for 30 if a third may be lost.
def test_a_fleet_shrinks_to_the_need_after_the_loss_of_a_data_centre() -> None:
    fleet = CalmFleet()
    fleet.play(120.0, 7.0)
    exposed = max(zone.reclaimable for zone in fleet.zones.values())
    assert fleet.total - exposed >= 7.0 / 0.35
    assert fleet.total <= 30 * 1.1 + 1


# Guards against an estimate by slots alone: long prompts use few slots.
def test_time_spent_on_prompts_counts_like_slots() -> None:
    fleet = CalmFleet()
    fleet.play(120.0, 1.0, prefill=7.0)
    assert 30 <= fleet.total <= 34


# Guards against uneven data centres and against releases of the cheapest
# runners while more expensive ones stay.
def test_data_centres_stay_even_and_the_most_expensive_are_released() -> None:
    fleet = CalmFleet()
    for _ in range(320):
        fleet.play(0.25, 1.0)
        counts = {zone: fleet.zones[zone].ready for zone in (A, B, C)}
        assert max(counts.values()) - min(counts.values()) <= 1
        assert counts[A] >= counts[C] >= counts[B]
    assert counts == {A: 8, B: 7, C: 8}


# Guards against on-demand runners in place of released reclaimable ones: a
# data centre below its minimum is filled with on-demand runners.
def test_releases_order_no_on_demand_runners() -> None:
    terms = routes.Scaling(
        min_runners=9,
        max_runners=30,
        boot_s=4.0,
        reclaimable_price=0.18,
        prices=TERMS.prices,
    )
    fleet = CalmFleet(terms)
    fleet.play(120.0, 0.0)
    assert fleet.total == 27
    assert not any(
        target.count
        for _, target in fleet.orders
        if not target.kind.reclaimable
    )


# Guards against reclaimable runners that are released before on-demand ones,
# and against a service that keeps them because its total has fallen.
@pytest.mark.parametrize("unused", [False, True])
def test_on_demand_runners_are_released_first(unused) -> None:
    fleet = CalmFleet()
    fleet.ready = {model.RunnerKind(zone, False): 15 for zone in (A, B, C)}
    fleet.planner = planner.Planner(TERMS, fleet.estimator, unused=unused)
    fleet.play(15.0, 0.0)
    assert fleet.zones == {
        zone: model.RunnerCounts(0, 15) for zone in (A, B, C)
    }
    fleet.play(60.0, 0.0)
    assert fleet.total == HALF
    assert not any(zone.on_demand for zone in fleet.zones.values())


# Guards against on-demand runners that stay beyond the lower total where no
# reclaimable ones can be had.
def test_on_demand_runners_shrink_too() -> None:
    fleet = CalmFleet()
    fleet.ready = {model.RunnerKind(zone, False): 15 for zone in (A, B, C)}
    fleet.unavailable = {A, B, C}
    fleet.play(80.0, 1.0)
    assert fleet.total == HALF
    assert fleet.zones[A].on_demand == 15  # The cheapest.


# Guards against a burst that meets half of the runners until a moving average
# has followed it: new runners take 4 s to start.
def test_a_burst_has_the_baseline_ordered_in_the_same_period() -> None:
    fleet = CalmFleet()
    fleet.play(100.0, 5.3)
    assert fleet.total < 30
    moment = fleet.now
    fleet.play(0.25, 5.3 * 2.4)
    assert sum(fleet.ordered.values()) == BASELINE
    assert fleet.orders[-1][0] <= moment + 0.25
    fleet.play(6.0, 5.3 * 2.4)
    assert fleet.total == BASELINE
    # More than the baseline would be ordered for load that it can bear.
    assert max(fleet.totals) == BASELINE
    fleet.play(13.0, 1.0)
    assert fleet.total == BASELINE  # Held for 20 s after the order.
    fleet.play(60.0, 1.0)
    assert fleet.total == HALF


# Guards against a backlog of long prompts that no slot count shows.
def test_a_backlog_has_the_baseline_ordered_in_the_same_period() -> None:
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, HALF, 0.0)
    calm = make_load(0.1, HALF)
    assert estimator.estimate_total(calm, 0.25) == HALF
    backlog = model.Load(backlog_s=0.21, runners=HALF, exposed=8)
    assert estimator.estimate_total(backlog, 0.5) == 45


# Guards against releases while prompts wait that don't order the baseline yet.
def test_nothing_is_released_while_prompts_wait() -> None:
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
    waiting = model.Load(backlog_s=0.11, runners=45, exposed=15)
    for period in range(400):
        assert estimator.estimate_total(waiting, period / 4) == 45


# Guards against fewer runners added under high load than for other services.
def test_high_load_adds_runners_beyond_the_baseline() -> None:
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
    high = model.Load(backlog_s=2.0, runners=45, exposed=15)
    for period in range(8):
        total = estimator.estimate_total(high, period / 4)
    assert total == math.ceil(45 * 1.7)
    calm = make_load(0.05, total)
    totals = [estimator.estimate_total(calm, 2.0 + n / 4) for n in range(600)]
    assert totals[0] == total
    assert totals[-1] == HALF
    assert max(a - b for a, b in itertools.pairwise(totals)) == STEP


# Guards against runners that are released in each trough of the waves and
# ordered in each crest: a released runner loses its cache.
@pytest.mark.parametrize("mean", [2.0, 4.0, 6.0, 8.0, 10.0, 12.0, 14.0, 18.0])
def test_waves_do_not_release_and_order_in_turn(mean) -> None:
    rng = random.Random(15)

    def draw(now: float) -> float:
        wave = 1.0 + 0.55 * math.sin(2.0 * math.pi * now / 15.0)
        return mean * wave * rng.gauss(1.0, 0.06)

    fleet = CalmFleet()
    fleet.play(600.0, draw)
    # 40 crests; the doubled hold time allows few orders in ten minutes.
    assert count_rises(fleet.totals) <= 4
    if mean <= 4.0:
        assert fleet.total < 30


# Guards against releases after which the next crest is pressure, where no data
# centre may be lost and the need is therefore lower. The mean of 10 s doesn't
# show waves of 5 s.
@pytest.mark.parametrize("period_s", [5.0, 15.0])
@pytest.mark.parametrize("mean", [4.0, 6.0, 8.0, 10.0, 12.0])
def test_waves_over_on_demand_runners_do_not_either(mean, period_s) -> None:
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
    totals = [45]
    for period in range(2400):
        wave = 1.0 + 0.55 * math.sin(math.pi * period / 2.0 / period_s)
        load = model.Load(
            slot_utilization=mean * wave / totals[-1], runners=totals[-1]
        )
        totals.append(estimator.estimate_total(load, period / 4))
    assert count_rises(totals) == 0
    assert totals[-1] < 45 or mean > 11.0


# Guards against a hold time that is always the same: pressure every 30 s would
# release and order the same runners each time.
def test_pressure_after_a_release_doubles_the_hold_time() -> None:
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
    busy = model.Load(backlog_s=0.3, runners=45, exposed=15)
    calm = make_load(0.05)
    now, held = 0.0, []
    for _ in range(7):
        begun = now
        while estimator.estimate_total(calm, now) == 45:
            now += 0.25
        held.append(now - begun)
        now += 1.0
        assert estimator.estimate_total(busy, now) == 45
    assert [round(each) for each in held] == [20, 40, 80, 160, 160, 160, 160]
    # Pressure that doesn't follow a release closely ends the doubling.
    while estimator.estimate_total(calm, now) > HALF:
        now += 0.25
    for _ in range(100):
        estimator.estimate_total(calm, now)
        now += 0.25
    assert estimator.estimate_total(busy, now) == 45
    begun = now
    while estimator.estimate_total(calm, now) == 45:
        now += 0.25
    assert now - begun <= 21.0


# Guards against too few runners after all reclaimable runners of a data centre
# are reclaimed at once from a fleet that was reduced before.
@pytest.mark.parametrize("zone", [A, B, C])
@pytest.mark.parametrize("work", [1.0, 5.0, 8.0])
def test_a_reduced_fleet_bears_the_loss_of_a_data_centre(zone, work) -> None:
    fleet = CalmFleet()
    fleet.play(120.0, work)
    total = fleet.total
    assert total < BASELINE
    fleet.reclaim(zone)
    assert fleet.total >= work / 0.35
    fleet.play(5.0, work)
    assert fleet.total >= total
    fleet.play(60.0, work)
    counts = [each.ready for each in fleet.zones.values()]
    assert max(counts) - min(counts) <= 2


# Guards against releases while no runner is left: no load isn't calm then.
def test_without_any_runner_nothing_is_released() -> None:
    fleet = CalmFleet()
    fleet.play(10.0, 4.0)
    for zone in (A, B, C):
        fleet.reclaim(zone)
    fleet.unavailable = {A, B, C}
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
    for period in range(400):
        assert estimator.estimate_total(model.Load(), period / 4) == 45
    for period in range(400, 476):
        assert estimator.estimate_total(make_load(0.05), period / 4) == 45
    fleet.play(8.0, 4.0)
    assert fleet.total >= math.ceil(0.7 * BASELINE)
    fleet.unavailable.clear()
    fleet.play(12.0, 4.0)
    # The on-demand runners of one data centre leave no room for others, so it
    # keeps its minimum of them.
    assert fleet.total == BASELINE + TERMS.min_runners


# Guards against orders that wait for a data centre without runners: the others
# replace its share, and no on-demand runner beyond the fraction that must be
# ready.
def test_unavailable_runners_are_ordered_elsewhere() -> None:
    fleet = CalmFleet()
    fleet.play(100.0, 1.0)
    fleet.unavailable = {A}
    fleet.reclaim(A)
    fleet.play(8.0, 1.0)
    assert fleet.total == HALF + TERMS.min_runners
    assert fleet.zones[A] == model.RunnerCounts(TERMS.min_runners, 0)
    # The load of a burst finds the baseline ordered elsewhere as well.
    fleet.play(8.0, 15.0)
    assert fleet.zones[B].reclaimable + fleet.zones[C].reclaimable == BASELINE


# Guards against a new duty holder that orders the baseline, or releases
# runners whose need it can't know.
def test_a_new_duty_holder_holds_the_present_number() -> None:
    fleet = CalmFleet()
    fleet.play(30.0, 1.0)
    total = fleet.total
    assert HALF < total < BASELINE
    fleet.take_over()
    count = len(fleet.orders)
    fleet.play(19.75, 1.0)
    assert fleet.total == total
    assert len(fleet.orders) == count
    fleet.play(40.0, 1.0)
    assert fleet.total == HALF


# Guards against a new duty holder that keeps too few after a loss, or takes
# twice the baseline, while replacements start, for what is needed.
@pytest.mark.parametrize(("present", "total"), [(3, HALF), (50, 50), (90, 77)])
def test_a_new_duty_holder_starts_within_bounds(present, total) -> None:
    estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, present, 7.0)
    assert estimator.estimate_total(make_load(0.1, present), 7.0) == total


# Guards against an instance that lowers the number of runners by reporting
# more load than there is.
@pytest.mark.parametrize("seed", range(20))
def test_a_wrong_report_raises_but_never_lowers(seed) -> None:
    rng = random.Random(seed)
    right, wrong = CalmFleet(), CalmFleet()
    mean = rng.uniform(1.0, 9.0)
    wrong_at = {rng.randrange(120, 480) for _ in range(3)}
    raised = 0
    # The last wrong report is held for up to 160 s.
    for period in range(1240):
        work = mean * rng.gauss(1.0, 0.05)
        right.play(0.25, work)
        load = wrong.measure(work)
        if period in wrong_at:
            factor = 10.0 ** rng.uniform(0.5, 12.0)
            load = exaggerate(load, factor)
        wrong.run(0.25, load)
        assert wrong.total >= right.total
        raised = max(raised, wrong.total - right.total)
        assert sum(wrong.ordered.values()) <= math.ceil(1.7 * BASELINE)
    assert raised
    assert wrong.total <= right.total + 2 * STEP


def exaggerate(load: model.Load, factor: float) -> model.Load:
    return model.Load(
        backlog_s=(load.backlog_s + 0.05) * factor,
        slot_utilization=(load.slot_utilization + 0.05) * factor,
        prefill_utilization=1.0,
        runners=load.runners,
        exposed=load.exposed,
    )


# Guards against a total that falls because of more load, whatever came before.
@pytest.mark.parametrize("seed", range(20))
def test_more_load_never_lowers_the_next_total(seed) -> None:
    rng = random.Random(seed)
    history: list[model.Load] = []
    for _ in range(rng.randrange(50, 300)):
        runners = rng.randrange(15, 60)
        history.append(
            model.Load(
                rng.choice([0.0, 0.0, 0.02, 0.15, 0.3]),
                rng.uniform(0.0, 0.4),
                rng.uniform(0.0, 0.4),
                runners,
                runners // 3,
            )
        )
    last = history.pop()
    more = model.Load(
        last.backlog_s + 0.3,
        last.slot_utilization + 0.3,
        1.0,
        last.runners,
        last.exposed,
    )
    totals = []
    for load in (last, more):
        estimator = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
        for period, each in enumerate(history):
            estimator.estimate_total(each, period / 4)
        totals.append(estimator.estimate_total(load, len(history) / 4))
    assert totals[0] <= totals[1]
    assert totals[1] >= 45


# Guards against a total outside its bounds, and against a total above the need
# that never falls, over drawn loads.
@pytest.mark.parametrize("seed", range(10))
def test_the_total_stays_within_its_bounds(seed) -> None:
    rng = random.Random(seed)
    baseline = rng.choice([1, 2, 3, 7, 45, 600])
    estimator = calm_release.CalmReleaseEstimator(SERVICE, baseline, 0, 0.0)
    now = 0.0
    for _ in range(2000):
        now += rng.choice([0.25, 0.25, 0.25, 3.0])
        runners = rng.randrange(0, 2 * baseline)
        load = model.Load(
            rng.expovariate(20.0), rng.uniform(0.0, 0.5), 0.1, runners, runners
        )
        total = estimator.estimate_total(load, now)
        assert math.ceil(baseline / 2) <= total <= math.ceil(1.7 * baseline)


# Guards against decisions that operators can't explain.
def test_each_change_of_the_total_is_logged(caplog) -> None:
    caplog.set_level(logging.INFO)
    fleet = CalmFleet()
    fleet.play(40.0, 1.0)
    lines = [
        record.getMessage()
        for record in caplog.records
        if "event=need_estimated" in record.getMessage()
    ]
    assert lines[0] == (
        "event=need_estimated service=s need=5 total=42 baseline=45 "
        "utilization=0.02 backlog_ms=0"
    )
    assert len(lines) == 7


# Guards against the new estimate for services with the earlier one: over a
# drawn sequence, the fields that it reads change none of the earlier totals.
@pytest.mark.parametrize("seed", range(10))
def test_the_earlier_estimate_ignores_what_is_new(seed) -> None:
    rng = random.Random(seed)
    before = demand.DemandEstimator(45, 45, 0.0)
    now_used = demand.DemandEstimator(45, 45, 0.0)
    calm = calm_release.CalmReleaseEstimator(SERVICE, 45, 45, 0.0)
    differing = 0
    for period in range(2000):
        quiet = period % 500 < 400
        backlog_s = rng.expovariate(100.0 if quiet else 2.0)
        use = rng.uniform(0.0, 0.1 if quiet else 1.0)
        full = model.Load(
            backlog_s, use, rng.random(), rng.randrange(80), rng.randrange(30)
        )
        now = period / 4
        expected = before.estimate_total(model.Load(backlog_s, use), now)
        assert now_used.estimate_total(full, now) == expected
        differing += calm.estimate_total(full, now) != expected
    assert differing  # The sequence tells the two estimates apart.
