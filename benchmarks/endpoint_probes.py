"""CPU of health probes and load reports, per call and per instance.

Run: `python -m benchmarks.endpoint_probes`. The far end is a thread of this
process, so a call's CPU is that of the calling thread alone.
"""

from collections.abc import Callable
import json
import pathlib
import platform
import time
from typing import cast

import result

from benchmarks import endpoint_far_end
from pollenfork import clock
from pollenfork import config as configs
from pollenfork import ids
from pollenfork import timers
from pollenfork.endpoints import actor
from pollenfork.endpoints import client
from pollenfork.endpoints import edges
from pollenfork.endpoints import probe_assignment
from pollenfork.settings import messages as settings_messages
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.standin.platform import fake

_OUTPUT = pathlib.Path(__file__).parent / "results" / "endpoint_probes.json"
_CALLS = 1000
_WARM_UP_S = 4.0
_MEASURED_S = 12.0
_DC = ids.DataCentre("dc1")
_SIZES = ((8, 12), (60, 100))  # Instances and endpoints of a data centre.


def measure_call(call: Callable[[], object]) -> float:
    """Returns CPU seconds of this thread for one call."""
    for _ in range(100):
        call()
    before = time.thread_time()
    for _ in range(_CALLS):
        call()
    return (time.thread_time() - before) / _CALLS


class InstantEndpoint:
    """Answers at once, so that what is left is the slice's own cost."""

    def __init__(self) -> None:
        self.probes = 0
        self.loads = 0

    def check_ready(self) -> result.Result[bool, edges.EndpointFailure]:
        """Returns that it is ready."""
        self.probes += 1
        return result.Ok(True)

    def fetch_load(
        self,
    ) -> result.Result[edges.LoadReport, edges.EndpointFailure]:
        """Returns a load report."""
        self.loads += 1
        report = edges.LoadReport(running=3, waiting=1, kv_free=0.5)
        return result.Ok(report)


def measure_slice(instances: int, endpoints: int) -> dict[str, float]:
    """Returns calls and CPU seconds a second: actor, core and threads."""
    far_end = InstantEndpoint()
    now = clock.SystemClock()
    here = fake.FakePlatform(now)
    live = tuple(ids.InstanceId(f"i{n}") for n in range(instances))
    config = configs.EntryConfig(
        instance=live[0],
        data_centre=_DC,
        listen="",
        peer_listen="",
        platform="",
    )
    slice_ = actor.Endpoints(
        config,
        now,
        here.table,
        here.instances,
        here.weights,
        lambda settings: cast(edges.Endpoint, far_end),
        lambda news: None,
        lambda: live,
    )
    driver = timers.Timers(now)
    slice_.start(driver)
    slice_.apply(_make_tree(endpoints))
    driver.start()
    time.sleep(_WARM_UP_S)
    probes, loads = far_end.probes, far_end.loads
    before = time.process_time()
    time.sleep(_MEASURED_S)
    spent = time.process_time() - before
    figures = {
        "own_probes_per_s": (far_end.probes - probes) / _MEASURED_S,
        "loads_per_s": (far_end.loads - loads) / _MEASURED_S,
        "slice_cpu_s_per_s": spent / _MEASURED_S,
    }
    driver.stop()
    slice_.stop()
    return figures


def _make_tree(endpoints: int) -> settings_messages.TreeInForce:
    planned = {
        ids.EndpointId(f"e{n}"): model.EndpointSettings(
            address=f"10.0.0.1:{n}", data_centre=_DC
        )
        for n in range(1, endpoints + 1)
    }
    tree = model.Tree(root=model.RootSettings(endpoints=planned))
    return settings_messages.TreeInForce(tree, snapshot.Snapshot(tree))


def describe_size(
    instances: int, endpoints: int, probe_s: float, load_s: float
) -> dict[str, float]:
    """Returns the rates and the CPU of one size.

    Args:
        instances: In the data centre.
        endpoints: In the data centre.
        probe_s: CPU seconds of one probe.
        load_s: CPU seconds of one load report.
    """
    measured = measure_slice(instances, endpoints)
    probers = probe_assignment.count_probers(instances, endpoints, 1.0)
    loads = measured["loads_per_s"]
    mean_probes = probers * endpoints / instances
    calls_cpu = mean_probes * probe_s + loads * load_s
    return {
        "instances": instances,
        "endpoints": endpoints,
        "probers_of_each_endpoint": probers,
        "mean_probes_per_s": mean_probes,
        **measured,
        "calls_per_s_at_an_endpoint": probers + loads * instances / endpoints,
        "cpu_percent_of_a_core": 100
        * (calls_cpu + measured["slice_cpu_s_per_s"]),
        "cpu_percent_of_calls_if_all_ask_all": 100
        * endpoints
        * (probe_s + load_s),
    }


def main() -> None:
    """Measures, prints a table and writes the figures as JSON."""
    with endpoint_far_end.serve() as address:
        endpoint = client.HttpEndpoint(address, client.make_pool())
        assert endpoint.check_ready() == result.Ok(True)
        assert isinstance(endpoint.fetch_load(), result.Ok)
        probe_s = measure_call(endpoint.check_ready)
        load_s = measure_call(endpoint.fetch_load)
    sizes = [describe_size(*size, probe_s, load_s) for size in _SIZES]
    figures = {
        "python": platform.python_version(),
        "probe_cpu_ms": 1000 * probe_s,
        "load_cpu_ms": 1000 * load_s,
        "sizes": sizes,
    }
    print(f"probe {1000 * probe_s:.3f} ms, load report {1000 * load_s:.3f} ms")
    for size in sizes:
        print("  ".join(f"{name}={value:.4g}" for name, value in size.items()))
    _OUTPUT.write_text(json.dumps(figures, indent=2) + "\n")


if __name__ == "__main__":
    main()
