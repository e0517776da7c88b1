"""Endpoints and instances that leave while requests are being served."""

from collections.abc import Iterator
import concurrent.futures
import pathlib
import threading
import time

import pytest
import urllib3

from tests import processes
from tests import sites
from tests import streams

LEAVING_S = 3.0


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[processes.Site]:
    started = streams.start_site(tmp_path, entries=3, slots=64)
    started.wait_until_joined()
    yield started
    started.close()


class Callers:
    """One caller per instance that sends requests continuously."""

    def __init__(self, site: processes.Site) -> None:
        self._site = site
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(len(site.entries))
        self._counts = [0] * len(site.entries)
        self._futures = [
            self._pool.submit(self._send_requests, number)
            for number in range(len(site.entries))
        ]

    def stop(self) -> None:
        """Stops the callers; raises the exceptions that they met."""
        self._stopped.set()
        for future in self._futures:
            future.result()

    def wait_for_more(self) -> None:
        """Waits until each instance has answered five more requests."""
        targets = [count + 5 for count in self._counts]
        sites.wait_until(
            lambda: all(
                count >= target
                for count, target in zip(self._counts, targets, strict=True)
            )
        )

    def _send_requests(self, number: int) -> None:
        entry = self._site.entries[number]
        while not self._stopped.is_set():
            name = f"Caller {number} {self._counts[number]}"
            response, begun = streams.open_stream(
                self._site, entry, name, tokens=2
            )
            streams.check_complete(begun + streams.read_rest(response))
            self._counts[number] += 1


def count_requests(site: processes.Site, engine: processes.Program) -> int:
    """Returns how many requests the engine received, refused ones too."""
    runs = site.read_json(engine, "/runs")["total"]["count"]
    return runs + site.read_json(engine, "/refusals")["refused"]


def publish_live_engines(site: processes.Site) -> None:
    """Makes the platform list every engine as live."""
    instances = [
        {
            "name": f"runner-{number}",
            "role": "endpoint",
            "data_centre": "a",
            "address": engine.address,
            "status": "live",
        }
        for number, engine in enumerate(site.engines)
    ]
    url = f"http://{site.platform.address}/instances"
    response = site.pool.request("POST", url, json={"instances": instances})
    assert response.status < 300, response.data


def open_at(
    site: processes.Site, engine: processes.Program, tokens: int
) -> tuple[urllib3.BaseHTTPResponse, bytes]:
    """Opens a stream that this engine runs."""
    for number in range(20):
        before = site.read_json(engine, "/runs")["total"]["count"]
        opened = streams.open_stream(
            site, site.entries[0], f"Long {number}", tokens=tokens
        )
        if site.read_json(engine, "/runs")["total"]["count"] > before:
            return opened
    raise AssertionError("the engine got no request")


def measure_last_request(
    site: processes.Site, engine: processes.Program, callers: Callers
) -> float:
    """Returns after how many seconds the engine got its last new request.

    Watches for twice the time allowed, under requests to all instances.
    """
    started_at = last = time.monotonic()
    count = count_requests(site, engine)
    while time.monotonic() < started_at + 2 * LEAVING_S:
        callers.wait_for_more()
        new_count = count_requests(site, engine)
        if new_count > count:
            count, last = new_count, time.monotonic()
    return last - started_at


@pytest.mark.parametrize("source", ["engine", "operator"])
def test_a_leaving_endpoint_gets_no_new_work_after_three_seconds(
    site: processes.Site, source: str
) -> None:
    publish_live_engines(site)
    leaving = site.engines[0]
    response, begun = open_at(site, leaving, tokens=400)
    callers = Callers(site)
    callers.wait_for_more()
    assert count_requests(site, leaving)
    if source == "engine":
        site.set_faults(leaving, leaving=True)
    else:
        drained = site.call_operator(
            site.entries[1], "POST", "endpoints/runner-0/drain"
        )
        assert drained.status == 202, drained.data
    assert measure_last_request(site, leaving, callers) < LEAVING_S
    callers.stop()
    streams.check_complete(begun + streams.read_rest(response))


def test_half_of_the_instances_stop_at_once_without_breaking_streams(
    site: processes.Site,
) -> None:
    site.start_entry()
    leaving, staying = site.entries[:2], site.entries[2:]
    opened = [
        streams.open_stream(
            site, leaving[number % 2], f"Tower {number}", tokens=120
        )
        for number in range(50)
    ]
    for entry in leaving:
        entry.terminate()
    refused = site.post(
        leaving[0], streams.COMPLETIONS, streams.encode_body("Tower")
    )
    sites.wait_until(lambda: not site.is_ready(leaving[1]))
    response, begun = streams.open_stream(site, staying[0], "Tower")
    streams.check_complete(begun + streams.read_rest(response))
    for response, begun in opened:
        streams.check_complete(begun + streams.read_rest(response))
    assert [entry.wait() for entry in leaving] == [0, 0]
    assert refused.status in (200, 503)
    if refused.status == 503:
        assert refused.headers["X-Outcome"] == "not_run"
    for name in ("entry-1", "entry-2"):
        sites.wait_until(
            lambda name=name: site.read_states(staying[0])[name] == "left"
        )


def test_instance_exits_on_stop_while_the_platform_hangs(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    response, begun = streams.open_stream(site, entry, "Tower 1")
    site.platform.freeze()
    entry.terminate()
    streams.check_complete(begun + streams.read_rest(response))
    assert entry.wait() == 0
