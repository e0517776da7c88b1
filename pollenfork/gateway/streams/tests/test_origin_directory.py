"""Instances that tell and ask each other where streams began."""

import asyncio

import msgspec
import pytest

from pollenfork import ids
from pollenfork.fleet import continuity
from pollenfork.fleet import model
from pollenfork.fleet import registry
from pollenfork.fleet import signs
from pollenfork.gateway.streams import origin_directory
from pollenfork.gateway.tests import support
from pollenfork.streams import version_records

SERVICE = support.SERVICE
DIGEST = ids.RequestDigest(77)
STREAM = origin_directory.StreamKey(ids.AttemptId("4f2a"), DIGEST)
OTHER_STREAM = origin_directory.StreamKey(
    ids.AttemptId("other"), ids.RequestDigest(78)
)
UNNAMED = origin_directory.StreamKey(ids.AttemptId(""), DIGEST)
Lookup = origin_directory.Lookup
Verdict = version_records.Verdict


def make_runner(version: str, name: str = "r", start: int = 1) -> model.Runner:
    return model.Runner(
        id=ids.EndpointId(name),
        service=SERVICE,
        host="10.9.0.1",
        port=80,
        data_centre=ids.DataCentre("a"),
        slots=4,
        leaving=False,
        cold_s=0.0,
        start=ids.RunnerStart(start),
        version=ids.SoftwareVersion(version),
    )


class Records:
    """Records all versions at once, and finds what a test tells it."""

    def __init__(self) -> None:
        self.finding = version_records.Finding(Verdict.UNKNOWN)

    def observe(self, runners) -> None:
        pass

    def note(self, service, version) -> None:
        pass

    def is_recorded(self, service, version) -> bool:
        return True

    async def wait_until_recorded(self, service) -> bool:
        return True

    def record_begun(self, stream, service, version) -> None:
        pass

    def is_listed_unknown(self, stream) -> bool:
        return True

    def correct(self, stream, version) -> None:
        pass

    def record_ended(self, stream) -> None:
        pass

    async def find(self, stream, service) -> version_records.Finding:
        return self.finding


class Site:
    """Six instances in three data centres, and who can't be reached."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.members = {
            centre: [f"{centre}1", f"{centre}2"] for centre in "abc"
        }
        self.lost: set[str] = set()
        self.sent = 0
        self.records = Records()
        self.runners = {}
        self.judged = {}
        self.instances = {}
        for centre, hosts in self.members.items():
            for host in hosts:
                self.runners[host] = registry.Registry()
                self.judged[host] = continuity.Continuity(
                    self.runners[host], 5.0
                )
                made = origin_directory.OriginDirectory(
                    loop,
                    self.runners[host],
                    host,
                    ids.DataCentre(centre),
                    self.judged[host],
                    self.records,
                )
                made.join(Link(self, host))
                self.instances[host] = made

    def list(self, *runners: model.Runner) -> None:
        for known in self.runners.values():
            for runner in runners:
                known.put(runner)

    async def find(self, host: str, stream=STREAM):
        return await self.instances[host].find(stream, SERVICE)


class Link:
    """One instance's way to the others."""

    def __init__(self, site: Site, host: str) -> None:
        self.site = site
        self.host = host

    def list_members(self):
        return self.site.members

    def send(self, host, message) -> None:
        self.site.sent += 1
        if not {host, self.host} & self.site.lost:
            receiver = self.site.instances[host]
            loop = asyncio.get_running_loop()
            loop.call_soon(receiver.receive, message, self.host)


def run(scenario):
    async def play():
        return await scenario(Site())

    return asyncio.run(play())


# Guards against streams that go on at another version at an instance that
# never served the attempt that began them.
@pytest.mark.parametrize("host", ["a1", "a2", "b1", "b2", "c1", "c2"])
def test_any_instance_knows_the_version_though_the_beginner_is_killed(
    host,
) -> None:
    async def scenario(site):
        site.list(make_runner("v1"), make_runner("v2", "other"))
        beginner = "b2" if host == "a1" else "a1"
        site.instances[beginner].record_begun(STREAM, make_runner("v1"), 3.0)
        await asyncio.sleep(0)
        site.lost.add(beginner)
        return await site.find(host)

    found = run(scenario)
    assert found.version == "v1"
    assert found.lookup in (Lookup.HERE, Lookup.PEER)


