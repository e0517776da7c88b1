"""Calls to plain services: forwarding, responses and retries."""

from collections.abc import Iterator

import pytest

from tests import callers
from tests import contract
from tests import endpoints

encode = callers.encode_request


@pytest.fixture
def fresh() -> Iterator[contract.Site]:
    """A separate site, as failed endpoints are avoided for a while."""
    started = contract.Site()
    yield started
    started.stop()


@pytest.mark.parametrize(
    ("target", "received"),
    [
        ("/services/meter", "/"),
        ("/services/meter/", "/"),
        ("/services/meter/readings/7", "/readings/7"),
        ("/services/meter/a%2Fb%20c?x=%20&y", "/a%2Fb%20c?x=%20&y"),
        ("/services/meter?x=1", "/?x=1"),
        ("/services/meter//a//b/", "//a//b/"),
        ("/services/m%65ter/a", "/a"),
        ("//services/meter/a", "/a"),
        ("http://router/services/meter/a?x", "/a?x"),
        ("/services/meter/services/meter", "/services/meter"),
        ("/services/meter/a#b", "/a"),
        ("/services/meter/..a/b..", "/..a/b.."),
    ],
)
def test_service_receives_the_path_after_its_name(
    site: contract.Site, target: str, received: str
) -> None:
    answer = callers.exchange(site.address, encode("GET", target))
    assert answer.status == 200
    assert answer.body == f"GET {received}\n".encode()


@pytest.mark.parametrize(
    "method", ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"]
)
def test_every_method_is_forwarded_with_its_body(
    site: contract.Site, method: str
) -> None:
    raw = encode(method, "/services/meter/a", b"\x00body\xff")
    answer = callers.exchange(site.address, raw)
    assert answer.body == f"{method} /a\n".encode() + b"\x00body\xff"
    assert answer.headers["x-kept"] == "yes"


def test_head_has_no_body(site: contract.Site) -> None:
    answer = callers.exchange(site.address, encode("HEAD", "/services/meter/a"))
    assert answer.status == 200
    assert answer.headers["x-kept"] == "yes"
    assert answer.body == b""


def test_headers_are_forwarded_except_hop_by_hop_and_router_headers(
    site: contract.Site,
) -> None:
    raw = encode(
        "PUT",
        "/services/meter/a",
        b"<a/>",
        content_type="text/xml",
        if_match='"3"',
        cookie="a=b",
        te="trailers",
        upgrade="h2c",
        keep_alive="1",
        x_service_class="morning",
    )
    callers.exchange(site.address, raw)
    (call,) = site.service.calls
    assert call.headers["content-type"] == "text/xml"
    assert call.headers["if-match"] == '"3"'
    assert call.headers["cookie"] == "a=b"
    dropped = {"te", "upgrade", "keep-alive", "authorization"}
    assert not dropped & set(call.headers)
    assert "x-service-class" not in call.headers


@pytest.mark.parametrize("status", [201, 202, 204, 302, 304, 404, 409, 429])
def test_status_and_headers_are_returned(
    site: contract.Site, status: int
) -> None:
    def play(call: endpoints.Call) -> list[endpoints.Part]:
        body = b"" if status in (204, 304) else b"said"
        return [
            endpoints.encode_response(
                f"{status} Said", body, "Location: /b", 'ETag: "4"'
            )
        ]

    site.service_script = play
    raw = encode("POST", "/services/meter/a", b"x")
    answer = callers.exchange(site.address, raw)
    assert answer.status == status
    assert answer.headers["etag"] == '"4"'
    assert answer.headers["location"] == "/b"
    assert answer.body == (b"" if status in (204, 304) else b"said")
    assert "x-outcome" not in answer.headers
    assert len(site.service.calls) == 1


FAULTS: dict[str, list[endpoints.Part]] = {
    "closed before the head": [],
    "cut head": [b"HTTP/1.1 20"],
    "cut body": [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"],
    "no HTTP": [b"hello\r\n\r\n"],
    "its own failure": [endpoints.encode_response("500 No", b"lost")],
    "bad gateway": [endpoints.encode_response("502 No", b"lost")],
    "busy without proof": [endpoints.encode_response("503 No", b"lost")],
}


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("fault", FAULTS)
def test_non_repeatable_call_runs_at_most_once(
    fresh: contract.Site, fault: str, method: str
) -> None:
    fresh.service_script = lambda call: FAULTS[fault]
    raw = encode(method, "/services/meter/post", b"x")
    answer = callers.exchange(fresh.address, raw)
    assert fresh.service.count("/post") == 1, answer
    assert answer.status >= 500
    assert answer.headers["x-outcome"] == "unknown"


def test_unsent_call_is_reported_as_not_run(fresh: contract.Site) -> None:
    raw = encode("POST", "/services/gone/a", b"x")
    answer = callers.exchange(fresh.address, raw)
    assert answer.status >= 500
    assert answer.headers["x-outcome"] == "not_run"
    assert answer.headers["retry-after"] == "1"


def test_call_refused_by_the_service_is_reported_as_not_run(
    fresh: contract.Site,
) -> None:
    fresh.service_script = lambda call: [
        endpoints.encode_response("503 Busy", b"", "X-Outcome: not_run")
    ]
    raw = encode("POST", "/services/meter/a", b"x")
    answer = callers.exchange(fresh.address, raw)
    assert answer.status >= 500
    assert answer.headers["x-outcome"] == "not_run"
