"""Instances find who acts for all, and tell it what began to run."""

import asyncio
import contextlib
import random

import result

from pollenfork import ids
from pollenfork.catalogue import messages as catalogue
from pollenfork.duties import messages
from pollenfork.duties.tests import world as worlds
from pollenfork.gateway import officer
from pollenfork.gateway import settings

ACCOUNT = ids.AccountId("a")
PAGE = 2  # Rows in an answer of the store.


class Loop:
    """A clock, and tasks that run at once."""

    def __init__(self, site: "Site") -> None:
        self._site = site

    def time(self) -> float:
        return self._site.now

    def create_task(self, work):
        with contextlib.suppress(StopIteration):
            work.send(None)
        return Done()


class Done:
    """A task that has ended."""

    def add_done_callback(self, call) -> None:
        pass

    def cancel(self) -> None:
        pass

    def done(self) -> bool:
        return True


class Store:
    """Carries what would be encoded as it is."""

    def __init__(self, site: "Site") -> None:
        self._site = site

    def write_range_ask(self, table, start):
        return ("read", start)

    def write_change(self, change):
        return change

    def read_rows(self, status, body):
        rows = self._site.rows.read()
        left = [row for row in rows.rows if row.key >= body]
        page = tuple(sorted(left, key=lambda row: row.key)[:PAGE])
        more = len(left) > PAGE
        return result.Ok(catalogue.Rows(page, rows.version, more))

    def read_changed(self, status, body):
        return body


class Cloud:
    """The platform's calls as they are."""

    def write(self, task):
        return task

    def read(self, status):
        return messages.Reply.DONE


class Instance:
    """One officer and its ways."""

    def __init__(self, site: "Site", number: int) -> None:
        self.site = site
        self.host = f"10.0.0.{number}"
        self.wall_off = 0.0
        self.reaches_store = True
        self.start()

    def start(self) -> None:
        self.alive = True
        address = settings.Address(self.host, 1)
        duties = settings.DutySettings(platform=address)
        told = settings.GatewaySettings(
            instance=ids.InstanceId(self.host),
            data_centre=ids.DataCentre("a"),
            front=address,
            readiness=address,
            store=address,
            duties=duties,
        )
        self.officer = officer.Officer(
            Loop(self.site),
            told,
            duties,
            Store(self.site),
            Cloud(),
            random.Random(f"{self.host} {self.site.now}"),
            lambda: self.site.now + self.wall_off,
        )
        self.officer._rows._client.call = self._call_store
        for client in self.officer._calls._clients.values():
            client.call = self._call_platform
        self.officer.join(self)

    @property
    def instances(self) -> int:
        return len(self.site.instances)

    def list_candidates(self) -> list[str]:
        return self.site.list_candidates(self)

    def tell(self, host, message) -> None:
        self.site.deliver(self.host, host, message)

    async def _call_store(self, request, timeout_s):
        if not self.reaches_store:
            return None
        if isinstance(request, tuple):
            return 200, request[1]
        return 200, self.site.change(request)

    async def _call_platform(self, task, timeout_s, before):
        if not self.site.platform_up:
            return None
        if self.site.now < before:
            self.site.told.append((self.site.now, self.host, task))
        return 200, b""


