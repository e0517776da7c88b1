"""Registry entries of restarting, leaving and expiring runners."""

import random

from hypothesis import stateful
from hypothesis import strategies

from pollenfork import ids
from pollenfork.fleet import choice
from pollenfork.fleet import model
from pollenfork.fleet import registry


def make_runner(name: str, service: str = "s", **given) -> model.Runner:
    fields = {
        "host": "127.0.0.1",
        "port": 1,
        "data_centre": ids.DataCentre("a"),
        "slots": 4,
        "leaving": False,
        "cold_s": 0.0,
    }
    return model.Runner(
        id=ids.EndpointId(name),
        service=ids.ServiceName(service),
        **{**fields, **given},
    )


def list_accepting(runners: registry.Registry, service: str = "s") -> list[str]:
    return [
        each.id for each in runners.list_accepting(ids.ServiceName(service))
    ]


def test_a_leaving_runner_accepts_no_work_and_is_announced_once() -> None:
    runners, gone = registry.Registry(), []
    runners.when_gone(gone.append)
    runners.put(make_runner("r"))
    assert list_accepting(runners) == ["r"]
    runners.put(make_runner("r", leaving=True))
    runners.put(make_runner("r", leaving=True))
    assert list_accepting(runners) == []
    assert gone == ["r"]


def test_a_removed_runner_is_gone_at_once() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r"))
    runners.remove(ids.EndpointId("r"), now=10.0)
    assert list_accepting(runners) == []
    assert runners.size == 0


def test_an_entry_that_expired_while_the_store_was_down_is_kept_a_while() -> (
    None
):
    runners = registry.Registry()
    runners.put(make_runner("r"))
    runners.keep_removed_until(12.0)
    runners.remove(ids.EndpointId("r"), now=10.5)
    assert list_accepting(runners) == ["r"]
    runners.expire(now=11.9)
    assert list_accepting(runners) == ["r"]
    runners.expire(now=12.1)
    assert list_accepting(runners) == []


def test_an_expired_entry_that_is_renewed_stays() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r"))
    runners.keep_removed_until(12.0)
    runners.remove(ids.EndpointId("r"), now=10.5)
    runners.put(make_runner("r"))
    runners.expire(now=20.0)
    assert list_accepting(runners) == ["r"]


def test_the_entry_of_a_leaving_runner_is_not_kept() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", leaving=True))
    runners.keep_removed_until(12.0)
    runners.remove(ids.EndpointId("r"), now=10.5)
    assert runners.size == 0


def test_a_new_runner_at_the_same_address_is_independent() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r1", "s"))
    runners.put(make_runner("r2", "t"))
    runners.remove(ids.EndpointId("r1"), now=5.0)
    assert list_accepting(runners, "s") == []
    assert list_accepting(runners, "t") == ["r2"]


PutResult = registry.PutResult


def test_a_later_start_under_the_same_id_is_a_restart() -> None:
    runners, gone, restarted = registry.Registry(), [], []
    runners.when_gone(gone.append)
    runners.when_restarted(restarted.append)
    assert runners.put(make_runner("r", start=100)) is PutResult.TAKEN
    assert runners.put(make_runner("r", start=100)) is PutResult.TAKEN
    assert gone == []
    again = make_runner("r", start=200)
    assert runners.put(again) is PutResult.RESTARTED
    assert (gone, restarted) == (["r"], [again])
    assert list_accepting(runners) == ["r"]


def test_an_earlier_start_never_replaces_a_later_one() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", start=200))
    late = make_runner("r", start=100, leaving=True)
    assert runners.put(late) is PutResult.OUTDATED
    assert list_accepting(runners) == ["r"]
    runners.remove(ids.EndpointId("r"), now=5.0)
    assert runners.put(make_runner("r", start=100)) is PutResult.OUTDATED
    assert list_accepting(runners) == []
    assert runners.put(make_runner("r", start=200)) is PutResult.TAKEN


def test_a_runner_that_left_and_restarted_accepts_work_at_once() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", start=100, leaving=True))
    assert runners.put(make_runner("r", start=200)) is PutResult.RESTARTED
    assert list_accepting(runners) == ["r"]


