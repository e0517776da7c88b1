"""The actor with its thread, on a clock that the tests advance."""

import queue
import random

import pytest
import result

from pollenfork import clock
from pollenfork import failures
from pollenfork import metrics
from pollenfork import timers
from pollenfork.settings import actor
from pollenfork.settings import copies
from pollenfork.settings import core
from pollenfork.settings import messages
from pollenfork.settings import state
from pollenfork.settings.tests import support


class Rig:
    """One instance's settings with what surrounds them."""

    def __init__(self, table: support.FakeTable) -> None:
        self.table = table
        self.clock = clock.ManualClock()
        self.timers = timers.Timers(self.clock)
        self.metrics = metrics.Metrics()
        self.copies: dict[str, bytes] = {}
        self.published: queue.Queue = queue.Queue()
        self.settings = actor.Settings(
            table,
            self.clock,
            random.Random(3),
            self.timers,
            self.metrics,
            self.fetch_copy,
        )
        self.settings.subscribe(self.published.put)
        self.settings.start()

    def fetch_copy(self, peer: str) -> result.Result:
        if peer not in self.copies:
            return result.Err(failures.Failure(detail="gone"))
        return result.Ok(self.copies[peer])

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.timers.run_due()

    def settle(self) -> None:
        """Returns once the actor has handled every message so far."""
        # An actor handles messages in order; `ask` waits for its own.
        self.settings._actor.ask(messages.PeerGone("nobody"), timeout=10)


@pytest.fixture
def rig():
    table = support.FakeTable()
    support.Site(table).seed()
    made = Rig(table)
    yield made
    made.settings.stop()


def test_a_start_puts_the_tables_tree_in_force(rig) -> None:
    rig.advance(0.1)
    message = rig.published.get(timeout=10)
    assert message.tree.revision == 1
    assert message.lookups.find_caller("dispatch-key").team == "linework"
    assert rig.settings.get_lookups() is message.lookups
    assert rig.settings.read_status().age_s == 0.0


def test_a_write_here_is_in_force_at_once(rig) -> None:
    rig.advance(0.1)
    rig.published.get(timeout=10)
    written = support.Site(rig.table).write("root", support.ROOT, 1).unwrap()
    rig.settings.report(messages.TreeWritten(written.tree))
    assert rig.published.get(timeout=10).tree.revision == 2


def test_without_the_platform_a_peers_copy_comes_into_force(rig) -> None:
    held = support.Site(rig.table)
    held.in_force = support.Site().seed()
    rig.table.cut()
    rig.copies["peer"] = copies.encode(held.in_force)
    rig.advance(0.1)
    rig.settings.report(messages.PeerRevision("damaged", 9))
    rig.settings.report(messages.PeerRevision("peer", 1))
    rig.copies["damaged"] = b"\x93"
    rig.settle()
    assert rig.settings.in_force is None
    for _ in range(3):
        rig.advance(core.DISCOVERY_S)
        rig.settle()
    assert rig.settings.revision == 1
    assert not rig.settings.read_status().platform_answers
    assert copies.decode(rig.settings.encode_copy()).unwrap().revision == 1


def test_a_table_behind_what_is_in_force_changes_nothing(rig) -> None:
    rig.advance(0.1)
    written = support.Site(rig.table).write("root", support.ROOT, 1).unwrap()
    rig.settings.report(messages.TreeWritten(written.tree))
    rig.settle()
    rig.table.lose_rows()
    support.Site(rig.table, seed=1).seed()
    rig.advance(7.0)
    rig.settle()
    status = rig.settings.read_status()
    assert (status.revision, status.age_s) == (2, 7.0)
    assert status.platform_answers
    failures_total = "pollenfork_settings_read_failures_total"
    assert f'{failures_total}{{reason="TableBehind"}} 1' in (
        rig.metrics.render()[0].decode()
    )


def test_a_failing_subscriber_does_not_end_the_actor(rig) -> None:
    def fail(message: messages.TreeInForce) -> None:
        raise ValueError(message)

    rig.settings._keeper.subscribers.insert(0, fail)
    rig.advance(0.1)
    rig.settle()
    assert rig.settings.revision == 1
    written = support.Site(rig.table).write("root", support.ROOT, 1).unwrap()
    rig.settings.report(messages.TreeWritten(written.tree))
    rig.settle()
    assert rig.settings.revision == 2
    assert rig.published.get(timeout=10).tree.revision == 1


def test_revision_age_and_failures_are_exported(rig) -> None:
    rig.advance(0.1)
    rig.settle()
    rig.table.cut()
    rig.advance(7.0)
    rig.settle()
    text = rig.metrics.render()[0].decode()
    assert "pollenfork_settings_revision 1" in text
    assert "pollenfork_settings_age_seconds 7.0" in text
    assert (
        'pollenfork_settings_read_failures_total{reason="Unavailable"} 1'
        in text
    )
    assert 'pollenfork_settings_adopted_total{source="table"} 1' in text


def test_what_is_told_after_the_stop_is_left(rig) -> None:
    rig.advance(0.1)
    rig.settle()
    rig.settings.stop()
    rig.settings.report(messages.PeerRevision("peer", 9))
    rig.advance(30.0)
    assert rig.settings.revision == 1


def test_an_instance_without_a_tree_has_no_copy_to_give() -> None:
    rig = Rig(support.FakeTable())
    rig.advance(0.1)
    rig.settle()
    assert rig.settings.encode_copy() is None
    assert rig.settings.get_lookups() is None
    assert rig.settings.revision == state.EMPTY.revision
    rig.settings.stop()
