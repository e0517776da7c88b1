"""The tree at one revision: its subtrees as written and as compiled."""

from collections.abc import Iterable, Mapping
from typing import TypeVar
import zlib

import msgspec
import result

from pollenfork import ids
from pollenfork.settings import accounts
from pollenfork.settings import errors
from pollenfork.settings import model
from pollenfork.settings import paths
from pollenfork.settings import schema
from pollenfork.settings import snapshot

T = TypeVar("T")


class Subtree(msgspec.Struct, frozen=True):
    """One subtree as it was written.

    Attributes:
        revision: The tree's revision at which it last changed.
        history: Revisions whose history rows are kept, oldest first.
        packed: Its JSON, compressed.
    """

    path: str
    revision: ids.Revision
    history: tuple[ids.Revision, ...]
    packed: bytes

    def read(self) -> bytes:
        """Returns the subtree's JSON."""
        return zlib.decompress(self.packed)


class InForce(msgspec.Struct, frozen=True):
    """The tree at one revision; immutable.

    Attributes:
        subtrees: Every subtree by its path, the root first.
        lookups: The same, compiled; its tree leaves the accounts out.
    """

    revision: ids.Revision
    subtrees: Mapping[str, Subtree]
    lookups: snapshot.Snapshot

    @property
    def tree(self) -> model.Tree:
        """The tree without the teams' accounts."""
        return self.lookups.tree


EMPTY = InForce(
    ids.Revision(0),
    {},
    snapshot.Snapshot(model.Tree(root=model.RootSettings())),
)


def pack_subtree(
    path: str,
    revision: ids.Revision,
    history: tuple[ids.Revision, ...],
    value: bytes,
) -> Subtree:
    """Returns the subtree that holds the JSON `value`."""
    return Subtree(path, revision, history, zlib.compress(value, 1))


def compile_tree(
    revision: ids.Revision,
    subtrees: Iterable[Subtree],
    previous: InForce = EMPTY,
) -> result.Result[InForce, errors.UnreadableRow]:
    """Returns the tree that the subtrees make.

    Args:
        revision: The tree's revision.
        subtrees: Every subtree.
        previous: An earlier tree; what didn't change since is reused.
    """
    by_path = {
        subtree.path: _find_in(previous, subtree) or subtree
        for subtree in subtrees
    }
    root = _compile_root(by_path.get(paths.ROOT), previous)
    if isinstance(root, result.Err):
        return root
    teams: dict[ids.Team, model.TeamSettings] = {}
    packs: dict[ids.Team, accounts.AccountPack] = {}
    for path, subtree in by_path.items():
        team = paths.find_team(path)
        if team is None:
            continue
        compiled = _compile_team(team, subtree, previous)
        if isinstance(compiled, result.Err):
            return compiled
        teams[team], packs[team] = compiled.ok_value
    tree = model.Tree(root=root.ok_value, teams=teams, revision=revision)
    lookups = snapshot.Snapshot(tree, packs)
    return result.Ok(InForce(revision, by_path, lookups))


def _compile_root(
    subtree: Subtree | None, previous: InForce
) -> result.Result[model.RootSettings, errors.UnreadableRow]:
    if subtree is None:
        return result.Ok(model.RootSettings())
    if _find_in(previous, subtree):
        return result.Ok(previous.tree.root)
    return _decode(subtree, model.RootSettings)


def _compile_team(
    team: ids.Team, subtree: Subtree, previous: InForce
) -> result.Result[
    tuple[model.TeamSettings, accounts.AccountPack], errors.UnreadableRow
]:
    if _find_in(previous, subtree):
        return result.Ok(
            (previous.tree.teams[team], previous.lookups.packs[team])
        )
    decoded = _decode(subtree, model.TeamSettings)
    if isinstance(decoded, result.Err):
        return decoded
    settings = decoded.ok_value
    pack = accounts.AccountPack(settings.accounts)
    return result.Ok((msgspec.structs.replace(settings, accounts={}), pack))


def _find_in(previous: InForce, subtree: Subtree) -> Subtree | None:
    """Returns the earlier tree's own copy, if it is of the same revision."""
    known = previous.subtrees.get(subtree.path)
    return known if known and known.revision == subtree.revision else None


def _decode(
    subtree: Subtree, kind: type[T]
) -> result.Result[T, errors.UnreadableRow]:
    try:
        value = subtree.read()
    except zlib.error as error:
        detail = f"{subtree.path}: {error}"
        return result.Err(errors.UnreadableRow(detail=detail))
    return schema.decode_stored(value, kind, subtree.path)