class Site:
    """Instances that know of each other, a store and a platform."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.now = 1000.0
        self.rng = random.Random(seed)
        self.rows = worlds.Store()
        self.told: list[tuple] = []
        self.first: dict[str, str] = {}
        self.loss = 0.0
        self.platform_up = True
        self.instances: list[Instance] = []
        self.instances = [Instance(self, n) for n in range(count)]

    def list_candidates(self, of: Instance) -> list[str]:
        hosts = [each.host for each in self.instances if each.alive]
        first = self.first.get(of.host, hosts[0])
        return [first, *(host for host in hosts if host != first)]

    def deliver(self, sender: str, host: str, message) -> None:
        for each in self.instances:
            lost = self.rng.random() < self.loss
            if each.host == host and each.alive and not lost:
                each.officer.hear(message, sender)

    def change(self, change):
        holder, *reports = change.written
        known = self.rows.rows.get(holder.key)
        if (known.version if known else 0) != holder.expected:
            return result.Err(worlds.changes.WriteFailure.CONFLICT)
        self.rows.version += 1
        for put in (holder, *reports):
            self.rows._put(put.key, put.value)
        for gone in change.removed:
            self.rows.rows.pop(gone.key, None)
        return result.Ok(self.rows.version)

    def run(self, seconds: float, begun_each: float = 0.0) -> int:
        """Lets time pass; returns the requests that began to run."""
        begun = 0
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            for each in self.instances:
                if not each.alive:
                    continue
                if self.rng.random() < begun_each:
                    each.officer.accounts.note_begun(ACCOUNT)
                    begun += 1
                each.officer.tick(self.now)
        return begun

    def count_told(self) -> int:
        """Returns the requests of all windows that were reported."""
        reports = {
            task.work.window: task.work.counts
            for _, _, task in self.told
            if isinstance(task.work, messages.Report)
        }
        return sum(counts.get(ACCOUNT, 0) for counts in reports.values())


def play(check) -> None:
    async def run() -> None:
        check()

    asyncio.run(run())


def test_all_that_began_is_reported_though_views_of_who_is_first_differ() -> (
    None
):
    def check() -> None:
        site = Site(12)
        for number, each in enumerate(site.instances):
            site.first[each.host] = site.instances[number % 4].host
        site.run(8.0)
        begun = site.run(20.0, begun_each=0.4)
        site.run(10.0)
        assert site.count_told() == begun

    play(check)


# What was seen: reports held the holder's own counts alone, one in 76. How it
# came about: the others told whoever they thought should act, which knew of no
# holder and told nobody. Cause: it read the holder's row, again and again, and
# didn't take its word. Proof: on a played day 20 of 1,374 requests were
# counted.
def test_who_is_asked_first_learns_of_the_holder_from_its_row() -> None:
    def check() -> None:
        site = Site(5)
        late = site.instances[0]
        late.alive = False
        site.run(8.0)
        late.start()
        for each in site.instances:
            site.first[each.host] = late.host
        begun = site.run(20.0, begun_each=0.4)
        site.run(10.0)
        assert site.count_told() == begun

    play(check)


def test_lost_words_lose_no_count() -> None:
    def check() -> None:
        site = Site(9, seed=3)
        site.loss = 0.2
        site.run(8.0)
        begun = site.run(30.0, begun_each=0.4)
        site.run(10.0)
        assert site.count_told() >= 0.99 * begun

    play(check)


def test_a_holder_that_starts_anew_is_told_all() -> None:
    def check() -> None:
        site = Site(9)
        site.run(8.0)
        begun = site.run(9.0, begun_each=0.4)
        holder = next(
            each
            for each in site.instances
            if each.officer.office.holds(site.now)
        )
        own = sum(
            sum(each.counts.values())
            for each in holder.officer.accounts._tallies.list_all()
        )
        holder.start()
        begun += site.run(9.0, begun_each=0.4)
        site.run(12.0)
        assert begun - own <= site.count_told() <= begun

    play(check)


def test_clocks_that_are_wrong_move_no_window() -> None:
    def check() -> None:
        site = Site(9)
        for each in site.instances[:3]:
            each.wall_off = 2.4
        site.run(8.0)
        site.told.clear()
        site.run(20.0, begun_each=0.4)
        for moment, _, task in site.told:
            end = (task.work.window + 1) * 5.0
            assert 0.2 < moment - end < 3.0

    play(check)


def test_one_that_reaches_the_store_acts_where_the_first_cannot() -> None:
    def check() -> None:
        site = Site(9)
        site.run(8.0)
        holder = next(
            each
            for each in site.instances
            if each.officer.office.holds(site.now)
        )
        holder.reaches_store = False
        site.run(9.0)
        others = [
            each
            for each in site.instances
            if each is not holder and each.officer.office.holds(site.now)
        ]
        assert len(others) == 1

    play(check)


# What was seen: two windows were reported too late, 10 and 15 s after their
# end. How it came about: the store turned the holder away for 8 s, and a third
# of the others; who could reach it claimed by a version of the row that it had
# read long before, failed, and only then waited for the lease. Cause: a row
# read at any time before was taken for the present one, and a holder that
# couldn't write said to the end that it holds. Proof: the log of a played day.
def test_a_holder_that_is_turned_away_is_replaced_before_a_report_is_due() -> (
    None
):
    def check() -> None:
        site = Site(9)
        site.run(8.0)
        holder = find_holder(site)
        for each in site.instances:
            each.officer.office._read_at = -1.0  # All read it long ago.
        for each in (holder, *site.instances[1:3]):
            each.reaches_store = False
        begun = site.now
        site.run(9.0)
        told = [at for at, host, _ in site.told if host != holder.host]
        assert told and min(told) - begun < 8.0

    play(check)


def test_a_next_holder_reads_reports_over_several_answers() -> None:
    def check() -> None:
        site = Site(5)
        site.run(8.0)
        site.platform_up = False
        begun = site.run(25.0, begun_each=0.4)
        holder = find_holder(site)
        assert len(holder.officer.office.agenda.frozen) > PAGE
        holder.alive = False
        site.platform_up = True
        site.run(20.0)
        own = sum(
            sum(each.counts.values())
            for each in holder.officer.accounts._tallies.list_all()
        )
        assert begun - own <= site.count_told() <= begun

    play(check)


def find_holder(site: Site) -> Instance:
    return next(
        each for each in site.instances if each.officer.office.holds(site.now)
    )
