"""Entries of runners' earlier incarnations, and who else hears of them."""

import json
import random

from pollenfork import ids
from pollenfork.catalogue import known_rows
from pollenfork.catalogue import messages
from pollenfork.catalogue import table_copy
from pollenfork.catalogue import watch
from pollenfork.gateway import cluster_state
from pollenfork.platform import store
from pollenfork.platform.tests import support


class Instance:
    """An instance's runners, and the copy that it hands on."""

    def __init__(self) -> None:
        self.state = cluster_state.ClusterState(store.Store("store:80"), 5.0)
        known = known_rows.KnownRows(self.state.read_runner_start)
        self.watch = watch.Watch(random.Random(1), 1.0, known)
        self.copy = table_copy.TableCopy()

    def read(self, *rows: messages.Row) -> None:
        version = max(row.version for row in rows)
        answer = messages.Rows(rows, version)
        self._apply(self.watch.take_rows(self.watch.next_call(), answer))

    def ask(self, other: "Instance") -> None:
        table = table_copy.decode(other.copy.encode()).unwrap()
        self._apply(self.watch.take_table(table))

    def list_starts(self) -> list[ids.RunnerStart | None]:
        return [each.start for each in self.state.runners.list_all()]

    def _apply(self, changes: messages.Changes | None) -> None:
        assert changes is not None
        self.copy.apply(changes)
        self.state.take_runners(changes, 0.0)


def make_row(version: int, start: int, **fields) -> messages.Row:
    entry = support.make_entry("model", "10.9.0.1:80", born=start, **fields)
    return messages.Row("r", json.dumps(entry).encode(), version)


# Guards against a relay that refuses the entry of an earlier incarnation for
# itself, but hands it on to instances that never knew the later one.
def test_an_outdated_entry_reaches_no_instance_that_starts_later() -> None:
    relay, later = Instance(), Instance()
    relay.read(make_row(5, 200))
    relay.read(make_row(7, 100, state="draining"))
    assert relay.list_starts() == [200]
    later.ask(relay)
    assert later.list_starts() == [200]
    assert [each.leaving for each in later.state.runners.list_all()] == [False]


def test_the_entry_of_a_later_incarnation_is_handed_on() -> None:
    relay, later = Instance(), Instance()
    relay.read(make_row(5, 200, state="draining"))
    relay.read(make_row(7, 300))
    later.ask(relay)
    assert later.list_starts() == [300]
