"""The tree at one revision: stored subtrees and compiled form."""

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
    """One subtree, stored as the operator wrote it.

    Attributes:
        revision: The tree's revision at the subtree's last change.
        history: Revisions that have a history row, oldest first.
        packed: The JSON, compressed with zlib.
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
        subtrees: All subtrees by path, the root first.
        lookups: The compiled tree; its teams have no accounts.
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
    """Returns a subtree with the JSON `value`."""
    return Subtree(path, revision, history, zlib.compress(value, 1))


def compile_tree(
    revision: ids.Revision,
    subtrees: Iterable[Subtree],
    previous: InForce = EMPTY,
) -> result.Result[InForce, errors.UnreadableRow]:
    """Compiles subtrees into a tree.

    Args:
        revision: The tree's revision.
        subtrees: All subtrees.
        previous: An earlier tree; unchanged parts are reused.
    """
    by_path = {
        subtree.path: _find_unchanged(previous, subtree) or subtree
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
    if _find_unchanged(previous, subtree):
        return result.Ok(previous.tree.root)
    return _decode(subtree, model.RootSettings)


def _compile_team(
    team: ids.Team, subtree: Subtree, previous: InForce
) -> result.Result[
    tuple[model.TeamSettings, accounts.AccountPack], errors.UnreadableRow
]:
    if _find_unchanged(previous, subtree):
        return result.Ok(
            (previous.tree.teams[team], previous.lookups.packs[team])
        )
    decoded = _decode(subtree, model.TeamSettings)
    if isinstance(decoded, result.Err):
        return decoded
    settings = decoded.ok_value
    pack = accounts.AccountPack(settings.accounts)
    return result.Ok((msgspec.structs.replace(settings, accounts={}), pack))


def _find_unchanged(previous: InForce, subtree: Subtree) -> Subtree | None:
    """Returns the previous tree's subtree if its revision is the same."""
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
