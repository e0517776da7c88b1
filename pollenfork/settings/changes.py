"""Computes the rows that one write changes; no I/O."""

import hashlib

import msgspec
import result

from pollenfork import ids
from pollenfork.settings import errors
from pollenfork.settings import paths
from pollenfork.settings import rows
from pollenfork.settings import state
from pollenfork.settings import validation
from pollenfork.store import edges

HISTORY_KEPT = 32  # Past versions kept of each subtree.
WRITES_KEPT = 64  # Accepted writes remembered to detect retries.


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A write requested by an operator.

    Attributes:
        value: The JSON value to put at `path`.
        expected: The revision that the write is based on: the subtree's, or
            the tree's for a write of the whole tree; 0 if nothing existed.
        operator: SHA-256 hex digest of the operator's token.
    """

    path: paths.SettingsPath
    value: object
    expected: ids.Revision
    write_id: ids.WriteId
    operator: str

    def digest(self) -> str:
        """Returns a digest of the path and the value."""
        encoded = msgspec.json.encode(
            (str(self.path), self.value), order="deterministic"
        )
        return hashlib.sha256(encoded).hexdigest()


class Plan(msgspec.Struct, frozen=True):
    """The effect of a change on one tree.

    Attributes:
        written: Subtrees to write.
        removed: Paths of the subtrees to remove.
        deleted_keys: Keys of the rows to delete.
        tree: The resulting tree, compiled.
    """

    written: tuple[state.Subtree, ...]
    removed: tuple[str, ...]
    deleted_keys: tuple[str, ...]
    tree: state.InForce


def find_revision(
    tree: state.InForce, path: paths.SettingsPath
) -> ids.Revision:
    """Returns the revision that a write at `path` must match; 0 if none."""
    if path.is_tree:
        return tree.revision
    subtree = tree.subtrees.get(path.subtree)
    return subtree.revision if subtree else ids.Revision(0)


def get_value(
    tree: state.InForce, path: paths.SettingsPath
) -> result.Result[object, errors.NoSuchPath]:
    """Returns the JSON value at `path` as the operator wrote it."""
    if path.is_tree:
        return result.Ok(_encode_tree(tree))
    subtree = tree.subtrees.get(path.subtree)
    if subtree is None:
        return result.Err(errors.NoSuchPath(detail=f"no {path.subtree}"))
    value: object = msgspec.json.decode(subtree.read())
    for step in path.inner:
        if not isinstance(value, dict) or step not in value:
            return result.Err(errors.NoSuchPath(detail=f"nothing at {path}"))
        value = value[step]
    return result.Ok(value)


def plan(
    change: Change, tree: state.InForce
) -> result.Result[Plan, errors.SettingsFailure]:
    """Validates a change and returns its effect on the tree."""
    if change.path.is_tree:
        return _plan_tree(change, tree)
    body = _merge(change, tree)
    if isinstance(body, result.Err):
        return body
    checked = _check(change.path.subtree, body.ok_value, tree)
    if isinstance(checked, result.Err):
        return checked
    return _build_plan({change.path.subtree: body.ok_value}, (), tree)


def build_rows(
    change: Change,
    planned: Plan,
    head_version: int,
    writes: tuple[rows.WriteRecord, ...],
    at: float,
) -> tuple[tuple[edges.Put, ...], tuple[edges.Delete, ...]]:
    """Returns the rows to write and to delete in one transaction.

    The transaction is conditional on the head's version only. Every write
    changes the head, so of two writes based on one tree only one succeeds.

    Args:
        change: The write.
        planned: The effect of the write.
        head_version: Version of the head row that the plan is based on.
        writes: The last accepted writes.
        at: Time of the write in Unix seconds.
    """
    tree = planned.tree
    record = rows.WriteRecord(
        write_id=change.write_id,
        digest=change.digest(),
        path=str(change.path),
        revision=tree.revision,
    )
    kept = (*writes, record)[-WRITES_KEPT:]
    revisions = {
        path: subtree.revision for path, subtree in tree.subtrees.items()
    }
    head = rows.HeadRow(revision=tree.revision, subtrees=revisions)
    puts = [
        edges.Put(rows.HEAD_KEY, rows.encode(head), head_version),
        edges.Put(rows.WRITES_KEY, rows.encode(rows.WritesRow(writes=kept))),
    ]
    for subtree in planned.written:
        puts.append(_put_subtree(subtree))
        puts.append(
            _put_history(change, subtree.path, tree, at, subtree.read())
        )
    for path in planned.removed:
        puts.append(_put_history(change, path, tree, at, b"null"))
    deletes = tuple(edges.Delete(key) for key in planned.deleted_keys)
    return tuple(puts), deletes


def _encode_tree(tree: state.InForce) -> dict[str, object]:
    """Returns the tree with its subtrees as raw JSON, undecoded.

    Decoding 42,000 accounts would exceed the memory of an instance.
    """
    root = msgspec.Raw(b"{}")
    teams: dict[str, msgspec.Raw] = {}
    for path, subtree in tree.subtrees.items():
        team = paths.find_team(path)
        if team is None:
            root = msgspec.Raw(subtree.read())
        else:
            teams[team] = msgspec.Raw(subtree.read())
    return {"root": root, "teams": teams, "revision": tree.revision}


def _merge(
    change: Change, tree: state.InForce
) -> result.Result[object, errors.NoSuchPath]:
    """Returns the subtree's JSON value with the change applied."""
    inner = change.path.inner
    if not inner:
        return result.Ok(change.value)
    read = get_value(tree, paths.SettingsPath(change.path.subtree))
    if isinstance(read, result.Err):
        return read
    place = read.ok_value
    for step in inner[:-1]:
        place = place.setdefault(step, {}) if isinstance(place, dict) else None
    if not isinstance(place, dict):
        detail = f"nothing can be put at {change.path}"
        return result.Err(errors.NoSuchPath(detail=detail))
    place[inner[-1]] = change.value
    return result.Ok(read.ok_value)


