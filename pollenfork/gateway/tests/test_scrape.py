"""Exported counts and gauges."""

import asyncio
import types

from pollenfork import ids
from pollenfork.gateway import scrape
from pollenfork.gateway.tests import support
from pollenfork.routes import model


class Output:
    def __init__(self) -> None:
        self.gauges = {}

    def set_count(self, name, value, **labels) -> None:
        pass

    def set_gauge(self, name, value, **labels) -> None:
        self.gauges[name, labels.get("service")] = value


def test_runners_out_of_reach_are_shown_by_service() -> None:
    async def run() -> dict:
        first, second = support.Runner("a"), support.Runner("b")
        route = support.make_route(model.Kind.REPEATABLE)
        async with support.run_gateway(route, first, second) as gateway:
            gateway.deps.chooser.get_state(ids.EndpointId("a")).unsent = 2
            configuration = types.SimpleNamespace(
                services={support.SERVICE: None}, version=1
            )
            state = types.SimpleNamespace(
                lookup=types.SimpleNamespace(configuration=configuration),
                runners=gateway.runners,
                refused_entries={},
                freshness=types.SimpleNamespace(age=lambda now: 0.0),
            )
            output = Output()
            scrape.show(output, gateway.deps, state, {})
            return output.gauges

    gauges = asyncio.run(run())
    assert gauges["pollenfork_runners_accepting", support.SERVICE] == 2
    assert gauges["pollenfork_runners_reachable", support.SERVICE] == 1
