"""The calls that one instance makes for all, as the platform reads them."""

import json

import pytest

from pollenfork import ids
from pollenfork.duties import messages
from pollenfork.duties import rows
from pollenfork.platform import cloud

CLOUD = cloud.Cloud("10.2.0.1:80", ids.InstanceId("front-a-1"))


def split(work) -> tuple[str, dict[str, str], dict]:
    request = CLOUD.encode(
        messages.PlatformCall(ids.FencingNumber(12), 9.0, work)
    )
    head, _, body = request.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    assert int(headers["Content-Length"]) == len(body)
    return first, headers, json.loads(body)


def test_a_report_names_its_holder_and_number() -> None:
    counts = {ids.AccountId("hule930"): 412}
    first, headers, body = split(messages.UsageReport(353445120, counts))
    assert first == "POST /usage HTTP/1.1"
    assert headers["X-Pollenfork-Duty-Holder"] == "front-a-1"
    assert headers["X-Pollenfork-Fencing-Token"] == "12"
    assert body == {"window": 353445120, "counts": {"hule930": 412}}


@pytest.mark.parametrize("reclaimable", [False, True])
def test_an_order_says_which_kind_of_runners(reclaimable) -> None:
    subject = rows.RunnerPool(
        ids.ServiceName("s"), ids.DataCentre("a"), reclaimable
    )
    first, _, body = split(rows.ScalingOrder(subject, 6))
    assert first == "POST /scaling HTTP/1.1"
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
def test_each_status_has_a_meaning(status, reply) -> None:
    assert CLOUD.decode(status) is reply
