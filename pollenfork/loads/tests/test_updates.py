"""Guards the propagation of paces and planned returns through relays."""

import math

import msgspec
import pytest

from pollenfork import ids
from pollenfork.loads import core
from pollenfork.loads import messages
from pollenfork.loads import updates
from pollenfork.loads.tests import test_exchange

SAMPLE = messages.PaceSample(5, 20.0)
RETURN = messages.PlannedReturn(2**60, 1500.0, 900)


def list_paces(network, host) -> list[messages.PaceSample]:
    received = network.instances[host].received_updates
    return [sample for each, _ in received for sample in each.paces]


def list_returns(network, host) -> list[tuple[float, float]]:
    """Returns when each return arrived and when it is due."""
    received = network.instances[host].received_updates
    return [
        (at, at + planned.due_in_ms / 1000)
        for each, at in received
        for planned in each.returns
    ]


@pytest.mark.parametrize("sender", ["10.0.0.000", "10.1.0.004", "10.2.0.008"])
def test_updates_reach_every_other_instance_once(sender) -> None:
    network = test_exchange.Network(12)
    network.run(4.0)
    network.instances[sender].updates = messages.Updates((SAMPLE,), (RETURN,))
    sent_at = network.now + core.PERIOD_S
    network.run(2.0)
    for host in network.instances:
        expected = [] if host == sender else [SAMPLE]
        assert list_paces(network, host) == expected
        arrived = list_returns(network, host)
        assert len(arrived) == len(expected)
        for at, due_at in arrived:
            # A return arrives before a caller that was told 0.15 s.
            assert at - sent_at <= 0.15 + 1e-6
            # The time that it waited in queues has been taken off.
            assert due_at == pytest.approx(sent_at + 1.5, abs=1e-6)


def test_lost_datagrams_lose_updates_and_nothing_waits_for_them() -> None:
    network = test_exchange.Network(12)
    network.run(4.0)
    network.loss = 1.0
    network.instances["10.1.0.004"].updates = messages.Updates((SAMPLE,))
    network.run(0.6)
    network.loss = 0.0
    network.run(3.0)
    network.instances["10.1.0.007"].updates = messages.Updates((SAMPLE,))
    network.run(1.0)
    assert list_paces(network, "10.2.0.002") == [SAMPLE]
    network.check_totals()


def test_a_data_centre_that_is_cut_off_shares_its_own_updates() -> None:
    network = test_exchange.Network(12)
    network.run(4.0)
    network.partitioned = {
        host for host in network.exchanges if host.startswith("10.2.")
    }
    network.run(3.0)
    network.instances["10.2.0.005"].updates = messages.Updates((SAMPLE,))
    network.run(1.0)
    reached = {host for host in network.instances if list_paces(network, host)}
    assert reached == network.partitioned - {"10.2.0.005"}


def test_a_killed_instances_updates_are_known_to_the_others() -> None:
    network = test_exchange.Network(12)
    network.run(4.0)
    network.instances["10.1.0.004"].updates = messages.Updates(
        returns=(RETURN,)
    )
    network.run(core.PERIOD_S)
    network.down = {"10.1.0.004"}
    network.run(1.0)
    for host in set(network.instances) - network.down:
        assert list_returns(network, host)


def measure(instances: int, rate: int) -> tuple[float, float]:
    """Returns the bytes sent and samples received per instance and second."""
    network = test_exchange.Network(instances)
    network.run(2.0)
    hosts = list(network.instances)
    ticks = 12
    for tick in range(-15, ticks):
        if tick == 0:
            network.bytes = 0
            for instance in network.instances.values():
                instance.received_updates.clear()
        for number in range(int(rate * core.PERIOD_S)):
            host = hosts[(tick * 10 + number) % instances]
            sample = messages.PaceSample(2**31 + number, 20 + tick / 16)
            samples = network.instances[host].updates.paces
            network.instances[host].updates = messages.Updates(
                (*samples, updates.shorten(sample))
            )
        network.run(core.PERIOD_S * 0.99)
    received = sum(len(list_paces(network, host)) for host in hosts)
    total = ticks * core.PERIOD_S * instances
    return network.bytes / total, received / total


@pytest.mark.parametrize("instances", [6, 81, 360])
def test_paces_at_the_highest_rate_take_few_bytes(instances) -> None:
    idle, _ = measure(instances, 0)
    used, received = measure(instances, 200)
    assert received >= 100
    # A sample takes 7 bytes. Small loads are sent rarely, so each array of
    # samples is long.
    assert used - idle <= 7.5 * received


@pytest.mark.parametrize("interval_ms", [math.nan, math.inf, -1.0, 1e300])
def test_invalid_intervals_are_left_to_their_receiver(interval_ms) -> None:
    received = messages.Updates((messages.PaceSample(1, interval_ms),))
    (sample,) = updates.limit(received).paces
    assert sample.interval_ms == pytest.approx(interval_ms, nan_ok=True)


def test_a_datagram_holds_at_most_100_updates_of_each_kind() -> None:
    queue = updates.UpdateQueue()
    queue.add(messages.Updates((SAMPLE,) * 250, (RETURN,) * 120), 100.0)
    taken = [queue.take(100.0) for _ in range(4)]
    counts = [each and (len(each.paces), len(each.returns)) for each in taken]
    assert counts == [(100, 100), (100, 20), (50, 0), None]


