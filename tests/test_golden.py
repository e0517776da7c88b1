"""Compares the bytes of complete sessions, on both sides, to golden files.

`pytest tests/test_golden.py --rewrite-golden` rewrites the files. They show
`\\r` explicitly, replace dates and ports, and join a chunked body into one
chunk, as the chunk boundaries depend on timing.
"""

from collections.abc import Callable
import json
import pathlib
import re

import msgspec
import pytest

from pollenfork.entry import request_log
from tests import callers
from tests import contract
from tests import endpoints
from tests import sites

FILES = pathlib.Path(__file__).parent / "golden" / "sessions"
CHAT = "/v1/chat/completions"
CHAT_BODY = {
    "model": "lines",
    "messages": [{"role": "user", "content": "Tower 7"}],
}
encode = callers.encode_request


class Session(msgspec.Struct, frozen=True):
    """What the caller sends and how the endpoints respond.

    Attributes:
        request: The caller's request.
        engine: Script of the runner.
        service: Script of the service.
        before: Called with the site first.
        cancels: Number of cancels to wait for; they are sent asynchronously.
        then: The caller's next request.
    """

    request: bytes
    engine: endpoints.Script = contract.play_engine
    service: endpoints.Script = contract.play_service
    before: Callable[[contract.Site], object] = lambda site: None
    cancels: int = 0
    then: bytes = b""


def encode_chat(**fields: object) -> bytes:
    body = json.dumps({**CHAT_BODY, **fields}).encode()
    return encode("POST", CHAT, body)


def play_resume(call: endpoints.Call) -> list[endpoints.Part]:
    """Breaks after two tokens and can resume the stream."""
    head, *events = contract.make_stream()
    if call.path == CHAT:
        return [head, *events[:2]]
    return [head, *events[2:]]


def play_break(call: endpoints.Call) -> list[endpoints.Part]:
    """Breaks after two tokens and cannot resume the stream."""
    if call.path == CHAT:
        return contract.make_stream()[:3]
    if call.path == "/v1/cancel":
        return contract.play_engine(call)
    not_found = b'{"error": {"code": "unknown_stream"}}'
    return [endpoints.encode_response("404 Not Found", not_found)]


def play_lost(call: endpoints.Call) -> list[endpoints.Part]:
    """Closes the connection without a response."""
    return contract.play_engine(call) if call.path == "/v1/cancel" else []


def play_limit(call: endpoints.Call) -> list[endpoints.Part]:
    """Refuses the prompt as too long."""
    del call
    error = b'{"error": {"message": "too long", "code": "too_large"}}'
    return [endpoints.encode_response("400 Bad Request", error)]


def encode_quick(**fields: object) -> bytes:
    body = json.dumps({**CHAT_BODY, **fields}).encode()
    return encode("POST", CHAT, body, x_service_class="quick")


def encode_keyed(key: str, **fields: object) -> bytes:
    body = json.dumps({**CHAT_BODY, **fields}).encode()
    return encode("POST", CHAT, body, idempotency_key=key)


def stop(site: contract.Site) -> None:
    site.entry.drain()


