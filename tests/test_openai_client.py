"""The HTTP contract as seen by the `openai` client."""

from collections.abc import Iterator
import json
from typing import Any

import openai
import pytest

from pollenfork import clock
from pollenfork import ids
from pollenfork.standin.engine import config
from pollenfork.standin.engine import front
from pollenfork.standin.engine import prompt
from tests import callers
from tests import contract
from tests import endpoints
from tests import sites

MESSAGES: Any = [{"role": "user", "content": "Tower 7: which insulators?"}]
TOKENS = 20


class EngineSite:
    """Two engine stand-ins behind one entry instance."""

    def __init__(self) -> None:
        settings = config.EngineConfig(
            models=(ids.ModelName("lines"),),
            step_ms=1.0,
            step_per_request_ms=0.0,
            prefill_token_ms=0.0,
            default_length=TOKENS,
        )
        self.engines = [
            front.EngineStandin(settings, clock.SystemClock()) for _ in range(2)
        ]
        self._site = sites.Site()
        addresses = [engine.start() for engine in self.engines]
        self._site.write_tree(sites.make_tree(addresses))
        self.entry = self._site.start_entry()

    def stop(self) -> None:
        self._site.stop()
        for engine in self.engines:
            engine.stop()


@pytest.fixture(scope="module")
def engine_site() -> Iterator[EngineSite]:
    started = EngineSite()
    yield started
    started.stop()


def connect(address: str, **options: Any) -> openai.OpenAI:
    all_options = {"api_key": sites.KEY, "max_retries": 0, **options}
    return openai.OpenAI(base_url=f"http://{address}/v1", **all_options)


@pytest.fixture
def client(engine_site: EngineSite) -> Iterator[openai.OpenAI]:
    with connect(engine_site.entry.address) as connected:
        yield connected


def make_text(chat: bool) -> str:
    """Returns the text that engines generate for the prompt."""
    request: dict[str, Any] = {"model": "lines", "prompt": "Tower 7"}
    if chat:
        request = {"model": "lines", "messages": MESSAGES}
    body = json.dumps(request).encode()
    parsed = prompt.parse(body, chat, TOKENS).unwrap()
    return prompt.make_text(parsed.seed, parsed.length)


