"""Callers that go away: their work ends, or is kept for their return."""

import json
import logging
import socket
import threading

import pytest

from tests import callers
from tests import contract
from tests import endpoints
from tests import sites

CHAT = contract.CHAT
ASK = contract.ASK
write = callers.write_request
write_chat = contract.write_chat


def hold_stream(release: threading.Event) -> endpoints.Script:
    """Returns a script whose second token comes once released."""

    def play(call: endpoints.Call) -> list[endpoints.Part]:
        if call.path == "/v1/cancel":
            release.set()
            said = b'{"outcome": "cancelled"}'
            return [endpoints.write_answer("200 OK", said)]
        first = endpoints.write_stream_head() + endpoints.write_event(0)
        rest = endpoints.write_event(1, last=True) + endpoints.DONE
        return [first, release, rest]

    return play


def test_caller_that_goes_while_streaming_is_cancelled_at_the_engine(
    site: contract.Site, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    release = threading.Event()
    site.engine_script = hold_stream(release)
    with callers.connect(site.address) as caller:
        caller.sendall(write_chat(stream=True))
        read_until(caller, b"t0")
    assert release.wait(callers.WAIT_S)
    assert site.engine.count("/v1/cancel") == 1
    assert site.wait_until_idle()
    lines = [r for r in caplog.messages if "end=caller_gone" in r]
    assert len(lines) == 1


def test_caller_that_goes_before_the_head_is_cancelled_at_the_engine(
    site: contract.Site,
) -> None:
    release = threading.Event()

    def play(call: endpoints.Call) -> list[endpoints.Part]:
        if call.path == "/v1/cancel":
            release.set()
            said = b'{"outcome": "cancelled"}'
            return [endpoints.write_answer("200 OK", said)]
        return [release]

    site.engine_script = play
    with callers.connect(site.address) as caller:
        caller.sendall(write_chat())
        sites.wait_until(lambda: site.engine.count(CHAT) == 1)
    assert release.wait(callers.WAIT_S)
    assert site.wait_until_idle()
    assert site.engine.count("/v1/cancel") == 1
    assert site.engine.count(CHAT) == 1


def test_service_call_of_a_caller_that_goes_runs_once(
    site: contract.Site,
) -> None:
    release = threading.Event()
    site.service_script = lambda call: [release]
    with callers.connect(site.address) as caller:
        caller.sendall(write("POST", "/services/meter/post", b"x"))
        sites.wait_until(lambda: site.service.count("/post") == 1)
    assert site.wait_until_idle()
    release.set()
    assert len(site.service.calls) == 1
    assert any(
        'code="caller_gone"' in name and 'outcome="unknown"' in name
        for name in site.read_series()
    )


def test_caller_that_comes_back_with_its_key_gets_the_whole_answer(
    site: contract.Site,
) -> None:
    release = threading.Event()
    site.engine_script = hold_stream(release)
    body = json.dumps({**ASK, "stream": True}).encode()
    raw = write("POST", CHAT, body, idempotency_key="back")
    with callers.connect(site.address) as caller:
        caller.sendall(raw)
        read_until(caller, b"t0")
    early = callers.exchange(site.address, raw)
    release.set()
    assert site.wait_until_idle()
    late = callers.exchange(site.address, raw)
    assert early.read_code() == "idempotent_request_running"
    assert early.headers["retry-after"]
    assert late.headers["idempotent-replayed"] == "true"
    assert late.body == (
        endpoints.write_event(0)
        + endpoints.write_event(1, last=True)
        + endpoints.DONE
    )
    assert site.engine.count(CHAT) == 1
    assert site.engine.count("/v1/cancel") == 0


def test_caller_that_goes_while_waiting_never_runs(
    site: contract.Site,
) -> None:
    release = threading.Event()
    site.engine_script = hold_stream(release)
    runners = [callers.connect(site.address) for _ in range(contract.SLOTS)]
    for runner in runners:
        runner.sendall(write_chat(stream=True))
        assert b"t0" in read_until(runner, b"t0")
    with callers.connect(site.address) as waiting:
        body = json.dumps({**ASK, "user": "waits"}).encode()
        waiting.sendall(write("POST", CHAT, body, x_service_class="logs"))
        sites.wait_until(lambda: site.count_in_progress() == 3)
    sites.wait_until(lambda: site.count_in_progress() == 2)
    release.set()
    for runner in runners:
        read_until(runner, b"\r\n0\r\n")
        runner.close()
    assert site.wait_until_idle()
    assert not any(b"waits" in call.body for call in site.engine.calls)
    assert any(
        'code="caller_gone"' in name and 'outcome="not_run"' in name
        for name in site.read_series()
    )


def read_until(caller: socket.socket, mark: bytes) -> bytes:
    raw = b""
    while mark not in raw:
        part = caller.recv(65536)
        assert part
        raw += part
    return raw
