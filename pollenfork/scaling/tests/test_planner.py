"""Reclaimable runners are preferred, and on-demand runners fill in."""

import pytest

from pollenfork import ids
from pollenfork.routes import model as routes
from pollenfork.scaling import demand
from pollenfork.scaling import model
from pollenfork.scaling import planner

A, B, C = map(ids.DataCentre, "abc")
TERMS = routes.Scaling(
    min_runners=1,
    max_runners=30,
    boot_s=4.0,
    reclaimable_price=0.18,
    prices={A: 0.85, B: 1.2, C: 1.0},
)
CALM = model.Load()
BUSY = model.Load(backlog_s=1.0)


class Fleet:
    """Simulated runners that are ready one boot time after their order."""

    def __init__(
        self, terms: routes.Scaling = TERMS, baseline: int = 45
    ) -> None:
        self.now = 0.0
        self.terms = terms
        self.planner = planner.Planner(terms, demand.DemandEstimator(baseline))
        self.ordered: dict[model.RunnerKind, int] = {}
        self.ready = {
            model.RunnerKind(zone, False): baseline // 3
            for zone in terms.prices
        }
        self.starting: list[tuple[float, model.RunnerKind]] = []
        self.unavailable: set[ids.DataCentre] = set()
        self.orders: list[tuple[float, model.Target]] = []
        self.cost = 0.0

    @property
    def zones(self) -> dict[ids.DataCentre, model.RunnerCounts]:
        return {
            zone: model.RunnerCounts(
                self.ready.get(model.RunnerKind(zone, False), 0),
                self.ready.get(model.RunnerKind(zone, True), 0),
            )
            for zone in self.terms.prices
        }

    @property
    def total(self) -> int:
        return sum(self.ready.values())

    def run(self, seconds: float, load: model.Load = CALM) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.25
            for moment, kind in list(self.starting):
                if moment <= self.now:
                    self.starting.remove((moment, kind))
                    self.ready[kind] = self.ready.get(kind, 0) + 1
            view = model.View(self.zones, dict(self.ordered))
            targets = self.planner.plan(view, load, self.now)
            for target in targets:
                self._order(target)
            self.cost += 0.25 * sum(map(self._price, self._list_paid()))

    def reclaim(self, zone: ids.DataCentre) -> None:
        kind = model.RunnerKind(zone, True)
        self.ready[kind] = 0
        self.starting = [each for each in self.starting if each[1] != kind]

    def _order(self, target: model.Target) -> None:
        kind = target.kind
        self.orders.append((self.now, target))
        self.ordered[kind] = target.count
        if kind.reclaimable and kind.data_centre in self.unavailable:
            self.planner.record_unavailable(kind.data_centre, self.now)
            return
        coming = sum(each == kind for _, each in self.starting)
        have = self.ready.get(kind, 0)
        for _ in range(target.count - have - coming):
            self.starting.append((self.now + self.terms.boot_s, kind))
        self.ready[kind] = min(have, target.count)

    def _list_paid(self) -> list[model.RunnerKind]:
        kinds = [kind for kind, n in self.ready.items() for _ in range(n)]
        return kinds + [kind for _, kind in self.starting]

    def _price(self, kind: model.RunnerKind) -> float:
        part = self.terms.reclaimable_price if kind.reclaimable else 1.0
        return self.terms.prices[kind.data_centre] * part


def test_on_demand_runners_are_released_once_replacements_are_ready() -> None:
    fleet = Fleet()
    least = fleet.total
    for _ in range(80):
        fleet.run(0.25)
        least = min(least, fleet.total)
    assert least == 45
    assert fleet.zones == {
        zone: model.RunnerCounts(0, 15) for zone in (A, B, C)
    }


def test_a_steady_state_needs_no_further_orders() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    count = len(fleet.orders)
    fleet.run(60.0)
    assert len(fleet.orders) == count
    assert count <= 6


def test_two_thirds_remain_when_one_data_centre_is_reclaimed() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.reclaim(A)
    assert fleet.total >= 30
    fleet.run(6.0)
    assert fleet.total == 45


def test_other_data_centres_replace_one_without_reclaimable_runners() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.unavailable = {A}
    fleet.reclaim(A)
    fleet.run(8.0)
    assert fleet.total == 45 + TERMS.min_runners
    assert fleet.zones[A] == model.RunnerCounts(TERMS.min_runners, 0)
    count = len(fleet.orders)
    fleet.unavailable.clear()
    fleet.run(20.0)
    assert len(fleet.orders) == count  # Cached prompts stay where they are.


def test_on_demand_runners_fill_in_up_to_the_minimum() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.unavailable = {A, B, C}
    fleet.reclaim(A)
    fleet.reclaim(B)
    fleet.run(8.0)
    assert fleet.total >= 31
    on_demand = [
        target for _, target in fleet.orders if not target.kind.reclaimable
    ]
    fleet.run(10.0)
    assert on_demand == [
        target for _, target in fleet.orders if not target.kind.reclaimable
    ]
    fleet.unavailable.clear()
    fleet.run(12.0)
    assert sum(zone.on_demand for zone in fleet.zones.values()) == 0
    assert fleet.total == 45


