"""Counts are complete though messages are lost, repeated or delayed."""

import random

from pollenfork import ids
from pollenfork.duties import usage
from pollenfork.loads import messages as loads

ACCOUNT = ids.AccountId("a")
WINDOWS = usage.Windows(5.0, 4)


def test_a_window_counts_the_requests_that_started_in_it() -> None:
    counter = usage.UsageCounter(WINDOWS)
    for moment in (100.0, 104.999, 105.0):
        counter.record(ACCOUNT, moment)
    assert counter.list_all() == (
        loads.WindowCounts(20, {ACCOUNT: 2}),
        loads.WindowCounts(21, {ACCOUNT: 1}),
    )


def test_acknowledged_counts_are_sent_again_only_to_another_holder() -> None:
    counter = usage.UsageCounter(WINDOWS)
    counter.record(ACCOUNT, 100.0)
    counts = counter.list_unacknowledged("one")
    assert counts
    counter.record_acknowledged(counts, "one", 1)
    assert counter.list_unacknowledged("one") == ()
    counter.record(ACCOUNT, 101.0)
    assert [each.window for each in counter.list_unacknowledged("one")] == [20]
    assert [each.window for each in counter.list_unacknowledged("two")] == [20]


def test_a_restarted_holder_is_sent_all_counts_again() -> None:
    counter = usage.UsageCounter(WINDOWS)
    counter.record(ACCOUNT, 100.0)
    counter.record(ACCOUNT, 105.0)
    counts = counter.list_unacknowledged("one")
    counter.record_acknowledged(counts, "one", 1)
    counter.record(ACCOUNT, 106.0)
    later = counter.list_unacknowledged("one")
    assert [each.window for each in later] == [21]
    counter.record_acknowledged(later, "one", 2)
    assert [each.window for each in counter.list_unacknowledged("one")] == [20]


def test_totals_are_exact_though_messages_are_lost_repeated_or_delayed() -> (
    None
):
    for seed in range(30):
        rng = random.Random(seed)
        aggregator = usage.UsageAggregator(WINDOWS)
        senders = {f"h{n}": usage.UsageCounter(WINDOWS) for n in range(5)}
        started = 0
        in_flight = []
        for tick in range(100):
            now = 100.0 + tick * 0.1
            for host, counter in senders.items():
                if rng.random() < 0.7:
                    counter.record(ACCOUNT, now)
                    started += now < 105.0
                in_flight.append(
                    (host, counter.list_unacknowledged("holder"), now)
                )
            rng.shuffle(in_flight)
            for host, counts, through in in_flight[: rng.randint(0, 6)]:
                aggregator.receive(host, 1, counts, through, now)
        for host, counter in senders.items():
            aggregator.receive(host, 1, counter.list_all(), 110.0, 110.0)
        assert aggregator.total(20) == {ACCOUNT: started}
        assert aggregator.list_missing_hosts(20, 110.0) == []


def test_both_starts_of_an_instance_are_counted() -> None:
    aggregator = usage.UsageAggregator(WINDOWS)
    counts = (loads.WindowCounts(20, {ACCOUNT: 3}),)
    aggregator.receive("h", 1, counts, 101.0, 1.0)
    aggregator.receive("h", 2, counts, 104.0, 4.0)
    assert aggregator.total(20) == {ACCOUNT: 6}


def test_a_host_without_counts_to_the_windows_end_is_missing() -> None:
    aggregator = usage.UsageAggregator(WINDOWS)
    aggregator.receive("h", 1, (), 104.9, 1.0)
    assert aggregator.list_missing_hosts(20, 2.0) == ["h"]
    aggregator.receive("h", 1, (), 105.1, 2.0)
    assert aggregator.list_missing_hosts(20, 2.0) == []


def test_old_windows_and_silent_instances_are_forgotten() -> None:
    aggregator = usage.UsageAggregator(WINDOWS)
    counter = usage.UsageCounter(WINDOWS)
    for second in range(1000):
        counter.record(ACCOUNT, second)
        counter.expire(second)
        aggregator.receive(f"h{second}", 1, counter.list_all(), second, second)
        aggregator.expire(second, second)
    assert len(counter.list_all()) <= 6
    assert len(aggregator._sources) <= 25
