"""The duty holder's platform calls are encoded as the platform expects."""

import json

import pytest

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.platform import cloud

CLOUD = cloud.Cloud("10.2.0.1:80", ids.InstanceId("front-a-1"))


def encode_and_parse(work) -> tuple[str, dict[str, str], dict]:
    request = CLOUD.encode(
        messages.PlatformCall(ids.FencingNumber(12), 9.0, work)
    )
    head, _, body = request.partition(b"\r\n\r\n")
    request_line, *lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    assert int(headers["Content-Length"]) == len(body)
    return request_line, headers, json.loads(body)


def test_a_usage_report_names_the_holder_and_fencing_token() -> None:
    counts = {ids.AccountId("hule930"): 412}
    request_line, headers, body = encode_and_parse(
        messages.UsageReport(353445120, counts)
    )
    assert request_line == "POST /usage HTTP/1.1"
    assert headers["X-Pollenfork-Duty-Holder"] == "front-a-1"
    assert headers["X-Pollenfork-Fencing-Token"] == "12"
    assert body == {"window": 353445120, "counts": {"hule930": 412}}


@pytest.mark.parametrize("reclaimable", [False, True])
def test_a_scaling_order_names_the_kind_of_runners(reclaimable) -> None:
    pool = rows.RunnerPool(
        ids.ServiceName("s"), ids.DataCentre("a"), reclaimable
    )
    request_line, _, body = encode_and_parse(rows.ScalingOrder(pool, 6))
    assert request_line == "POST /scaling HTTP/1.1"
    expected = {"service": "s", "zone": "a", "desired-count": 6}
    if reclaimable:
        expected["spot"] = True
    assert body == expected


@pytest.mark.parametrize(
    ("status", "reply"),
    [
        (200, messages.Reply.DONE),
        (409, messages.Reply.UNAVAILABLE),
        (429, messages.Reply.BUSY),
        (503, messages.Reply.BUSY),
        (400, messages.Reply.REJECTED),
    ],
)
def test_each_status_is_mapped_to_a_reply(status, reply) -> None:
    assert CLOUD.decode(status) is reply