def test_an_instance_that_has_just_started_asks_the_others() -> None:
    async def scenario(site):
        site.instances["a1"].record_begun(STREAM, make_runner("v1"), 3.0)
        await asyncio.sleep(0)
        fresh = origin_directory.OriginDirectory(
            asyncio.get_running_loop(),
            site.runners["c1"],
            "c1",
            ids.DataCentre("c"),
        )
        fresh.join(Link(site, "c1"))
        site.instances["c1"] = fresh
        return await site.find("c1")

    assert run(scenario).version == "v1"


def test_an_instance_that_is_cut_off_does_not_guess() -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        site.lost.add("c2")
        site.instances["a1"].record_begun(STREAM, make_runner("v1"), 3.0)
        return await site.find("c2")

    assert not run(scenario).is_known


def test_a_data_centre_that_is_cut_off_knows_its_own_streams() -> None:
    async def scenario(site):
        site.lost.update(("a1", "a2", "b1", "b2"))
        site.instances["c1"].record_begun(STREAM, make_runner("v1"), 3.0)
        await asyncio.sleep(0)
        return await site.find("c2")

    assert run(scenario).version == "v1"


# Guards against taking what is absent for proof: an instance that had just
# started took the only version that it had seen for that of all streams.
def test_a_stream_nobody_knows_goes_on_only_where_the_records_prove_it() -> (
    None
):
    async def scenario(site):
        site.list(make_runner("v1"))
        unproven = await site.find("a1")
        site.records.finding = version_records.Finding(Verdict.ONLY, "v1")
        only = await site.find("a1")
        site.lost.add("a1")
        cut_off = await site.find("a1")
        site.records.finding = version_records.Finding(Verdict.LISTED, "v1")
        return unproven, only, cut_off, await site.find("a1")

    unproven, only, cut_off, listed = run(scenario)
    assert not unproven.is_known
    assert (only.version, only.lookup) == ("v1", Lookup.ONLY_VERSION)
    assert not cut_off.is_known
    assert (listed.version, listed.lookup) == ("v1", Lookup.RECORD)


# Guards against a runner that has restarted with another version by the time
# that its first event arrives, or whose entry tells of it only afterwards.
def test_what_a_restarted_runner_began_is_not_known() -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        began = site.instances["a1"].record_begun(
            STREAM, make_runner("v1"), 3.0
        )
        await asyncio.sleep(0)
        site.list(make_runner("v2", start=2))
        await asyncio.sleep(0)
        late = site.instances["b1"].record_begun(
            OTHER_STREAM, make_runner("v1"), 3.0
        )
        return began, late, [await site.find(host) for host in site.instances]

    began, late, found = run(scenario)
    assert began == "v1"
    assert late == ""
    assert not any(each.is_known for each in found)


def test_a_stream_of_another_service_goes_on_at_any_version() -> None:
    async def scenario(site):
        other = support.ids.ServiceName("other")
        site.instances["a1"].record_begun(STREAM, make_runner("v1"), 3.0)
        await asyncio.sleep(0)
        return await site.instances["b1"].find(STREAM, other)

    found = run(scenario)
    assert found.is_known
    assert found.version is None
    assert found.lookup is Lookup.OTHER_SERVICE


# Guards against a stream that moves to another service and there goes on at two
# versions: the instance that began it knew nothing of its second service.
def test_a_stream_that_went_on_at_a_service_keeps_to_its_version_there() -> (
    None
):
    async def scenario(site):
        other = support.ids.ServiceName("other")
        moved = msgspec.structs.replace(make_runner("v7"), service=other)
        beginner = site.instances["a1"]
        beginner.record_begun(STREAM, make_runner("v1"), 3.0)
        await asyncio.sleep(0)
        site.instances["b1"].record_begun(STREAM, moved, 3.0)
        await asyncio.sleep(0)
        return [
            await each.find(STREAM, other) for each in site.instances.values()
        ]

    assert {each.version for each in run(scenario)} == {"v7"}


def test_a_stream_that_begins_costs_four_messages_at_most() -> None:
    async def scenario(site):
        site.instances["a1"].record_begun(STREAM, make_runner("v1"), 3.0)
        return site.sent

    assert run(scenario) <= 4


