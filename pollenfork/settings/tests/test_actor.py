"""Tests the actor on its own thread with a manual clock."""

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


class SettingsHarness:
    """One instance's settings and their dependencies."""

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
        """Waits until the actor has handled all messages sent so far."""
        # An actor handles messages in order, and `ask` waits for a reply.
        self.settings._actor.ask(messages.PeerGone("nobody"), timeout=10)


@pytest.fixture
def harness():
    table = support.FakeTable()
    support.Site(table).seed()
    made = SettingsHarness(table)
    yield made
    made.settings.stop()


def test_start_adopts_the_tree_in_the_table(harness) -> None:
    harness.advance(0.1)
    message = harness.published.get(timeout=10)
    assert message.tree.revision == 1
    assert message.lookups.find_caller("dispatch-key").team == "linework"
    assert harness.settings.get_lookups() is message.lookups
    assert harness.settings.read_status().age_s == 0.0


def test_a_write_here_is_in_force_at_once(harness) -> None:
    harness.advance(0.1)
    harness.published.get(timeout=10)
    written = (
        support.Site(harness.table).write("root", support.ROOT, 1).unwrap()
    )
    harness.settings.report(messages.TreeWritten(written.tree))
    assert harness.published.get(timeout=10).tree.revision == 2


def test_a_peers_copy_is_adopted_while_the_table_is_unavailable(
    harness,
) -> None:
    held = support.Site(harness.table)
    held.in_force = support.Site().seed()
    harness.table.cut()
    harness.copies["peer"] = copies.encode(held.in_force)
    harness.advance(0.1)
    harness.settings.report(messages.PeerRevision("damaged", 9))
    harness.settings.report(messages.PeerRevision("peer", 1))
    harness.copies["damaged"] = b"\x93"
    harness.settle()
    assert harness.settings.in_force is None
    for _ in range(3):
        harness.advance(core.DISCOVERY_S)
        harness.settle()
    assert harness.settings.revision == 1
    assert not harness.settings.read_status().platform_answers
    assert copies.decode(harness.settings.encode_copy()).unwrap().revision == 1


def test_an_older_tree_in_the_table_is_ignored(harness) -> None:
    harness.advance(0.1)
    written = (
        support.Site(harness.table).write("root", support.ROOT, 1).unwrap()
    )
    harness.settings.report(messages.TreeWritten(written.tree))
    harness.settle()
    harness.table.lose_rows()
    support.Site(harness.table, seed=1).seed()
    harness.advance(7.0)
    harness.settle()
    status = harness.settings.read_status()
    assert (status.revision, status.age_s) == (2, 7.0)
    assert status.platform_answers
    failures_total = "pollenfork_settings_read_failures_total"
    assert f'{failures_total}{{reason="TableBehind"}} 1' in (
        harness.metrics.render()[0].decode()
    )


def test_a_failing_subscriber_does_not_end_the_actor(harness) -> None:
    def fail(message: messages.TreeInForce) -> None:
        raise ValueError(message)

    harness.settings._executor.subscribers.insert(0, fail)
    harness.advance(0.1)
    harness.settle()
    assert harness.settings.revision == 1
    written = (
        support.Site(harness.table).write("root", support.ROOT, 1).unwrap()
    )
    harness.settings.report(messages.TreeWritten(written.tree))
    harness.settle()
    assert harness.settings.revision == 2
    assert harness.published.get(timeout=10).tree.revision == 1


def test_revision_age_and_failures_are_exported(harness) -> None:
    harness.advance(0.1)
    harness.settle()
    harness.table.cut()
    harness.advance(7.0)
    harness.settle()
    text = harness.metrics.render()[0].decode()
    assert "pollenfork_settings_revision 1" in text
    assert "pollenfork_settings_age_seconds 7.0" in text
    assert (
        'pollenfork_settings_read_failures_total{reason="Unavailable"} 1'
        in text
    )
    assert 'pollenfork_settings_adopted_total{source="table"} 1' in text


def test_messages_after_stop_are_ignored(harness) -> None:
    harness.advance(0.1)
    harness.settle()
    harness.settings.stop()
    harness.settings.report(messages.PeerRevision("peer", 9))
    harness.advance(30.0)
    assert harness.settings.revision == 1


def test_an_instance_without_a_tree_has_no_copy() -> None:
    harness = SettingsHarness(support.FakeTable())
    harness.advance(0.1)
    harness.settle()
    assert harness.settings.encode_copy() is None
    assert harness.settings.get_lookups() is None
    assert harness.settings.revision == state.EMPTY.revision
    harness.settings.stop()
