"""Settings in force under kills, outages and racing operators."""

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
    started.wait_until_met()
    yield started
    started.close()


def read_team(
    site: processes.Site, entry: processes.Program
) -> tuple[dict[str, object], str]:
    """Returns the team's subtree and its revision as a tag."""
    read = site.operate(entry, "GET", TEAM)
    assert read.status == 200, read.data
    return read.json(), read.headers["ETag"]


def write_class(
    site: processes.Site, entry: processes.Program, name: str, tag: str
) -> tuple[int, dict[str, object]]:
    """Adds a class to the team; returns the status and the answer."""
    team, _ = read_team(site, entry)
    team["classes"][name] = {"tier": 6}
    written = site.operate(
        entry,
        "PUT",
        TEAM,
        body=json.dumps(team).encode(),
        headers={"If-Match": tag},
    )
    return written.status, written.json()


def has_failed_to_read(site: processes.Site, entry: processes.Program) -> bool:
    """Returns whether a read of the settings has failed at the instance."""
    exposition = site.pool.request("GET", f"http://{entry.address}/metrics")
    return b"pollenfork_settings_read_failures_total{" in exposition.data


class Watch:
    """The revisions in force at an instance; they may only grow."""

    def __init__(self, site: processes.Site, entry: processes.Program) -> None:
        self._site = site
        self._entry = entry
        self.seen: list[int] = []

    def has(self, revision: int) -> bool:
        """Returns whether the revision is in force now."""
        self.seen.append(self._site.read_revision(self._entry))
        assert self.seen == sorted(self.seen)
        return self.seen[-1] == revision


@pytest.mark.parametrize("outage", ["refuses", "hangs"])
@pytest.mark.parametrize("begin", ["started", "restarted"])
def test_instance_without_the_platform_takes_the_settings_from_a_peer(
    site: processes.Site, outage: str, begin: str
) -> None:
    if outage == "hangs":
        site.platform.freeze()
    else:
        site.set_faults(site.platform, down=True)
    if begin == "started":
        entry = site.start_entry(ready=False)
    else:
        site.entries[1].kill()
        entry = site.restart_entry(site.entries[1])
    assert not site.is_ready(entry)
    refused = site.post(entry, streams.COMPLETIONS, streams.ask_for("Tower"))
    assert refused.status == 503
    assert refused.headers["X-Outcome"] == "not_run"
    site.wait_until_ready(entry)
    response, begun = streams.open_stream(site, entry, "Tower 1")
    streams.check_whole(begun + streams.read_rest(response))
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


def test_settings_written_at_one_instance_never_go_back_at_another(
    site: processes.Site,
) -> None:
    writer, other = site.entries
    _, tag = read_team(site, writer)
    lost = {"lose": "after_effect", "only": ["commit"], "times": 1}
    site.set_faults(site.platform, **lost)
    status, written = write_class(site, writer, "evening", tag)
    assert status == 200, written
    revision = written["revision"]
    watch = Watch(site, other)
    sites.wait_until(lambda: watch.has(revision), 16.0)
    site.set_faults(site.platform, down=True, lose=None, only=[], times=None)
    writer.kill()
    restarted = site.restart_entry(writer)
    again = Watch(site, restarted)
    sites.wait_until(lambda: again.has(revision))
    assert watch.has(revision)
    other.kill()
    second = site.restart_entry(other)
    sites.wait_until(lambda: Watch(site, second).has(revision))
    assert again.has(revision)
    site.set_faults(site.platform, down=False)
    # A write that follows shows that all read the table again.
    team, tag = read_team(site, restarted)
    assert "evening" in team["classes"]
    status, later = write_class(site, restarted, "night", tag)
    assert status == 200, later
    end = Watch(site, second)
    sites.wait_until(lambda: end.has(later["revision"]), 16.0)
    assert again.has(later["revision"])


def test_a_write_accepted_by_an_instance_killed_at_once_is_kept(
    site: processes.Site,
) -> None:
    writer, other = site.entries
    _, tag = read_team(site, writer)
    status, written = write_class(site, writer, "evening", tag)
    writer.kill()
    assert status == 200
    watch = Watch(site, other)
    sites.wait_until(lambda: watch.has(written["revision"]), 16.0)
    assert "evening" in read_team(site, other)[0]["classes"]


def test_of_two_operators_who_race_one_is_told_the_current_revision(
    site: processes.Site,
) -> None:
    _, tag = read_team(site, site.entries[0])
    names = ("evening", "night")
    with concurrent.futures.ThreadPoolExecutor(2) as both:
        racing = [
            both.submit(write_class, site, entry, name, tag)
            for entry, name in zip(site.entries, names, strict=True)
        ]
        ended = dict(zip(names, (r.result() for r in racing), strict=True))
    by_status = {status: name for name, (status, _) in ended.items()}
    assert by_status.keys() == {200, 412}
    won, lost = by_status[200], by_status[412]
    revision = ended[won][1]["revision"]
    assert ended[lost][1]["error"]["revision"] == revision
    loser = site.entries[names.index(lost)]
    watch = Watch(site, loser)
    sites.wait_until(lambda: watch.has(revision), 16.0)
    team, tag = read_team(site, loser)
    assert won in team["classes"]
    assert lost not in team["classes"]
    status, _ = write_class(site, loser, lost, tag)
    assert status == 200
    assert set(names) <= read_team(site, loser)[0]["classes"].keys()


def test_settings_of_a_frozen_instance_go_on_from_the_newest(
    site: processes.Site,
) -> None:
    frozen, writer = site.entries
    watch = Watch(site, frozen)
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