def _check(
    subtree: str, value: object, tree: state.InForce
) -> result.Result[object, errors.BadTree]:
    team = paths.find_team(subtree)
    if team is None:
        return validation.check_root(value, tree.tree.teams)

    def find_owner(digest: str) -> str | None:
        owner = tree.lookups.find_owner(digest)
        if owner is None or owner.team == team:
            return None
        return f"{owner.team}/{owner.account}"

    return validation.check_team(value, team, tree.tree.root, find_owner)


def _plan_tree(
    change: Change, tree: state.InForce
) -> result.Result[Plan, errors.SettingsFailure]:
    checked = validation.check_tree(change.value)
    if isinstance(checked, result.Err):
        return checked
    whole = msgspec.convert(change.value, dict[str, object])
    wanted = {paths.ROOT: whole["root"]}
    teams = msgspec.convert(whole.get("teams", {}), dict[str, object])
    for team, value in teams.items():
        wanted[paths.get_team_path(team)] = value
    changed = {
        path: value
        for path, value in wanted.items()
        if path not in tree.subtrees
        or msgspec.json.decode(tree.subtrees[path].read()) != value
    }
    removed = tuple(path for path in tree.subtrees if path not in wanted)
    return _build_plan(changed, removed, tree)


def _build_plan(
    changed: dict[str, object], removed: tuple[str, ...], tree: state.InForce
) -> result.Result[Plan, errors.SettingsFailure]:
    if not changed and not removed:
        return result.Ok(Plan((), (), (), tree))
    revision = ids.Revision(tree.revision + 1)
    written = tuple(
        _pack(path, value, revision, tree) for path, value in changed.items()
    )
    subtrees = dict(tree.subtrees)
    subtrees.update({subtree.path: subtree for subtree in written})
    for path in removed:
        del subtrees[path]
    ordered = [subtrees[path] for path in sorted(subtrees)]
    deleted_keys = _list_expired_history(tuple(changed), tree)
    deleted_keys += [rows.make_subtree_key(path) for path in removed]
    compiled = state.compile_tree(revision, ordered, tree)
    return compiled.map(
        lambda after: Plan(written, removed, tuple(deleted_keys), after)
    )


def _pack(
    path: str, value: object, revision: ids.Revision, tree: state.InForce
) -> state.Subtree:
    known = tree.subtrees.get(path)
    history = known.history if known else ()
    kept = (*history, revision)[-HISTORY_KEPT:]
    return state.pack_subtree(path, revision, kept, msgspec.json.encode(value))


def _put_subtree(subtree: state.Subtree) -> edges.Put:
    row = rows.SubtreeRow(
        path=subtree.path,
        revision=subtree.revision,
        history=subtree.history,
        value=msgspec.Raw(subtree.read()),
    )
    return edges.Put(rows.make_subtree_key(subtree.path), rows.encode(row))


def _put_history(
    change: Change, path: str, tree: state.InForce, at: float, value: bytes
) -> edges.Put:
    row = rows.HistoryRow(
        path=path,
        revision=tree.revision,
        write_id=change.write_id,
        operator=change.operator[:12],
        at=at,
        value=msgspec.Raw(value),
    )
    key = rows.make_history_key(path, tree.revision)
    return edges.Put(key, rows.encode(row))


def _list_expired_history(
    written: tuple[str, ...], tree: state.InForce
) -> list[str]:
    """Returns the keys of the history rows that exceed the limit."""
    known = [tree.subtrees[path] for path in written if path in tree.subtrees]
    return [
        rows.make_history_key(subtree.path, subtree.history[0])
        for subtree in known
        if len(subtree.history) >= HISTORY_KEPT
    ]
