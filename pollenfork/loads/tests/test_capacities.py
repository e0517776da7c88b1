"""Which instances relay where their links are unequal."""

import pytest

from pollenfork.loads import core
from pollenfork.loads import members
from pollenfork.loads import messages
from pollenfork.loads.tests import test_exchange

_SMALL, _LARGE = 5, 100


def make_network(
    count: int, large: set[int], loss: float = 0.0
) -> test_exchange.Network:
    """Returns a network whose instances know their links.

    Args:
        count: The number of instances.
        large: The numbers of those with a fast link.
        loss: The part of datagrams lost.
    """
    network = test_exchange.Network(count, loss)
    for number, host in enumerate(list(network.exchanges)):
        network.exchanges[host] = core.Exchange(
            messages.Address(host, test_exchange.PORT),
            network.data_centres[host],
            [
                messages.Address(f"10.{n}.0.{n:03}", test_exchange.PORT)
                for n in range(3)
            ],
            network.instances[host],
            _LARGE if number in large else _SMALL,
        )
    return network


def prefer(network: test_exchange.Network, preferred: bool = True) -> None:
    for exchange in network.exchanges.values():
        exchange.prefer_capacity(preferred)


def list_relays(network: test_exchange.Network) -> set[str | None]:
    return {
        exchange.find_relay(network.now)
        for host, exchange in network.exchanges.items()
        if host not in network.down
    }


# Guards against relays on the smallest links: one with 5 Mbit/s and 28
# reporters fell silent every 1.3 s, and so did its successors.
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_the_instances_with_the_fastest_links_relay(loss: float) -> None:
    network = make_network(24, {9, 13, 20}, loss)
    prefer(network)
    network.run(6.0)
    assert list_relays(network) == {"10.0.0.009", "10.1.0.013", "10.2.0.020"}
    network.loss = 0.0
    network.run(2.0)
    network.check_totals()


def test_relays_are_chosen_as_before_unless_capacity_is_preferred() -> None:
    network = make_network(24, {9, 13, 20})
    network.run(6.0)
    assert list_relays(network) == {"10.0.0.000", "10.1.0.001", "10.2.0.002"}
    network.check_totals()


# Guards against losing the news when the largest instance of a data centre is
# killed.
def test_the_next_largest_takes_over() -> None:
    network = make_network(24, {9, 13, 20, 21})
    prefer(network)
    network.run(6.0)
    network.down = {"10.0.0.009"}
    network.run(6.0)
    assert list_relays(network) == {"10.0.0.021", "10.1.0.013", "10.2.0.020"}
    network.check_totals()


# Guards against instances that disagree while a configuration arrives.
def test_loads_are_exact_while_the_relays_change() -> None:
    network = make_network(24, {9, 13, 20})
    network.run(4.0)
    prefer(network)
    for _ in range(20):
        network.run(0.2)
    network.check_totals()
    prefer(network, False)
    network.run(4.0)
    assert list_relays(network) == {"10.0.0.000", "10.1.0.001", "10.2.0.002"}
    network.check_totals()


def test_a_member_of_an_earlier_version_ranks_last() -> None:
    roster = members.Roster(messages.Member("10.0.0.5", "a"), _SMALL)
    roster.prefer_capacity(True)
    roster.record_sighting(messages.Member("10.0.0.1", "a"), 1.0)
    assert roster.find_relay("a", 1.0) == "10.0.0.5"
    roster.record_capacity("10.0.0.1", _LARGE)
    assert roster.find_relay("a", 1.0) == "10.0.0.1"


def test_a_wrong_capacity_of_oneself_is_ignored() -> None:
    roster = members.Roster(messages.Member("10.0.0.5", "a"), _SMALL)
    roster.prefer_capacity(True)
    roster.record_capacity("10.0.0.5", _LARGE)
    assert roster.told_capacity == _SMALL
