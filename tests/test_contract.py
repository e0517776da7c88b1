"""The HTTP contract: bad requests are refused without running."""

import json
import logging

import pytest

from tests import callers
from tests import contract

CHAT = contract.CHAT
CHAT_BODY = contract.CHAT_BODY
encode = callers.encode_request
encode_chat = contract.encode_chat


def encode_keyed(key: str) -> bytes:
    body = json.dumps(CHAT_BODY).encode()
    return encode("POST", CHAT, body, idempotency_key=key)


def encode_chunked(size: int) -> bytes:
    body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"x" * size)
    head = encode("POST", CHAT, transfer_encoding="chunked")
    return head + body


NO_BODY = encode("POST", CHAT)
LIMIT = contract.BODY_LIMIT
REFUSED = {
    # Case: request, status, code, and the param of a bad_request or else the
    # reason.
    "no body": (NO_BODY, 400, "bad_json", "bad_json"),
    "cut JSON": (
        encode("POST", CHAT, b'{"model"'),
        400,
        "bad_json",
        "bad_json",
    ),
    "no JSON": (encode("POST", CHAT, b"a=b"), 400, "bad_json", "bad_json"),
    "two values": (
        encode("POST", CHAT, json.dumps(CHAT_BODY).encode() * 2),
        400,
        "bad_json",
        "bad_json",
    ),
    "deep JSON": (
        encode("POST", CHAT, b'{"x":' + b"[" * 2000 + b"]" * 2000 + b"}"),
        400,
        "bad_json",
        "bad_json",
    ),
    "not UTF-8": (
        encode("POST", CHAT, b'{"model":"lines","messages":["\xff"]}'),
        400,
        "bad_json",
        "bad_json",
    ),
    "no object": (encode("POST", CHAT, b"[]"), 400, "bad_request", "model"),
    "no model": (encode("POST", CHAT, b"{}"), 400, "bad_request", "model"),
    "model no text": (encode_chat(model=3), 400, "bad_request", "model"),
    "stream no boolean": (
        encode_chat(stream="yes"),
        400,
        "bad_request",
        "stream",
    ),
    "stream a number": (encode_chat(stream=1), 400, "bad_request", "stream"),
    "no messages": (encode_chat(messages=None), 400, "bad_request", "messages"),
    "empty messages": (
        encode_chat(messages=[]),
        400,
        "bad_request",
        "messages",
    ),
    "messages text": (
        encode_chat(messages="x"),
        400,
        "bad_request",
        "messages",
    ),
    "no prompt": (
        encode("POST", "/v1/completions", json.dumps(CHAT_BODY).encode()),
        400,
        "bad_request",
        "prompt",
    ),
    "negative bound": (
        encode_chat(max_tokens=-1),
        400,
        "bad_request",
        "max_tokens",
    ),
    "bound no number": (
        encode_chat(max_completion_tokens="9"),
        400,
        "bad_request",
        "max_completion_tokens",
    ),
    "no choices": (encode_chat(n=0), 400, "bad_request", "n"),
    "streamed choices": (
        encode_chat(n=2, stream=True),
        400,
        "bad_request",
        "n",
    ),
    "reserved field": (
        encode_chat(continue_from={"text": "a", "tokens": 1}),
        400,
        "bad_request",
        "continue_from",
    ),
    "unknown model": (
        encode_chat(model="none"),
        404,
        "unknown_model",
        "unknown_model",
    ),
    "unknown model shown": (
        encode("GET", "/v1/models/none"),
        404,
        "unknown_model",
        "unknown_model",
    ),
    "unknown class": (
        encode("POST", CHAT, b"{}", x_service_class="none"),
        403,
        "unknown_class",
        "unknown_class",
    ),
    "unknown service": (
        encode("GET", "/services/none/a"),
        404,
        "unknown_service",
        "unknown_service",
    ),
    "no service": (
        encode("GET", "/services/"),
        404,
        "unknown_service",
        "unknown_service",
    ),
    "unknown path": (
        encode("POST", "/v1/embeddings", b"{}"),
        404,
        "unknown_path",
        "unknown_path",
    ),
    "hidden root": (
        encode("GET", "/services%2Fmeter/a"),
        404,
        "unknown_path",
        "unknown_path",
    ),
    "dot segments": (
        encode("GET", "/services/meter/../a"),
        400,
        "bad_request",
        "bad_request",
    ),
    "hidden dot segments": (
        encode("GET", "/services/meter/a/%2e%2E%2fb"),
        400,
        "bad_request",
        "bad_request",
    ),
    "raw bytes in the path": (
        encode("GET", "/services/meter/\xe9"),
        400,
        "malformed_request",
        "malformed_request",
    ),
    "control character in the path": (
        encode("GET", "/services/meter/\x01"),
        400,
        "bad_request",
        "bad_request",
    ),
    "GET of a completion": (
        encode("GET", CHAT),
        405,
        "method_not_allowed",
        "method_not_allowed",
    ),
    "DELETE of the models": (
        encode("DELETE", "/v1/models"),
        405,
        "method_not_allowed",
        "method_not_allowed",
    ),
    "POST to a probe": (
        encode("POST", "/readyz", b"{}"),
        405,
        "method_not_allowed",
        "method_not_allowed",
    ),
    "TRACE of a service": (
        encode("TRACE", "/services/meter/a"),
        405,
        "method_not_allowed",
        "method_not_allowed",
    ),
    "missing key": (
        encode("POST", CHAT, b"{}", authorization=None),
        401,
        "wrong_key",
        "missing_key",
    ),
    "empty key": (
        encode("POST", CHAT, b"{}", authorization="Bearer "),
        401,
        "wrong_key",
        "missing_key",
    ),
    "other scheme": (
        encode("POST", CHAT, b"{}", authorization="Basic YTpi"),
        401,
        "wrong_key",
        "missing_key",
    ),
    "wrong key": (
        encode("POST", CHAT, b"{}", authorization="Bearer x"),
        401,
        "wrong_key",
        "unknown_key",
    ),
    "wrong key, no ASCII": (
        encode("POST", CHAT, b"{}", authorization="Bearer \xe9"),
        401,
        "wrong_key",
        "unknown_key",
    ),
    "models without a key": (
        encode("GET", "/v1/models", authorization=None),
        401,
        "wrong_key",
        "missing_key",
    ),
    "body over the limit": (
        encode("POST", CHAT, b"x" * (LIMIT + 1)),
        413,
        "body_too_large",
        "body_too_large",
    ),
    "body far over the limit": (
        encode("POST", CHAT, b"x" * LIMIT * 400),
        413,
        "body_too_large",
        "body_too_large",
    ),
    "chunked body over the limit": (
        encode_chunked(LIMIT + 1),
        413,
        "body_too_large",
        "body_too_large",
    ),
    "chunked body far over the limit": (
        encode_chunked(LIMIT * 400),
        413,
        "body_too_large",
        "body_too_large",
    ),
    "header too long": (
        encode("POST", CHAT, x_a="x" * 40_000),
        431,
        "header_too_long",
        "header_too_long",
    ),
    "too many headers": (
        encode("POST", CHAT, **{f"x_{n}": "x" for n in range(120)}),
        431,
        "header_too_long",
        "too_many_headers",
    ),
    "path too long": (
        encode("GET", "/services/meter/" + "x" * 5_000),
        414,
        "target_too_long",
        "target_too_long",
    ),
    "no HTTP": (b"hello\r\n\r\n", 400, "malformed_request", ""),
    "empty idempotency key": (
        encode_keyed(""),
        400,
        "bad_idempotency_key",
        "bad_idempotency_key",
    ),
    "empty quoted idempotency key": (
        encode_keyed('""'),
        400,
        "bad_idempotency_key",
        "bad_idempotency_key",
    ),
    "half quoted idempotency key": (
        encode_keyed('"a'),
        400,
        "bad_idempotency_key",
        "bad_idempotency_key",
    ),
    "two idempotency keys": (
        encode_keyed('"a", "b"'),
        400,
        "bad_idempotency_key",
        "bad_idempotency_key",
    ),
    "idempotency key over its limit": (
        encode_keyed("k" * 256),
        400,
        "bad_idempotency_key",
        "bad_idempotency_key",
    ),
}


