import pytest
import result

from pollenfork import ids
from pollenfork.fleet import messages
from pollenfork.fleet import model
from pollenfork.platform import caches

RUNNER = model.Runner(
    id=ids.EndpointId("i-1"),
    service=ids.ServiceName("s"),
    host="10.0.0.1",
    port=8407,
    data_centre=ids.DataCentre("a"),
    slots=64,
    leaving=False,
    cold_s=0.0,
)
CACHED = messages.CacheChange(b"e129f473a0f0", True)


def test_requests_name_the_runner_and_the_wait_time() -> None:
    assert caches.encode_feed_request(RUNNER, 44, 1.0) == (
        b"GET /api/kv-events?since=44 HTTP/1.1\r\n"
        b"host: 10.0.0.1:8407\r\nwait-ms: 1000\r\n\r\n"
    )
    assert caches.encode_list_request(RUNNER) == (
        b"GET /api/kv-list HTTP/1.1\r\nhost: 10.0.0.1:8407\r\n\r\n"
    )


# Guards against losing the numbers by which changes are ordered.
def test_changes_are_decoded_with_their_numbers() -> None:
    body = (
        b'{"epoch":7,"next":12,"lost":true,"events":'
        b'[[11,"+","","e129f473a0f0",242,"m"],[12,"-","","e129f473a0f0",0,"m"]]}'
    )
    added = messages.CacheChange(b"e129f473a0f0", True, 11)
    removed = messages.CacheChange(b"e129f473a0f0", False, 12)
    assert caches.decode_feed(200, body).ok_value == messages.CacheReport(
        (added, removed), 12, gap=True, epoch="7"
    )


def test_a_list_is_decoded_as_complete() -> None:
    body = b'{"epoch":7,"next":44,"held":[["","e129f473a0f0",242,"m"]]}'
    assert caches.decode_list(200, body).ok_value == messages.CacheReport(
        (CACHED,), 44, complete=True, epoch="7"
    )


@pytest.mark.parametrize("decode", [caches.decode_feed, caches.decode_list])
def test_the_start_time_of_a_runner_is_optional(decode) -> None:
    report = decode(
        200, b'{"epoch":"x","next":1,"born":1764712843123}'
    ).unwrap()
    assert (report.epoch, report.start) == ("x", 1764712843123)
    assert decode(200, b'{"epoch":"x","next":1}').unwrap().start is None
    for born in (b"1.5", b'"7"', b"null", b"-1", b"9" * 400):
        answer = b'{"epoch":"x","next":1,"born":%b}' % born
        assert isinstance(decode(200, answer), result.Err)


@pytest.mark.parametrize("decode", [caches.decode_feed, caches.decode_list])
@pytest.mark.parametrize(
    ("status", "body"), [(429, b""), (200, b"{"), (200, b'{"next":"x"}')]
)
def test_invalid_responses_are_errors(decode, status, body) -> None:
    assert isinstance(decode(status, body), result.Err)