def test_a_queue_drops_the_oldest_beyond_1000() -> None:
    queue = updates.UpdateQueue()
    for number in range(1300):
        sample = messages.PaceSample(number, 20.0)
        planned = messages.PlannedReturn(number, 1500.0)
        queue.add(messages.Updates((sample,), (planned,)), 100.0)
    assert len(queue.paces) == len(queue.returns) == 1000
    first = queue.take(100.0)
    assert first.paces[0].runner == first.returns[0].digest == 300


def test_updates_that_waited_too_long_are_dropped() -> None:
    queue = updates.UpdateQueue()
    queue.add(messages.Updates((SAMPLE,), (RETURN,)), 100.0)
    # The return was due 1.4 s ago, and is remembered until 2 s after that.
    taken = queue.take(102.9)
    assert taken.paces == ()
    assert taken.returns[0].due_in_ms == pytest.approx(-1400.0)
    queue.add(messages.Updates((SAMPLE,), (RETURN,)), 100.0)
    assert queue.take(103.6) is None


def test_more_updates_than_a_datagram_may_hold_are_cut_off() -> None:
    received = messages.Updates((SAMPLE,) * 5000, (RETURN,) * 5000)
    kept = updates.limit(received)
    assert (len(kept.paces), len(kept.returns)) == (100, 100)


class _EarlierReport(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    data_centre: str
    loads: dict
    placements: tuple = ()
    sent_at: float = 0.0
    urgent: bool = False
    status: tuple | None = None
    echo: float = 0.0


class _EarlierSum(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    data_centre: str
    loads: dict
    placements: tuple = ()
    urgent: bool = False
    sent_at: float = 0.0
    echo: float = 0.0
    status: tuple | None = None


class _EarlierOthers(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    loads: dict
    placements: tuple = ()
    echo: float = 0.0
    status: tuple | None = None
    sent_at: float = 0.0


EARLIER = {
    "report": (_EarlierReport("a", {}), messages.Report("a", {})),
    "sum": (_EarlierSum("a", {}), messages.DataCentreLoads("a", {})),
    "others": (_EarlierOthers({}), messages.OtherLoads({})),
}


@pytest.mark.parametrize("kinds", EARLIER.values(), ids=EARLIER)
def test_versions_without_updates_are_understood_both_ways(kinds) -> None:
    earlier, present = kinds
    assert messages.decode(msgspec.msgpack.encode(earlier)) == present
    sent = msgspec.structs.replace(
        present, updates=messages.Updates((SAMPLE,), (RETURN,))
    )
    data = messages.encode(sent)
    assert msgspec.msgpack.decode(data, type=type(earlier)) == earlier
    assert messages.decode(data) == sent


def test_instances_of_an_earlier_version_still_exchange_loads() -> None:
    network = test_exchange.Network(3)
    network.run(4.0)
    relay = network.exchanges["10.0.0.000"]
    report = messages.decode(msgspec.msgpack.encode(_EarlierReport("a", {})))
    relay.receive(report, "10.0.0.009", network.now)
    network.instances["10.0.0.000"].updates = messages.Updates((SAMPLE,))
    sends = relay.tick(network.now + 10 * core.PERIOD_S)
    assert any(send.to.host == "10.0.0.009" for send in sends)


PRESSURE = messages.TierPressure(7, ids.Tier(1), 400, 50)


class EarlierUpdates(msgspec.Struct, frozen=True, array_like=True):
    """Updates as builds without pressed tiers know them."""

    paces: tuple[messages.PaceSample, ...] = ()
    returns: tuple[messages.PlannedReturn, ...] = ()


@pytest.mark.parametrize("sender", ["10.0.0.000", "10.1.0.004"])
def test_a_pressed_tier_is_known_everywhere_at_once(sender) -> None:
    """Guards against less urgent requests that begin at other instances."""
    network = test_exchange.Network(12)
    network.run(4.0)
    network.instances[sender].updates = messages.Updates(pressures=(PRESSURE,))
    sent_at = network.now + core.PERIOD_S
    network.run(2.0)
    for host, instance in network.instances.items():
        received = [
            (at, pressure)
            for each, at in instance.received_updates
            for pressure in each.pressures
        ]
        if host == sender:
            assert received == []
            continue
        [(at, pressure)] = received
        assert at - sent_at <= 0.15 + 1e-6
        # The time that it waited in queues has been added.
        assert 50 <= pressure.age_ms <= 201
        assert pressure.since_ms - pressure.age_ms == 350


def test_a_queue_merges_what_is_told_of_a_tier() -> None:
    queue = updates.UpdateQueue()
    queue.add(messages.Updates(pressures=(PRESSURE,)), 10.0)
    newer = messages.TierPressure(7, ids.Tier(1), 100, 10)
    queue.add(messages.Updates(pressures=(newer,)), 10.25)
    assert queue.is_urgent
    taken = queue.take(10.5)
    assert taken.pressures == (messages.TierPressure(7, ids.Tier(1), 900, 260),)
    assert queue.take(10.5) is None


def test_builds_with_and_without_pressed_tiers_read_each_other() -> None:
    sent = messages.Updates((SAMPLE,), (RETURN,), (PRESSURE,))
    data = msgspec.msgpack.encode(sent)
    earlier = msgspec.msgpack.decode(data, type=EarlierUpdates)
    assert earlier == EarlierUpdates((SAMPLE,), (RETURN,))
    back = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=messages.Updates
    )
    assert back == messages.Updates((SAMPLE,), (RETURN,))