@pytest.mark.parametrize("case", REFUSED)
def test_bad_request_is_refused_without_running(
    site: contract.Site, caplog: pytest.LogCaptureFixture, case: str
) -> None:
    caplog.set_level(logging.INFO)
    before = site.read_series()
    raw, status, code, detail = REFUSED[case]
    answer = callers.exchange(site.address, raw)
    error = json.loads(answer.body)["error"]
    assert (answer.status, error["code"]) == (status, code)
    assert error["message"]
    assert answer.headers["x-outcome"] == "not_run"
    assert answer.headers["x-request-id"]
    assert answer.headers["content-type"] == "application/json"
    if code == "bad_request" and detail != code:
        assert error["param"] == (detail if case != "no object" else None)
    if status == 405:
        assert answer.headers["allow"]
    if status == 401:
        assert answer.headers["www-authenticate"] == "bearer"
    assert site.count_runs() == 0
    after = site.read_series()
    incremented = [
        name
        for name, value in after.items()
        if name.startswith("pollenfork_refusals_total")
        and value == before.get(name, 0) + 1
    ]
    assert len(incremented) == 1
    assert f'code="{code}"' in incremented[0]
    assert 'outcome="not_run"' in incremented[0]
    if code != "bad_request":
        assert f'reason="{detail or code}"' in incremented[0]
    lines = [r for r in caplog.messages if r.startswith("event=refused")]
    assert len(lines) == 1
    assert f"code={code}" in lines[0]
    assert f"request={answer.headers['x-request-id']}" in lines[0]


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize(
    "path", ["/healthz", "/readyz", "/metrics", "/v1/models"]
)
def test_probe_and_model_list_responses(
    site: contract.Site, method: str, path: str
) -> None:
    answer = callers.exchange(site.address, encode(method, path))
    assert answer.status == 200
    assert bool(answer.body) == (method == "GET")
    assert int(answer.headers["content-length"]) > 0


