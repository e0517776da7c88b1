"""The engine stand-in over HTTP: docs/engine-protocol.md."""

import json
import socket

import pytest
import urllib3

from pollenfork import clock
from pollenfork.standin.engine import config as configs
from pollenfork.standin.engine import front
from pollenfork.standin.engine import prompt as prompts


class Client:
    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = urllib3.PoolManager(retries=False, timeout=10)

    def get(self, path):
        return self._pool.request("GET", f"http://{self.address}{path}")

    def post(self, path, body, **headers):
        url = f"http://{self.address}{path}"
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        return self._pool.request("POST", url, json=body, headers=headers)

    def complete(self, name="a", length=5, **fields):
        body = {"model": "model", "prompt": "hello", "stream": True, **fields}
        return self.post(
            "/v1/completions", body, X_Request_Id=name, X_Answer_Tokens=length
        )

    def read_runs(self):
        return self.get("/runs").json()


@pytest.fixture
def client():
    config = configs.EngineConfig(step_ms=0.5, step_per_request_ms=0, slots=2)
    standin = front.EngineStandin(config, clock.SystemClock())
    yield Client(standin.start())
    standin.stop()


def read_events(data: bytes) -> tuple[list[int], str]:
    """Returns the positions and the text; the last event must be [DONE]."""
    *events, done, rest = data.decode().split("\n\n")
    assert (done, rest) == ("data: [DONE]", "")
    positions, text = [], ""
    for event in events:
        position, _, body = event.partition("\ndata: ")
        positions.append(int(position.removeprefix("id: ")))
        choice = json.loads(body)["choices"][0]
        text += choice.get("text") or choice.get("delta", {}).get("content", "")
    return positions, text


def test_a_stream_and_a_plain_answer_carry_the_same_text(client):
    streamed = client.complete(length=50)
    assert streamed.headers["Content-Type"] == "text/event-stream"
    positions, text = read_events(streamed.data)
    assert positions == list(range(50))
    plain = client.complete(length=50, stream=False).json()
    assert plain["choices"][0] == {
        "index": 0,
        "finish_reason": "stop",
        "text": text,
    }
    assert plain["usage"]["completion_tokens"] == 50
    assert client.read_runs()["requests"] == {"a": {"count": 2, "tokens": 100}}


def test_a_chat_answer_is_in_the_form_of_chat(client):
    body = {
        "model": "model",
        "messages": [{"role": "user", "content": "hello"}],
        "metadata": {"answer_tokens": "3", "label": "mine"},
        "max_tokens": 2,
    }
    choice = client.post("/v1/chat/completions", body).json()["choices"][0]
    assert choice["message"]["role"] == "assistant"
    assert choice["finish_reason"] == "length"
    streamed = client.post("/v1/chat/completions", {**body, "stream": True})
    positions, text = read_events(streamed.data)
    assert (positions, text) == ([0, 1], choice["message"]["content"])
    assert client.read_runs()["labels"] == {"mine": {"count": 2, "tokens": 4}}


def test_a_broken_stream_resumes_byte_for_byte(client):
    whole = client.complete(name="whole").data
    crash = {"when": "midway", "after_tokens": 2, "times": 1}
    client.post("/faults", {"crash": crash})
    with pytest.raises(urllib3.exceptions.HTTPError):
        _ = client.complete(name="broken").data
    rest = client.get("/v1/streams/broken?from=2").data
    assert whole.endswith(rest)
    assert read_events(rest)[0] == [2, 3, 4]
    again = client.get("/v1/streams/broken?from=0").data
    assert again == whole
    missing = client.get("/v1/streams/never?from=0")
    assert missing.status == 404
    assert missing.json()["error"]["code"] == "unknown_stream"


def test_a_continued_answer_is_the_rest_of_the_same_bytes(client):
    whole = client.complete(name="whole").data
    part = {"text": "…", "tokens": 3}
    rest = client.complete(name="rest", continue_from=part).data
    assert whole.endswith(rest)
    assert client.read_runs()["requests"]["rest"]["tokens"] == 2


def test_a_client_of_http_1_0_gets_a_body_without_chunks(client):
    body = b'{"model":"model","prompt":"hello","stream":true,"max_tokens":3}'
    head = b"POST /v1/completions HTTP/1.0\r\nContent-Length: %d\r\n\r\n"
    host, port = client.address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(head % len(body) + body)
        with connection.makefile("rb") as answer:
            received = answer.read()
    header, _, data = received.partition(b"\r\n\r\n")
    assert b"chunked" not in header
    assert read_events(data)[0] == [0, 1, 2]


