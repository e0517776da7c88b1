"""Settings under kills, outages and concurrent writes."""

from collections.abc import Iterator
import concurrent.futures
import json
import pathlib

import pytest

from tests import processes
from tests import sites
from tests import streams

TEAM = "settings/teams/linework"


@pytest.fixture
def site(tmp_path: pathlib.Path) -> Iterator[processes.Site]:
    started = streams.start_site(tmp_path)
    started.wait_until_joined()
    yield started
    started.close()


def read_team(
    site: processes.Site, entry: processes.Program
) -> tuple[dict[str, object], str]:
    """Returns the team's subtree and its ETag."""
    read = site.call_operator(entry, "GET", TEAM)
    assert read.status == 200, read.data
    return read.json(), read.headers["ETag"]


def write_class(
    site: processes.Site, entry: processes.Program, name: str, tag: str
) -> tuple[int, dict[str, object]]:
    """Adds a class to the team; returns the status and the response."""
    team, _ = read_team(site, entry)
    team["classes"][name] = {"tier": 6}
    written = site.call_operator(
        entry,
        "PUT",
        TEAM,
        body=json.dumps(team).encode(),
        headers={"If-Match": tag},
    )
    return written.status, written.json()


def has_failed_to_read(site: processes.Site, entry: processes.Program) -> bool:
    """Returns whether the instance has failed to read the settings."""
    exposition = site.pool.request("GET", f"http://{entry.address}/metrics")
    return b"pollenfork_settings_read_failures_total{" in exposition.data


class RevisionWatch:
    """Watches an instance's revision in force, which must never decrease."""

    def __init__(self, site: processes.Site, entry: processes.Program) -> None:
        self._site = site
        self._entry = entry
        self.seen: list[int] = []

    def has(self, revision: int) -> bool:
        """Returns whether this revision is in force now."""
        self.seen.append(self._site.read_revision(self._entry))
        assert self.seen == sorted(self.seen)
        return self.seen[-1] == revision


@pytest.mark.parametrize("outage", ["refuses", "hangs"])
@pytest.mark.parametrize("start", ["started", "restarted"])
def test_instance_without_the_platform_fetches_settings_from_a_peer(
    site: processes.Site, outage: str, start: str
) -> None:
    if outage == "hangs":
        site.platform.freeze()
    else:
        site.set_faults(site.platform, down=True)
    if start == "started":
        entry = site.start_entry(ready=False)
    else:
        site.entries[1].kill()
        entry = site.restart_entry(site.entries[1])
    assert not site.is_ready(entry)
    refused = site.post(
        entry, streams.COMPLETIONS, streams.encode_body("Tower")
    )
    assert refused.status == 503
    assert refused.headers["X-Outcome"] == "not_run"
    site.wait_until_ready(entry)
    response, begun = streams.open_stream(site, entry, "Tower 1")
    streams.check_complete(begun + streams.read_rest(response))
    assert site.read_revision(entry) == site.read_revision(site.entries[0])


def test_instance_alone_without_the_platform_is_never_ready(
    site: processes.Site,
) -> None:
    for entry in site.entries:
        entry.kill()
    site.set_faults(site.platform, down=True)
    entry = site.restart_entry(site.entries[0])
    sites.wait_until(lambda: has_failed_to_read(site, entry))
    assert not site.is_ready(entry)
    site.set_faults(site.platform, down=False)
    site.wait_until_ready(entry)


def test_settings_written_at_one_instance_never_revert_at_another(
    site: processes.Site,
) -> None:
    writer, other = site.entries
    _, tag = read_team(site, writer)
    faults = {"lose": "after_effect", "only": ["commit"], "times": 1}
    site.set_faults(site.platform, **faults)
    status, written = write_class(site, writer, "evening", tag)
    assert status == 200, written
    revision = written["revision"]
    watch = RevisionWatch(site, other)
    sites.wait_until(lambda: watch.has(revision), 16.0)
    site.set_faults(site.platform, down=True, lose=None, only=[], times=None)
    writer.kill()
    restarted = site.restart_entry(writer)
    restarted_watch = RevisionWatch(site, restarted)
    sites.wait_until(lambda: restarted_watch.has(revision))
    assert watch.has(revision)
    other.kill()
    second = site.restart_entry(other)
    sites.wait_until(lambda: RevisionWatch(site, second).has(revision))
    assert restarted_watch.has(revision)
    site.set_faults(site.platform, down=False)
    # A later write shows that all instances read the table again.
    team, tag = read_team(site, restarted)
    assert "evening" in team["classes"]
    status, later = write_class(site, restarted, "night", tag)
    assert status == 200, later
    second_watch = RevisionWatch(site, second)
    sites.wait_until(lambda: second_watch.has(later["revision"]), 16.0)
    assert restarted_watch.has(later["revision"])


def test_a_write_accepted_by_an_instance_killed_at_once_is_kept(
    site: processes.Site,
) -> None:
    writer, other = site.entries
    _, tag = read_team(site, writer)
    status, written = write_class(site, writer, "evening", tag)
    writer.kill()
    assert status == 200
    watch = RevisionWatch(site, other)
    sites.wait_until(lambda: watch.has(written["revision"]), 16.0)
    assert "evening" in read_team(site, other)[0]["classes"]


def test_loser_of_two_racing_writes_gets_the_current_revision(
    site: processes.Site,
) -> None:
    _, tag = read_team(site, site.entries[0])
    names = ("evening", "night")
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        futures = [
            pool.submit(write_class, site, entry, name, tag)
            for entry, name in zip(site.entries, names, strict=True)
        ]
        results = dict(zip(names, (r.result() for r in futures), strict=True))
    by_status = {status: name for name, (status, _) in results.items()}
    assert by_status.keys() == {200, 412}
    winner_name, loser_name = by_status[200], by_status[412]
    revision = results[winner_name][1]["revision"]
    assert results[loser_name][1]["error"]["revision"] == revision
    loser = site.entries[names.index(loser_name)]
    watch = RevisionWatch(site, loser)
    sites.wait_until(lambda: watch.has(revision), 16.0)
    team, tag = read_team(site, loser)
    assert winner_name in team["classes"]
    assert loser_name not in team["classes"]
    status, _ = write_class(site, loser, loser_name, tag)
    assert status == 200
    assert set(names) <= read_team(site, loser)[0]["classes"].keys()


def test_resumed_instance_catches_up_with_the_newest_settings(
    site: processes.Site,
) -> None:
    frozen, writer = site.entries
    watch = RevisionWatch(site, frozen)
    watch.has(0)
    frozen.freeze()
    site.wait_until_lost(writer, "entry-1")
    _, tag = read_team(site, writer)
    status, written = write_class(site, writer, "evening", tag)
    assert status == 200
    frozen.thaw()
    sites.wait_until(lambda: watch.has(written["revision"]), 16.0)
    sites.wait_until(
        lambda: site.read_states(writer)["entry-1"] == "live", 16.0
    )
    frozen.terminate()
    assert frozen.wait() == 0
