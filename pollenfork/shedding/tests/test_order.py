"""Which tiers are closed while others are pressed."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from pollenfork import ids
from pollenfork.loads import messages
from pollenfork.shedding import order

SERVICE = ids.ServiceName("lm")
OTHER = ids.ServiceName("app")
TIERS = tuple(ids.Tier(tier) for tier in range(3))
FIRST, MIDDLE, LAST = TIERS
NOW = 100.0


def press(
    known: order.TierOrder, tier: ids.Tier, start: float, seconds: float
) -> float:
    """Keeps a tier pressed for a while; returns when that ends."""
    for number in range(int(seconds / 0.1) + 1):
        known.record_pressure(SERVICE, tier, start + number * 0.1)
    return start + int(seconds / 0.1) * 0.1


def measure(known: order.TierOrder, tier: ids.Tier, now: float) -> float:
    return known.measure_opening(SERVICE, tier, TIERS, now)


def test_nothing_is_closed_without_pressure() -> None:
    known = order.TierOrder()
    assert [measure(known, tier, NOW) for tier in TIERS] == [1.0] * 3


def test_the_least_urgent_tier_is_closed_at_once() -> None:
    known = order.TierOrder()
    known.record_pressure(SERVICE, MIDDLE, NOW)
    assert [measure(known, tier, NOW) for tier in TIERS] == [1.0, 1.0, 0.0]
    assert known.measure_opening(OTHER, LAST, TIERS, NOW) == 1.0


def test_a_closed_tier_is_opened_gradually() -> None:
    known = order.TierOrder()
    known.record_pressure(SERVICE, MIDDLE, NOW)
    opened = [measure(known, LAST, NOW + at) for at in (0.4, 0.75, 1.0)]
    assert opened == pytest.approx([0.0, 0.5, 1.0])


def test_the_next_tier_is_closed_once_the_last_one_is_for_long() -> None:
    """Guards against refusing urgent requests for an instant of pressure."""
    known = order.TierOrder()
    press(known, FIRST, NOW, 6.0)
    assert measure(known, MIDDLE, NOW + order.SETTLE_S - 0.1) == 1.0
    assert measure(known, MIDDLE, NOW + order.SETTLE_S + 0.1) == 0.0
    assert measure(known, FIRST, NOW + order.SETTLE_S + 0.1) == 1.0


def test_a_pressed_tier_is_refused_once_those_below_are_closed() -> None:
    known = order.TierOrder()
    end = press(known, MIDDLE, NOW, order.SETTLE_S + 0.5)
    assert not known.may_refuse(SERVICE, MIDDLE, TIERS, NOW + 4.9)
    assert known.may_refuse(SERVICE, MIDDLE, TIERS, end)
    # It takes twice as long with two tiers below.
    assert not known.may_refuse(SERVICE, FIRST, TIERS, end)
    # The tier below begins again.
    assert not known.may_refuse(SERVICE, MIDDLE, TIERS, end + 0.6)


def test_the_least_urgent_tier_may_always_be_refused() -> None:
    known = order.TierOrder()
    assert known.may_refuse(SERVICE, LAST, TIERS, NOW)
    assert known.may_refuse(SERVICE, LAST, (), NOW)


def test_a_break_in_the_pressure_starts_the_time_anew() -> None:
    known = order.TierOrder()
    end = press(known, MIDDLE, NOW, 4.0)
    again = press(known, MIDDLE, end + 0.7, 4.0)
    assert again - NOW > order.SETTLE_S
    assert not known.may_refuse(SERVICE, MIDDLE, TIERS, again)


def test_lasting_pressure_is_announced_now_and_then() -> None:
    known = order.TierOrder()
    announced = [
        known.record_pressure(SERVICE, MIDDLE, NOW + number * 0.01)
        for number in range(101)
    ]
    assert sum(announced) == 4 + 1
    assert len(known.take_news(NOW + 1.0)) == 1
    assert known.take_news(NOW + 1.0) == ()


def test_one_announcement_serves_all_instances() -> None:
    """Guards against as many messages as instances."""
    mine, theirs = order.TierOrder(), order.TierOrder()
    assert mine.record_pressure(SERVICE, MIDDLE, NOW)
    theirs.receive(mine.take_news(NOW + 0.1), NOW + 0.1)
    assert measure(theirs, LAST, NOW + 0.1) == 0.0
    assert not theirs.record_pressure(SERVICE, MIDDLE, NOW + 0.2)
    assert theirs.record_pressure(SERVICE, MIDDLE, NOW + 0.3)


def test_instances_agree_since_when_a_tier_is_pressed() -> None:
    mine, theirs = order.TierOrder(), order.TierOrder()
    end = press(mine, MIDDLE, NOW, 5.5)
    theirs.receive(mine.take_news(end), end)
    assert theirs.may_refuse(SERVICE, MIDDLE, TIERS, end)


@pytest.mark.parametrize(
    "invalid",
    [
        messages.TierPressure(7, ids.Tier(-1), 0, 0),
        messages.TierPressure(7, MIDDLE, 0, 1),
        messages.TierPressure(7, MIDDLE, 0, -1),
        messages.TierPressure(7, MIDDLE, 60_000, 5_000),
    ],
)
def test_useless_announcements_are_ignored(invalid) -> None:
    known = order.TierOrder()
    known.receive((invalid,), NOW)
    assert known._spans == {}


def test_what_others_announce_is_bounded() -> None:
    known = order.TierOrder()
    known.receive(
        tuple(
            messages.TierPressure(number, MIDDLE, 0, 0)
            for number in range(5000)
        ),
        NOW,
    )
    assert len(known._spans) <= 1024
    known.expire(NOW + 2.0)
    assert known._spans == {}


@hypothesis.given(strategies.integers(0, 10_000))
def test_a_more_urgent_tier_is_never_closed_further(seed: int) -> None:
    """Guards against an order other than that of the tiers."""
    rng = random.Random(seed)
    known = order.TierOrder()
    tiers = tuple(ids.Tier(tier) for tier in range(rng.randint(2, 7)))
    now = NOW
    for _ in range(60):
        now += rng.choice([0.05, 0.1, 0.4, 1.2])
        if rng.random() < 0.8:
            known.record_pressure(SERVICE, rng.choice(tiers), now)
        opened = [
            known.measure_opening(SERVICE, each, tiers, now) for each in tiers
        ]
        assert opened == sorted(opened, reverse=True)
        assert opened[0] == 1.0