def test_on_demand_runners_of_an_unused_service_are_released_sooner() -> None:
    fleet = Fleet()
    fleet.planner = planner.Planner(
        TERMS, demand.DemandEstimator(45), unused=True
    )
    fleet.run(1.0)
    assert fleet.total == 15
    fleet.run(8.0)
    assert fleet.zones == {
        zone: model.RunnerCounts(0, 15) for zone in (A, B, C)
    }


def test_runners_added_under_load_stay_for_the_hold_time() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.run(1.0, BUSY)
    fleet.run(8.0)
    assert fleet.total > 58
    fleet.run(20.0)
    assert fleet.total == 45


def test_orders_stay_within_the_limits() -> None:
    fleet = Fleet(baseline=45)
    fleet.run(2.0, model.Load(backlog_s=9.0))
    fleet.run(30.0, model.Load(backlog_s=9.0))
    for _, target in fleet.orders:
        assert 0 <= target.count <= TERMS.max_runners
    for zone in fleet.zones.values():
        assert TERMS.min_runners <= zone.ready <= TERMS.max_runners


def test_without_reclaimable_runners_on_demand_ones_stay() -> None:
    fleet = Fleet()
    fleet.unavailable = {A, B, C}
    fleet.run(60.0)
    assert fleet.zones == {
        zone: model.RunnerCounts(15, 0) for zone in (A, B, C)
    }


def test_without_a_price_no_reclaimable_runners_are_ordered() -> None:
    terms = routes.Scaling(
        min_runners=1,
        max_runners=30,
        boot_s=4.0,
        reclaimable_price=None,
        prices={A: 1.0},
    )
    fleet = Fleet(terms, baseline=15)
    fleet.run(20.0)
    assert not any(target.kind.reclaimable for _, target in fleet.orders)


def test_a_new_duty_holder_does_not_repeat_orders() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.planner = planner.Planner(
        TERMS, demand.DemandEstimator(45, fleet.total, fleet.now)
    )
    count = len(fleet.orders)
    fleet.run(10.0)
    assert len(fleet.orders) == count


@pytest.mark.parametrize("gap_s", [0.5, 2.0, 6.0, 15.0])
def test_bursts_change_orders_at_most_twice_per_hold_time(gap_s) -> None:
    fleet = Fleet()
    fleet.run(20.0)
    count = len(fleet.orders)
    for _ in range(int(60 / gap_s)):
        fleet.run(0.5, BUSY)
        fleet.run(gap_s - 0.5)
    assert len(fleet.orders) - count <= 3 * 2 * (60 / 20 + 1)


def test_the_cost_falls_to_about_a_quarter() -> None:
    fleet = Fleet()
    fleet.run(60.0)
    assert fleet.cost < 0.35 * 45 / 3 * (0.85 + 1.2 + 1.0) * 60


def test_demand_rises_with_pressure_and_falls_after_the_hold_time() -> None:
    estimator = demand.DemandEstimator(30)
    assert estimator.estimate_total(CALM, 0.0) == 30
    for sample in range(10):
        busy = estimator.estimate_total(
            model.Load(backlog_s=0.5), 1.0 + sample * 0.1
        )
    assert 39 <= busy <= 45
    for sample in range(10):
        busy = estimator.estimate_total(
            model.Load(slot_utilization=1.0), 2.0 + sample * 0.1
        )
    assert busy > 45
    for sample in range(10):
        assert estimator.estimate_total(CALM, 3.0 + sample * 0.1) > 45
    assert estimator.estimate_total(CALM, 21.0) > 45
    assert estimator.estimate_total(CALM, 24.1) == 30


def test_a_single_long_prompt_does_not_raise_demand() -> None:
    estimator = demand.DemandEstimator(30)
    assert estimator.estimate_total(model.Load(backlog_s=0.9), 1.0) == 30
    assert estimator.estimate_total(CALM, 1.25) == 30


def test_a_new_duty_holder_releases_no_runner_needed_recently() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.run(2.0, BUSY)
    fleet.run(6.0)
    many = fleet.total
    assert many > 58
    fleet.planner = planner.Planner(
        TERMS, demand.DemandEstimator(45, fleet.total, fleet.now)
    )
    fleet.run(15.0)
    assert fleet.total == many
    fleet.run(10.0)
    assert fleet.total == 45


def test_a_data_centre_that_lost_all_runners_gets_the_minimum() -> None:
    fleet = Fleet()
    fleet.run(20.0)
    fleet.unavailable = {A}
    fleet.reclaim(A)
    fleet.run(8.0)
    assert fleet.zones[A].ready >= TERMS.min_runners
