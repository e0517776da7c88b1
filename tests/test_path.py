"""The complete path from a caller's request to the end of the answer."""

from collections.abc import Iterator
import json

import pytest
import urllib3

from pollenfork import application
from tests import fakes
from tests import sites


@pytest.fixture
def engines() -> Iterator[list[fakes.FakeEngine]]:
    started = [fakes.FakeEngine() for _ in range(2)]
    yield started
    for engine in started:
        engine.stop()


@pytest.fixture
def entry(
    engines: list[fakes.FakeEngine],
) -> Iterator[application.Application]:
    site = sites.Site()
    site.write_tree(sites.make_tree([engine.address for engine in engines]))
    yield site.start_entry()
    site.stop()


def post(
    entry: application.Application,
    body: bytes,
    headers: dict[str, str] | None = None,
    path: str = "/v1/completions",
) -> urllib3.BaseHTTPResponse:
    sent = {"Authorization": f"Bearer {sites.KEY}", **(headers or {})}
    url = f"http://{entry.address}{path}"
    return urllib3.request("POST", url, body=body, headers=sent, retries=False)


def encode_body(stream: bool, model_name: str = "lines") -> bytes:
    request = {"model": model_name, "prompt": "Tower 7", "stream": stream}
    return json.dumps(request).encode()


def test_stream_reaches_the_caller_byte_for_byte(
    entry: application.Application,
) -> None:
    response = post(entry, encode_body(stream=True))
    events = b"".join(fakes.encode_event(n) for n in range(5))
    assert response.status == 200
    assert response.data == events + b"data: [DONE]\n\n"


def test_plain_answer_reaches_the_caller(
    entry: application.Application,
) -> None:
    response = post(entry, encode_body(stream=False))
    assert response.json() == {"choices": [{"text": "whole"}]}


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (b"{", {}, 400, "bad_json"),
        (b'{"model": 3}', {}, 400, "bad_request"),
        (b'{"model": "lines"}', {}, 400, "bad_request"),
        (encode_body(True, "none"), {}, 404, "unknown_model"),
        (encode_body(True), {"Authorization": "Bearer x"}, 401, "wrong_key"),
        (encode_body(True), {"X-Service-Class": "x"}, 403, "unknown_class"),
        (b"[" + b"1" * 11_000, {}, 413, "body_too_large"),
    ],
)
def test_bad_request_is_refused_without_engine_work(
    entry: application.Application,
    engines: list[fakes.FakeEngine],
    body: bytes,
    headers: dict[str, str],
    status: int,
    code: str,
) -> None:
    response = post(entry, body, headers)
    assert response.status == status
    assert response.json()["error"]["code"] == code
    assert response.headers["X-Outcome"] == "not_run"
    assert sum(engine.runs for engine in engines) == 0
    url = f"http://{entry.address}/metrics"
    exposition = urllib3.request("GET", url).data.decode()
    assert f'code="{code}"' in exposition
