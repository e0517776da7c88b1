"""Operators see which requests are quarantined and why, and release them."""

import json

from pollenfork import ids
from pollenfork.fleet import registry
from pollenfork.gateway import messages
from pollenfork.gateway import quarantine_page
from pollenfork.poison import crashes
from pollenfork.poison import quarantine

DIGEST = ids.RequestDigest(0xABC)


class Caller:
    """Records what is written to it."""

    def __init__(self) -> None:
        self.written = b""
        self.closes = False

    def write(self, data: bytes) -> None:
        self.written += data

    def close_after_answer(self) -> None:
        self.closes = True


def ask(page: quarantine_page.QuarantinePage, method: bytes, target: bytes):
    caller = Caller()
    page.serve(
        messages.Request(
            method=method, target=target, headers=[], body=b"", arrived=0.0
        ),
        caller,
    )
    head, _, body = caller.written.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def make_page():
    request_quarantine = quarantine.Quarantine(
        registry.Registry(), "10.0.0.1", lambda runner, at: False, lambda: 20.0
    )
    for place in range(3):
        at = 10.0 + place
        crash = crashes.Crash(place, at, at + 0.5, 1)
        request_quarantine.tracker.record_crash(DIGEST, crash, 15.0)
    return quarantine_page.QuarantinePage(request_quarantine, lambda: 20.0)


def test_it_lists_digests_with_the_crashes_under_them() -> None:
    status, body = ask(make_page(), b"GET", b"/kept-requests")
    (kept,) = json.loads(body)
    assert status == 200
    assert kept["digest"] == "0000000000000abc"
    assert kept["kept_ms"] == 5000
    assert [end["ago_ms"] for end in kept["ends"]] == [9500, 8500, 7500]
    assert [end["ran_ms"] for end in kept["ends"]] == [500] * 3


def test_a_request_is_released_once() -> None:
    page = make_page()
    target = b"/kept-requests/0000000000000abc"
    assert ask(page, b"DELETE", target)[0] == 200
    assert ask(page, b"DELETE", target)[0] == 404
    assert json.loads(ask(page, b"GET", b"/kept-requests")[1]) == []


def test_a_path_without_a_valid_digest_is_refused() -> None:
    page = make_page()
    for target in (
        b"/kept-requests/zz",
        b"/kept-requests/",
        b"/kept-requestsx",
    ):
        assert ask(page, b"DELETE", target)[0] == 404
