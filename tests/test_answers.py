"""The relay with engine stand-ins: crashes don't change the answer."""

from collections.abc import Iterator
import json

import msgspec
import pytest

from pollenfork import clock
from pollenfork.answers import messages
from pollenfork.answers.tests import fakes
from pollenfork.standin.engine import config as engine_config
from pollenfork.standin.engine import front

TOKENS = 40
BODY = {
    "model": "model",
    "stream": True,
    "messages": [{"role": "user", "content": "Review the PPA."}],
    "metadata": {"answer_tokens": str(TOKENS)},
}


@pytest.fixture
def engines() -> Iterator[list[front.EngineStandin]]:
    settings = engine_config.EngineConfig(step_ms=1.0, step_per_request_ms=0)
    started = [
        front.EngineStandin(settings, clock.SystemClock()) for _ in range(3)
    ]
    yield started
    for engine in started:
        engine.stop()


def make_call(path: str = "/v1/chat/completions") -> messages.Call:
    body = {**BODY, "prompt": "Review the PPA."}
    if path == "/v1/completions":
        del body["messages"]
    call = fakes.make_call()
    return msgspec.structs.replace(
        call, path=path, body=json.dumps(body).encode(), give_up_at=1e9
    )


CRASHES = [
    (crash_point, after, resumable)
    for crash_point, after in [
        (engine_config.CrashPoint.BEFORE_FIRST, 1),
        (engine_config.CrashPoint.MIDWAY, 1),
        (engine_config.CrashPoint.MIDWAY, 17),
        (engine_config.CrashPoint.AT_END, 1),
    ]
    for resumable in (True, False)
]


@pytest.mark.parametrize("path", ["/v1/chat/completions", "/v1/completions"])
@pytest.mark.parametrize(("crash_point", "after", "resumable"), CRASHES)
def test_answer_is_byte_identical_after_a_crash(
    engines: list[front.EngineStandin],
    crash_point: engine_config.CrashPoint,
    after: int,
    resumable: bool,
    path: str,
) -> None:
    addresses = [engine.start() for engine in engines]
    crash = engine_config.Crash(
        when=crash_point,
        after_tokens=after,
        resumable=resumable,
        times=1,
    )
    engines[1].set_faults(engine_config.Faults(crash=crash))
    slots = fakes.FakeSlots([addresses[2]])
    relay = fakes.make_relay(slots)
    call = make_call(path)
    answers = [
        relay.open(call, fakes.make_grant(address, f"attempt-{n}"))
        for n, address in enumerate(addresses[:2])
    ]
    expected, actual = (
        fakes.read_all(answer.unwrap(), pumped=True) for answer in answers
    )
    relay.stop()

    assert expected.count(b"\n\n") == TOKENS + 1
    assert actual == expected
    assert relay.counters.finished == 2
    sent_elsewhere = relay.counters.retries + relay.counters.continuations
    assert sent_elsewhere.total() == (not resumable)
    assert relay.counters.resumes.total() == 1