POST = encode("POST", "/services/meter/readings?day=3", b"kWh=7")
KEYED_POST = encode(
    "POST", "/services/meter/readings", b"kWh=7", idempotency_key="a"
)
SESSIONS = {
    "chat": Session(encode_chat()),
    "chat-stream": Session(encode_chat(stream=True)),
    "completion": Session(
        encode("POST", "/v1/completions", b'{"model":"lines","prompt":"a"}')
    ),
    "stream-resumed": Session(encode_chat(stream=True), play_resume),
    "stream-broken": Session(encode_quick(stream=True), play_break, cancels=1),
    "chat-lost": Session(encode_quick(), play_lost, cancels=1),
    "chat-engine-refuses": Session(encode_chat(), play_limit),
    "replayed": Session(encode_keyed('"a"'), then=encode_keyed("a")),
    "replayed-stream": Session(
        encode_keyed("a", stream=True), then=encode_keyed("a", stream=True)
    ),
    "replayed-post": Session(KEYED_POST, then=KEYED_POST),
    "post-lost-then-repeated": Session(
        KEYED_POST, service=play_lost, then=KEYED_POST
    ),
    "key-reused": Session(encode_keyed("a"), then=encode_keyed("a", n=1)),
    "models": Session(encode("GET", "/v1/models")),
    "model": Session(encode("GET", "/v1/models/lines")),
    "probe": Session(encode("GET", "/readyz", authorization=None)),
    "service-get": Session(encode("GET", "/services/meter/readings?day=3")),
    "service-head": Session(encode("HEAD", "/services/meter/readings")),
    "service-post": Session(POST),
    "service-post-lost": Session(POST, service=play_lost),
    "service-post-never-sent": Session(
        encode("POST", "/services/gone/a", b"x", x_service_class="quick")
    ),
    "refused-json": Session(encode("POST", CHAT, b"{")),
    "refused-field": Session(encode_chat(stream="yes")),
    "refused-key": Session(encode("GET", "/v1/models", authorization=None)),
    "refused-class": Session(
        encode("POST", CHAT, b"{}", x_service_class="none")
    ),
    "refused-model": Session(encode_chat(model="none")),
    "refused-service": Session(encode("GET", "/services/none")),
    "refused-path": Session(encode("GET", "/v2")),
    "refused-method": Session(encode("GET", CHAT)),
    "refused-size": Session(
        encode("POST", CHAT, content_length=str(contract.BODY_LIMIT * 2))
    ),
    "refused-header": Session(b"GET / HTTP/1.1\r\nno colon\r\n\r\n"),
    "refused-idempotency-key": Session(encode_keyed('"a')),
    "refused-stopping": Session(encode_chat(), before=stop),
}


@pytest.mark.parametrize("name", SESSIONS)
def test_session(
    name: str, request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    request_ids: list[str] = []

    def make_id() -> str:
        request_ids.append(f"request-{len(request_ids) + 1}")
        return request_ids[-1]

    monkeypatch.setattr(request_log, "make_request_id", make_id)
    text = play(SESSIONS[name])
    path = FILES / f"{name}.txt"
    if request.config.getoption("--rewrite-golden"):
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8", newline="")
    assert text == path.read_bytes().decode()


def test_no_golden_file_is_unused() -> None:
    assert {path.stem for path in FILES.iterdir()} == set(SESSIONS)


def play(session: Session) -> str:
    """Runs the session and returns what was sent over the connections."""
    site = contract.Site()
    try:
        site.engine_script = session.engine
        site.service_script = session.service
        session.before(site)
        parts = exchange(site, session.request, session.cancels)
        if session.then:
            parts += exchange(site, session.then, 0)
    finally:
        site.stop()
    return "".join(f"== {who}\n{render(raw)}\n" for who, raw in parts)


def exchange(
    site: contract.Site, request: bytes, cancels: int
) -> list[tuple[str, bytes]]:
    """Sends a request; returns the bytes sent by all parties, in order."""
    all_endpoints = (site.engine, site.service)
    call_counts = [len(endpoint.calls) for endpoint in all_endpoints]
    answer = callers.exchange(site.address, request)
    assert site.wait_until_idle()
    sites.wait_until(lambda: site.engine.count("/v1/cancel") == cancels)
    for endpoint in all_endpoints:
        sites.wait_until(endpoint.is_finished)
    parts = [("caller to router", request)]
    for endpoint, start in zip(all_endpoints, call_counts, strict=True):
        for number in range(start, len(endpoint.calls)):
            raw = endpoint.calls[number].raw
            parts.append(("router to endpoint", raw))
            parts.append(("endpoint to router", endpoint.sent[number]))
    parts.append(("router to caller", join_chunks(answer)))
    return parts


def join_chunks(answer: callers.Answer) -> bytes:
    """Returns the response, with a chunked body joined into one chunk."""
    if answer.headers.get("transfer-encoding") != "chunked":
        return answer.raw
    head = answer.raw.partition(b"\r\n\r\n")[0]
    size = len(answer.body)
    chunk = b"%X\r\n%b\r\n0\r\n\r\n" % (size, answer.body)
    return head + b"\r\n\r\n" + chunk


def render(raw: bytes) -> str:
    """Returns the bytes as text that is the same in every run."""
    text = raw.decode().replace("\r", "\\r")
    text = re.sub(r"(?m)^Date: .*GMT", "Date: DATE", text)
    return re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
