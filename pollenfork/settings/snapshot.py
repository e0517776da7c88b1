"""Compiles a settings tree for lookups by requests."""

from collections.abc import Mapping
import hashlib

import msgspec

from pollenfork import ids
from pollenfork.settings import accounts
from pollenfork.settings import model


class Caller(msgspec.Struct, frozen=True):
    """The account and team that a key belongs to."""

    team: ids.Team
    account: ids.AccountId
    settings: model.Account


class Snapshot:
    """Lookups over one tree; immutable, so threads need no locks.

    Attributes:
        packs: The accounts of each team; the next snapshot reuses those of
            unchanged teams.
    """

    def __init__(
        self,
        tree: model.Tree,
        packs: Mapping[ids.Team, accounts.AccountPack] | None = None,
    ) -> None:
        """Compiles a tree.

        Args:
            tree: The tree; its accounts are used only if `packs` is None.
            packs: Packed accounts of every team in the tree.
        """
        self.tree = tree
        self.revision = tree.revision
        self.packs = _pack_teams(tree) if packs is None else packs
        self._index = accounts.AccountIndex(self.packs)

    @property
    def account_count(self) -> int:
        """The number of accounts in the tree."""
        return len(self._index)

    def find_caller(self, key: str) -> Caller | None:
        """Returns the owner of a key; keys are stored only as digests."""
        return self.find_owner(hash_key(key))

    def find_owner(self, digest: str) -> Caller | None:
        """Returns the owner of the key with this SHA-256 hex digest."""
        found = self._index.find(digest)
        if found is None:
            return None
        team, account = found
        return Caller(team, account.name, account.unpack())

    def find_class(
        self, team: ids.Team, name: ids.ClassName
    ) -> model.ServiceClass | None:
        """Returns the team's class of that name."""
        subtree = self.tree.teams.get(team)
        return subtree.classes.get(name) if subtree else None


def hash_key(key: str) -> str:
    """Returns the digest that the settings store for a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def _pack_teams(tree: model.Tree) -> dict[ids.Team, accounts.AccountPack]:
    return {
        team: accounts.AccountPack(subtree.accounts)
        for team, subtree in tree.teams.items()
    }
