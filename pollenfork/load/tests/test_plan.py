"""Tests scenarios and the arrivals generated from them."""

import statistics

import msgspec
import pytest

from pollenfork.load import plan
from pollenfork.load import scenario as scenarios

SCENARIO = {
    "classes": {
        "morning": {"key": "k", "answer": {"median": 40, "sigma": 0.5}},
        "logs": {"key": "k", "prefixes": 2, "prefix_tokens": 300,
                 "prompt": {"median": 400}},
    },
    "phases": [
        {"duration_s": 10, "rates": {"morning": 5}},
        {"duration_s": 20, "rates": {"morning": 50, "logs": 10}},
    ],
}  # fmt: skip


def make_scenario(**changes) -> scenarios.Scenario:
    return msgspec.convert({**SCENARIO, **changes}, type=scenarios.Scenario)


def test_same_seed_gives_same_arrivals():
    assert plan.make_plan(make_scenario()) == plan.make_plan(make_scenario())
    assert plan.make_plan(make_scenario(seed=2)) != plan.make_plan(
        make_scenario()
    )


def test_arrivals_follow_rate_of_each_phase():
    arrivals = plan.make_plan(make_scenario())
    times = [a.at_s for a in arrivals]
    assert times == sorted(times)
    quiet = [a for a in arrivals if a.at_s < 10]
    burst = [a for a in arrivals if a.at_s >= 10]
    assert {a.class_name for a in quiet} == {"morning"}
    assert 30 <= len(quiet) <= 75
    assert 850 <= sum(a.class_name == "morning" for a in burst) <= 1150
    assert max(times) < 30
    assert len({a.label for a in arrivals}) == len(arrivals)


def test_answer_lengths_are_distributed_around_median():
    bodies = [
        msgspec.json.decode(a.body)
        for a in plan.make_plan(make_scenario())
        if a.class_name == "morning"
    ]
    lengths = [int(b["metadata"]["answer_tokens"]) for b in bodies]
    assert statistics.median(lengths) == pytest.approx(40, rel=0.15)
    assert max(lengths) > 80


def test_prompts_of_class_share_prefixes():
    prefixes = {
        msgspec.json.decode(a.body)["messages"][0]["content"][:1200]
        for a in plan.make_plan(make_scenario())
        if a.class_name == "logs"
    }
    assert len(prefixes) == 2


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"phases": [{"duration_s": 0, "rates": {}}]}, "phases[0].duration_s"),
        ({"phases": [{"duration_s": 1, "rates": {"x": 1}}]}, "rates.x"),
        ({"seeds": 1}, "seeds"),
        ({"classes": {"a": {}}}, "key"),
    ],
)
def test_invalid_scenario_is_rejected_with_path(changes, path):
    with pytest.raises(msgspec.ValidationError) as raised:
        make_scenario(**changes)
    assert path in str(raised.value)
