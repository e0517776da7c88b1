"""Guarantees and faults of the fake platform, through its Protocols."""

import msgspec
import pytest
import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import core
from pollenfork.standin.platform import fake
from pollenfork.store import edges
from pollenfork.store import errors


def make_transaction(
    write_id: str, *puts: edges.Put, deletes=()
) -> edges.Transaction:
    return edges.Transaction(ids.WriteId(write_id), puts, deletes)


def make_instance(name: str) -> edges.ListedInstance:
    return edges.ListedInstance(
        name,
        edges.InstanceRole.ENTRY,
        ids.DataCentre("amman-1"),
        "127.0.0.1:1",
        edges.InstanceStatus.LIVE,
    )


@pytest.fixture
def now():
    return clock.ManualClock()


@pytest.fixture
def platform(now):
    return fake.FakePlatform(now)


def test_each_write_increments_the_version_of_its_row(platform):
    table = platform.table
    put = edges.Put("a", b"1", edges.ABSENT)
    assert table.commit(make_transaction("1", put)).unwrap().versions == (1,)
    again = edges.Put("a", b"2", 1)
    assert table.commit(make_transaction("2", again)).unwrap().versions == (2,)
    assert table.read("a").unwrap() == edges.Row("a", b"2", 2)
    table.commit(
        make_transaction("3", deletes=(edges.Delete("a", 2),))
    ).unwrap()
    assert table.read("a") == result.Ok(None)


def test_a_failed_condition_writes_nothing_and_reports_its_keys(platform):
    table = platform.table
    table.commit(make_transaction("1", edges.Put("a", b"1"))).unwrap()
    changes = make_transaction(
        "2",
        edges.Put("new", b"2", edges.ABSENT),
        edges.Put("a", b"2", edges.ABSENT),
        deletes=(edges.Delete("none", 7),),
    )
    failure = table.commit(changes).unwrap_err()
    assert isinstance(failure, errors.Conflicted)
    assert failure.keys == ("a", "none")
    assert [row.key for row in table.scan("").unwrap()] == ["a"]


def test_a_repeated_write_id_returns_the_first_result(platform, now):
    table = platform.table
    put = make_transaction("1", edges.Put("a", b"1", edges.ABSENT))
    first = table.commit(put)
    conflict = table.commit(
        make_transaction("2", edges.Put("a", b"2", edges.ABSENT))
    )
    assert table.commit(put) == first
    table.commit(make_transaction("3", deletes=(edges.Delete("a"),))).unwrap()
    assert (
        table.commit(make_transaction("2", edges.Put("a", b"2", edges.ABSENT)))
        == conflict
    )
    now.advance(601)
    assert table.commit(put).unwrap().versions == (1,)


def test_a_scan_returns_pages_sorted_by_key(platform):
    for key in ("b/2", "a/1", "b/1", "b/3", "c"):
        platform.table.commit(
            make_transaction(key, edges.Put(key, b""))
        ).unwrap()
    page = platform.table.scan("b/", limit=2).unwrap()
    assert [row.key for row in page] == ["b/1", "b/2"]
    rest = platform.table.scan("b/", after="b/2").unwrap()
    assert [row.key for row in rest] == ["b/3"]


@pytest.mark.parametrize(
    ("faults", "failure", "has_effect"),
    [
        ({"down": True}, errors.Unavailable, False),
        ({"throttle": True}, errors.Throttled, False),
        ({"lose": configs.Loss.BEFORE_EFFECT}, errors.Unanswered, False),
        ({"lose": configs.Loss.AFTER_EFFECT}, errors.Unanswered, True),
    ],
)
def test_each_fault_returns_its_failure_type(
    platform, faults, failure, has_effect
):
    platform.set_faults(configs.Faults(**faults, times=4))
    put = make_transaction("1", edges.Put("a", b"1", edges.ABSENT))
    first = platform.table.commit(put)
    others = (
        platform.objects.store("o", b"body"),
        platform.instances.fetch(),
        platform.weights.request_read(ids.ModelName("m"), "1"),
    )
    for answer in (first, *others):
        assert isinstance(answer.unwrap_err(), failure)
    assert (platform.table.read("a").unwrap() is not None) == has_effect
    assert (platform.objects.fetch("o").unwrap() == b"body") == has_effect
    assert platform.table.commit(put).unwrap().versions == (1,)
    assert platform.state.effects == 1


def test_a_fault_can_be_limited_to_some_operations(platform):
    faults = configs.Faults(down=True, only=(configs.Operation.COMMIT,))
    platform.set_faults(faults)
    assert platform.table.commit(make_transaction("1")).is_err()
    assert platform.table.read("a").is_ok()


def test_a_delay_is_added_to_a_call(now):
    platform = fake.FakePlatform(
        now, faults=configs.Faults(delay_s=3), sleep=now.advance
    )
    platform.table.read("a").unwrap()
    assert now.monotonic() == 3


def test_two_fakes_with_one_state_simulate_a_partition(now):
    state = core.Platform(configs.PlatformConfig())
    here = fake.FakePlatform(now, state=state)
    there = fake.FakePlatform(now, state=state)
    here.set_faults(configs.Faults(down=True))
    there.table.commit(make_transaction("1", edges.Put("a", b"1"))).unwrap()
    assert here.table.read("a").is_err()
    here.set_faults(configs.Faults())
    assert here.table.read("a").unwrap().value == b"1"


def test_the_instance_list_lags_and_can_be_frozen(now):
    config = configs.PlatformConfig(
        list_lag_s=5, instances=(make_instance("a"),)
    )
    platform = fake.FakePlatform(now, state=core.Platform(config))

    def list_names():
        return [listed.name for listed in platform.instances.fetch().unwrap()]

    now.advance(10)
    platform.set_instances(make_instance("b"))
    now.advance(4)
    assert list_names() == ["a"]
    now.advance(1)
    assert list_names() == ["b"]
    platform.set_faults(configs.Faults(stale_list=True))
    platform.set_instances()
    now.advance(60)
    assert list_names() == ["b"]
    platform.set_faults(configs.Faults())
    assert list_names() == []


@pytest.mark.parametrize(
    ("rate", "call"),
    [
        ("reads_per_s", lambda p: p.table.read("a")),
        ("writes_per_s", lambda p: p.objects.store("a", b"")),
        ("permits_per_s", lambda p: p.weights.request_read("m", "1")),
    ],
)
def test_calls_over_the_rate_are_throttled(now, rate, call):
    config = msgspec.convert({rate: 2}, type=configs.PlatformConfig)
    platform = fake.FakePlatform(now, state=core.Platform(config))
    answers = [call(platform) for _ in range(3)]
    assert [a.is_ok() for a in answers] == [True, True, False]
    failure = answers[2].unwrap_err()
    assert isinstance(failure, errors.Throttled)
    now.advance(failure.retry_after_s)
    assert call(platform).is_ok()


def test_objects_are_replaced_and_removed(platform):
    objects = platform.objects
    assert objects.fetch("a").unwrap() is None
    objects.store("a", b"1").unwrap()
    objects.store("a", b"2").unwrap()
    assert objects.fetch("a").unwrap() == b"2"
    objects.remove("a").unwrap()
    objects.remove("a").unwrap()
    assert objects.fetch("a").unwrap() is None
