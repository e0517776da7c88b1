"""Calls and faults of the plain-service stand-in."""

import pytest
import urllib3

from pollenfork import clock
from pollenfork.standin import service


@pytest.fixture
def standin():
    standin = service.ServiceStandin("127.0.0.1:0", clock.SystemClock())
    standin.url = f"http://{standin.start()}"
    yield standin
    standin.stop()


def post(standin, body="7 kWh"):
    return urllib3.request(
        "POST",
        f"{standin.url}/postings",
        body=body,
        headers={"Idempotency-Key": "k"},
        retries=False,
        timeout=10,
    )


def test_each_posting_is_recorded_with_its_number(standin):
    assert [post(standin).json()["number"] for _ in range(2)] == [1, 2]
    counted = urllib3.request("GET", f"{standin.url}/postings")
    assert counted.json() == {"postings": 2}
    recorded = urllib3.request("GET", f"{standin.url}/runs").json()
    assert [(p["body"], p["key"]) for p in recorded] == [("7 kWh", "k")] * 2


def test_a_call_that_never_runs_counts_as_an_arrival(standin):
    faults = {"delay_s": 0.2, "fault": "lose_before", "times": 1}
    urllib3.request("POST", f"{standin.url}/faults", json=faults)
    with pytest.raises(urllib3.exceptions.HTTPError):
        post(standin)
    arrivals = urllib3.request("GET", f"{standin.url}/arrivals").json()
    assert (arrivals, standin.postings) == (1, [])


@pytest.mark.parametrize(
    ("fault", "status", "recorded"),
    [("refuse", 503, 0), ("fail", 500, 1), ("lose_before", 0, 0),
     ("lose_after", 0, 1)],
)  # fmt: skip
def test_a_fault_is_injected_once(standin, fault, status, recorded):
    faults = {"fault": fault, "times": 1}
    urllib3.request("POST", f"{standin.url}/faults", json=faults)
    if status:
        answer = post(standin)
        assert answer.status == status
        not_run = answer.headers.get("X-Outcome") == "not_run"
        assert not_run == (fault == "refuse")
    else:
        with pytest.raises(urllib3.exceptions.HTTPError):
            post(standin)
    assert len(standin.postings) == recorded
    assert post(standin).status == 201