def test_chat(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(model="lines", messages=MESSAGES)
    choice = answer.choices[0]
    assert choice.message.content == make_text(chat=True)
    assert choice.finish_reason == "stop"
    assert answer.usage
    assert answer._request_id


def test_streamed_chat(client: openai.OpenAI) -> None:
    stream = client.chat.completions.create(
        model="lines", messages=MESSAGES, stream=True
    )
    events = list(stream)
    text = "".join(e.choices[0].delta.content or "" for e in events)
    assert text == make_text(chat=True)
    assert events[-1].choices[0].finish_reason == "stop"
    assert len(events) > 1


def test_completion(client: openai.OpenAI) -> None:
    answer = client.completions.create(model="lines", prompt="Tower 7")
    assert answer.choices[0].text == make_text(chat=False)


def test_streamed_completion(client: openai.OpenAI) -> None:
    stream = client.completions.create(
        model="lines", prompt="Tower 7", stream=True
    )
    text = "".join(event.choices[0].text for event in stream)
    assert text == make_text(chat=False)


def test_token_limit(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(
        model="lines", messages=MESSAGES, max_completion_tokens=3
    )
    assert answer.choices[0].finish_reason == "length"
    assert answer.usage
    assert answer.usage.completion_tokens == 3


def test_models(client: openai.OpenAI) -> None:
    assert [model.id for model in client.models.list()] == ["lines"]
    assert client.models.retrieve("lines").id == "lines"


def test_class_is_named_by_a_header(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(
        model="lines",
        messages=MESSAGES,
        extra_headers={"X-Service-Class": "logs"},
    )
    assert answer.choices


def test_hundred_streams_of_one_client_are_complete(
    client: openai.OpenAI,
) -> None:
    for number in range(100):
        stream = client.completions.create(
            model="lines", prompt=f"Span {number}", stream=True, max_tokens=4
        )
        body = {"model": "lines", "prompt": f"Span {number}", "max_tokens": 4}
        parsed = prompt.parse(json.dumps(body).encode(), False, TOKENS).unwrap()
        text = "".join(event.choices[0].text for event in stream)
        assert text == prompt.make_text(parsed.seed, parsed.length)


@pytest.mark.parametrize(
    ("options", "fields", "kind", "code"),
    [
        ({"api_key": "x"}, {}, openai.AuthenticationError, "wrong_key"),
        (
            {"default_headers": {"X-Service-Class": "x"}},
            {},
            openai.PermissionDeniedError,
            "unknown_class",
        ),
        ({}, {"model": "none"}, openai.NotFoundError, "unknown_model"),
        ({}, {"messages": []}, openai.BadRequestError, "bad_request"),
        ({}, {"n": 2, "stream": True}, openai.BadRequestError, "bad_request"),
        (
            {"default_headers": {"Idempotency-Key": "a b"}},
            {},
            openai.BadRequestError,
            "bad_idempotency_key",
        ),
        (
            {},
            {"messages": [{"role": "user", "content": "x" * 15_000}]},
            openai.APIStatusError,
            "body_too_large",
        ),
    ],
)
def test_refusals_map_to_the_clients_exception_types(
    engine_site: EngineSite,
    options: dict[str, Any],
    fields: dict[str, Any],
    kind: type[openai.APIStatusError],
    code: str,
) -> None:
    request = {"model": "lines", "messages": MESSAGES, **fields}
    with (
        connect(engine_site.entry.address, **options) as connected,
        pytest.raises(kind) as raised,
    ):
        connected.chat.completions.create(**request)
    assert raised.value.code == code
    assert raised.value.response.headers["X-Outcome"] == "not_run"
    assert raised.value.request_id


@pytest.fixture
def scripted() -> Iterator[contract.Site]:
    started = contract.Site()
    yield started
    started.stop()


def test_broken_answer_raises_from_the_stream(
    scripted: contract.Site,
) -> None:
    def play(call: endpoints.Call) -> list[endpoints.Part]:
        if call.path.startswith("/v1/chat"):
            return [endpoints.encode_stream_head(), endpoints.encode_event(0)]
        return [endpoints.encode_response("404 Not Found", b"{}")]

    scripted.engine_script = play
    seen = []
    quick = {"X-Service-Class": "quick"}
    with connect(scripted.address, default_headers=quick) as connected:
        stream = connected.chat.completions.create(
            model="lines", messages=MESSAGES, stream=True
        )
        with pytest.raises(openai.APIError) as raised:
            seen.extend(stream)
    assert [event.choices[0].delta.content for event in seen] == ["t0 "]
    assert raised.value.code == "answer_broken"


def encode_chat(**fields: Any) -> bytes:
    body = json.dumps({"model": "lines", "messages": MESSAGES, **fields})
    return callers.encode_request("POST", "/v1/chat/completions", body.encode())


def occupy_slots(site: contract.Site) -> list[Any]:
    """Occupies all slots of the runner; returns the connections."""
    site.engine_script = lambda call: [
        endpoints.encode_stream_head() + endpoints.encode_event(0),
        site.release,
        endpoints.encode_event(1, last=True) + endpoints.DONE,
    ]
    raw = encode_chat(stream=True)
    held = [callers.connect(site.address) for _ in range(contract.SLOTS)]
    for caller in held:
        caller.sendall(raw)
        caller.recv(65536)
    return held


def test_overload_response_has_retry_after(
    scripted: contract.Site,
) -> None:
    held = occupy_slots(scripted)
    with (
        connect(scripted.address) as connected,
        pytest.raises(openai.InternalServerError) as raised,
    ):
        connected.chat.completions.create(model="lines", messages=MESSAGES)
    scripted.release.set()
    for caller in held:
        caller.close()
    assert raised.value.code == "overloaded"
    assert raised.value.response.headers["X-Outcome"] == "not_run"
    assert int(raised.value.response.headers["Retry-After"]) >= 1


def test_client_retries_after_the_announced_delay(
    scripted: contract.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    slept: list[float] = []

    def sleep(seconds: float) -> None:
        slept.append(seconds)
        scripted.release.set()
        scripted.engine_script = contract.play_engine
        assert scripted.wait_until_idle()

    held = occupy_slots(scripted)
    announced: list[float] = []

    def record(response: Any) -> None:
        if "Retry-After" in response.headers:
            announced.append(float(response.headers["Retry-After"]))

    recording_client = openai.DefaultHttpxClient(
        event_hooks={"response": [record]}
    )
    monkeypatch.setattr("openai._base_client.time.sleep", sleep)
    options = {"max_retries": 2, "http_client": recording_client}
    with connect(scripted.address, **options) as connected:
        raw = connected.chat.completions.with_raw_response.create(
            model="lines", messages=MESSAGES
        )
    for caller in held:
        caller.close()
    assert raw.parse().choices[0].message.content == "whole"
    assert raw.retries_taken == 1
    assert len(announced) == 1
    assert slept == announced
