"""Killed, frozen and failing processes of a site."""

from collections.abc import Iterator
import pathlib

import pytest
import urllib3

from tests import processes
from tests import streams


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[processes.Site]:
    started = streams.start_site(tmp_path)
    yield started
    started.close()


def find_runner(site: processes.Site) -> processes.Program:
    """Returns the engine that is running the only request."""
    running = [
        engine
        for engine in site.engines
        if site.read_json(engine, "/runs")["requests"]
    ]
    assert len(running) == 1
    return running[0]


def test_stopped_instance_ends_its_streams_whole(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    opened = [streams.open_stream(site, entry, f"Tower {n}") for n in range(8)]
    entry.terminate()
    for response, begun in opened:
        streams.check_complete(begun + streams.read_rest(response))
    assert entry.wait() == 0


def test_stopping_instance_refuses_new_work_as_not_run(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    response, begun = streams.open_stream(site, entry, "Tower 1")
    entry.terminate()
    retries = urllib3.Retry(
        total=200, backoff_factor=0.02, backoff_max=0.02, status_forcelist=[200]
    )
    url = f"http://{entry.address}/readyz"
    ready = site.pool.request("GET", url, retries=retries)
    assert ready.status == 503
    refused = site.post(
        entry, streams.COMPLETIONS, streams.encode_body("Tower 2")
    )
    assert refused.status == 503
    assert refused.headers["X-Outcome"] == "not_run"
    assert refused.json()["error"]["code"] == "stopping"
    streams.check_complete(begun + streams.read_rest(response))
    assert entry.wait() == 0


def test_killed_instance_leaves_the_others_serving(
    site: processes.Site,
) -> None:
    killed, other = site.entries
    response, _ = streams.open_stream(site, killed, "Tower 1")
    killed.kill()
    with pytest.raises(urllib3.exceptions.HTTPError):
        streams.read_rest(response)
    response, begun = streams.open_stream(site, other, "Tower 1")
    streams.check_complete(begun + streams.read_rest(response))


def test_posting_whose_instance_was_killed_never_runs_again(
    site: processes.Site,
) -> None:
    site.set_faults(site.meters, delay_s=1.0)
    killed, other = site.entries
    with pytest.raises(urllib3.exceptions.HTTPError):
        site.post(killed, streams.POSTINGS, streams.POSTING, "k-1", timeout=0.5)
    killed.kill()
    retry = site.post(other, streams.POSTINGS, streams.POSTING, "k-1")
    assert retry.status == 409
    assert retry.headers["X-Outcome"] == "unknown"
    assert len(site.read_json(site.meters, "/runs")) <= 1


def test_stream_of_a_killed_engine_is_continued_elsewhere(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    response, begun = streams.open_stream(site, entry, "Tower 1")
    find_runner(site).kill()
    streams.check_complete(begun + streams.read_rest(response))


def test_stream_of_a_frozen_engine_is_continued_elsewhere(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    response, begun = streams.open_stream(site, entry, "Tower 1")
    find_runner(site).freeze()
    streams.check_complete(begun + streams.read_rest(response))


def test_request_at_an_engine_frozen_before_its_head_runs_elsewhere(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    site.engines[0].freeze()
    opened = [streams.open_stream(site, entry, f"Tower {n}") for n in range(2)]
    for response, begun in opened:
        streams.check_complete(begun + streams.read_rest(response))


def test_frozen_platform_stops_only_what_needs_a_record(
    site: processes.Site,
) -> None:
    entry = site.entries[0]
    site.platform.freeze()
    response, begun = streams.open_stream(site, entry, "Tower 1")
    streams.check_complete(begun + streams.read_rest(response))
    refused = site.post(entry, streams.POSTINGS, streams.POSTING, "k-1")
    assert refused.status == 503
    assert refused.headers["X-Outcome"] == "not_run"
    assert not site.read_json(site.meters, "/runs")
    site.platform.thaw()
    retries = urllib3.Retry(
        total=10, allowed_methods=None, status_forcelist=[503]
    )
    recorded = site.post(
        entry, streams.POSTINGS, streams.POSTING, "k-2", retries=retries
    )
    assert recorded.status == 201
