"""Orders from the desired state, for one and for several instances."""

import pytest

from pollenfork.endpoints import edges
from pollenfork.endpoints import orders
from pollenfork.endpoints import rows
from pollenfork.endpoints.tests import cluster

LOAD = edges.OrderKind.LOAD_MODEL
ADAPT = edges.OrderKind.LOAD_ADAPTER
ROLE = edges.OrderKind.CHANGE_ROLE
DRAIN = edges.OrderKind.DRAIN


@pytest.mark.parametrize(
    ("desired", "applied", "reported", "work"),
    [
        ({}, {}, (), []),
        ({"models": ("m",)}, {}, ("m",), []),
        ({"models": ("m",)}, {}, (), [(LOAD, "m")]),
        ({"models": ("m",)}, {"models": ("m",)}, (), [(LOAD, "m")]),
        ({"models": ("m@2",)}, {}, ("m",), [(LOAD, "m@2")]),
        ({"models": ("m@2",)}, {"models": ("m@2",)}, ("m",), []),
        ({"models": ("m@2",)}, {"models": ("m@1",)}, ("m",), [(LOAD, "m@2")]),
        ({"models": ("m@2",)}, {}, ("m@1", "m@2"), []),
        ({"models": ("m@2",)}, {"models": ("m@2",)}, (), [(LOAD, "m@2")]),
        (
            {"models": ("a", "b"), "adapters": ("c@1",), "role": "decode"},
            {},
            (),
            [(ROLE, "decode"), (LOAD, "a"), (LOAD, "b"), (ADAPT, "c@1")],
        ),
        ({"role": "decode"}, {"role": "decode"}, (), []),
        ({"adapters": ("c@1",)}, {"adapters": ("c@1",)}, (), []),
        ({"models": ("m",), "drain": "w1"}, {}, (), [(DRAIN, "w1")]),
        ({"models": ("m",), "drain": "w1"}, {"drained": "w1"}, (), []),
        ({"drain": "w2"}, {"drained": "w1"}, (), [(DRAIN, "w2")]),
    ],
)
def test_work_by_desired_state(desired, applied, reported, work):
    listed = orders.list_work(
        orders.Desired(**desired), rows.Applied(**applied), reported
    )
    assert list(listed) == work


def test_completed_load_replaces_the_version():
    before = rows.Applied(models=("m@1", "n@1"), adapters=("m@1",))
    after = orders.record_done(before, LOAD, "m@2")
    assert after == rows.Applied(models=("n@1", "m@2"), adapters=("m@1",))


@pytest.mark.parametrize(
    ("endpoints", "limit"), [(1, 1), (4, 1), (7, 1), (8, 2), (100, 25)]
)
def test_loading_limit(endpoints, limit):
    assert orders.get_loading_limit(endpoints) == limit


def test_new_version_is_loaded_by_a_quarter_of_endpoints_at_a_time():
    sim = cluster.Cluster(instances=3, endpoints=8, permits_per_s=0.2)
    sim.run(6.0)
    sim.set_models(("m@2",))
    most_loading = 0

    def is_done():
        nonlocal most_loading
        row = sim.instances[0].platform.table.read("endpoints/dc1/loading/m")
        if row.ok_value:
            loading = rows.decode(row.ok_value.value, rows.LoadingRow).ok_value
            most_loading = max(most_loading, len(loading.endpoints))
        return all("m@2" in e.models for e in sim.endpoints.values())

    assert sim.run(240.0, is_done) is not None
    assert most_loading == 2
    for endpoint in sim.endpoints.values():
        assert [order.argument for order in endpoint.orders] == ["m@2"]
