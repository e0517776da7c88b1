"""What operators see, over a whole site."""

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


def wait_for(condition: object) -> None:
    assert callable(condition)
    end = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end
        threading.Event().wait(0.05)


def test_status_shows_every_instance_at_each(site: sites.Site) -> None:
    first = site.start_entry("entry-1")
    site.start_entry("entry-2", peers=(first.membership.address,))

    def see(index: int) -> list[tuple[str, int]]:
        status = read(site, index, "status")
        return sorted(
            (each["instance"], each["revision"])
            for each in status["instances"]
            if each["state"] == "live"
        )

    both = [("entry-1", 1), ("entry-2", 1)]
    wait_for(lambda: see(0) == both and see(1) == both)


def test_endpoints_show_their_reports_and_a_drain(site: sites.Site) -> None:
    entry = site.start_entry()

    def see() -> dict[str, object]:
        return read(site, 0, "endpoints")["endpoints"][0]["live"] or {}

    wait_for(lambda: see().get("state") == "live")
    wait_for(lambda: see().get("report_age_s") is not None)
    url = f"http://{entry.address}/operator/endpoints/runner-0/drain"
    headers = {"Authorization": f"Bearer {sites.OPERATOR}"}
    assert urllib3.request("POST", url, headers=headers).status < 300
    wait_for(lambda: see().get("state") == "leaving")
