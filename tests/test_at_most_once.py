"""Idempotency keys over the complete path: at most one run per key."""

from collections.abc import Iterator
import concurrent.futures
import json
import threading

import pytest
import urllib3

from pollenfork import application
from pollenfork import clock
from pollenfork.settings import model
from pollenfork.standin import service
from pollenfork.standin.platform import config as platform_config
from tests import fakes
from tests import sites

POSTING = b'{"meter": 7, "kwh": 120}'
PATH = "/services/meters/postings"
Loss = platform_config.Loss
Operation = platform_config.Operation


class MeterSite(sites.Site):
    """Two entry instances and a meter service that isn't idempotent."""

    def __init__(self) -> None:
        super().__init__()
        self.meters = service.ServiceStandin("127.0.0.1:0", clock.SystemClock())
        self.engine = fakes.FakeEngine()
        endpoint = model.EndpointSettings(
            address=self.meters.start(),
            data_centre="a",
            kind=model.EndpointKind.SERVICE,
        )
        tree = sites.make_tree([self.engine.address])
        root = model.RootSettings(
            ceilings=tree.root.ceilings,
            endpoints={**tree.root.endpoints, "meter-1": endpoint},
            services={"meters": model.ServiceSettings(endpoints=("meter-1",))},
        )
        self.write_tree(model.Tree(root=root, teams=tree.teams))
        for name in ("entry-1", "entry-2"):
            self.start_entry(name)

    def stop(self) -> None:
        """Stops all components."""
        super().stop()
        self.meters.stop()
        self.engine.stop()


@pytest.fixture
def site() -> Iterator[MeterSite]:
    started = MeterSite()
    yield started
    started.stop()


def post(
    entry: application.Application,
    key: str | None,
    body: bytes = POSTING,
    path: str = PATH,
) -> urllib3.BaseHTTPResponse:
    headers = {"Authorization": f"Bearer {sites.KEY}"}
    if key:
        headers["Idempotency-Key"] = key
    url = f"http://{entry.address}{path}"
    return urllib3.request(
        "POST", url, body=body, headers=headers, retries=False, timeout=30
    )


def test_retry_at_another_instance_replays_the_answer(
    site: MeterSite,
) -> None:
    first = post(site.entries[0], "k-1")
    retry = post(site.entries[1], "k-1")
    assert (first.status, retry.status) == (201, 201)
    assert first.data == retry.data
    assert retry.headers["Idempotent-Replayed"] == "true"
    assert len(site.meters.postings) == 1


def test_key_reuse_with_another_body_is_refused(site: MeterSite) -> None:
    post(site.entries[0], "k-1")
    other = post(site.entries[1], "k-1", b"{}")
    assert other.status == 422
    assert other.json()["error"]["code"] == "idempotency_key_reused"
    assert len(site.meters.postings) == 1


def test_twenty_repeats_at_once_run_once(site: MeterSite) -> None:
    site.meters.set_faults(service.ServiceFaults(delay_s=0.2))
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        entries = [site.entries[n % 2] for n in range(20)]
        statuses = {
            response.status
            for response in pool.map(lambda e: post(e, "k-1"), entries)
        }
    assert len(site.meters.postings) == 1
    assert statuses <= {201, 409, 503}
    assert 201 in statuses


FAULTS = [
    # Fault, reported outcome, runs after it, status of a retry without fault.
    (service.ServiceFault.REFUSE, "not_run", 0, 201),
    (service.ServiceFault.LOSE_BEFORE, "unknown", 0, 409),
    (service.ServiceFault.LOSE_AFTER, "unknown", 1, 409),
]


@pytest.mark.parametrize(("fault", "outcome", "runs", "retry_status"), FAULTS)
def test_failed_call_is_told_as_it_is_known(
    site: MeterSite,
    fault: service.ServiceFault,
    outcome: str,
    runs: int,
    retry_status: int,
) -> None:
    site.meters.set_faults(service.ServiceFaults(fault=fault))
    failed = post(site.entries[0], "k-1")
    assert failed.headers["X-Outcome"] == outcome
    assert len(site.meters.postings) == runs
    site.meters.set_faults(service.ServiceFaults())
    retry = post(site.entries[1], "k-1")
    assert retry.status == retry_status
    assert len(site.meters.postings) == (1 if retry_status == 201 else runs)


@pytest.mark.parametrize(
    "faults",
    [
        platform_config.Faults(down=True),
        platform_config.Faults(
            lose=Loss.BEFORE_EFFECT, only=(Operation.COMMIT,)
        ),
        platform_config.Faults(
            lose=Loss.AFTER_EFFECT, only=(Operation.COMMIT,)
        ),
    ],
)
def test_posting_is_not_run_while_no_record_can_be_written(
    site: MeterSite, faults: platform_config.Faults
) -> None:
    site.platform.set_faults(faults)
    refused = post(site.entries[0], "k-1")
    assert refused.status == 503
    assert refused.headers["X-Outcome"] == "not_run"
    assert "Retry-After" in refused.headers
    assert not site.meters.postings


def test_claim_whose_reply_was_lost_finds_its_own_record(
    site: MeterSite,
) -> None:
    site.platform.set_faults(
        platform_config.Faults(
            lose=Loss.AFTER_EFFECT, only=(Operation.COMMIT,), times=1
        )
    )
    assert post(site.entries[0], "k-1").status == 201
    assert len(site.meters.postings) == 1


def test_posting_without_a_key_is_never_sent_twice(site: MeterSite) -> None:
    lost = service.ServiceFault.LOSE_AFTER
    site.meters.set_faults(service.ServiceFaults(fault=lost))
    failed = post(site.entries[0], None)
    assert failed.headers["X-Outcome"] == "unknown"
    assert len(site.meters.postings) == 1


def test_answer_is_kept_for_a_retry_after_the_caller_disconnects(
    site: MeterSite,
) -> None:
    gate = threading.Event()
    site.engine.hold(gate)
    body = json.dumps(
        {"model": "lines", "prompt": "Tower 7", "stream": True}
    ).encode()
    url = f"http://{site.entries[0].address}/v1/completions"
    headers = {
        "Authorization": f"Bearer {sites.KEY}",
        "Idempotency-Key": "report-7",
    }
    dropped = urllib3.request(
        "POST", url, body=body, headers=headers, preload_content=False
    )
    dropped.read(1)
    dropped.close()
    gate.set()
    site.entries[0].drain()
    retry = post(site.entries[1], "report-7", body, "/v1/completions")
    events = b"".join(fakes.encode_event(n) for n in range(5))
    assert retry.data == events + b"data: [DONE]\n\n"
    assert site.engine.runs == 1
