"""Instances killed or frozen while they run what may run only once."""

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
    started.wait_until_met()
    yield started
    started.close()


def count_postings(site: processes.Site) -> int:
    return len(site.read_json(site.meters, "/runs"))


def read_counts(site: processes.Site) -> dict[str, object]:
    """Returns how often the platform was called."""
    return site.read_json(site.platform, "/counts")


def post(
    site: processes.Site, entry: processes.Program
) -> urllib3.BaseHTTPResponse:
    return site.post(entry, streams.POSTINGS, streams.POSTING, "k-1")


def check_repeats(site: processes.Site, entry: processes.Program) -> None:
    """Sends the posting again, twice; it never runs a second time."""
    for _ in range(2):
        before = count_postings(site)
        again = post(site, entry)
        after = count_postings(site)
        assert after <= 1
        if after > before:
            assert again.status == 201
        elif again.status == 201:
            assert before == 1
        else:
            assert again.headers["X-Outcome"] in ("unknown", "not_run")
            assert again.status in (409, 503)
    assert count_postings(site) <= 1


# What is slow, and what has happened when the instance is killed.
MOMENTS = {
    "before the claim's effect": ("claim", 0, 0),
    "while the service works": ("service", 0, 0),
    "after the service answered": ("record", 1, 1),
    "after the caller's answer": ("nothing", 1, 1),
}


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_posting_runs_once_whenever_its_instance_is_killed(
    site: processes.Site, moment: str
) -> None:
    slow, at_least, at_most = MOMENTS[moment]
    killed, other = site.entries
    if slow == "claim":
        site.set_faults(site.platform, delay_s=1.0, only=["commit"])
    else:
        site.set_faults(site.meters, delay_s=0.7)
    with concurrent.futures.ThreadPoolExecutor(1) as callers:
        posted = callers.submit(post, site, killed)
        if slow == "record":
            sites.wait_until(lambda: is_claimed(site))
            site.set_faults(
                site.platform, delay_s=2.0, only=["commit", "store"]
            )
        if slow == "service":
            sites.wait_until(lambda: has_arrived(site))
        sites.wait_until(lambda: count_postings(site) >= at_least)
        if slow == "nothing":
            assert posted.result().status == 201
        killed.kill()
        if slow != "nothing":
            with pytest.raises(urllib3.exceptions.HTTPError):
                posted.result()
    assert count_postings(site) <= at_most or slow == "service"
    site.set_faults(site.platform, delay_s=0.0)
    check_repeats(site, other)
    site.wait_until_lost(other, "entry-1")
    check_repeats(site, other)
    last = post(site, other)
    if last.status != 201:  # Nothing is left that is said to run.
        assert last.json()["error"]["code"] == "outcome_unknown"


def is_claimed(site: processes.Site) -> bool:
    """Returns whether the posting's record is in the table."""
    rows = site.read_json(site.platform, "/table/rows?prefix=ledger/")
    return bool(rows["rows"])


def has_arrived(site: processes.Site) -> bool:
    """Returns whether the service has been sent the posting."""
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
        check_repeats(site, entry)
    assert count_postings(site) == 1