def test_null_fields_are_treated_as_absent(site: contract.Site) -> None:
    raw = encode_chat(stream=None, n=None, max_tokens=None)
    answer = callers.exchange(site.address, raw)
    assert answer.body == contract.CHAT_RESPONSE


def test_chunked_request_is_served(site: contract.Site) -> None:
    body = json.dumps(CHAT_BODY).encode()
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    head = encode("POST", CHAT, transfer_encoding="chunked")
    answer = callers.exchange(site.address, head + chunks)
    assert answer.body == contract.CHAT_RESPONSE
    assert site.engine.calls[0].body == body


def test_engine_receives_neither_the_key_nor_the_callers_ids(
    site: contract.Site,
) -> None:
    raw = encode(
        "POST",
        CHAT,
        json.dumps(CHAT_BODY).encode(),
        x_service_class="logs",
        x_priority="-9",
        x_request_id="mine",
        accept_encoding="gzip",
        x_hop="1",
        connection="X-Hop",
        x_kept="2",
    )
    answer = callers.exchange(site.address, raw)
    (call,) = site.engine.calls
    assert answer.status == 200
    assert call.headers["x-kept"] == "2"
    assert call.headers["x-priority"] != "-9"
    assert call.headers["x-request-id"].startswith(
        answer.headers["x-request-id"]
    )
    assert call.headers["accept-encoding"] == "identity"
    removed = {"authorization", "x-service-class", "x-hop"}
    assert not removed & set(call.headers)


def test_request_is_refused_while_stopping() -> None:
    site = contract.Site()
    try:
        site.entry.drain()
        answer = callers.exchange(site.address, encode_chat())
        ready = callers.exchange(site.address, encode("GET", "/readyz"))
    finally:
        site.stop()
    assert (answer.status, answer.read_code()) == (503, "stopping")
    assert answer.headers["x-outcome"] == "not_run"
    assert answer.headers["retry-after"] == "1"
    assert ready.status == 503
    assert site.count_runs() == 0