def test_a_start_that_a_runner_reports_itself_precedes_its_entry() -> None:
    runners, gone = registry.Registry(), []
    runners.when_gone(gone.append)
    runner = ids.EndpointId("r")
    runners.put(make_runner("r", start=100))
    assert runners.record_start(runner, 200) is PutResult.RESTARTED
    assert runners.find(runner).start == 200 and gone == ["r"]
    # Its entry adds nothing new then, and the earlier one is outdated.
    assert runners.put(make_runner("r", start=200)) is PutResult.TAKEN
    assert runners.put(make_runner("r", start=100)) is PutResult.OUTDATED
    assert runners.record_start(runner, 100) is PutResult.OUTDATED
    assert gone == ["r"]


# Guards against believing a start in the future: all later true starts, of
# entries too, counted as earlier then, and the runner was never used again.
def test_a_start_in_the_future_does_not_outdate_the_true_ones() -> None:
    now_s = 1_000.0
    runners, gone, restarted = registry.Registry(lambda: now_s), [], []
    runners.when_gone(gone.append)
    runners.when_restarted(restarted.append)
    runner = ids.EndpointId("r")
    runners.put(make_runner("r", start=900_000))
    for start in (1_000_101, 2_000_000, 253_402_300_799_999):
        named = ids.RunnerStart(start)
        assert runners.record_start(runner, named) is PutResult.IMPLAUSIBLE
    assert runners.find(runner).start == 900_000
    assert runners.is_described(runner)
    assert (gone, restarted) == ([], [])
    # Its true start, by itself and by its entry.
    assert runners.record_start(runner, 950_000) is PutResult.RESTARTED
    entry = make_runner("r", start=990_000)
    assert runners.put(entry) is PutResult.RESTARTED
    assert list_accepting(runners) == ["r"]


# Guards against a runner whose clock is ahead: its restart is known as soon as
# this host's clock has come to it, or by its entry at once.
def test_a_runner_whose_clock_is_ahead_restarts_a_little_later() -> None:
    now_s = 1_000.0
    runners, named = registry.Registry(lambda: now_s), []
    runners.when_start_named(named.append)
    runner = ids.EndpointId("r")
    runners.put(make_runner("r", start=900_000))
    # The clocks may differ by 0.1 s.
    assert runners.record_start(runner, 1_000_100) is PutResult.RESTARTED
    start = ids.RunnerStart(1_005_000)
    assert runners.record_start(runner, start) is PutResult.IMPLAUSIBLE
    now_s = 1_004.9
    assert runners.record_start(runner, start) is PutResult.RESTARTED
    entry = make_runner("r", start=1_900_000)
    assert runners.put(entry) is PutResult.RESTARTED
    assert runners.record_start(runner, entry.start) is PutResult.TAKEN
    assert named == [entry]
    assert list_accepting(runners) == ["r"]


def test_a_sequence_that_starts_over_reveals_an_unreported_restart() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", sequence=7))
    assert runners.put(make_runner("r", sequence=9)) is PutResult.TAKEN
    assert runners.put(make_runner("r", sequence=1)) is PutResult.RESTARTED
    # If the start is known, the sequence is ignored.
    runners.put(make_runner("q", sequence=7, start=100))
    assert (
        runners.put(make_runner("q", sequence=1, start=100)) is PutResult.TAKEN
    )


def test_the_state_of_a_runner_ends_with_its_incarnation() -> None:
    runners = registry.Registry()
    chooser = choice.Chooser(runners, random.Random(1))
    runners.put(make_runner("r", start=100))
    before = chooser.get_state(ids.EndpointId("r"))
    before.failure_rate, before.active = 0.9, 3
    chooser.caches.add(before.incarnation_hash, 7)
    runners.put(make_runner("r", start=200))
    after = chooser.get_state(ids.EndpointId("r"))
    assert (after.failure_rate, after.active) == (0.0, 0)
    assert after.incarnation_hash != before.incarnation_hash
    assert chooser.caches.list_cached() == []
    assert chooser.list_loads() == {}


