"""Memory and time of the settings tree at up to 42,000 accounts.

Memory is what `tracemalloc` counts, so that what else the process holds
doesn't blur it. Times are CPU time.

Compared with packed accounts: the same accounts as decoded objects in a
dictionary by key digest, which is what the packing replaces.
"""

import gc
import hashlib
import pathlib
import time
import tracemalloc
from typing import Any

import msgspec

from pollenfork.settings import copies
from pollenfork.settings import model
from pollenfork.settings import snapshot
from pollenfork.settings import state

SIZES = (1_000, 10_000, 42_000)
ACCOUNTS_OF_TEAM = 100
_LOOKUPS = 20_000
_RESULTS = pathlib.Path(__file__).parent / "results"


class Figures(msgspec.Struct, frozen=True):
    """What one size takes; memory in MB, times in ms, look-ups in µs."""

    accounts: int
    teams: int
    packed_mb: float
    packed_peak_mb: float
    objects_mb: float
    load_ms: float
    change_ms: float
    change_peak_mb: float
    lookup_us: float
    objects_lookup_us: float
    copy_mb: float


def make_subtrees(accounts: int) -> list[state.Subtree]:
    """Returns the subtrees of a tree with so many accounts."""
    teams = accounts // ACCOUNTS_OF_TEAM
    names = [f"team-{number:03d}" for number in range(teams)]
    root = {"ceilings": {name: {} for name in names}}
    encoded = msgspec.json.encode(root)
    made = [state.pack_subtree("root", 1, (1,), encoded)]
    for name in names:
        made.append(make_team(name, 1))
    return made


def make_team(name: str, revision: int) -> state.Subtree:
    """Returns one team's subtree, its limits told apart by the revision."""
    classes = {f"class-{tier}": {"tier": tier} for tier in range(5)}
    accounts = {
        f"{name}-account-{number:03d}": {
            "key_sha256": snapshot.hash_key(f"{name}/{number}"),
            "classes": ["class-0", "class-2", "class-4"],
            "default_class": "class-2",
            "max_in_flight": 32 + revision,
        }
        for number in range(ACCOUNTS_OF_TEAM)
    }
    value = msgspec.json.encode({"classes": classes, "accounts": accounts})
    return state.pack_subtree(f"teams/{name}", revision, (revision,), value)


def compile_objects(subtrees: list[state.Subtree]) -> tuple[Any, Any]:
    """Returns the tree and its callers as objects, without packing."""
    teams = {
        subtree.path: msgspec.json.decode(
            subtree.read(), type=model.TeamSettings
        )
        for subtree in subtrees[1:]
    }
    callers = {
        account.key_sha256: snapshot.Caller(team, name, account)
        for team, settings in teams.items()
        for name, account in settings.accounts.items()
    }
    return teams, callers


def measure(accounts: int) -> Figures:
    """Returns the figures of one size."""
    subtrees = make_subtrees(accounts)
    began = time.process_time()
    tree = state.compile_tree(1, subtrees).unwrap()
    load_ms = (time.process_time() - began) * 1e3
    changed = [*subtrees[:-1], make_team("team-000", 2)]
    changed[1], changed[-1] = changed[-1], subtrees[-1]
    began = time.process_time()
    after = state.compile_tree(2, changed, tree).unwrap()
    change_ms = (time.process_time() - began) * 1e3
    lookup_us, objects_lookup_us = compare_lookups(tree, subtrees)
    copy_mb = len(copies.encode(tree)) / 1e6
    del tree, after, changed
    packed_mb, packed_peak_mb = weigh_compile(subtrees)
    return Figures(
        accounts=accounts,
        teams=len(subtrees) - 1,
        packed_mb=round(packed_mb + weigh_subtrees(subtrees), 2),
        packed_peak_mb=round(packed_peak_mb + weigh_subtrees(subtrees), 2),
        objects_mb=round(weigh(lambda: compile_objects(subtrees))[0], 2),
        load_ms=round(load_ms, 1),
        change_ms=round(change_ms, 1),
        change_peak_mb=round(weigh_change(subtrees), 2),
        lookup_us=round(lookup_us, 2),
        objects_lookup_us=round(objects_lookup_us, 2),
        copy_mb=round(copy_mb, 2),
    )


def compare_lookups(
    tree: state.InForce, subtrees: list[state.Subtree]
) -> tuple[float, float]:
    """Returns the CPU microseconds of a look-up, packed and in objects."""
    teams = len(subtrees) - 1
    keys = [
        f"team-{number % teams:03d}/{number % ACCOUNTS_OF_TEAM}"
        for number in range(_LOOKUPS)
    ]
    callers = compile_objects(subtrees)[1]

    def find_object(key: str) -> Any:
        return callers.get(hashlib.sha256(key.encode()).hexdigest())

    return (
        time_lookups(tree.lookups.find_caller, keys),
        time_lookups(find_object, keys),
    )


def time_lookups(find: Any, keys: list[str]) -> float:
    """Returns the CPU microseconds of one look-up; all of them find."""
    began = time.process_time()
    for key in keys:
        assert find(key) is not None
    return (time.process_time() - began) / len(keys) * 1e6


def weigh(build: Any) -> tuple[float, float]:
    """Returns the MB that what `build` returns keeps, and takes at most."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    current, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return current / 1e6, peak / 1e6


def weigh_compile(subtrees: list[state.Subtree]) -> tuple[float, float]:
    """Returns the MB of a compiled tree, its subtrees' bytes left out."""
    return weigh(lambda: state.compile_tree(1, subtrees).unwrap())


def weigh_subtrees(subtrees: list[state.Subtree]) -> float:
    """Returns the MB of the subtrees' compressed JSON."""
    return sum(len(subtree.packed) for subtree in subtrees) / 1e6


def weigh_change(subtrees: list[state.Subtree]) -> float:
    """Returns the MB that one team's change takes at most, on top."""
    tree = state.compile_tree(1, subtrees).unwrap()
    changed = [subtrees[0], make_team("team-000", 2), *subtrees[2:]]
    return weigh(lambda: state.compile_tree(2, changed, tree).unwrap())[1]


def main() -> None:
    """Prints the figures of all sizes and writes them as JSON."""
    rows = [measure(size) for size in SIZES]
    names = Figures.__struct_fields__
    print("  ".join(f"{name:>17}" for name in names))
    for row in rows:
        values = [getattr(row, name) for name in names]
        print("  ".join(f"{value:>17}" for value in values))
    _RESULTS.mkdir(exist_ok=True)
    path = _RESULTS / "settings_size.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")


if __name__ == "__main__":
    main()
