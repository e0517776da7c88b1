"""Requests at real gateways outlast the silence of sound runners."""

import asyncio

import pytest

from pollenfork.platform.tests.soak import silences

SEED = 76


def play(name, tmp_path) -> silences.Played:
    scene = silences.SCENES[name]
    return asyncio.run(silences.play(SEED, tmp_path, scene))


# Guards against streams that were cut in the middle while their runner was
# silent for a second, since nothing else could go on with them.
@pytest.mark.parametrize(
    "name",
    [
        "signal",
        "all silent",
        "one runner",
        "versions",
        "one runner, configuration",
        "one runner, stop",
    ],
)
def test_no_stream_is_cut_for_a_silence(name, tmp_path) -> None:
    outcome = play(name, tmp_path)
    assert outcome.cut == 0, outcome
    assert outcome.whole == outcome.sent, outcome
    assert outcome.mixed == 0, outcome


def test_no_plain_request_fails_for_a_silence(tmp_path) -> None:
    outcome = play("plain", tmp_path)
    assert outcome.whole == outcome.sent, outcome


# Guards against running every stream of a silent runner again.
def test_few_streams_are_run_again_for_a_short_silence(tmp_path) -> None:
    outcome = play("budget suffices", tmp_path)
    assert outcome.whole == outcome.sent, outcome
    assert outcome.again <= outcome.sent // 4, outcome


@pytest.mark.parametrize("name", ["hung", "dead", "crashed"])
def test_streams_leave_a_runner_that_fails(name, tmp_path) -> None:
    outcome = play(name, tmp_path)
    assert outcome.whole == outcome.sent, outcome
    assert outcome.again > 0, outcome
    assert outcome.mixed == 0, outcome
