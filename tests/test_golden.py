"""Whole sessions, from the request line to the last byte, on both sides.

`pytest tests/test_golden.py --rewrite-golden` writes the files anew. A line's
`\\r` is shown; dates and ports are replaced, and a chunked body is shown as
one chunk, as the cuts depend on timing.
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
ASK = {"model": "lines", "messages": [{"role": "user", "content": "Tower 7"}]}
write = callers.write_request


class Session(msgspec.Struct, frozen=True):
    """What the caller sends and what the endpoints play.

    Attributes:
        request: The caller's request.
        engine: Script of the runner.
        service: Script of the service.
        before: Done to the site first.
        cancels: Cancels that the runner gets, which come by themselves.
        then: The caller's next request.
    """

    request: bytes
    engine: endpoints.Script = contract.play_engine
    service: endpoints.Script = contract.play_service
    before: Callable[[contract.Site], object] = lambda site: None
    cancels: int = 0
    then: bytes = b""


def write_chat(**fields: object) -> bytes:
    body = json.dumps({**ASK, **fields}).encode()
    return write("POST", CHAT, body)


def play_resume(call: endpoints.Call) -> list[endpoints.Part]:
    """Breaks after two tokens and has the rest."""
    head, *events = contract.write_stream()
    if call.path == CHAT:
        return [head, *events[:2]]
    return [head, *events[2:]]


def play_break(call: endpoints.Call) -> list[endpoints.Part]:
    """Breaks after two tokens and forgets the stream."""
    if call.path == CHAT:
        return contract.write_stream()[:3]
    if call.path == "/v1/cancel":
        return contract.play_engine(call)
    gone = b'{"error": {"code": "unknown_stream"}}'
    return [endpoints.write_answer("404 Not Found", gone)]


def play_lost(call: endpoints.Call) -> list[endpoints.Part]:
    """Ends the connection without a word."""
    return contract.play_engine(call) if call.path == "/v1/cancel" else []


def play_limit(call: endpoints.Call) -> list[endpoints.Part]:
    """Refuses as an engine does that won't take the prompt."""
    del call
    said = b'{"error": {"message": "too long", "code": "too_large"}}'
    return [endpoints.write_answer("400 Bad Request", said)]


def write_quick(**fields: object) -> bytes:
    body = json.dumps({**ASK, **fields}).encode()
    return write("POST", CHAT, body, x_service_class="quick")


def write_keyed(key: str, **fields: object) -> bytes:
    body = json.dumps({**ASK, **fields}).encode()
    return write("POST", CHAT, body, idempotency_key=key)


def stop(site: contract.Site) -> None:
    site.entry.drain()


POST = write("POST", "/services/meter/readings?day=3", b"kWh=7")
KEYED_POST = write(
    "POST", "/services/meter/readings", b"kWh=7", idempotency_key="a"
)
SESSIONS = {
    "chat": Session(write_chat()),
    "chat-stream": Session(write_chat(stream=True)),
    "completion": Session(
        write("POST", "/v1/completions", b'{"model":"lines","prompt":"a"}')
    ),
    "stream-resumed": Session(write_chat(stream=True), play_resume),
    "stream-broken": Session(write_quick(stream=True), play_break, cancels=1),
    "chat-lost": Session(write_quick(), play_lost, cancels=1),
    "chat-engine-refuses": Session(write_chat(), play_limit),
    "replayed": Session(write_keyed('"a"'), then=write_keyed("a")),
    "replayed-stream": Session(
        write_keyed("a", stream=True), then=write_keyed("a", stream=True)
    ),
    "replayed-post": Session(KEYED_POST, then=KEYED_POST),
    "post-lost-then-repeated": Session(
        KEYED_POST, service=play_lost, then=KEYED_POST
    ),
    "key-reused": Session(write_keyed("a"), then=write_keyed("a", n=1)),
    "models": Session(write("GET", "/v1/models")),
    "model": Session(write("GET", "/v1/models/lines")),
    "probe": Session(write("GET", "/readyz", authorization=None)),
    "service-get": Session(write("GET", "/services/meter/readings?day=3")),
    "service-head": Session(write("HEAD", "/services/meter/readings")),
    "service-post": Session(POST),
    "service-post-lost": Session(POST, service=play_lost),
    "service-post-never-sent": Session(
        write("POST", "/services/gone/a", b"x", x_service_class="quick")
    ),
    "refused-json": Session(write("POST", CHAT, b"{")),
    "refused-field": Session(write_chat(stream="yes")),
    "refused-key": Session(write("GET", "/v1/models", authorization=None)),
    "refused-class": Session(
        write("POST", CHAT, b"{}", x_service_class="none")
    ),
    "refused-model": Session(write_chat(model="none")),
    "refused-service": Session(write("GET", "/services/none")),
    "refused-path": Session(write("GET", "/v2")),
    "refused-method": Session(write("GET", CHAT)),
    "refused-size": Session(
        write("POST", CHAT, content_length=str(contract.BODY_LIMIT * 2))
    ),
    "refused-header": Session(b"GET / HTTP/1.1\r\nno colon\r\n\r\n"),
    "refused-idempotency-key": Session(write_keyed('"a')),
    "refused-stopping": Session(write_chat(), before=stop),
}


@pytest.mark.parametrize("name", SESSIONS)
def test_session(
    name: str, request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    made: list[str] = []

    def make_id() -> str:
        made.append(f"request-{len(made) + 1}")
        return made[-1]

    monkeypatch.setattr(request_log, "make_request_id", make_id)
    text = play(SESSIONS[name])
    path = FILES / f"{name}.txt"
    if request.config.getoption("--rewrite-golden"):
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8", newline="")
    assert text == path.read_bytes().decode()


def test_no_golden_file_is_left_over() -> None:
    assert {path.stem for path in FILES.iterdir()} == set(SESSIONS)


def play(session: Session) -> str:
    """Plays the session and returns what went over the connections."""
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
    return "".join(f"== {who}\n{show(raw)}\n" for who, raw in parts)


def exchange(
    site: contract.Site, request: bytes, cancels: int
) -> list[tuple[str, bytes]]:
    """Returns what one request sent over the connections, in order."""
    far = (site.engine, site.service)
    seen = [len(endpoint.calls) for endpoint in far]
    answer = callers.exchange(site.address, request)
    assert site.wait_until_idle()
    sites.wait_until(lambda: site.engine.count("/v1/cancel") == cancels)
    for endpoint in far:
        sites.wait_until(endpoint.is_finished)
    parts = [("caller to router", request)]
    for endpoint, start in zip(far, seen, strict=True):
        for number in range(start, len(endpoint.calls)):
            raw = endpoint.calls[number].raw
            parts.append(("router to endpoint", raw))
            parts.append(("endpoint to router", endpoint.sent[number]))
    parts.append(("router to caller", join_chunks(answer)))
    return parts


def join_chunks(answer: callers.Answer) -> bytes:
    """Returns the answer with its body in one chunk, where it has chunks."""
    if answer.headers.get("transfer-encoding") != "chunked":
        return answer.raw
    head = answer.raw.partition(b"\r\n\r\n")[0]
    size = len(answer.body)
    chunk = b"%X\r\n%b\r\n0\r\n\r\n" % (size, answer.body)
    return head + b"\r\n\r\n" + chunk


def show(raw: bytes) -> str:
    """Returns the bytes as text that doesn't vary between runs."""
    text = raw.decode().replace("\r", "\\r")
    text = re.sub(r"(?m)^Date: .*GMT", "Date: DATE", text)
    return re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
