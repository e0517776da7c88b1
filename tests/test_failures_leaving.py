"""Endpoints and instances that leave, under requests to all instances."""

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
    started.wait_until_met()
    yield started
    started.close()


class Callers:
    """One caller for each instance who asks again and again."""

    def __init__(self, site: processes.Site) -> None:
        self._site = site
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(len(site.entries))
        self._asked = [0] * len(site.entries)
        self._running = [
            self._pool.submit(self._ask, number)
            for number in range(len(site.entries))
        ]

    def stop(self) -> None:
        """Ends the callers; raises what any of them met."""
        self._stopped.set()
        for running in self._running:
            running.result()

    def wait_for_more(self) -> None:
        """Waits until each instance has answered five more requests."""
        wanted = [asked + 5 for asked in self._asked]
        sites.wait_until(
            lambda: all(
                asked >= least
                for asked, least in zip(self._asked, wanted, strict=True)
            )
        )

    def _ask(self, number: int) -> None:
        entry = self._site.entries[number]
        while not self._stopped.is_set():
            name = f"Caller {number} {self._asked[number]}"
            response, begun = streams.open_stream(
                self._site, entry, name, tokens=2
            )
            streams.check_whole(begun + streams.read_rest(response))
            self._asked[number] += 1


def count_asked(site: processes.Site, engine: processes.Program) -> int:
    """Returns how many requests the engine was sent, also refused ones."""
    runs = site.read_json(engine, "/runs")["total"]["count"]
    return runs + site.read_json(engine, "/refusals")["refused"]


def list_live(site: processes.Site) -> None:
    """Lets the platform's list go on to show every engine live."""
    listed = [
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
    told = site.pool.request("POST", url, json={"instances": listed})
    assert told.status < 300, told.data


def open_at(
    site: processes.Site, engine: processes.Program, tokens: int
) -> tuple[urllib3.BaseHTTPResponse, bytes]:
    """Returns a stream that this engine runs."""
    for number in range(20):
        before = site.read_json(engine, "/runs")["total"]["count"]
        opened = streams.open_stream(
            site, site.entries[0], f"Long {number}", tokens=tokens
        )
        if site.read_json(engine, "/runs")["total"]["count"] > before:
            return opened
    raise AssertionError("the engine got no request")


def watch_last_work(
    site: processes.Site, engine: processes.Program, callers: Callers
) -> float:
    """Returns after how many seconds the engine last got new work.

    It watches for twice the time allowed, while all instances are asked.
    """
    began = last = time.monotonic()
    asked = count_asked(site, engine)
    while time.monotonic() < began + 2 * LEAVING_S:
        callers.wait_for_more()
        now_asked = count_asked(site, engine)
        if now_asked > asked:
            asked, last = now_asked, time.monotonic()
    return last - began


@pytest.mark.parametrize("sign", ["engine", "operator"])
def test_a_leaving_endpoint_gets_no_new_work_after_three_seconds(
    site: processes.Site, sign: str
) -> None:
    list_live(site)
    leaving = site.engines[0]
    response, begun = open_at(site, leaving, tokens=400)
    callers = Callers(site)
    callers.wait_for_more()
    assert count_asked(site, leaving)
    if sign == "engine":
        site.set_faults(leaving, leaving=True)
    else:
        drained = site.operate(
            site.entries[1], "POST", "endpoints/runner-0/drain"
        )
        assert drained.status == 202, drained.data
    assert watch_last_work(site, leaving, callers) < LEAVING_S
    callers.stop()
    streams.check_whole(begun + streams.read_rest(response))


def test_half_of_the_instances_stop_at_once_and_cut_nothing_off(
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
        leaving[0], streams.COMPLETIONS, streams.ask_for("Tower")
    )
    sites.wait_until(lambda: not site.is_ready(leaving[1]))
    response, begun = streams.open_stream(site, staying[0], "Tower")
    streams.check_whole(begun + streams.read_rest(response))
    for response, begun in opened:
        streams.check_whole(begun + streams.read_rest(response))
    assert [entry.wait() for entry in leaving] == [0, 0]
    assert refused.status in (200, 503)
    if refused.status == 503:
        assert refused.headers["X-Outcome"] == "not_run"
    for name in ("entry-1", "entry-2"):
        sites.wait_until(
            lambda name=name: site.read_states(staying[0])[name] == "left"
        )


def test_instance_told_to_stop_while_the_platform_hangs_exits(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    response, begun = streams.open_stream(site, entry, "Tower 1")
    site.platform.freeze()
    entry.terminate()
    streams.check_whole(begun + streams.read_rest(response))
    assert entry.wait() == 0