class Updates(stateful.RuleBasedStateMachine):
    """Starts and departures, reported over several delayed channels.

    Entries arrive in the order of their versions, as the table's follower
    guarantees; a runner's own report of its start may arrive at any time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runners = registry.Registry()
        self.written: list[model.Runner | None] = []
        self.read = 0
        self.starts: list[int] = []
        self.latest_seen = 0
        self.sequence = 0

    @stateful.initialize()
    def start_first(self) -> None:
        self.start_again()

    def _write(self, leaving: bool) -> None:
        self.sequence += 1
        self.written.append(
            make_runner(
                "r",
                start=self.starts[-1],
                leaving=leaving,
                sequence=self.sequence,
            )
        )

    @stateful.rule()
    def start_again(self) -> None:
        self.starts.append(len(self.starts) + 1)
        self.sequence = 0
        self._write(leaving=False)

    @stateful.rule()
    def leave(self) -> None:
        self._write(leaving=True)

    @stateful.rule()
    def remove(self) -> None:
        self.written.append(None)

    @stateful.rule(count=strategies.integers(1, 3))
    def read_on(self, count: int) -> None:
        for entry in self.written[self.read : self.read + count]:
            self.read += 1
            if entry is None:
                self.runners.remove(ids.EndpointId("r"), now=0.0)
            else:
                self.runners.put(entry)
                self.latest_seen = max(self.latest_seen, entry.start)

    @stateful.rule(back=strategies.integers(1, 4))
    def read_an_old_entry(self, back: int) -> None:
        entry = self.written[max(0, self.read - back)]
        if entry is None or entry.start >= self.latest_seen:
            return
        assert self.runners.put(entry) is PutResult.OUTDATED

    @stateful.rule(back=strategies.integers(1, 3))
    def hear_a_start(self, back: int) -> None:
        start = self.starts[-min(back, len(self.starts))]
        known = self.runners.find(ids.EndpointId("r"))
        self.runners.record_start(ids.EndpointId("r"), start)
        if known is not None:
            self.latest_seen = max(self.latest_seen, start)

    @stateful.invariant()
    def no_earlier_start_is_in_force(self) -> None:
        known = self.runners.find(ids.EndpointId("r"))
        assert known is None or known.start == self.latest_seen

    @stateful.rule()
    def settle(self) -> None:
        self.read_on(len(self.written))
        last, known = self.written[-1], self.runners.find(ids.EndpointId("r"))
        if last is None:
            assert known is None
        else:
            assert known == last or known.start > last.start


TestUpdates = Updates.TestCase


def test_a_start_after_its_entry_was_removed_is_a_restart() -> None:
    runners, restarted = registry.Registry(), []
    runners.when_restarted(restarted.append)
    runners.put(make_runner("r", start=100))
    runners.remove(ids.EndpointId("r"), now=5.0)
    again = make_runner("r", start=200)
    assert runners.put(again) is PutResult.RESTARTED
    assert restarted == [again]
    # A runner whose entry merely reappears has not restarted.
    runners.remove(ids.EndpointId("r"), now=6.0)
    assert runners.put(again) is PutResult.TAKEN


def announce(runners: registry.Registry, **given) -> bool:
    return runners.announce_leaving(make_runner("r", **given))


# Guards against putting a leaving runner back to use by an entry that was
# written before it announced that it leaves.
def test_an_announced_leaving_holds_whatever_entries_arrive() -> None:
    runners, gone = registry.Registry(), []
    runners.when_gone(gone.append)
    runners.put(make_runner("r", sequence=1))
    assert announce(runners, sequence=1)
    assert not announce(runners, sequence=1)
    assert gone == ["r"]
    runners.put(make_runner("r", sequence=2))
    assert list_accepting(runners) == []
    runners.remove(ids.EndpointId("r"), now=5.0)
    runners.put(make_runner("r", sequence=3))
    assert list_accepting(runners) == []


def test_a_removed_runner_that_announced_its_leaving_is_not_kept() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r"))
    announce(runners)
    runners.keep_removed_until(9.0)
    removed = runners.remove(ids.EndpointId("r"), now=5.0)
    assert removed is registry.RemoveResult.DROPPED


def test_an_announcement_that_arrives_before_its_entry_holds() -> None:
    runners = registry.Registry()
    assert announce(runners, start=100)
    runners.put(make_runner("r", start=100))
    assert list_accepting(runners) == []


# Guards against never using a runner again that has restarted under its id.
def test_a_restarted_runner_is_used_though_the_one_before_left() -> None:
    for before, after in (
        ({"start": 100}, {"start": 200}),
        ({"sequence": 9}, {"sequence": 1}),
    ):
        runners = registry.Registry()
        runners.put(make_runner("r", **before))
        announce(runners, **before)
        runners.put(make_runner("r", **after))
        assert list_accepting(runners) == ["r"]
        # A late answer of the earlier incarnation.
        assert not announce(runners, **before)
        assert list_accepting(runners) == ["r"]


def test_a_start_that_a_runner_reports_ends_its_leaving() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", start=100))
    announce(runners, start=100)
    runners.record_start(ids.EndpointId("r"), ids.RunnerStart(200))
    assert list_accepting(runners) == ["r"]
    runners.put(make_runner("r", start=100))
    assert list_accepting(runners) == ["r"]


def restore(runners: registry.Registry, now: float = 100.0) -> None:
    runners.begin_epoch(now, kept_until=now + 2.0)


# Guards against work for runners that had left, as a restored store lists them
# as ready again.
def test_after_a_restoration_a_leaving_runner_stays_out() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", leaving=True, sequence=5))
    restore(runners)
    runners.put(make_runner("r", sequence=3))
    assert list_accepting(runners) == []
    runners.put(make_runner("r", sequence=9))
    assert list_accepting(runners) == []


def test_after_a_restoration_a_removed_runner_waits() -> None:
    for leaving in (True, False):
        runners = registry.Registry()
        runners.put(make_runner("r", leaving=leaving, sequence=5))
        runners.remove(ids.EndpointId("r"), now=99.0)
        restore(runners)
        listed = runners.put(make_runner("r", sequence=3))
        assert listed is PutResult.WITHHELD
        runners.expire(now=104.0)
        assert list_accepting(runners) == []
        # Its removal is written again.
        runners.remove(ids.EndpointId("r"), now=104.5)
        runners.expire(now=106.0)
        assert list_accepting(runners) == []


def test_a_removed_runner_that_is_still_listed_is_used_again() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", sequence=5))
    runners.remove(ids.EndpointId("r"), now=99.0)
    restore(runners)
    runners.put(make_runner("r", sequence=3))
    runners.expire(now=105.1)
    assert list_accepting(runners) == ["r"]


def test_a_removed_runner_that_writes_again_is_used_at_once() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r", sequence=5))
    runners.remove(ids.EndpointId("r"), now=99.0)
    restore(runners)
    runners.put(make_runner("r", sequence=6))
    assert list_accepting(runners) == ["r"]


# Guards against dropping live runners that started after the copy was made.
def test_after_a_restoration_a_missing_runner_is_kept_for_a_moment() -> None:
    runners = registry.Registry()
    runners.put(make_runner("r"))
    restore(runners)
    removal = runners.remove(ids.EndpointId("r"), now=100.5)
    assert removal is registry.RemoveResult.KEPT
    runners.expire(now=101.9)
    assert list_accepting(runners) == ["r"]
    runners.expire(now=102.1)
    assert list_accepting(runners) == []


def test_an_earlier_sequence_of_the_copy_is_no_restart() -> None:
    runners, restarted = registry.Registry(), []
    runners.when_restarted(restarted.append)
    runners.put(make_runner("r", sequence=9))
    restore(runners)
    runners.put(make_runner("r", sequence=4))
    runners.put(make_runner("r", sequence=10))
    assert restarted == []
    runners.put(make_runner("r", sequence=1))
    assert [each.sequence for each in restarted] == [1]
