"""How soon a data centre knows of a leaving that one instance was told."""

import random

import pytest

from pollenfork.loads import core
from pollenfork.loads.tests import test_exchange as harness

ANNOUNCED = 77
# A leaving runner is left within 2 s; a data centre knows in well under half.
KNOWN_S = 0.8
# The most that the control traffic of an instance may take, in bytes a second.
MAX_BYTES_PER_S = 29_000


def make_network(count: int, seed: int) -> harness.Network:
    network = harness.Network(count, loss=0.1)
    network.rng = random.Random(seed)
    network.run(6.0)
    return network


def list_uninformed(network: harness.Network, data_centre: str) -> list[str]:
    return [
        host
        for host, instance in network.instances.items()
        if network.data_centres[host] == data_centre
        and host not in network.down
        and ANNOUNCED not in instance.departures
    ]


# Guards against a runner that only one instance knows to leave: the others sent
# it work until the store told them.
@pytest.mark.parametrize(
    ("count", "seed"),
    [(2, 1), (3, 2), (8, 3), (24, 4), (76, 5), (195, 6), (360, 7)],
)
def test_a_data_centre_knows_a_leaving_that_one_was_told(count, seed) -> None:
    network = make_network(count, seed)
    informed = network.rng.choice(sorted(network.instances))
    network.instances[informed].announce(ANNOUNCED)
    network.run(KNOWN_S)
    assert list_uninformed(network, network.data_centres[informed]) == []


@pytest.mark.parametrize("seed", range(20))
def test_it_is_known_though_relays_and_half_of_all_are_lost(seed) -> None:
    network = make_network(24, seed)
    informed = network.rng.choice(sorted(network.instances))
    others = sorted(set(network.instances) - {informed})
    network.down = set(network.rng.sample(others, 11))
    network.instances[informed].announce(ANNOUNCED)
    network.run(KNOWN_S)
    assert list_uninformed(network, network.data_centres[informed]) == []


def test_an_instance_that_starts_later_is_told() -> None:
    network = make_network(8, 3)
    network.instances["10.1.0.004"].announce(ANNOUNCED)
    network.run(1.0)
    host = network.add(8)
    network.run(2.0)
    assert ANNOUNCED in network.instances[host].departures


def test_leaving_runners_cost_little_traffic() -> None:
    network = make_network(60, 9)
    for number in range(100):
        network.instances["10.0.0.000"].announce(number)
    network.run(1.0)
    network.bytes = 0
    network.run(2.0)
    assert network.bytes / 2.0 / 60 < MAX_BYTES_PER_S / 2


def test_without_departures_nothing_is_sent_for_them() -> None:
    network = make_network(8, 3)
    sends = []
    deliver = network.deliver
    network.deliver = lambda host, sent: (
        sends.extend(sent),
        deliver(host, sent),
    )
    network.run(core.PERIOD_S * 20)
    names = {type(send.message).__name__ for send in sends}
    assert "Departures" not in names
