"""The load exchange benchmark runs against the current interface."""

from benchmarks import loads_cost


def test_a_small_fleet_exchanges_its_loads() -> None:
    fleet = loads_cost._Fleet(8, 3, 9)
    # Members are announced once per second, so two rounds are needed.
    fleet.run(2.0)
    assert all(fleet.sent.values())
    assert {each.instances for each in fleet.exchanges.values()} == {8}
