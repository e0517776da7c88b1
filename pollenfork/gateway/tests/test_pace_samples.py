"""Guards which answers give samples of a runner's pace, and their way here."""

import asyncio

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import model as fleet
from pollenfork.fleet import registry
from pollenfork.gateway import pace_samples
from pollenfork.gateway import updates
from pollenfork.gateway.tests import support
from pollenfork.loads import messages as loads
from pollenfork.pace import estimator
from pollenfork.routes import model

WHOLE = support.write_stream(support.write_events(0, 4), whole=True)
HALF = support.write_stream(support.write_events(0, 2), whole=False)
REST = support.write_stream(support.write_events(3, 4), whole=True)
FAILED = support.write_answer(b"bad", status=500)


class Timer:
    """Reports a fixed interval, as the runners' real times vary."""

    def record(self, now: float, events: int) -> None:
        assert events >= 0

    def get_interval_ms(self) -> float:
        return 20.0


@pytest.fixture(autouse=True)
def fixed_times(monkeypatch) -> None:
    monkeypatch.setattr(pace_samples.observer, "EventTimer", Timer)


def count_samples(*scripts, forecast: bool = True) -> list[int]:
    """Returns how many samples of each runner one request gives."""

    async def run():
        runners = [
            support.Runner(f"r{number}", script)
            for number, script in enumerate(scripts)
        ]
        route = support.make_route(model.Kind.STREAM, resumable=True)
        async with support.run_gateway(route, *runners) as gateway:
            gateway.demand = msgspec.structs.replace(
                gateway.demand, forecast=forecast
            )
            await support.ask(gateway)
            chooser = gateway.deps.chooser
            return [
                gateway.deps.paces.get_pace(
                    chooser.get_state(
                        ids.EndpointId(each.name)
                    ).incarnation_hash
                ).samples
                for each in runners
            ]

    return asyncio.run(run())


def test_a_whole_answer_gives_a_sample_of_its_runner() -> None:
    assert count_samples(WHOLE) == [1]


def test_services_that_are_not_forecast_give_no_samples() -> None:
    assert count_samples(WHOLE, forecast=False) == [0]


def test_a_resumed_answer_gives_no_sample() -> None:
    assert count_samples(HALF, REST) == [0, 0]


def test_a_broken_answer_gives_no_sample() -> None:
    assert count_samples(HALF) == [0]


def test_an_answer_after_a_failed_attempt_gives_no_sample() -> None:
    assert count_samples(FAILED, WHOLE) == [0, 0]


def test_an_answer_that_its_caller_read_slowly_gives_no_sample() -> None:
    table = estimator.PaceTable(lambda runner: None)
    profile = msgspec.structs.replace(
        support.candidates.RequestProfile(support.SERVICE), forecast=True
    )
    observed = pace_samples.AnswerObserver(
        table, profile, lambda state: loads.Load()
    )
    observed.on_events(100.0, 5)
    observed.discard()
    observed.on_events(110.0, 10)
    observed.on_answered(None, 1, 110.0)
    assert table.take_samples(110.0) == ()


def make_runner(name: str, start: int | None = None) -> fleet.Runner:
    return fleet.Runner(
        id=ids.EndpointId(name),
        service=support.SERVICE,
        host="10.0.0.1",
        port=1,
        data_centre=ids.DataCentre("a"),
        slots=4,
        leaving=False,
        cold_s=0.0,
        start=start,
    )


def test_the_index_finds_new_runners_and_is_rebuilt_rarely() -> None:
    now = [100.0]
    runners = registry.Registry()
    runners.put(make_runner("r0", 1))
    index = pace_samples.RunnerIndex(runners, lambda: now[0])
    first = pace_samples.hash_incarnation(make_runner("r0", 1))
    again = pace_samples.hash_incarnation(make_runner("r0", 2))
    assert index.find(first).service == support.SERVICE
    runners.put(make_runner("r0", 2))
    now[0] += 0.1
    # A flood of samples of unknown runners must not rebuild it each time.
    assert index.find(again) is None
    now[0] += 0.5
    assert index.find(again).id == "r0"
    assert index.find(first) is None


def test_updates_of_others_reach_their_parts() -> None:
    known = estimator.KnownRunner(ids.EndpointId("r7"), support.SERVICE)
    table = estimator.PaceTable({7: known}.get)
    shared = updates.UpdateExchange(table, lambda: 100.0)
    received = []
    shared.when_returns(lambda returns, now: received.append((returns, now)))
    planned = loads.PlannedReturn(3, 900.0)
    sample = loads.PaceSample(7, 20.0)
    shared.receive(loads.Updates((sample,), (planned,)), 101.0)
    shared.receive(loads.Updates((sample,)), 102.0)
    assert received == [((planned,), 101.0)]
    assert table.get_pace(7).samples == 2


def test_own_updates_are_sent_once_and_those_of_others_are_not() -> None:
    known = estimator.KnownRunner(ids.EndpointId("r7"), support.SERVICE)
    table = estimator.PaceTable({7: known}.get)
    shared = updates.UpdateExchange(table, lambda: 100.0)
    shared.receive(loads.Updates((loads.PaceSample(7, 20.0),)), 100.0)
    table.record_local(7, support.SERVICE, 21.0, 100.0)
    shared.announce_return(loads.PlannedReturn(3, 900.0))
    assert shared.take(100.02) == loads.Updates(
        (loads.PaceSample(7, 21.0),),
        (loads.PlannedReturn(3, pytest.approx(880.0)),),
    )
    assert shared.take(100.04) == loads.Updates()