@pytest.mark.parametrize("keep_alive", [True, False])
def test_the_engine_keeps_connections_or_closes_them(keep_alive):
    config = configs.EngineConfig(step_ms=0.5, keep_alive=keep_alive)
    standin = front.EngineStandin(config, clock.SystemClock())
    client = Client(standin.start())
    answer = client.complete()
    standin.stop()
    assert read_events(answer.data)[0] == [0, 1, 2, 3, 4]
    assert (answer.headers.get("Connection") == "close") != keep_alive


def test_closing_the_connection_cancels_the_work(client):
    client.post("/faults", {"slowdown": 4})
    body = b'{"model":"model","prompt":"hello","stream":true}'
    head = (
        b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: gone\r\n"
        b"X-Answer-Tokens: 4000\r\nContent-Length: %d\r\n\r\n"
    )
    host, port = client.address.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall(head % len(body) + body)
        assert connection.recv(1)
    while client.get("/v1/load").json()["running"]:
        pass
    cancelled = client.post("/v1/cancel", {"request_id": "gone"}).json()
    assert cancelled == {"outcome": "cancelled"}
    assert client.read_runs()["requests"]["gone"]["tokens"] < 4000


@pytest.mark.parametrize(
    ("fields", "faults", "status", "code"),
    [
        ({}, {"leaving": True}, 503, "leaving"),
        ({}, {"refuse": True}, 503, "refusing"),
        ({"model": "other"}, {}, 404, "model_not_found"),
        ({"prompt": None}, {}, 400, "bad_request"),
        ({"metadata": {"answer_tokens": "x"}}, {}, 400, "bad_request"),
    ],
)
def test_a_refusal_says_that_nothing_ran(client, fields, faults, status, code):
    client.post("/faults", faults)
    refused = client.post(
        "/v1/completions", {"model": "model", "prompt": "hello", **fields}
    )
    assert refused.status == status
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.json()["error"]["code"] == code
    assert client.read_runs()["total"] == {"count": 0, "tokens": 0}


def test_leaving_shows_in_the_health(client):
    assert client.get("/healthz").status == 200
    client.post("/faults", {"leaving": True})
    assert client.get("/healthz").status == 503
    assert client.get("/v1/load").json()["ready"] is False


def test_an_engine_that_is_down_answers_nothing_until_it_is_up(client):
    client.post("/faults", {"down": True})
    with pytest.raises(urllib3.exceptions.HTTPError):
        client.get("/healthz")
    client.post("/faults", {"down": False})
    assert client.get("/healthz").status == 200


def test_bad_faults_are_refused_and_change_nothing(client):
    before = client.get("/faults").json()
    assert client.post("/faults", {"slowdown": 0}).status == 400
    assert client.post("/faults", {"unheard_of": 1}).status == 400
    assert client.get("/faults").json() == before


def test_an_order_with_an_old_fencing_number_is_fenced(client):
    order = {"order_id": "1", "kind": "load_model", "argument": "new"}
    assert client.post("/v1/orders", {**order, "fencing": 2}).status == 200
    old = {**order, "order_id": "2", "kind": "drain", "fencing": 1}
    refused = client.post("/v1/orders", old)
    assert refused.status == 409
    assert refused.json()["error"]["code"] == "fenced"
    assert client.get("/healthz").status == 200
    names = [m["id"] for m in client.get("/v1/models").json()["data"]]
    assert names == ["model", "new"]


def test_an_exported_request_goes_on_where_it_is_imported(client):
    whole = client.complete(name="whole", length=20).data
    crash = {"when": "midway", "after_tokens": 4, "times": 1}
    client.post("/faults", {"crash": crash, "slowdown": 20})
    with pytest.raises(urllib3.exceptions.HTTPError):
        _ = client.complete(name="a", length=20).data
    exported = client.post("/v1/kv/export", {"request_id": "a"}).data
    assert client.post("/v1/cancel", {"request_id": "a"}).status == 200
    url = f"http://{client.address}/v1/kv/import"
    headers = {"X-Request-Id": "b"}
    urllib3.request("POST", url, body=exported, headers=headers)
    rest = client.get("/v1/streams/b?from=8").data
    assert whole.endswith(rest)
    assert read_events(rest)[0] == list(range(8, 20))


def test_text_that_looks_like_the_protocol_stays_text():
    prompt = prompts.Prompt(
        model="m", chat=True, stream=True, label="", tokens=1, blocks=(),
        length=2000, cut=False, first=0, seed=7,
    )  # fmt: skip
    text = prompts.make_text(prompt.seed, prompt.length)
    assert "data: [DONE]" in text
    assert "\n" in text
