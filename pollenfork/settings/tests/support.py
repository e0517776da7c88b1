"""Trees and a table for the tests of the settings slice."""

import copy
import random

import result

from pollenfork import clock
from pollenfork import ids
from pollenfork.platform import edges
from pollenfork.platform import errors
from pollenfork.settings import changes
from pollenfork.settings import paths
from pollenfork.settings import snapshot
from pollenfork.settings import state
from pollenfork.settings import writer

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


class FakeTable:
    """A table in memory; `faults` are used up by the calls to come.

    Faults: `down` (no effect, said so), `lost_before` and `lost_after` (no
    answer, without and with the effect), None for a good call.
    """

    def __init__(self) -> None:
        self.rows: dict[str, edges.Row] = {}
        self.faults: list[str | None] = []
        self.down = False
        self.reads = 0
        self.before_commit = lambda: None
        self._answers: dict[str, result.Result] = {}

    def read(self, key: str) -> result.Result:
        self.reads += 1
        fault = self._take_fault()
        return fault or result.Ok(self.rows.get(key))

    def scan(self, prefix: str, after: str = "", limit: int = 1000):
        self.reads += 1
        fault = self._take_fault()
        if fault:
            return fault
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        found = [self.rows[key] for key in keys if key > after]
        return result.Ok(tuple(found[:limit]))

    def commit(self, transaction: edges.Transaction) -> result.Result:
        hook, self.before_commit = self.before_commit, lambda: None
        hook()
        fault = self.faults.pop(0) if self.faults else None
        if self.down or fault == "down":
            return result.Err(errors.Unavailable())
        if fault == "lost_before":
            return result.Err(errors.Unanswered())
        if transaction.write_id not in self._answers:
            self._answers[transaction.write_id] = self._apply(transaction)
        if fault == "lost_after":
            return result.Err(errors.Unanswered())
        return self._answers[transaction.write_id]

    def forget_write_ids(self) -> None:
        self._answers.clear()

    def _take_fault(self) -> result.Err | None:
        if self.down:
            return result.Err(errors.Unavailable())
        return None

    def _apply(self, transaction: edges.Transaction) -> result.Result:
        conditions = [*transaction.puts, *transaction.deletes]
        failed = [c.key for c in conditions if not self._holds(c)]
        if failed:
            return result.Err(errors.Conflicted(keys=tuple(failed)))
        versions = []
        for put in transaction.puts:
            known = self.rows.get(put.key)
            version = known.version + 1 if known else 1
            self.rows[put.key] = edges.Row(put.key, put.value, version)
            versions.append(version)
        for delete in transaction.deletes:
            self.rows.pop(delete.key, None)
        return result.Ok(edges.Committed(tuple(versions)))

    def _holds(self, condition: edges.Put | edges.Delete) -> bool:
        known = self.rows.get(condition.key)
        version = known.version if known else edges.ABSENT
        return condition.expected in (edges.ANY_VERSION, version)


class Site:
    """One instance's writer with its clock, on a table that may be shared."""

    def __init__(self, table: FakeTable | None = None, seed: int = 0) -> None:
        self.table = table or FakeTable()
        self.clock = clock.ManualClock()
        self.in_force: state.InForce | None = None
        self.writer = writer.Writer(
            table=self.table,
            now=self.clock,
            rng=random.Random(seed),
            wait=lambda seconds: self.clock.advance(max(seconds, 0.001)),
            get_in_force=lambda: self.in_force,
            first_operators=(ROOT_OPERATOR,),
        )

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
