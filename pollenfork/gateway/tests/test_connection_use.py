"""What requests state about connections, and what operators are shown."""

import asyncio
import types

import pytest

from pollenfork import ids
from pollenfork.gateway import admission
from pollenfork.gateway import messages
from pollenfork.gateway import scrape
from pollenfork.gateway.tests import support
from pollenfork.room import expectation
from pollenfork.routes import lookup
from pollenfork.routes import model as routes


def admit(route: routes.Route):
    """Returns the admitted request to a route."""
    configuration = routes.Configuration(
        version=1,
        routes=(route,),
        services={},
        limits=routes.CallerLimits(),
        accounts=None,
    )
    state = types.SimpleNamespace(
        lookup=lookup.Lookup(configuration),
        freshness=types.SimpleNamespace(age=lambda now: 0.0),
    )
    call = messages.Request(
        method=b"POST",
        target=b"/p",
        headers=[(b"host", b"h")],
        body=b"",
        arrived=0.0,
    )
    head = messages.RequestHead(
        attempt=ids.AttemptId("a"),
        key=None,
        wait_s=None,
        parts=(),
        tokens=(0, 0),
        last_event=None,
    )
    outputs = expectation.OutputExpectation()
    return admission.admit(state, call, head, 0.0, outputs).ok_value


# Guards against a choice by connections that the request may not use, as it
# can't be resent.
@pytest.mark.parametrize(
    ("kind", "resumable"),
    [
        (routes.Kind.REPEATABLE, False),
        (routes.Kind.AT_MOST_ONCE, False),
        (routes.Kind.STREAM, True),
        (routes.Kind.STREAM, False),
    ],
)
def test_the_choice_knows_whether_a_request_may_run_twice(
    kind: routes.Kind, resumable: bool
) -> None:
    route = support.make_route(kind, resumable=resumable)
    assert admit(route).demand.idempotent is route.idempotent


# Guards against operators who can't tell which service opens connections.
def test_connections_are_exported_by_service() -> None:
    shown = {}

    class Output:
        def set_count(self, name: str, value: int, **labels: str) -> None:
            shown[(name, *sorted(labels.values()))] = value

        def set_gauge(self, name: str, value: float) -> None:
            shown[(name,)] = value

    async def run() -> None:
        good = (
            b"HTTP/1.1 200 X\r\nx-id: q\r\nx-seal: z\r\ncontent-length: 4\r\n"
            b"\r\ngood"
        )
        runner = support.Runner("r0", good, good)
        runner.keeps = True
        route = support.make_route(routes.Kind.REPEATABLE)
        async with support.run_gateway(route, runner) as gateway:
            for _ in range(2):
                answer = await support.ask(gateway)
                assert answer.endswith(b"good")
            state = types.SimpleNamespace(
                refused_entries={},
                runners=gateway.runners,
                lookup=None,
                freshness=types.SimpleNamespace(age=lambda now: None),
            )
            scrape.show(Output(), gateway.deps, state, {})

    asyncio.run(run())
    metric = "pollenfork_service_connections_total"
    assert shown[metric, "opened", support.SERVICE] == 1
    assert shown[metric, "reused", support.SERVICE] == 1
    assert shown["pollenfork_runner_connections_total", "opened"] == 1
