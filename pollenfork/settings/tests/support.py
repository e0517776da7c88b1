"""Example trees and a fake table for the settings tests."""

import copy
import random

import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.settings import changes
from pollenfork.settings import paths
from pollenfork.settings import rows
from pollenfork.settings import snapshot
from pollenfork.settings import state
from pollenfork.settings import writer
from pollenfork.standin.platform import config as platform_configs
from pollenfork.standin.platform import core as platform_core
from pollenfork.standin.platform import fake as platform_fake
from pollenfork.store import edges

ROOT_TOKEN = "root-token"
TEAM_TOKENS = {"linework": "linework-token", "ledger": "ledger-token"}
ROOT_OPERATOR = snapshot.hash_key(ROOT_TOKEN)

ROOT = {
    "operator_sha256": [ROOT_OPERATOR],
    "ceilings": {
        "linework": {
            "operator_sha256": [snapshot.hash_key("linework-token")],
            "may_protect": True,
        },
        "ledger": {
            "operator_sha256": [snapshot.hash_key("ledger-token")],
            "best_tier": 1,
            "max_in_flight": 500,
        },
    },
    "endpoints": {
        "runner-1": {"address": "10.0.0.7:8000", "data_centre": "amman-1"},
        "photos-1": {
            "address": "10.0.0.9:8100",
            "data_centre": "amman-1",
            "kind": "service",
        },
    },
    "services": {"photos": {"endpoints": ["photos-1"]}},
}
LINEWORK = {
    "classes": {
        "morning": {"tier": 0, "protected": True},
        "summary": {"tier": 4},
    },
    "accounts": {
        "dispatch": {
            "key_sha256": snapshot.hash_key("dispatch-key"),
            "classes": ["morning", "summary"],
            "default_class": "morning",
        }
    },
}
LEDGER = {
    "classes": {"review": {"tier": 1}},
    "accounts": {
        "treasury": {
            "key_sha256": snapshot.hash_key("treasury-key"),
            "classes": ["review"],
            "default_class": "review",
        }
    },
    "max_in_flight": 500,
}
TREE = {"root": ROOT, "teams": {"linework": LINEWORK, "ledger": LEDGER}}


def edit(tree: dict, dotted: str, value: object) -> dict:
    """Returns a copy of `tree` with `value` at the dotted path."""
    changed = copy.deepcopy(tree)
    place = changed
    *steps, last = dotted.split(".")
    for step in steps:
        place = place[step]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return changed


def make_change(
    path: str,
    value: object,
    expected: int,
    write_id: str = "w",
    operator: str = ROOT_OPERATOR,
) -> changes.Change:
    return changes.Change(
        path=paths.parse_path(path).unwrap(),
        value=value,
        expected=ids.Revision(expected),
        write_id=ids.WriteId(write_id),
        operator=operator,
    )


_UNBOUNDED = platform_configs.PlatformConfig(reads_per_s=1e9, writes_per_s=1e9)
_COMMIT_FAULTS = {
    "down": platform_configs.Faults(down=True),
    "lost_before": platform_configs.Faults(
        lose=platform_configs.Loss.BEFORE_EFFECT
    ),
    "lost_after": platform_configs.Faults(
        lose=platform_configs.Loss.AFTER_EFFECT
    ),
}


class FakeTable:
    """The fake platform table with scripted faults.

    Each commit consumes one entry of `faults`; None means no fault.
    `before_commit` is called once before a commit, to let another writer win
    the race; `after_head` is called once after a read of the head row.
    """

    def __init__(self, shared: "FakeTable | None" = None) -> None:
        self.clock = shared.clock if shared else clock.ManualClock()
        self.state = (
            shared.state if shared else platform_core.Platform(_UNBOUNDED)
        )
        self.faults: list[str | None] = []
        self.before_commit = lambda: None
        self.after_head = lambda: None
        self.reads = 0
        self._platform = platform_fake.FakePlatform(self.clock, self.state)

    @property
    def rows(self) -> dict[str, edges.Row]:
        now = self.clock.monotonic()
        found = self.state.scan("settings/", "", 10_000, now).unwrap()
        return {row.key: row for row in found}

    def cut(self, down: bool = True) -> None:
        """Makes the table unavailable to this instance, or available."""
        self._platform.set_faults(platform_configs.Faults(down=down))

    def expire_write_ids(self) -> None:
        self.clock.advance(3600.0)

    def lose_rows(self) -> None:
        deletes = tuple(edges.Delete(key) for key in self.rows)
        lost = edges.Transaction(ids.WriteId("lost"), deletes=deletes)
        self.state.commit(lost, self.clock.monotonic()).unwrap()

    def read(self, key: str) -> result.Result:
        self.reads += 1
        read = self._platform.table.read(key)
        if key == rows.HEAD_KEY:
            hook, self.after_head = self.after_head, lambda: None
            hook()
        return read

    def scan(self, prefix: str, after: str = "", limit: int = 1000):
        self.reads += 1
        return self._platform.table.scan(prefix, after, limit)

    def commit(self, transaction: edges.Transaction) -> result.Result:
        hook, self.before_commit = self.before_commit, lambda: None
        hook()
        fault = self.faults.pop(0) if self.faults else None
        if fault is None:
            return self._platform.table.commit(transaction)
        self._platform.set_faults(_COMMIT_FAULTS[fault])
        answer = self._platform.table.commit(transaction)
        self._platform.set_faults(platform_configs.Faults())
        return answer


class Site:
    """One instance's writer and clock; the table may be shared."""

    def __init__(self, table: FakeTable | None = None, seed: int = 0) -> None:
        self.table = table or FakeTable()
        self.clock = clock.ManualClock()
        self.in_force: state.InForce | None = None
        self.writer = writer.Writer(
            table=self.table,
            now=self.clock,
            rng=random.Random(seed),
            wait=self.wait,
            get_in_force=lambda: self.in_force,
            first_operators=(ROOT_OPERATOR,),
        )

    def wait(self, seconds: float) -> None:
        """Advances the clock, always by more than zero."""
        self.clock.advance(max(seconds, 0.001))

    def write(self, path: str, value: object, expected: int, **kwargs):
        outcome = self.writer.write(
            make_change(path, value, expected, **kwargs)
        )
        if isinstance(outcome, result.Ok):
            self.in_force = outcome.ok_value.tree
        return outcome

    def seed(self) -> state.InForce:
        """Writes the whole example tree as revision 1."""
        return self.write("", TREE, 0, write_id="seed").unwrap().tree
