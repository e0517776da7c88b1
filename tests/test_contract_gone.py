"""Disconnected callers: requests are cancelled, or kept for a retry."""

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
CHAT_BODY = contract.CHAT_BODY
encode = callers.encode_request
encode_chat = contract.encode_chat


def hold_stream(release: threading.Event) -> endpoints.Script:
    """Returns a script that sends its second token once released."""

    def play(call: endpoints.Call) -> list[endpoints.Part]:
        if call.path == "/v1/cancel":
            release.set()
            outcome = b'{"outcome": "cancelled"}'
            return [endpoints.encode_response("200 OK", outcome)]
        first = endpoints.encode_stream_head() + endpoints.encode_event(0)
        rest = endpoints.encode_event(1, last=True) + endpoints.DONE
        return [first, release, rest]

    return play


def test_disconnect_while_streaming_cancels_at_the_engine(
    site: contract.Site, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    release = threading.Event()
    site.engine_script = hold_stream(release)
    with callers.connect(site.address) as caller:
        caller.sendall(encode_chat(stream=True))
        read_until(caller, b"t0")
    assert release.wait(callers.WAIT_S)
    assert site.engine.count("/v1/cancel") == 1
    assert site.wait_until_idle()
    lines = [r for r in caplog.messages if "end=caller_gone" in r]
    assert len(lines) == 1


def test_disconnect_before_the_response_head_cancels_at_the_engine(
    site: contract.Site,
) -> None:
    release = threading.Event()

    def play(call: endpoints.Call) -> list[endpoints.Part]:
        if call.path == "/v1/cancel":
            release.set()
            outcome = b'{"outcome": "cancelled"}'
            return [endpoints.encode_response("200 OK", outcome)]
        return [release]

    site.engine_script = play
    with callers.connect(site.address) as caller:
        caller.sendall(encode_chat())
        sites.wait_until(lambda: site.engine.count(CHAT) == 1)
    assert release.wait(callers.WAIT_S)
    assert site.wait_until_idle()
    assert site.engine.count("/v1/cancel") == 1
    assert site.engine.count(CHAT) == 1


def test_service_call_runs_once_if_the_caller_disconnects(
    site: contract.Site,
) -> None:
    release = threading.Event()
    site.service_script = lambda call: [release]
    with callers.connect(site.address) as caller:
        caller.sendall(encode("POST", "/services/meter/post", b"x"))
        sites.wait_until(lambda: site.service.count("/post") == 1)
    assert site.wait_until_idle()
    release.set()
    assert len(site.service.calls) == 1
    assert any(
        'code="caller_gone"' in name and 'outcome="unknown"' in name
        for name in site.read_series()
    )


def test_reconnecting_with_the_key_returns_the_complete_answer(
    site: contract.Site,
) -> None:
    release = threading.Event()
    site.engine_script = hold_stream(release)
    body = json.dumps({**CHAT_BODY, "stream": True}).encode()
    raw = encode("POST", CHAT, body, idempotency_key="back")
    with callers.connect(site.address) as caller:
        caller.sendall(raw)
        read_until(caller, b"t0")
    first_retry = callers.exchange(site.address, raw)
    release.set()
    assert site.wait_until_idle()
    second_retry = callers.exchange(site.address, raw)
    assert first_retry.read_code() == "idempotent_request_running"
    assert first_retry.headers["retry-after"]
    assert second_retry.headers["idempotent-replayed"] == "true"
    assert second_retry.body == (
        endpoints.encode_event(0)
        + endpoints.encode_event(1, last=True)
        + endpoints.DONE
    )
    assert site.engine.count(CHAT) == 1
    assert site.engine.count("/v1/cancel") == 0


def test_request_never_runs_if_the_caller_disconnects_while_waiting(
    site: contract.Site,
) -> None:
    release = threading.Event()
    site.engine_script = hold_stream(release)
    running_callers = [
        callers.connect(site.address) for _ in range(contract.SLOTS)
    ]
    for running_caller in running_callers:
        running_caller.sendall(encode_chat(stream=True))
        assert b"t0" in read_until(running_caller, b"t0")
    with callers.connect(site.address) as waiting:
        body = json.dumps({**CHAT_BODY, "user": "waits"}).encode()
        waiting.sendall(encode("POST", CHAT, body, x_service_class="logs"))
        sites.wait_until(lambda: site.count_in_progress() == 3)
    sites.wait_until(lambda: site.count_in_progress() == 2)
    release.set()
    for running_caller in running_callers:
        read_until(running_caller, b"\r\n0\r\n")
        running_caller.close()
    assert site.wait_until_idle()
    assert not any(b"waits" in call.body for call in site.engine.calls)
    assert any(
        'code="caller_gone"' in name and 'outcome="not_run"' in name
        for name in site.read_series()
    )


def read_until(caller: socket.socket, marker: bytes) -> bytes:
    raw = b""
    while marker not in raw:
        data = caller.recv(65536)
        assert data
        raw += data
    return raw
