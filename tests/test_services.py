"""Calls to plain services: what goes on, what comes back, how often."""

from collections.abc import Iterator

import pytest

from tests import callers
from tests import contract
from tests import endpoints

write = callers.write_request


@pytest.fixture
def fresh() -> Iterator[contract.Site]:
    """A site of its own: an endpoint that failed rests for a while."""
    started = contract.Site()
    yield started
    started.stop()


@pytest.mark.parametrize(
    ("asked", "seen"),
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
def test_service_sees_the_path_behind_its_name(
    site: contract.Site, asked: str, seen: str
) -> None:
    answer = callers.exchange(site.address, write("GET", asked))
    assert answer.status == 200
    assert answer.body == f"GET {seen}\n".encode()


@pytest.mark.parametrize(
    "method", ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"]
)
def test_every_method_goes_on_with_its_body(
    site: contract.Site, method: str
) -> None:
    raw = write(method, "/services/meter/a", b"\x00body\xff")
    answer = callers.exchange(site.address, raw)
    assert answer.body == f"{method} /a\n".encode() + b"\x00body\xff"
    assert answer.headers["x-kept"] == "yes"


def test_head_has_no_body(site: contract.Site) -> None:
    answer = callers.exchange(site.address, write("HEAD", "/services/meter/a"))
    assert answer.status == 200
    assert answer.headers["x-kept"] == "yes"
    assert answer.body == b""


def test_headers_pass_but_for_the_hops_and_the_routers_own(
    site: contract.Site,
) -> None:
    raw = write(
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
def test_status_and_headers_come_back(site: contract.Site, status: int) -> None:
    def play(call: endpoints.Call) -> list[endpoints.Part]:
        body = b"" if status in (204, 304) else b"said"
        return [
            endpoints.write_answer(
                f"{status} Said", body, "Location: /b", 'ETag: "4"'
            )
        ]

    site.service_script = play
    raw = write("POST", "/services/meter/a", b"x")
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
    "its own failure": [endpoints.write_answer("500 No", b"lost")],
    "bad gateway": [endpoints.write_answer("502 No", b"lost")],
    "busy without proof": [endpoints.write_answer("503 No", b"lost")],
}


@pytest.mark.parametrize("method", ["POST", "DELETE"])
@pytest.mark.parametrize("fault", FAULTS)
def test_call_that_may_not_be_repeated_runs_at_most_once(
    fresh: contract.Site, fault: str, method: str
) -> None:
    fresh.service_script = lambda call: FAULTS[fault]
    raw = write(method, "/services/meter/post", b"x")
    answer = callers.exchange(fresh.address, raw)
    assert fresh.service.count("/post") == 1, answer
    assert answer.status >= 500
    assert answer.headers["x-outcome"] == "unknown"


def test_call_that_never_left_is_told_as_not_run(fresh: contract.Site) -> None:
    raw = write("POST", "/services/gone/a", b"x")
    answer = callers.exchange(fresh.address, raw)
    assert answer.status >= 500
    assert answer.headers["x-outcome"] == "not_run"
    assert answer.headers["retry-after"] == "1"


def test_call_that_the_service_refused_is_told_as_not_run(
    fresh: contract.Site,
) -> None:
    fresh.service_script = lambda call: [
        endpoints.write_answer("503 Busy", b"", "X-Outcome: not_run")
    ]
    raw = write("POST", "/services/meter/a", b"x")
    answer = callers.exchange(fresh.address, raw)
    assert answer.status >= 500
    assert answer.headers["x-outcome"] == "not_run"
