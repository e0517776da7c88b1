"""The operator API's views of a complete site."""

from collections.abc import Iterator
import threading
import time

import pytest
import urllib3

from pollenfork import clock
from pollenfork.standin.engine import config
from pollenfork.standin.engine import front
from tests import sites

LIMIT_S = 20.0


@pytest.fixture
def site() -> Iterator[sites.Site]:
    settings = config.EngineConfig(models=("lines",))
    engine = front.EngineStandin(settings, clock.SystemClock())
    started = sites.Site()
    started.write_tree(sites.make_tree([engine.start()]))
    yield started
    started.stop()
    engine.stop()


def read(site: sites.Site, index: int, path: str) -> object:
    url = f"http://{site.entries[index].address}/operator/{path}"
    headers = {"Authorization": f"Bearer {sites.OPERATOR}"}
    return urllib3.request("GET", url, headers=headers).json()


def wait_until(condition: object) -> None:
    assert callable(condition)
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < deadline
        threading.Event().wait(0.05)


def test_each_instance_lists_all_instances(site: sites.Site) -> None:
    first = site.start_entry("entry-1")
    site.start_entry("entry-2", peers=(first.membership.address,))

    def read_live(index: int) -> list[tuple[str, int]]:
        status = read(site, index, "status")
        return sorted(
            (each["instance"], each["revision"])
            for each in status["instances"]
            if each["state"] == "live"
        )

    expected = [("entry-1", 1), ("entry-2", 1)]
    wait_until(lambda: read_live(0) == expected and read_live(1) == expected)


def test_endpoints_show_their_reports_and_a_drain(site: sites.Site) -> None:
    entry = site.start_entry()

    def read_live() -> dict[str, object]:
        return read(site, 0, "endpoints")["endpoints"][0]["live"] or {}

    wait_until(lambda: read_live().get("state") == "live")
    wait_until(lambda: read_live().get("report_age_s") is not None)
    url = f"http://{entry.address}/operator/endpoints/runner-0/drain"
    headers = {"Authorization": f"Bearer {sites.OPERATOR}"}
    assert urllib3.request("POST", url, headers=headers).status < 300
    wait_until(lambda: read_live().get("state") == "leaving")
