"""Instances killed or frozen while they run a non-idempotent request."""

from collections.abc import Iterator
import concurrent.futures
import pathlib

import pytest
import urllib3

from tests import processes
from tests import sites
from tests import streams


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[processes.Site]:
    started = streams.start_site(tmp_path)
    started.wait_until_joined()
    yield started
    started.close()


def count_postings(site: processes.Site) -> int:
    return len(site.read_json(site.meters, "/runs"))


def read_counts(site: processes.Site) -> dict[str, object]:
    """Returns the platform's call counts."""
    return site.read_json(site.platform, "/counts")


def post(
    site: processes.Site, entry: processes.Program
) -> urllib3.BaseHTTPResponse:
    return site.post(entry, streams.POSTINGS, streams.POSTING, "k-1")


def check_retries(site: processes.Site, entry: processes.Program) -> None:
    """Retries the posting twice; it must never run a second time."""
    for _ in range(2):
        before = count_postings(site)
        retry = post(site, entry)
        after = count_postings(site)
        assert after <= 1
        if after > before:
            assert retry.status == 201
        elif retry.status == 201:
            assert before == 1
        else:
            assert retry.headers["X-Outcome"] in ("unknown", "not_run")
            assert retry.status in (409, 503)
    assert count_postings(site) <= 1


# What is delayed, and the minimum and maximum postings run at the kill.
KILL_POINTS = {
    "before the claim's effect": ("claim", 0, 0),
    "while the service works": ("service", 0, 0),
    "after the service answered": ("record", 1, 1),
    "after the caller's answer": ("nothing", 1, 1),
}


@pytest.mark.parametrize("kill_point", KILL_POINTS)
def test_a_posting_runs_once_whenever_its_instance_is_killed(
    site: processes.Site, kill_point: str
) -> None:
    delayed, at_least, at_most = KILL_POINTS[kill_point]
    killed, other = site.entries
    if delayed == "claim":
        site.set_faults(site.platform, delay_s=1.0, only=["commit"])
    else:
        site.set_faults(site.meters, delay_s=0.7)
    with concurrent.futures.ThreadPoolExecutor(1) as callers:
        posted = callers.submit(post, site, killed)
        if delayed == "record":
            sites.wait_until(lambda: is_claimed(site))
            site.set_faults(
                site.platform, delay_s=2.0, only=["commit", "store"]
            )
        if delayed == "service":
            sites.wait_until(lambda: has_arrived(site))
        sites.wait_until(lambda: count_postings(site) >= at_least)
        if delayed == "nothing":
            assert posted.result().status == 201
        killed.kill()
        if delayed != "nothing":
            with pytest.raises(urllib3.exceptions.HTTPError):
                posted.result()
    assert count_postings(site) <= at_most or delayed == "service"
    site.set_faults(site.platform, delay_s=0.0)
    check_retries(site, other)
    site.wait_until_lost(other, "entry-1")
    check_retries(site, other)
    last = post(site, other)
    if last.status != 201:  # No request is reported as running.
        assert last.json()["error"]["code"] == "outcome_unknown"


def is_claimed(site: processes.Site) -> bool:
    """Returns whether the table holds the posting's record."""
    rows = site.read_json(site.platform, "/table/rows?prefix=ledger/")
    return bool(rows["rows"])


def has_arrived(site: processes.Site) -> bool:
    """Returns whether the service has received the posting."""
    arrivals = site.read_json(site.meters, "/arrivals")
    return arrivals > 0


def test_a_posting_of_a_frozen_instance_runs_once(
    site: processes.Site,
) -> None:
    frozen, other = site.entries
    site.set_faults(site.meters, delay_s=1.0)
    with concurrent.futures.ThreadPoolExecutor(1) as callers:
        posted = callers.submit(post, site, frozen)
        sites.wait_until(lambda: has_arrived(site))
        frozen.freeze()
        running = post(site, other)
        assert running.json()["error"]["code"] == "idempotent_request_running"
        site.wait_until_lost(other, "entry-1")
        unknown = post(site, other)
        assert unknown.status == 409
        assert unknown.json()["error"]["code"] == "outcome_unknown"
        sites.wait_until(lambda: count_postings(site) > 0)
        assert count_postings(site) == 1
        frozen.thaw()
        assert posted.result().status == 201
    sites.wait_until(lambda: site.read_states(other)["entry-1"] == "live")
    for entry in site.entries:
        check_retries(site, entry)
    assert count_postings(site) == 1
