"""A settings tree compiled into the look-ups that requests need."""

import hashlib

import msgspec

from pollenfork import ids
from pollenfork.settings import model


class Caller(msgspec.Struct, frozen=True):
    """The account and team that a key stands for."""

    team: ids.Team
    account: ids.AccountId
    settings: model.Account


class Snapshot:
    """Immutable look-ups over one tree; read by all threads without locks."""

    def __init__(self, tree: model.Tree) -> None:
        self.tree = tree
        self.revision = tree.revision
        self._callers = {
            account.key_sha256: Caller(team, name, account)
            for team, subtree in tree.teams.items()
            for name, account in subtree.accounts.items()
        }

    def find_caller(self, key: str) -> Caller | None:
        """Returns whose key this is; keys are kept only as digests."""
        return self._callers.get(hash_key(key))

    def find_class(
        self, team: ids.Team, name: ids.ClassName
    ) -> model.ServiceClass | None:
        """Returns the team's class of that name."""
        subtree = self.tree.teams.get(team)
        return subtree.classes.get(name) if subtree else None


def hash_key(key: str) -> str:
    """Returns the digest under which the settings keep a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()
