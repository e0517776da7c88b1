"""The platform stand-in over HTTP, through the store's HTTP client.

The client with the stand-in must behave as the fake does, so the same tests
run against both.
"""

import pytest
import result
import urllib3

from pollenfork import clock
from pollenfork import ids
from pollenfork.standin.platform import config as configs
from pollenfork.standin.platform import fake
from pollenfork.standin.platform import front
from pollenfork.store import client
from pollenfork.store import edges
from pollenfork.store import errors


class Remote:
    """The HTTP client and stand-in, with the interface of the fake."""

    def __init__(self) -> None:
        self.standin = front.PlatformStandin(
            configs.PlatformConfig(), clock.SystemClock()
        )
        self.address = self.standin.start()
        channel = client.Channel(self.address)
        self.table = client.HttpTable(channel)
        self.objects = client.HttpObjects(channel)
        self.instances = client.HttpInstances(channel)
        self.weights = client.HttpWeights(channel)
        self.state = self.standin.state
        self.set_faults = self.standin.set_faults

    def set_instances(self, *instances: edges.ListedInstance) -> None:
        self.standin.set_instances(instances)


@pytest.fixture
def remote():
    remote = Remote()
    yield remote
    remote.standin.stop()


@pytest.fixture(params=["fake", "remote"])
def platform(request):
    if request.param == "fake":
        return fake.FakePlatform(clock.SystemClock())
    return request.getfixturevalue("remote")


def make_transaction(
    write_id: str, *puts: edges.Put, deletes=()
) -> edges.Transaction:
    return edges.Transaction(ids.WriteId(write_id), puts, deletes)


def test_table_operations(platform):
    table = platform.table
    key, value = "settings/teams/línea 1", b"\x00\xff"
    put = edges.Put(key, value, edges.ABSENT)
    assert table.commit(make_transaction("1", put)).unwrap().versions == (1,)
    assert table.commit(make_transaction("1", put)).unwrap().versions == (1,)
    assert table.read(key) == result.Ok(edges.Row(key, value, 1))
    failure = table.commit(make_transaction("2", put)).unwrap_err()
    assert isinstance(failure, errors.Conflicted)
    assert failure.keys == (key,)
    assert table.scan("settings/", limit=1).unwrap()[0].key == key
    assert table.scan("settings/", after=key).unwrap() == ()
    table.commit(
        make_transaction("3", deletes=(edges.Delete(key, 1),))
    ).unwrap()
    assert table.read(key) == result.Ok(None)
    assert platform.state.effects == 2


def test_object_instance_and_weight_operations(platform):
    assert platform.objects.fetch("a/b") == result.Ok(None)
    platform.objects.store("a/b", b"\x00body").unwrap()
    assert platform.objects.fetch("a/b") == result.Ok(b"\x00body")
    platform.objects.remove("a/b").unwrap()
    assert platform.objects.fetch("a/b") == result.Ok(None)
    listed = edges.ListedInstance(
        "runner-1",
        edges.InstanceRole.ENDPOINT,
        ids.DataCentre("amman-1"),
        "127.0.0.1:1",
        edges.InstanceStatus.LEAVING,
    )
    platform.set_instances(listed)
    assert platform.instances.fetch() == result.Ok((listed,))
    model = ids.ModelName("m")
    platform.weights.request_read(model, "1").unwrap()
    failure = platform.weights.request_read(model, "1").unwrap_err()
    assert isinstance(failure, errors.Throttled)
    assert 0 < failure.retry_after_s <= 1


@pytest.mark.parametrize(
    ("faults", "failure", "effects"),
    [
        ({"down": True}, errors.Unavailable, 0),
        ({"throttle": True}, errors.Throttled, 0),
        ({"lose": configs.Loss.BEFORE_EFFECT}, errors.Unanswered, 0),
        ({"lose": configs.Loss.AFTER_EFFECT}, errors.Unanswered, 1),
    ],
)
def test_each_fault_has_the_same_effect_on_both(
    platform, faults, failure, effects
):
    platform.set_faults(configs.Faults(**faults, times=1))
    put = make_transaction("1", edges.Put("a", b"1", edges.ABSENT))
    first = platform.table.commit(put).unwrap_err()
    assert type(first) is failure
    assert platform.state.effects == effects
    assert platform.table.commit(put).unwrap().versions == (1,)
    assert platform.state.effects == 1


def test_a_read_timeout_counts_as_unanswered(remote):
    channel = client.Channel(remote.address, read_timeout_s=0.05)
    remote.set_faults(configs.Faults(delay_s=0.2, times=1))
    failure = client.HttpTable(channel).read("a").unwrap_err()
    assert isinstance(failure, errors.Unanswered)


def test_faults_and_counts_are_available_over_http(remote):
    def send(method, path, body=None):
        url = f"http://{remote.address}{path}"
        return urllib3.request(method, url, json=body, retries=False)

    only = {"down": True, "only": ["scan"]}
    assert send("POST", "/faults", only).json()["down"] is True
    assert remote.table.scan("").is_err()
    assert remote.table.read("a").is_ok()
    assert send("POST", "/faults", {"delay_s": -1}).status == 400
    assert send("GET", "/faults").json()["only"] == ["scan"]
    assert send("GET", "/counts").json() == {
        "calls": {"read": 1},
        "effects": 0,
    }
    assert send("GET", "/nowhere").status == 404
