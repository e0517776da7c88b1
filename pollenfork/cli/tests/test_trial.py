"""Tests the system in one process that `trial` starts."""

import pathlib

import msgspec
import pytest

from pollenfork import clock
from pollenfork.cli import sample
from pollenfork.cli import trial
from pollenfork.load import runner
from pollenfork.load import scenario as scenarios
from pollenfork.settings import snapshot

SCENARIOS = pathlib.Path(__file__).parents[3] / "benchmarks" / "scenarios"


def find_unknown_classes(scenario: scenarios.Scenario) -> list[str]:
    lookups = snapshot.Snapshot(sample.make_tree(["127.0.0.1:1"]))
    unknown = []
    for name, load_class in scenario.classes.items():
        caller = lookups.find_caller(load_class.key)
        if (
            caller is None
            or load_class.service_class not in caller.settings.classes
        ):
            unknown.append(name)
    return unknown


def test_short_burst_is_answered_completely():
    system = trial.System()
    system.start()
    scenario = sample.make_scenario()
    burst = msgspec.structs.replace(
        scenario,
        classes={
            name: msgspec.structs.replace(
                load_class, answer=scenarios.Length(median=3)
            )
            for name, load_class in scenario.classes.items()
        },
        phases=(
            scenarios.Phase(
                duration_s=0.2,
                rates={"morning": 20, "review": 5, "price": 20},
            ),
        ),
    )
    try:
        report = runner.run(
            burst,
            tuple(url.removeprefix("http://") for url in system.entries),
            tuple(url.removeprefix("http://") for url in system.engines),
            clock.SystemClock(),
        )
    finally:
        system.stop()
    assert report.classes
    for results in report.classes.values():
        assert results.whole == results.sent
    assert report.waste.wasted == 0


def test_sample_load_uses_classes_of_sample_tree():
    assert find_unknown_classes(sample.make_scenario()) == []


@pytest.mark.parametrize(
    "path", sorted(SCENARIOS.glob("*.json")), ids=lambda path: path.stem
)
def test_each_scenario_file_matches_sample_tree(path):
    scenario = msgspec.json.decode(path.read_bytes(), type=scenarios.Scenario)
    assert scenario.phases
    assert find_unknown_classes(scenario) == []