# Guards against refusing callers that don't name the attempt that began their
# stream.
def test_a_caller_that_names_no_attempt_is_known_by_its_request() -> None:
    async def scenario(site):
        site.instances["a1"].record_begun(STREAM, make_runner("v1"), 3.0)
        await asyncio.sleep(0)
        return [await site.find(host, UNNAMED) for host in site.instances]

    assert {each.version for each in run(scenario)} == {"v1"}


def test_a_request_that_began_streams_of_two_versions_is_ambiguous() -> None:
    async def scenario(site):
        site.list(make_runner("v1"), make_runner("v2", "other"))
        again = origin_directory.StreamKey(ids.AttemptId("again"), DIGEST)
        site.instances["a1"].record_begun(STREAM, make_runner("v1"), 3.0)
        site.instances["a1"].record_begun(
            again, make_runner("v2", "other"), 3.0
        )
        await asyncio.sleep(0)
        return [
            await site.find("b1", stream) for stream in (UNNAMED, STREAM, again)
        ]

    unnamed, first, second = run(scenario)
    assert not unnamed.is_known
    assert (first.version, second.version) == ("v1", "v2")


def made_at(seconds: float) -> signs.ConnectionTimes:
    """Returns the times of a connection; runners start at 0.001 s."""
    return signs.ConnectionTimes(seconds, seconds)


# Guards against telling the old version of a runner that may have restarted,
# and against never telling the version that its entry shows later.
def test_a_version_that_is_not_known_yet_is_told_once_it_is() -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        runner = make_runner("v1")
        site.judged["a1"].record_closed(runner.id, made_at(1.0), 2.0)
        began = site.instances["a1"].record_begun(
            STREAM, runner, 3.0, made_at(3.0)
        )
        await asyncio.sleep(0)
        early = [await site.find(host) for host in site.instances]
        site.list(make_runner("v2", start=2500))
        await asyncio.sleep(0)
        return began, early, [await site.find(host) for host in site.instances]

    began, early, found = run(scenario)
    assert began == ""
    assert not any(each.is_known for each in early)
    assert {each.version for each in found} == {"v2"}


# Guards against withdrawing what a runner began before it ended: these are the
# streams that its end breaks and that callers take up.
def test_what_a_runner_began_before_it_restarted_stays_known() -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        site.instances["a1"].record_begun(
            STREAM, make_runner("v1"), 3.0, made_at(1.0)
        )
        site.judged["a1"].record_closed(make_runner("v1").id, made_at(1.0), 2.0)
        site.list(make_runner("v2", start=2500))
        await asyncio.sleep(0)
        return [await site.find(host) for host in site.instances]

    assert {each.version for each in run(scenario)} == {"v1"}


# Guards against a restart that shows no sign before a stream has begun.
def test_what_a_new_process_began_unnoticed_is_withdrawn() -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        began = site.instances["a1"].record_begun(
            STREAM, make_runner("v1"), 3.0, made_at(3.0)
        )
        await asyncio.sleep(0)
        site.list(make_runner("v2", start=2500))
        await asyncio.sleep(0)
        return began, [await site.find(host) for host in site.instances]

    began, found = run(scenario)
    assert began == "v1"
    assert not any(each.is_known for each in found)


# Guards against an answer that goes on with a stream from a process that turns
# out to be another one than the entry told.
@pytest.mark.parametrize(("connected", "ends"), [(1.0, 0), (3.0, 1)])
def test_an_answer_of_another_version_is_ended(connected, ends) -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        ended = []
        site.instances["a1"].follow(
            make_runner("v1"),
            made_at(connected),
            ids.SoftwareVersion("v1"),
            lambda: False,
            lambda: ended.append(1),
        )
        site.list(make_runner("v2", start=2500))
        return len(ended)

    assert run(scenario) == ends


def test_an_answer_that_is_over_is_not_ended() -> None:
    async def scenario(site):
        site.list(make_runner("v1"))
        ended = []
        site.instances["a1"].follow(
            make_runner("v1"),
            made_at(3.0),
            ids.SoftwareVersion("v1"),
            lambda: True,
            lambda: ended.append(1),
        )
        site.list(make_runner("v2", start=2500))
        return ended

    assert run(scenario) == []
